#!/usr/bin/env bash
# The stand-ins of the cases are Python sources and need no build; this checks
# the interpreter and the sources. The programs under test come from the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - *.py ./*/case.py <<'PYTHON'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
PYTHON
