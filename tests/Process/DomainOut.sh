#!/usr/bin/env bash
# Guards against requests or packets at a failure domain that is out, against
# flows that it breaks in other domains, and against servers that get no
# requests after the domain returns.
source "$(dirname "$0")/Common.sh"
deploy
# Short flows, so that each server is chosen often: with the default of 4 new
# flows/s a server that had returned got none for 15 s by chance.
start_load 34 --flow-life 1 --bulk 4
sleep 5
ctl domain out pl-a
out=$(now_ms)
sleep 5
inside=() outside=()
for i in $(servers); do
  if [ $(((i - 1) % 3)) = 0 ]; then inside+=("$i"); else outside+=("$i"); fi
done
declare -A packets
for i in "${inside[@]}"; do
  packets[$i]=$(metric "$(agent_address "$i")" snipepost_flow_packets_total)
  expect "packets at agent $i before" "${packets[$i]}" -gt 0
done
sleep 5
for i in "${inside[@]}"; do
  now=$(metric "$(agent_address "$i")" snipepost_flow_packets_total)
  expect "packets at agent $i from 5 s on" $((now - packets[$i])) -eq 0
done
returned=$(now_ms)
ctl domain in pl-a
for i in "${inside[@]}"; do
  expect "starts at server $i from 5 s on" \
    "$(count_starts "$i" $((out + 5000)) "$returned")" -eq 0
  await_work "$i" "$returned" 15000
done
await_load
expect_correct_outcomes
for i in "${outside[@]}"; do
  expect "cancelled and aborted requests at server $i" \
    $(($(count_events "$i" cancelled) + $(count_events "$i" aborted))) -eq 0
done
from=$(((out - load_start) / 1000 - 1))
expect "flows broken before the change or 5 s after it" \
  "$(result "[.classes[].seconds | to_entries[] |
    select(.key < $from or .key > $from + 6) | .value.brokenFlows] | add")" \
  -eq 0
echo "broken flows in total: $(broken_total)"
report_failed_checks
