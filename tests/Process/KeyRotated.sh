#!/usr/bin/env bash
# Guards against aborted requests, broken flows, misrouted requests and
# duplicated submissions while entry instances and agents change to the other
# key one by one. Server 1 drains and domain pl-c is out (servers 3 and 6) all
# the time: mixed keys must not lead to requests there. The backend server of
# the last agent that changes starts cold.
desk_servers=6
pattern_servers=2
ramp=4
source "$(dirname "$0")/Common.sh"
other_key=0f0e0d0c0b0a09080706050403020100
key_flags=(--key "$key" --key-slot 0 --other-key "$other_key")
deploy --cold-seconds 4
key_flags=(--key "$other_key" --key-slot 1 --other-key "$key")
ctl domain out pl-c
ctl backend drain sizing-desk "$(agent_address 1)"
await_generation 3 9000
out_servers=(3 6)
# 53 requests/s and 8 new flows/s at each of servers 2, 4 and 5; see
# ColdUnderPacketFaults.sh.
start_load 52 --submissions 60 --queries 100 --flow-life 1 --sessions 1.5 \
  --session-seconds 3 --bulk 3
sleep 2
for i in $(seq "$entries"); do
  stop_process "entry$i" TERM
  start_entry "$i"
  await_ready "entry$i"
done
for i in 1 "${out_servers[@]}"; do
  stop_process "agent$i" TERM
  start_agent "$i" 1
  await_ready "agent$i"
done
await_recent_session
with_session=$recent_server
stopped=$(now_ms)
# The server with the session comes first; the last one is 5, or 4 when the
# session is at 5.
order=("$with_session")
for i in 2 4 5; do
  [ "$i" = "$with_session" ] || order+=("$i")
done
for i in "${order[@]}" 7 8; do
  stop_process "agent$i" TERM
  if [ "$i" = "${order[2]}" ]; then
    stop_process "backend$i"
    start_cold_backend "$i" --cold-seconds 4
    cold_since=$(now_ms)
  fi
  start_agent "$i" "$(service_of "$i")"
  await_ready "agent$i"
  await_request "$i" "$(now_ms)" 12000
  # Only two of three servers handle the load until this one has ramped up.
  case $i in "${order[0]}" | "${order[1]}") sleep "$ramp" ;; esac
done
await_load
expect_unbroken
expect_correct_outcomes
expect_own_service
expect_ok 95
expect_sessions_finish "$with_session" "$stopped"
expect_starts_while_cold "${order[2]}" "$cold_since"
expect_no_overload
for i in 1 "${out_servers[@]}"; do
  expect "starts at server $i, drained or out" "$(count_starts "$i" 0)" -eq 0
done
for i in "${out_servers[@]}"; do
  expect "flow packets at agent $i, out" \
    "$(metric "$(agent_address "$i")" snipepost_flow_packets_total)" -eq 0
done
report_failed_checks
