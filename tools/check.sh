#!/usr/bin/env bash
# Runs the formatter, the linter, the build and all tests. Exits non-zero when
# one of them fails.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=$(nproc)
mapfile -t sources < <(git ls-files -- '*.cpp' '*.h')

echo "== clang-format"
clang-format --dry-run --Werror "${sources[@]}"

echo "== fault matrix"
tools/fault-matrix.py --check

echo "== build"
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -- -j "$jobs"

echo "== clang-tidy"
git ls-files -- '*.cpp' | xargs -P "$jobs" -n 4 \
  clang-tidy -p build --quiet 2>/dev/null

echo "== tests"
ctest --test-dir build --output-on-failure -j 4
