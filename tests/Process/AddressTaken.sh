#!/usr/bin/env bash
# Guards against a daemon that exits at start without logging the reason.
source "$(dirname "$0")/Common.sh"
start_entry 1
await_ready entry1
pid=${pid_of[entry1]}
start_process second "$bin/snipepostd" --role entry --deployment demo \
  --listen "$(entry_address 1)" --store "$platform" --fabric "$fabric" \
  --peers "$(entry_list)" "${key_flags[@]}"
status=0
wait "${pid_of[second]}" || status=$?
expect "exit code" "$status" -eq 1
expect "log lines that name the reason" \
  "$(grep -c 'Address already in use' "$work/second.log")" -eq 1
expect "first process still running (1: yes)" "$(kill -0 "$pid" && echo 1)" -eq 1
report_failed_checks
