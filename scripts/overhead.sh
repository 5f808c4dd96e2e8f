#!/usr/bin/env bash
# Measures the overhead of a router compared with direct calls to its engine: the added time as a
# ratio, the tokens relayed, and the memory per stream at 200 and 1,000 streams.
#
#   scripts/overhead.sh [OUT.json [ARGUMENT...]]
#
# Further arguments are passed to `gooseberry-load overhead`. BIN is the folder of the binaries
# (default target/release). Everything runs on loopback, in under a minute.
set -euo pipefail

out=${1:-/dev/null}
script_dir=$(dirname "${BASH_SOURCE[0]}")
# shellcheck source=scripts/daemons.sh
source "$script_dir/daemons.sh"

router_port=19611
router_admin_port=19612
fast_port=19613
slow_port=19614

cat >"$work_dir/routes.ini" <<TABLE
[chat]
path = /v1/chat/completions
priority = 0
pool = fast
idempotent = yes
deadline_ms = 60000
workspace_in_flight_max = 2000

[slow]
path = /v1/chat/completions
priority = 1
pool = slow
idempotent = yes
deadline_ms = 120000
queue_max = 2000
workspace_in_flight_max = 2000
TABLE
cat >"$work_dir/pools.ini" <<TABLE
[fast]
kind = engine
model = small
in_flight_max = 2000
servers = 127.0.0.1:$fast_port@fd-1

[slow]
kind = engine
model = small
in_flight_max = 2000
servers = 127.0.0.1:$slow_port@fd-1
TABLE
printf '[workspace-0]\ntoken = token-0\n' >"$work_dir/workspaces.ini"

start_engine "$fast_port" 10
start_engine "$slow_port" 44000
start_router "$router_port" "$router_admin_port" "$work_dir"

"$bin/gooseberry-load" overhead --router "127.0.0.1:$router_port" \
    --direct "127.0.0.1:$fast_port" --token token-0 --pid "$router_pid" \
    --open-streams 200,1000 --json "$out" "${@:2}"
