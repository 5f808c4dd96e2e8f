#!/usr/bin/env bash
# Measures what a router costs beside a direct call to its engine: the added time as a ratio, the
# tokens relayed, and the memory of a stream at 200 and 1,000 streams.
#
#   scripts/overhead.sh [OUT.json [ARGUMENT...]]
#
# Further arguments go to `gooseberry-load overhead`. BIN names the folder of the binaries (default
# target/release). Loopback only, under a minute.
set -euo pipefail

out=${1:-/dev/null}
bin=${BIN:-target/release}
work=$(mktemp -d)
pids=()

router_port=19611
admin_port=19612
engine_port=19613
slow_port=19614

finish() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap finish EXIT

# Starts a daemon with its log in the work folder; its process id is then in `started`.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    started=$!
    pids+=("$started")
}

# Waits for a listener for ten seconds at most.
wait_for_port() {
    local port=$1
    for _ in $(seq 100); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            return
        fi
        sleep 0.1
    done
    echo "nothing listens on port $port; the logs say:" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

# Starts an engine on port $1 whose step takes $2 microseconds.
start_engine() {
    local port=$1 step_us=$2
    start "engine-$port" "$bin/gooseberry-standin" engine --listen "127.0.0.1:$port" \
        --set server.front=direct --set model.batch_max=2000 --set model.waiting_max=2000 \
        --set "model.step_base_us=$step_us" --set model.step_per_sequence_us=0 \
        --set model.prefill_per_token_us=0 --set model.kv_blocks=1000000
    wait_for_port "$port"
}

cat >"$work/routes.ini" <<TABLE
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
cat >"$work/pools.ini" <<TABLE
[fast]
kind = engine
model = small
in_flight_max = 2000
servers = 127.0.0.1:$engine_port@fd-1

[slow]
kind = engine
model = small
in_flight_max = 2000
servers = 127.0.0.1:$slow_port@fd-1
TABLE
printf '[workspace-0]\ntoken = token-0\n' >"$work/workspaces.ini"
cat >"$work/router.ini" <<SETTINGS
[router]
vm = vm-1
failure_domain = fd-1
listen = 127.0.0.1:$router_port
admin_listen = 127.0.0.1:$admin_port
log = warn
drain_delay_ms = 0
routes_file = $work/routes.ini
pools_file = $work/pools.ini
workspaces_file = $work/workspaces.ini
SETTINGS

start_engine "$engine_port" 10
start_engine "$slow_port" 44000
start router "$bin/gooseberry-router" --config "$work/router.ini"
router=$started
wait_for_port "$router_port"

"$bin/gooseberry-load" overhead --router "127.0.0.1:$router_port" \
    --direct "127.0.0.1:$engine_port" --token token-0 --pid "$router" \
    --open-streams 200,1000 --json "$out" "${@:2}"
