#!/usr/bin/env bash
# Runs the fault soak of snipepost-flowd with seeds FIRST to LAST, PARALLEL of
# them at a time, and prints the violated invariants. Logs of failed seeds are
# kept in FOLDER. PROGRAMS is the folder of the programs; build/bin by default.
# Usage: tools/soak.sh FIRST LAST [PARALLEL] [FOLDER] [flags of the soak...]
set -euo pipefail
cd "$(dirname "$0")/.."
first=$1
last=$2
parallel=${3:-6}
folder=${4:-$(mktemp -d)}
shift "$(($# < 4 ? $# : 4))"
programs=${PROGRAMS:-build/bin}
export folder programs

run_seed() {
  local seed=$1
  shift
  local out=$folder/seed$seed
  mkdir -p "$out"
  # Seeds that run concurrently need different addresses.
  if "$programs/snipepost-flow-soak" --program "$programs/snipepost-flowd" \
    --folder "$out" --seed "$seed" --net $((seed % 100 + 101)) "$@" \
    >"$out/soak.log" 2>&1; then
    grep -E ' asked ' "$out/soak.log" | sed "s/^/seed $seed passed /"
    rm -rf "$out"
  else
    echo "seed $seed FAILED, see $out"
    grep -E 'VIOLATED|soak failed' "$out/soak.log" | sed 's/^/    /'
    return 1
  fi
}
export -f run_seed

status=0
seq "$first" "$last" |
  xargs -P "$parallel" -I SEED bash -c 'run_seed "$@"' run SEED "$@" || status=1
exit "$status"
