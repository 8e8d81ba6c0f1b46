#!/usr/bin/env bash
# Guards against a drain that breaks open sessions and downloads, and against
# new work at a draining backend server later than 5 s after the submission.
source "$(dirname "$0")/Common.sh"
deploy
first_store=$((desk_servers + 1))
start_load 32 --session-seconds 8 --sessions 1 --bulk 2 --bulk-bytes 3000000
sleep 6
ctl backend drain sizing-desk "$(backend_address 1)"
ctl backend drain pattern-store "$(backend_address "$first_store")"
drained=$(now_ms)
sleep 11
readmitted=$(now_ms)
ctl backend admit sizing-desk "$(backend_address 1)"
ctl backend admit pattern-store "$(backend_address "$first_store")"
await_load
expect_unbroken
expect_honest
expect_ok 95
for i in 1 "$first_store"; do
  expect "starts at server $i before the drain" \
    "$(starts "$i" "$load_start" "$drained")" -gt 0
  expect "starts at server $i from 5 s after the drain" \
    "$(starts "$i" $((drained + 5000)) "$readmitted")" -eq 0
  expect "starts at server $i after its return" \
    "$(starts "$i" "$readmitted")" -gt 0
done
verdict
