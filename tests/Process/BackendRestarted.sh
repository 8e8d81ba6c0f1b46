#!/usr/bin/env bash
# Guards against more load at a cold backend server than it can handle: one is
# killed and restarted under load that would overload it.
ramp=6
source "$(dirname "$0")/Common.sh"
deploy --cold-seconds 6
# 24 new flows/s are 4 per server. When the restarted server is reachable for 4
# of the 6 s in which it is cold, the probability that it gets no flow is e^-16.
start_load 24 --submissions 120 --queries 200 --flow-life 1
sleep 5
stop_process backend1
sleep 1
restarted=$(now_ms)
start_cold_backend 1 --cold-seconds 6
await_request 1 "$restarted" 15000
await_load
expect_correct_outcomes
expect_starts_while_cold 1 "$restarted"
expect_no_overload
for i in $(servers); do
  expect "overload failures of server $i" "$(count_events "$i" fell-over)" -eq 0
done
report_failed_checks
