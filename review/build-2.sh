#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start. They start the programs of the deploy file, which its own
# build makes, and stand-ins in Python, which need no build; the programs are built here too in case they are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --package platform
