#!/usr/bin/env bash
# Guards against a suspended entry instance that breaks flows, either while it
# is unresponsive or by the delayed packets that it delivers after it resumes.
source "$(dirname "$0")/Common.sh"
deploy
start_load 13
sleep 3
kill -STOP "${pid_of[entry2]}"
sleep 3
kill -CONT "${pid_of[entry2]}"
await_load
expect_unbroken
expect_correct_outcomes
expect_ok 95
report_failed_checks
