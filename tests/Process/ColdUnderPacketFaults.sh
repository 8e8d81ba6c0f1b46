#!/usr/bin/env bash
# Guards against more load at a cold backend server than it bears, and against
# flows that a failing backend server takes with it, while packets are lost,
# doubled, reordered and delayed and entry instances die and join. Three of six
# servers become cold: 1 is killed and started again with reports that are late
# by 1 s, 2 turns cold without a new boot, 3 falls over and then reports warmth 1
# and no load while it is cold.
ramp=8
source "$(dirname "$0")/Common.sh"
deploy --cold-seconds 8
impair_links
# 53 requests/s at each server keep 0.6 of its slots busy when warm, four times
# that when cold; it bears 2 then. 24 new flows/s make 4 at each server: when it
# can be reached for 5 of the 8 s in which it is cold, it is chosen but for a
# chance of e^-20. A session would end with its backend server: there is none.
start_load 26 --submissions 120 --queries 200 --flow-life 1 --sessions 0
sleep 4
end backend1
failed=$(now_ms)
fault "$(backend_control 2)" '{"turnCold":true}'
fault "$(backend_control 3)" \
  '{"lieWarm":1,"lieInFlight":0,"lieHealth":"ok","fallOver":true}'
# It is down for 3 s.
lying=$(($(now_ms) + 3000))
end entry1
start_cold_backend 1 --cold-seconds 8 --report-lag-ms 1000
back=$(now_ms)
start_entry 1
await_ready entry1
await_work 1 "$back" 15000
await_work 3 "$lying" 15000
end entry2
start_entry 2
await_ready entry2
await_load
expect_honest
# Requests in progress at a failing server end with it; the flow does not.
expect "lost flows" "$(result .flows.lost)" -eq 0
expect "broken downloads" "$(result .classes.bulk.brokenFlows)" -eq 0
expect_ok 85 submission query
expect_no_overload
for i in 1 2 3; do expect_cold_starts "$i" "$failed"; done
expect "times that server 2 turned cold" "$(events 2 turned-cold)" -eq 1
expect "times that server 3 fell over, as ordered" "$(events 3 fell-over)" -eq 1
verdict
