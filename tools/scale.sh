#!/usr/bin/env bash
# Measures one real entry instance, one real agent and snipepostctl with the view
# and the document of a deployment of any size, by default the size expected in
# two years (510 entry instances, 3500 endpoints, 970 services):
# scale.sh [ENTRIES ENDPOINTS SERVICES]. The other instances are only announced
# in the store; no process listens at their addresses, so exchanges and probes
# fail and their cost is not that of a real fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
work=$(mktemp -d)
base=${base:-26500}
fleet_entries=${1:-510} fleet_endpoints=${2:-3500} fleet_services=${3:-970}
entries=1
source tools/cluster.sh
trap 'stop_all; rm -rf "$work"' EXIT

status() { curl -s -m 5 --http2-prior-knowledge "http://$1/v1/status"; }
# cpu_ms NAME prints the CPU time of a process so far.
cpu_ms() {
  awk -v hz="$(getconf CLK_TCK)" '{ printf "%d", ($14 + $15) * 1000 / hz }' \
    "/proc/${pid_of[$1]}/stat"
}
memory() { awk '/VmRSS|VmHWM/ { printf "%s %d MB ", $1, $2 / 1024 }' \
  "/proc/${pid_of[$1]}/status"; }
# report NAME TEXT prints the memory and CPU time of a process.
report() { echo "$1, $2: $(memory "$1")CPU $(cpu_ms "$1") ms"; }

start_process platform "$bin/platform" --listen "$platform" --writes-per-second 0
start_fabric
await_ready platform fabric
tools/scale-objects.py "$work" $((fleet_entries - 1)) \
  $((fleet_endpoints - 1)) "$fleet_services"
# One call per object: curl 7.88 can't reuse an HTTP/2 connection without TLS.
xargs -0 -n 2 -P 4 sh -c 'curl -s -o /dev/null --http2-prior-knowledge \
  -X PUT -H "if-none-match: *" -d "$2" "http://$0/v1/objects/$1"' \
  "$platform" <"$work/announcements"
echo "document: $(stat -c %s "$work/document.json") bytes"

python3 - "$bin/snipepostctl" --deployment demo --store "$platform" --by scale \
  --file "$work/document.json" --no-instances submit <<'PYTHON'
import resource, subprocess, sys
ended = subprocess.run(sys.argv[1:], capture_output=True, text=True)
used = resource.getrusage(resource.RUSAGE_CHILDREN)
print("snipepostctl submit: exit code %d, CPU %d ms, memory %d MB" % (
    ended.returncode, 1000 * (used.ru_utime + used.ru_stime),
    used.ru_maxrss / 1024))
print(ended.stdout[-200:], ended.stderr[-400:])
PYTHON

start_entry 1
start_backend 1
start_agent 1 1
await_ready entry1 backend1 agent1
for _ in $(seq 300); do
  members=$(status "$(entry_address 1)" | jq '.members // 0')
  if [ "${members:-0}" -ge $((fleet_entries + fleet_endpoints)) ]; then break; fi
  sleep 0.1
done
echo "members: $members"
sleep 5
report entry1 "5 s after it received the view"
report agent1 "5 s after entry1 received the view"
before=$(cpu_ms entry1)
before_agent=$(cpu_ms agent1)
sleep 20
report entry1 "20 s later"
echo "entry1: $((($(cpu_ms entry1) - before) / 20)) ms of CPU a second"
echo "agent1: $((($(cpu_ms agent1) - before_agent) / 20)) ms of CPU a second"
status "$(entry_address 1)" | jq -c '{members, suspects, services, routingBytes}'
