#!/usr/bin/env bash
# Guards against a paused entry instance that breaks flows while it is silent,
# or by what it delivers late when it goes on.
source "$(dirname "$0")/Common.sh"
deploy
start_load 13
sleep 3
kill -STOP "${pid_of[entry2]}"
sleep 3
kill -CONT "${pid_of[entry2]}"
await_load
expect_unbroken
expect_honest
expect_ok 95
verdict
