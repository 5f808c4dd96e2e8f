#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python programs of the standard library (3.11 or later), so there is
# nothing to compile; the scripts start no stand-in of the project's own.
set -euo pipefail
python3 -c 'import sys, asyncio, tomllib; assert sys.version_info >= (3, 11), sys.version'
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
