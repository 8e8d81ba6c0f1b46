#!/usr/bin/env bash
# Guards against a drain that breaks open sessions and downloads, and against
# new requests at a draining backend server more than 5 s after the submission.
source "$(dirname "$0")/Common.sh"
deploy
# Backend servers are announced, and drained below, under the address of their
# agent. The flows are short, so that a readmitted server soon gets one; a
# session keeps its flow until it finishes.
start_load 32 --session-seconds 8 --sessions 1 --bulk 4 --bulk-bytes 3000000 \
  --flow-life 2
sleep 6
drained_desk=$(server_with_most_sessions)
# The check needs a server that had requests before the drain.
drained_pattern=$(server_with_most_starts "$((desk_servers + 1))" \
  "$((desk_servers + pattern_servers))")
ctl backend drain sizing-desk "$(agent_address "$drained_desk")"
ctl backend drain pattern-store "$(agent_address "$drained_pattern")"
drained=$(now_ms)
sleep 11
readmitted=$(now_ms)
ctl backend admit sizing-desk "$(agent_address "$drained_desk")"
ctl backend admit pattern-store "$(agent_address "$drained_pattern")"
await_load
expect_unbroken
expect_correct_outcomes
expect_ok 95
expect "sessions finished at server $drained_desk during the drain" \
  "$(finished_sessions "$drained_desk" "$drained" "$readmitted")" -gt 0
for i in "$drained_desk" "$drained_pattern"; do
  expect "starts at server $i before the drain" \
    "$(count_starts "$i" "$load_start" "$drained")" -gt 0
  expect "starts at server $i from 5 s after the drain" \
    "$(count_starts "$i" $((drained + 5000)) "$readmitted")" -eq 0
  expect "starts at server $i after its readmission" \
    "$(count_starts "$i" "$readmitted")" -gt 0
done
report_failed_checks
