#!/usr/bin/env bash
# Runs the case once; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 -B case.py
