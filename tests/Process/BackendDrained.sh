#!/usr/bin/env bash
# Guards against a drain that breaks open sessions and downloads, and against
# new work at a draining backend server later than 5 s after the submission.
source "$(dirname "$0")/Common.sh"
deploy
# Backend servers are announced under the address of their agent.
# Short flows, so that a server that returned soon gets one; a session keeps its
# flow to the end.
start_load 32 --session-seconds 8 --sessions 1 --bulk 4 --bulk-bytes 3000000 \
  --flow-life 2
sleep 6
first_desk=$(server_in_session)
# A server without work before the drain would show nothing.
first_store=$(server_with_most_starts "$((desk_servers + 1))" \
  "$((desk_servers + store_servers))")
ctl backend drain sizing-desk "$(agent_address "$first_desk")"
ctl backend drain pattern-store "$(agent_address "$first_store")"
drained=$(now_ms)
sleep 11
readmitted=$(now_ms)
ctl backend admit sizing-desk "$(agent_address "$first_desk")"
ctl backend admit pattern-store "$(agent_address "$first_store")"
await_load
expect_unbroken
expect_honest
expect_ok 95
expect "sessions finished at server $first_desk during the drain" \
  "$(finished_sessions "$first_desk" "$drained" "$readmitted")" -gt 0
for i in "$first_desk" "$first_store"; do
  expect "starts at server $i before the drain" \
    "$(starts "$i" "$load_start" "$drained")" -gt 0
  expect "starts at server $i from 5 s after the drain" \
    "$(starts "$i" $((drained + 5000)) "$readmitted")" -eq 0
  expect "starts at server $i after its return" \
    "$(starts "$i" "$readmitted")" -gt 0
done
verdict
