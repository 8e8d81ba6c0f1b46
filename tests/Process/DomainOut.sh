#!/usr/bin/env bash
# Guards against requests or packets at a failure domain that is out, against
# flows that break in other domains, and against servers that get no
# requests after the domain returns.
source "$(dirname "$0")/Common.sh"
deploy
# The flows are short, so that each server is chosen often: with the default of
# 4 new flows/s, a server may get none for 15 s after the domain returns.
start_load 34 --flow-life 1 --bulk 4
sleep 5
ctl domain out pl-a
taken_out=$(now_ms)
sleep 5
out_servers=() other_servers=()
for i in $(servers); do
  if [ $(((i - 1) % 3)) = 0 ]; then
    out_servers+=("$i")
  else
    other_servers+=("$i")
  fi
done
declare -A packets
for i in "${out_servers[@]}"; do
  packets[$i]=$(metric "$(agent_address "$i")" snipepost_flow_packets_total)
  expect "packets at agent $i until 5 s after the change" "${packets[$i]}" -gt 0
done
sleep 5
for i in "${out_servers[@]}"; do
  now=$(metric "$(agent_address "$i")" snipepost_flow_packets_total)
  expect "packets at agent $i from 5 s after the change" \
    $((now - packets[$i])) -eq 0
done
returned=$(now_ms)
ctl domain in pl-a
for i in "${out_servers[@]}"; do
  expect "starts at server $i from 5 s after the change" \
    "$(count_starts "$i" $((taken_out + 5000)) "$returned")" -eq 0
  await_request "$i" "$returned" 15000
done
await_load
expect_correct_outcomes
for i in "${other_servers[@]}"; do
  expect "cancelled and aborted requests at server $i" \
    $(($(count_events "$i" cancelled) + $(count_events "$i" aborted))) -eq 0
done
from=$(((taken_out - load_start) / 1000 - 1))
expect "flows broken before the change or more than 5 s after it" \
  "$(result "[.classes[].seconds | to_entries[] |
    select(.key < $from or .key > $from + 6) | .value.brokenFlows] | add")" \
  -eq 0
echo "broken flows in total: $(broken_total)"
report_failed_checks
