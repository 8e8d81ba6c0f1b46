#!/usr/bin/env bash
# Guards against per-flow state in entry instances: each is stopped under load
# with the signal given as third argument, and restarted.
source "$(dirname "$0")/Common.sh"
signal=$3
deploy
start_load 20
sleep 3
for i in $(seq "$entries"); do
  stop_process "entry$i" "$signal"
  sleep 1
  start_entry "$i"
  await_ready "entry$i"
  sleep 2
done
await_load
expect_unbroken
expect_correct_outcomes
expect_ok 95
report_failed_checks
