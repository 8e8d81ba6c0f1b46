#!/usr/bin/env bash
# The scripts of cases 6 to 10 start snipepost-flowd, which the deploy file's build line builds, and
# stand-ins in Python from its standard library. Nothing is compiled; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stand_ins.py 6/case.py 8/case.py 9/case.py <<'P'
import ast
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
P
