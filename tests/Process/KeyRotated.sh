#!/usr/bin/env bash
# Guards against flows that break while agents and entry instances change one
# by one to the other key.
desk_servers=4
store_servers=1
source "$(dirname "$0")/Common.sh"
other=0f0e0d0c0b0a09080706050403020100
key_flags=(--key "$key" --key-slot 0 --other-key "$other")
deploy
key_flags=(--key "$other" --key-slot 1 --other-key "$key")
start_load 45 --session-seconds 2 --bulk 0
sleep 3
for i in $(seq "$entries"); do
  end "entry$i" TERM
  start_entry "$i"
  await_ready "entry$i"
  sleep 1
done
for i in $(seq "$desk_servers"); do
  end "agent$i" TERM
  start_agent "$i" 1
  await_ready "agent$i"
  sleep 3
done
await_load
expect_unbroken
expect_honest
expect_ok 95
for i in $(seq "$desk_servers"); do
  expect "starts at server $i" "$(starts "$i" "$load_start")" -gt 0
done
verdict
