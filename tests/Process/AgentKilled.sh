#!/usr/bin/env bash
# Guards against duplicated or misreported submissions when an agent is killed,
# and against a new agent at its address that gets no requests.
source "$(dirname "$0")/Common.sh"
deploy
# Short flows, so that the new agent soon becomes a candidate for one.
start_load 20 --flow-life 1.5
sleep 4
stop_process agent1
sleep 1
start_agent 1 1
await_ready agent1
restarted=$(now_ms)
await_request 1 "$restarted" 12000
await_load
expect_correct_outcomes
echo "flows broken by the agent's failure: $(broken_total)"
# Sessions and downloads are not retried, so those of the killed agent fail.
expect_ok 85 submission query
report_failed_checks
