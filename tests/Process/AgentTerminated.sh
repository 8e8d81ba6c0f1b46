#!/usr/bin/env bash
# Guards against a graceful shutdown of an agent that breaks flows or doesn't
# end once the requests in progress have finished.
source "$(dirname "$0")/Common.sh"
deploy
# Short flows, so that the new agent soon is a candidate for one.
start_load 32 --flow-life 1.5 --sessions 2
sleep 4
for i in 1 $((desk_servers + 1)); do
  start=$(now_ms)
  end "agent$i" TERM
  expect "ms until agent $i has left" $(($(now_ms) - start)) -le 10000
  start_agent "$i" "$(service_of "$i")"
  await_ready "agent$i"
  await_work "$i" "$(now_ms)" 12000
done
await_load
expect_unbroken
expect_honest
expect_ok 95
verdict
