#!/usr/bin/env bash
# Guards against a graceful agent shutdown that breaks flows or doesn't complete
# once the requests in progress have finished.
source "$(dirname "$0")/Common.sh"
deploy
# The flows are short, so that the new agent soon becomes a candidate for one.
# On average 12 sessions of 6 s are open on 6 servers, so that the chosen server
# has some that still last seconds when its agent gets SIGTERM.
# Within the 12 s wait, the probability that a server of pattern-store gets none
# of 72 downloads is (2/3)^72. 1 download/s is too few: a server may get none.
start_load 32 --flow-life 1.5 --sessions 2 --session-seconds 6 --bulk 6 \
  --bulk-bytes 200000
sleep 4
busiest_desk=$(server_with_most_sessions)
shutdown_start=$(now_ms)
for i in "$busiest_desk" $((desk_servers + 1)); do
  start=$(now_ms)
  stop_process "agent$i" TERM
  if [ "$i" = "$busiest_desk" ]; then shutdown_end=$(now_ms); fi
  expect "ms until agent $i has exited" $(($(now_ms) - start)) -le 10000
  start_agent "$i" "$(service_of "$i")"
  await_ready "agent$i"
  await_request "$i" "$(now_ms)" 12000
done
await_load
expect "sessions finished at server $busiest_desk during the shutdown" \
  "$(finished_sessions "$busiest_desk" "$shutdown_start" "$shutdown_end")" -gt 0
expect_unbroken
expect_correct_outcomes
expect_ok 95
report_failed_checks
