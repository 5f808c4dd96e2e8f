#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit code: 0 held, 1 broken, 2 could not run. TROUBLE=0 leaves the disruption out.
exec python3 -B "$(dirname "$0")/case.py"
