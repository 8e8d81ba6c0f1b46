#!/usr/bin/env bash
# Guards against more load at a cold backend server than it bears: one is
# killed and started again under load that would overload it.
ramp=6
source "$(dirname "$0")/Common.sh"
deploy --cold-seconds 6
# 24 new flows/s make 4 at each server: when it can be reached for 4 of the 6 s in
# which it is cold, it is chosen but for a chance of e^-16.
start_load 24 --submissions 120 --queries 200 --flow-life 1
sleep 5
end backend1
sleep 1
back=$(now_ms)
start_cold_backend 1 --cold-seconds 6
await_work 1 "$back" 15000
await_load
expect_honest
expect_cold_starts 1 "$back"
expect_no_overload
for i in $(servers); do
  expect "times that server $i fell over" "$(events "$i" fell-over)" -eq 0
done
verdict
