#!/usr/bin/env bash
# Guards against flows, or the distribution of a document, that depend on the
# platform: it is down for 20 s, starting just after it accepted a document.
source "$(dirname "$0")/Common.sh"
deploy
start_load 26
sleep 2
ctl service set sizing-desk deadlineMs=6000
set_fault "$platform" '{"outage":true}'
await_generation 2 9000
sleep 18
expect "instances without generation 2 while the store is down" \
  "$(instances_behind 2 | wc -l)" -eq 0
set_fault "$platform" '{"outage":false}'
await_load
expect_unbroken
expect_correct_outcomes
expect_ok 95
report_failed_checks
