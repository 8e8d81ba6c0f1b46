#!/usr/bin/env bash
# Guards against an agent that breaks flows or runs a submission twice after it
# was suspended for 2 s.
source "$(dirname "$0")/Common.sh"
deploy
start_load 13
sleep 4
kill -STOP "${pid_of[agent1]}"
sleep 2
kill -CONT "${pid_of[agent1]}"
await_load
expect_unbroken
expect_correct_outcomes
expect_ok 85
report_failed_checks
