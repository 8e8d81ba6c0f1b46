#!/usr/bin/env bash
# Guards against more load at a cold backend server than it can handle, and
# against flows that break when a backend server fails, while packets are lost,
# duplicated, reordered and delayed and entry instances are killed and join.
# Three of six servers become cold: 1 is killed and restarted with reports
# delayed by 1 s, 2 becomes cold without a new boot ID, 3 fails and then reports
# warmth 1 and no load while it is cold.
ramp=8
source "$(dirname "$0")/Common.sh"
deploy --cold-seconds 8
impair_links
# 53 requests/s per server keep 0.6 of its slots busy when it is warm and four
# times as many when it is cold, but a cold server can handle only 2 concurrent
# requests. 24 new flows/s are 4 per server: when it is reachable for 5 of the
# 8 s in which it is cold, the probability that it gets no flow is e^-20. There
# are no sessions, since they would fail with their backend server.
start_load 26 --submissions 120 --queries 200 --flow-life 1 --sessions 0
sleep 4
stop_process backend1
faults_start=$(now_ms)
set_fault "$(backend_control 2)" '{"turnCold":true}'
set_fault "$(backend_control 3)" \
  '{"lieWarm":1,"lieInFlight":0,"lieHealth":"ok","fallOver":true}'
# Server 3 is down for 3 s.
misreports_start=$(($(now_ms) + 3000))
stop_process entry1
start_cold_backend 1 --cold-seconds 8 --report-lag-ms 1000
restarted=$(now_ms)
start_entry 1
await_ready entry1
await_request 1 "$restarted" 15000
await_request 3 "$misreports_start" 15000
stop_process entry2
start_entry 2
await_ready entry2
await_load
expect_correct_outcomes
# Requests in progress at a failing server fail; their flows must not.
expect "lost flows" "$(result .flows.lost)" -eq 0
expect "broken downloads" "$(result .classes.bulk.brokenFlows)" -eq 0
expect_ok 85 submission query
expect_no_overload
for i in 1 2 3; do expect_starts_while_cold "$i" "$faults_start"; done
expect "times that server 2 became cold" "$(count_events 2 turned-cold)" -eq 1
expect "injected failures of server 3" "$(count_events 3 fell-over)" -eq 1
report_failed_checks
