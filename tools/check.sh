#!/usr/bin/env bash
# Installs the dependencies, then runs the formatting check, the build, all
# tests, the unit tests with the sanitizers, and the linter. Exits non-zero when
# one of them fails. JOBS limits the parallel compilers and linters.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-$(nproc)}

step() { echo "== $* (after ${SECONDS} s)"; }

step install
tools/install.sh
mapfile -t sources < <(git ls-files -- '*.cpp' '*.h')

step clang-format
clang-format --dry-run --Werror "${sources[@]}"

step "fault matrix"
tools/fault-matrix.py --check

step build
# With the cache, later runs on the same machine compile only what has changed.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
cmake -S . -B build -G Ninja "${launcher[@]}" >/dev/null
cmake --build build -- -j "$jobs"

# Excludes the tests that are known to fail. Each line of KNOWN-RED.txt starts
# with the name of such a test. A name unknown to CTest is an error, so that the
# file keeps no entry of a test that was removed or renamed.
step tests
mapfile -t red < <(grep -v '^#' KNOWN-RED.txt | awk 'NF { print $1 }')
exclude=()
for name in ${red[@]+"${red[@]}"}; do
  count=$(ctest --test-dir build -N -R "^${name}\$" |
    sed -n 's/^Total Tests: //p')
  [ "$count" = 1 ] || {
    echo "KNOWN-RED.txt names $name, which is not a CTest test" >&2
    exit 1
  }
  echo "excluded, see KNOWN-RED.txt: $name"
done
if [ "${#red[@]}" -gt 0 ]; then
  exclude=(-E "^($(IFS='|' && echo "${red[*]}"))\$")
fi
ctest --test-dir build --output-on-failure -j 4 ${exclude[@]+"${exclude[@]}"}

# The process tests measure time, so they run only without the sanitizers.
step sanitizers
cmake -S . -B build-sanitize -G Ninja "${launcher[@]}" -DSNIPEPOST_SANITIZE=ON \
  -DCMAKE_BUILD_TYPE=None -DCMAKE_CXX_FLAGS='-O1 -g1' >/dev/null
cmake --build build-sanitize --target unit_tests -- -j "$jobs"
# LeakSanitizer reports a fatal error on machines that forbid tracing a process.
leaks=1
if ASAN_OPTIONS=detect_leaks=1 build-sanitize/tests/Base/test_Base 2>&1 |
  grep -q 'LeakSanitizer has encountered a fatal error'; then
  leaks=0
  echo "LeakSanitizer is disabled: it does not work on this machine"
fi
ASAN_OPTIONS=detect_leaks=$leaks UBSAN_OPTIONS=print_stacktrace=1 \
  ctest --test-dir build-sanitize --output-on-failure -j 4 \
    ${exclude[@]+"${exclude[@]}"}

# clang-tidy writes findings to standard output. Its standard error, a summary
# of suppressed warnings, is shown only for sources that fail.
step clang-tidy
lint() {
  local errors
  errors=$(mktemp)
  if ! clang-tidy -p build --quiet "$1" 2>"$errors"; then
    echo "clang-tidy failed: $1"
    grep -v 'warnings\? generated' "$errors" || true
    rm -f "$errors"
    return 1
  fi
  rm -f "$errors"
}
export -f lint
git ls-files -z -- '*.cpp' |
  xargs -0 -P "$jobs" -n 1 bash -c 'lint "$1"' lint

step passed
