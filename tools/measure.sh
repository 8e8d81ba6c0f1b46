#!/usr/bin/env bash
# Runs one scenario with the real processes on loopback, at the size of the
# reference deployment, and prints the callers' results: the load tool's table,
# then a line for every $step seconds. The programs must be built.
#
#   tools/measure.sh SCENARIO [SEED [DELAY-MS [JITTER-MS]]]
#
# SCENARIO: steady; domain (a failure domain is taken out at 10 s and returns 20
# s later); replace (every entry instance, then every agent, one at a time);
# cold (two servers start cold at 5 s while another drains).
# Environment variables: bin, base (first port), step, keep (folder for logs,
# journals and the load tool's report, which must be empty or not exist yet).
set -euo pipefail
cd "$(dirname "$0")/.."
scenario=${1:?scenario: steady, domain, replace or cold}
seed=${2:-1}
delay=${3:-3}
jitter=${4:-1}
bin=${bin:-$PWD/build/bin}
step=${step:-5}
session_seconds=5
work=${keep:-$(mktemp -d)}
mkdir -p "$work"
if [ -n "$(ls -A "$work")" ]; then
  echo "$work is not empty" >&2
  exit 2
fi
if [ "$scenario" = cold ]; then
  ramp=10
  backend_flags="--cold-seconds 10"
  late_servers="1 2"
fi
source tools/cluster.sh
trap 'stop_all; [ -n "${keep:-}" ] || rm -rf "$work"' EXIT
trap 'exit 143' INT TERM HUP

declare -A length=([steady]=30 [domain]=45 [replace]=80 [cold]=35)
seconds=${length[$scenario]}

# note TEXT prints an event with its time in the run.
note() { echo "$((($(now_ms) - load_start) / 1000)) s: $*"; }

# await_second NUMBER waits until that second of the run.
await_second() {
  while [ $(($(now_ms) - load_start)) -lt $(($1 * 1000)) ]; do sleep 0.1; done
}

# replace NAME COMMAND... shuts down a process and starts its replacement.
replace() {
  local name=$1 begun
  shift
  begun=$(now_ms)
  stop_process "$name" TERM
  note "$name exited after $(($(now_ms) - begun)) ms"
  "$@"
  await_ready "$name"
}

run_steady() { :; }

run_domain() {
  await_second 10
  ctl domain out pl-a
  note "pl-a out"
  await_second 30
  ctl domain in pl-a
  note "pl-a in"
}

run_replace() {
  local i
  for i in $(seq "$entries"); do
    await_second $((5 + 2 * i))
    replace "entry$i" start_entry "$i"
  done
  for i in $(seq 10); do
    sleep 1
    replace "agent$i" start_agent "$i" "$(reference_service_of "$i")"
  done
}

run_cold() {
  # start_server appends to it.
  local names=()
  await_second 5
  for i in $late_servers; do start_server "$i"; done
  note "servers $late_servers start"
  ctl backend drain sizing-desk "$(agent_address 3)"
  note "server 3 drains"
}

# by_time prints a line for every $step seconds: totals over all classes and the
# maximum latency of each class; for a session, the time beyond its length.
by_time() {
  echo "s ok not-run unknown broken timeout submission-ms query-ms bulk-ms session-ms"
  jq -r --argjson step "$step" --argjson session "$session_seconds" '
    .classes as $classes |
    ([$classes[].seconds | length] | max) as $count |
    range(0; $count; $step) as $from |
    [$classes[].seconds[$from:$from + $step][]] as $all |
    def total(f): [$all[] | f] | add // 0;
    def worst($class): [$classes[$class].seconds[$from:$from + $step][].maxMs] |
      max // 0 | floor;
    [$from, total(.ok), total(.toldNotRun), total(.unknown),
      total(.brokenFlows), total(.timedOut), worst("submission"),
      worst("query"), worst("bulk"),
      ([worst("session") - 1000 * $session, 0] | max)] | @tsv' \
    "$work/load.json"
}

# starts_by_time prints the requests started at each server in every $step
# seconds.
starts_by_time() {
  local i
  for i in $(seq 10); do
    jq -rs --argjson server "$i" --argjson zero "$load_start" \
      --argjson step "$step" --argjson seconds "$seconds" '
      [.[] | select(.event == "started") | ((.ms - $zero) / 1000 / $step |
        floor)] as $at |
      [$server] + [range(0; $seconds / $step) as $i |
        [$at[] | select(. == $i)] | length] | @tsv' \
      "$work/backend$i.journal"
  done
}

agent_metrics() {
  local name i
  for name in "$@"; do
    echo "$name: $(for i in $(seq 10); do
      metric "$(agent_address "$i")" "$name"
    done | tr '\n' ' ')"
  done
}

start_reference_deployment --delay-ms "$delay" --jitter-ms "$jitter" \
  --seed "$seed" >/dev/null
sleep $((${ramp:-1} + 4))

echo "$scenario, seed $seed, $delay ms one way, jitter up to $jitter ms"
load_start=$(now_ms)
start_process load "$bin/callers" --service "$service_1" \
  --bulk-service "$service_2" --seconds "$seconds" --seed "$seed" --callers 40 --submissions 40 \
  --queries 120 --bulk 4 --sessions 2 --session-seconds "$session_seconds" \
  --flow-life 5 --json "$work/load.json" \
  --journals "$work"/backend{1,2,3,4,5,6,7}.journal \
  --bulk-journals "$work"/backend{8,9,10}.journal
"run_$scenario"
wait "${pid_of[load]}" || echo "the load tool failed"
cat "$work/load.out" "$work/load.log"
by_time
echo "requests started, a row for each server and a column for every $step s"
starts_by_time
agent_metrics snipepost_refused_flows_total snipepost_handed_on_packets_total \
  snipepost_not_run_requests_total snipepost_no_return_path_packets_total
