#!/usr/bin/env bash
# Guards against flow state in entry instances: each is restarted under load
# with the signal given as third argument.
source "$(dirname "$0")/Common.sh"
signal=$3
deploy
start_load 20
sleep 3
for i in $(seq "$entries"); do
  end "entry$i" "$signal"
  sleep 1
  start_entry "$i"
  await_ready "entry$i"
  sleep 2
done
await_load
expect_unbroken
expect_honest
expect_ok 95
verdict
