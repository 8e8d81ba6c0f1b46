#!/usr/bin/env bash
# Installs the dependencies, builds the programs and runs a small deployment on
# loopback: fabric, platform, 3 entry instances, 10 backend servers with their
# agents in 3 failure domains, and about 20 s of load. Prints the load tool's
# table.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target snipepostd snipepostctl fabric platform backend \
  callers -- -j "${JOBS:-$(nproc)}"
bin=$PWD/build/bin
work=$(mktemp -d)
source tools/cluster.sh
trap 'stop_all; rm -rf "$work"' EXIT

start_reference_deployment --delay-ms 3
sleep 4

"$bin/callers" --service "$service_1" --bulk-service "$service_2" \
  --seconds "${seconds:-20}" --callers 40 --submissions 40 --queries 120 --bulk 4 \
  --sessions 1 --flow-life 5 \
  --journals "$work"/backend[1-7].journal \
  --bulk-journals "$work"/backend{8,9,10}.journal --expect-clean
