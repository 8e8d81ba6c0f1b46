#!/usr/bin/env bash
# Guards against more load at a cold backend server than it bears: one is
# killed and started again under load that would overload it.
ramp=6
source "$(dirname "$0")/Common.sh"
deploy --cold-seconds 6
# Short flows, so that the restarted server soon is chosen.
start_load 24 --submissions 120 --queries 200 --flow-life 2
sleep 5
end backend1
sleep 1
start_backend 1 --cold-seconds 6
await_ready backend1
back=$(now_ms)
await_work 1 "$back" 15000
await_load
expect_honest
for i in $(servers); do
  expect "times that server $i fell over" "$(events "$i" fell-over)" -eq 0
done
verdict
