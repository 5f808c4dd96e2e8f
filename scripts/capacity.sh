#!/usr/bin/env bash
# Measures the resource use of the daemons at several sizes and fits lines through the samples.
#
#   scripts/capacity.sh OUT        writes OUT/samples.jsonl, capacity.json, capacity.md and plots
#
# BIN is the folder of the binaries (default target/release) and WINDOW_MS the duration of each
# sample (default 5000). Everything runs on loopback, in under five minutes and ten processes.
set -euo pipefail

out=${1:?name a folder for the results}
script_dir=$(dirname "${BASH_SOURCE[0]}")
# shellcheck source=scripts/daemons.sh
source "$script_dir/daemons.sh"

window_ms=${WINDOW_MS:-5000}
load_bin=$bin/gooseberry-load
samples=$out/samples.jsonl
token=capacity-$$

router_port=19601
router_admin_port=19602
engine_port=19603
control_port=19604
control_admin_port=19605

# Samples an idle router with $2 replicas and $3 workspaces. $1 names the driver that is varied, and
# $4 the driver that is held at size $5.
sample_idle_router() {
    local driver=$1 replicas=$2 workspaces=$3 fixed_driver=$4 fixed_size=$5
    local size=${!driver}
    "$load_bin" capacity site --replicas "$replicas" --workspaces "$workspaces" \
        --out "$work_dir/site"
    start backends "$load_bin" capacity backends --replicas "$replicas"
    start_router "$router_port" "$router_admin_port" "$work_dir/site"
    sleep 2
    "$load_bin" capacity sample --pid "$router_pid" --role router --driver "$driver" \
        --size "$size" --held "$fixed_driver=$fixed_size" --window-ms "$window_ms" \
        --samples "$samples"
    stop_all
}

# Samples a router once for each number of streams in $@, which it relays from one engine at 44 ms
# per token.
sample_streams() {
    mkdir -p "$work_dir/streams"
    cat >"$work_dir/streams/routes.ini" <<TABLE
[chat]
path = /v1/chat/completions
priority = 0
pool = model
idempotent = yes
deadline_ms = 120000
queue_max = 2000
workspace_in_flight_max = 2000
TABLE
    cat >"$work_dir/streams/pools.ini" <<TABLE
[model]
kind = engine
model = small
in_flight_max = 2000
servers = 127.0.0.1:$engine_port@fd-1
TABLE
    printf '[workspace-0]\ntoken = token-0\n' >"$work_dir/streams/workspaces.ini"
    for streams in "$@"; do
        start_engine "$engine_port" 44000
        start_router "$router_port" "$router_admin_port" "$work_dir/streams"
        "$load_bin" capacity streams --router "127.0.0.1:$router_port" --pid "$router_pid" \
            --streams "$streams" --token token-0 --window-ms "$window_ms" --samples "$samples"
        stop_all
    done
}

# Samples a control VM once for each number of light routers in $@, which share the replicas of a
# failure domain at the target size, and measures how long changes take to reach all of them.
sample_routers() {
    local replicas=118
    for routers in "$@"; do
        start_control "$control_port" "$control_admin_port" "$token"
        "$load_bin" capacity routers --control "127.0.0.1:$control_port" --pid "$control_pid" \
            --token "$token" --followers "$routers" --replicas "$replicas" \
            --servers-each "$(((replicas + routers - 1) / routers))" \
            --window-ms "$window_ms" --samples "$samples"
        stop_all
    done
}

# Samples a control VM with 32 light routers once for each number of changes per hour in $@.
sample_changes() {
    for changes in "$@"; do
        start_control "$control_port" "$control_admin_port" "$token"
        "$load_bin" capacity changes --control "127.0.0.1:$control_port" --pid "$control_pid" \
            --token "$token" --followers 32 --changes-per-hour "$changes" \
            --window-ms "$window_ms" --samples "$samples"
        stop_all
    done
}

mkdir -p "$out"
: >"$samples"
for replicas in 10 100 250 500; do
    sample_idle_router replicas "$replicas" 10 workspaces 10
done
for workspaces in 10 300 1000; do
    sample_idle_router workspaces 10 "$workspaces" replicas 10
done
sample_streams 1 100 300 1000
sample_routers 1 8 16 32 64
sample_changes 0 3600 14400 36000

"$load_bin" capacity report --samples "$samples" --out "$out" \
    --commit "$(git rev-parse --short HEAD 2>/dev/null || echo unknown)"
