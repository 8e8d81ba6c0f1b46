#!/usr/bin/env bash
# Guards against aborted requests, new requests after more than 5 s, and
# duplicated or misreported submissions when a backend server is drained and the
# agent of another one shuts down while packets are lost, duplicated, reordered
# and delayed and entry instances are killed and join.
entries=4
source "$(dirname "$0")/Common.sh"
deploy
# Entry instance 4 joins later, at an address that was unused for a while.
stop_process entry4 TERM
impair_links
# 24 callers with flows of 1.5 s open 16 flows/s. The probability that a server
# that is still chosen gets none of the 160 flows in 10 s is (5/6)^160.
start_load 32 --flow-life 1.5 --sessions 1.5
sleep 4
await_recent_session
drained_server=$recent_server
drained=$(now_ms)
ctl backend drain sizing-desk "$(agent_address "$drained_server")"
stop_process entry1
start_entry 4
await_ready entry4

await_recent_session "$drained_server"
stopped_server=$recent_server
stopped=$(now_ms)
stop_process entry2
# Entry instance 1 joins while the agent shuts down.
start_entry 1
stop_process "agent$stopped_server" TERM
expect "ms until agent $stopped_server has exited" $(($(now_ms) - stopped)) \
  -le 10000
await_ready entry1
await_load
expect "ms of load from 5 s after the drain" \
  $((load_start + 32000 - drained - 5000)) -ge 10000
expect_unbroken
expect_correct_outcomes
expect_ok 95
expect_sessions_finish "$drained_server" "$drained"
expect_sessions_finish "$stopped_server" "$stopped"
for change in "$drained_server $drained" "$stopped_server $stopped"; do
  read -r i at <<<"$change"
  expect "starts at server $i before the change" \
    "$(count_starts "$i" "$load_start" "$at")" -gt 0
  expect "starts at server $i from 5 s after the change" \
    "$(count_starts "$i" $((at + 5000)))" -eq 0
done
report_failed_checks
