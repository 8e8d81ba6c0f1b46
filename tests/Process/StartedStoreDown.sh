#!/usr/bin/env bash
# Guards against instances that need the store to start. While it is down, an
# entry instance joins, another is replaced, an agent is replaced beside a
# backend server that starts cold, and the agents of a drained server and of a
# failure domain that is out start anew. Flows go on, the cold server isn't
# overloaded, and the drain and the domain's state hold.
entries=4
ramp=6
source "$(dirname "$0")/Common.sh"
deploy --cold-seconds 6
end entry4 TERM
# Servers 3, 6 and 9 are out, 2 drains; 1, 4 and 5 of sizing-desk stay. The load
# begins when the document is in force, so the others get nothing at all.
ctl domain out pl-c
ctl backend drain sizing-desk "$(agent_address 2)"
entries=3
await_generation 3 9000
entries=4
# 53 requests/s and 8 new flows/s at each server; see ColdUnderPacketFaults.
start_load 34 --submissions 60 --queries 100 --flow-life 1 --sessions 1.5 \
  --session-seconds 3
sleep 2
fault "$platform" '{"outage":true}'
for i in 2 3; do
  end "agent$i" TERM
  start_agent "$i" 1
done
start_entry 4
await_ready agent2 agent3 entry4
await_generation 3 9000
end entry1 TERM
start_entry 1
await_ready entry1

await_young_session
replaced=$found
stopped=$(now_ms)
end "agent$replaced" TERM
expect "ms until agent $replaced has left" $(($(now_ms) - stopped)) -le 10000
end "backend$replaced"
start_cold_backend "$replaced" --cold-seconds 6
start_agent "$replaced" 1
await_ready "agent$replaced"
back=$(now_ms)
await_work "$replaced" "$back" 12000
await_generation 3 9000
await_load
expect "the store is still down" \
  "$(request "http://$platform/fault" | jq 'if .outage then 1 else 0 end')" \
  -eq 1
expect_unbroken
expect_honest
expect_own_service
expect_ok 95
expect_sessions_finish "$replaced" "$stopped"
expect_cold_starts "$replaced" "$back"
expect_no_overload
for i in 2 3 6 9; do
  expect "starts at server $i, drained or out" "$(starts "$i" 0)" -eq 0
done
for i in 3 6 9; do
  expect "flow packets at agent $i, out" \
    "$(metric "$(agent_address "$i")" snipepost_flow_packets_total)" -eq 0
done
verdict
