#!/usr/bin/env bash
# Guards against instances that need the store to start. While it is down, an
# entry instance joins, another is replaced, an agent is replaced together with
# its backend server, which starts cold, and the agents of a drained server and
# of a failure domain that is out are restarted. Flows must continue, the cold
# server must not be overloaded, and the drain and the domain's state must stay
# in force.
entries=4
ramp=6
source "$(dirname "$0")/Common.sh"
deploy --cold-seconds 6
stop_process entry4 TERM
# Servers 3, 6 and 9 are out, 2 drains; 1, 4 and 5 of sizing-desk stay in
# service. The load begins when the document is in force, so the others get no
# requests.
ctl domain out pl-c
ctl backend drain sizing-desk "$(agent_address 2)"
# Without entry instance 4, which is stopped.
entries=3
await_generation 3 9000
entries=4
# 53 requests/s and 8 new flows/s at each server; see ColdUnderPacketFaults.sh.
start_load 34 --submissions 60 --queries 100 --flow-life 1 --sessions 1.5 \
  --session-seconds 3
sleep 2
set_fault "$platform" '{"outage":true}'
for i in 2 3; do
  stop_process "agent$i" TERM
  start_agent "$i" 1
done
start_entry 4
await_ready agent2 agent3 entry4
await_generation 3 9000
stop_process entry1 TERM
start_entry 1
await_ready entry1

await_recent_session
replaced=$recent_server
stopped=$(now_ms)
stop_process "agent$replaced" TERM
expect "ms until agent $replaced has exited" $(($(now_ms) - stopped)) -le 10000
stop_process "backend$replaced"
start_cold_backend "$replaced" --cold-seconds 6
start_agent "$replaced" 1
await_ready "agent$replaced"
restarted=$(now_ms)
await_request "$replaced" "$restarted" 12000
await_generation 3 9000
await_load
expect "the store is still down" \
  "$(request "http://$platform/fault" | jq 'if .outage then 1 else 0 end')" \
  -eq 1
expect_unbroken
expect_correct_outcomes
expect_own_service
expect_ok 95
expect_sessions_finish "$replaced" "$stopped"
expect_starts_while_cold "$replaced" "$restarted"
expect_no_overload
for i in 2 3 6 9; do
  expect "starts at server $i, drained or out" "$(count_starts "$i" 0)" -eq 0
done
for i in 3 6 9; do
  expect "flow packets at agent $i, out" \
    "$(metric "$(agent_address "$i")" snipepost_flow_packets_total)" -eq 0
done
report_failed_checks
