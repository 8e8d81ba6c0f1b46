#!/usr/bin/env bash
# Guards against flows or a document that depend on the platform: it is down
# for 20 s from just after a document was accepted.
source "$(dirname "$0")/Common.sh"
deploy
start_load 26
sleep 2
ctl service set sizing-desk deadlineMs=6000
fault "$platform" '{"outage":true}'
await_generation 2 9000
sleep 18
expect "instances behind while the store is down" "$(behind 2 | wc -l)" -eq 0
fault "$platform" '{"outage":false}'
await_load
expect_unbroken
expect_honest
expect_ok 95
verdict
