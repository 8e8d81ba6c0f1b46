#!/usr/bin/env bash
# Guards against requests cut, new work later than 5 s, and doubled or
# misreported submissions when a backend server is drained and another one's
# agent shuts down while packets are lost, doubled, reordered and delayed and
# entry instances die and join.
entries=4
source "$(dirname "$0")/Common.sh"
deploy
# Entry instance 4 joins later, at an address that nobody has used for a while.
end entry4 TERM
impair_links
# 24 callers with flows of 1.5 s open 16 flows/s. A server that went on being
# chosen would get none of the 160 flows of 10 s with a chance of (5/6)^160.
start_load 32 --flow-life 1.5 --sessions 1.5
sleep 4
await_young_session
drained_server=$found
drained=$(now_ms)
ctl backend drain sizing-desk "$(agent_address "$drained_server")"
end entry1
start_entry 4
await_ready entry4

await_young_session "$drained_server"
stopped_server=$found
stopped=$(now_ms)
end entry2
# Joins while the agent leaves.
start_entry 1
end "agent$stopped_server" TERM
expect "ms until agent $stopped_server has left" $(($(now_ms) - stopped)) \
  -le 10000
await_ready entry1
await_load
expect "ms of load from 5 s after the drain" \
  $((load_start + 32000 - drained - 5000)) -ge 10000
expect_unbroken
expect_honest
expect_ok 95
expect_sessions_finish "$drained_server" "$drained"
expect_sessions_finish "$stopped_server" "$stopped"
for change in "$drained_server $drained" "$stopped_server $stopped"; do
  read -r i at <<<"$change"
  expect "starts at server $i before it leaves" \
    "$(starts "$i" "$load_start" "$at")" -gt 0
  expect "starts at server $i from 5 s on" "$(starts "$i" $((at + 5000)))" -eq 0
done
verdict
