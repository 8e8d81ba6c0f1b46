#!/usr/bin/env bash
# Guards against a submission that is reported as failed although it took
# effect, and against two concurrent submissions that are both reported as
# accepted.
source "$(dirname "$0")/Common.sh"
deploy
start_load 10
set_fault "$platform" '{"loseAnswers":1}'
status=0
ctl --json service set sizing-desk deadlineMs=6000 >"$work/lost.json" || status=$?
cat "$work/lost.json"
expect "exit code although the response was lost" "$status" -eq 0
expect "responses still to be dropped" \
  "$(request "http://$platform/fault" | jq .loseAnswers)" -eq 0
await_generation 2 9000
for i in 1 2; do
  ctl show >"$work/operator$i.json"
  ctl --file "$work/operator$i.json" service set sizing-desk \
    deadlineMs=$((7000 + i))
done
set_fault "$platform" '{"delayMs":200}'
submit_pids=()
for i in 1 2; do
  ctl --file "$work/operator$i.json" submit >"$work/submit$i.out" 2>&1 &
  submit_pids+=($!)
done
accepted=0 conflicts=0
for i in 0 1; do
  status=0
  wait "${submit_pids[$i]}" || status=$?
  cat "$work/submit$((i + 1)).out"
  case $status in
    0) accepted=$((accepted + 1)) ;;
    4) conflicts=$((conflicts + 1)) ;;
  esac
done
set_fault "$platform" '{"delayMs":0}'
expect "accepted submissions out of two concurrent ones" "$accepted" -eq 1
expect "conflicts reported for the two" "$conflicts" -eq 1
await_generation 3 9000
await_load
expect_unbroken
expect_correct_outcomes
report_failed_checks
