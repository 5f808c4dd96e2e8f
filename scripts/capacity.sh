#!/usr/bin/env bash
# Measures the daemons at several sizes and fits lines through the samples.
#
#   scripts/capacity.sh OUT        writes OUT/samples.jsonl, capacity.json, capacity.md and plots
#
# BIN names the folder of the binaries (default target/release) and WINDOW_MS how long each sample
# takes (default 5000). Everything runs on loopback, in under five minutes and ten processes.
set -euo pipefail

out=${1:?name a folder for the results}
here=$(dirname "${BASH_SOURCE[0]}")
# shellcheck source=scripts/daemons.sh
source "$here/daemons.sh"

window_ms=${WINDOW_MS:-5000}
load=$bin/gooseberry-load
samples=$out/samples.jsonl
token=capacity-$$

router_port=19601
router_admin_port=19602
engine_port=19603
control_port=19604
control_admin_port=19605

# Samples a router at rest on a site of $2 replicas and $3 workspaces, of which driver $1 is varied
# and driver $4 kept at $5.
sample_at_rest() {
    local driver=$1 replicas=$2 workspaces=$3 held=$4 held_size=$5
    local size=${!driver}
    "$load" capacity site --replicas "$replicas" --workspaces "$workspaces" --out "$work/site"
    start backends "$load" capacity backends --replicas "$replicas"
    start_router "$router_port" "$router_admin_port" "$work/site"
    sleep 2
    "$load" capacity sample --pid "$router" --role router --driver "$driver" --size "$size" \
        --held "$held=$held_size" --window-ms "$window_ms" --samples "$samples"
    stop_all
}

# Samples a router that relays $@ streams of one engine at 44 ms a token.
sample_streams() {
    mkdir -p "$work/streams"
    cat >"$work/streams/routes.ini" <<TABLE
[chat]
path = /v1/chat/completions
priority = 0
pool = model
idempotent = yes
deadline_ms = 120000
queue_max = 2000
workspace_in_flight_max = 2000
TABLE
    cat >"$work/streams/pools.ini" <<TABLE
[model]
kind = engine
model = small
in_flight_max = 2000
servers = 127.0.0.1:$engine_port@fd-1
TABLE
    printf '[workspace-0]\ntoken = token-0\n' >"$work/streams/workspaces.ini"
    for streams in "$@"; do
        start_engine "$engine_port" 44000
        start_router "$router_port" "$router_admin_port" "$work/streams"
        "$load" capacity streams --router "127.0.0.1:$router_port" --pid "$router" \
            --streams "$streams" --token token-0 --window-ms "$window_ms" --samples "$samples"
        stop_all
    done
}

# Samples a control VM and a real router beside $@ light ones, which share the replicas of a failure
# domain at the target size, and times changes to all of them.
sample_routers() {
    local replicas=118
    "$load" capacity site --replicas "$replicas" --workspaces 10 --out "$work/site"
    for routers in "$@"; do
        start backends "$load" capacity backends --replicas "$replicas"
        start_control "$control_port" "$control_admin_port" "$token"
        start_linked_router "$router_port" "$router_admin_port" "$control_port" "$work/site"
        "$load" capacity routers --control "127.0.0.1:$control_port" --pid "$control" \
            --token "$token" --followers "$routers" --router-pid "$router" --replicas "$replicas" \
            --window-ms "$window_ms" --samples "$samples"
        stop_all
    done
}

# Samples a control VM with 32 light routers under $@ changes an hour.
sample_changes() {
    for changes in "$@"; do
        start_control "$control_port" "$control_admin_port" "$token"
        "$load" capacity changes --control "127.0.0.1:$control_port" --pid "$control" \
            --token "$token" --followers 32 --changes-per-hour "$changes" \
            --window-ms "$window_ms" --samples "$samples"
        stop_all
    done
}

mkdir -p "$out"
: >"$samples"
for replicas in 10 100 250 500; do
    sample_at_rest replicas "$replicas" 10 workspaces 10
done
for workspaces in 10 300 1000; do
    sample_at_rest workspaces 10 "$workspaces" replicas 10
done
sample_streams 1 100 300 1000
sample_routers 1 7 15 31 63
sample_changes 0 3600 14400 36000

"$load" capacity report --samples "$samples" --out "$out" \
    --commit "$(git rev-parse --short HEAD 2>/dev/null || echo unknown)"
