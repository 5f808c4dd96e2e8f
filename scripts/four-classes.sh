#!/usr/bin/env bash
# Sends four classes through two routers to three engines, an order service and a lookup service,
# with one control VM, and fails if a caller or a stand-in saw a promise broken.
#
#   scripts/four-classes.sh [ARGUMENT...]
#
# Arguments go to `gooseberry-load run`. BIN names the folder of the binaries (default
# target/release) and PLAN another plan of these classes. Loopback only, nine processes, under two
# minutes.
set -euo pipefail

here=$(dirname "${BASH_SOURCE[0]}")
# shellcheck source=scripts/daemons.sh
source "$here/daemons.sh"

control_port=19621
control_admin_port=19622
order_port=19623
lookup_port=19624
engine_ports=(19631 19632 19633)
router_ports=(19641 19643)
token=four-classes-$$

cat >"$work/routes.ini" <<TABLE
[chat]
path = /v1/chat/completions
priority = 0
pool = model
idempotent = yes
deadline_ms = 20000
share_permille = 500
target_first_token_ms = 450
target_between_tokens_ms = 44

[summary]
path = /v1/chat/completions
priority = 4
pool = model
idempotent = yes
deadline_ms = 60000
share_permille = 200

[order]
path = /orders
priority = 1
pool = orders
idempotent = no
deadline_ms = 5000

[lookup]
path = /lookup/*
priority = 2
pool = lookups
idempotent = yes
deadline_ms = 5000
TABLE
cat >"$work/pools.ini" <<TABLE
[model]
kind = engine
model = small
servers = 127.0.0.1:${engine_ports[0]}@fd-1, 127.0.0.1:${engine_ports[1]}@fd-2, 127.0.0.1:${engine_ports[2]}@fd-3

[orders]
kind = service
servers = 127.0.0.1:$order_port@fd-1

[lookups]
kind = service
servers = 127.0.0.1:$lookup_port@fd-2
TABLE
for workspace in 0 1 2 3; do
    printf '[workspace-%d]\ntoken = token-%d\n\n' "$workspace" "$workspace"
done >"$work/workspaces.ini"

start_control "$control_port" "$control_admin_port" "$token"
arguments=(--plan "${PLAN:-$here/../crates/load/plans/four-classes.ini}")
for port in "${engine_ports[@]}"; do
    start "engine-$port" "$bin/gooseberry-standin" engine --listen "127.0.0.1:$port"
    wait_for_port "$port"
    arguments+=(--engine "127.0.0.1:$port")
done
start orders "$bin/gooseberry-standin" orders --listen "127.0.0.1:$order_port"
start lookups "$bin/gooseberry-standin" lookup --listen "127.0.0.1:$lookup_port"
wait_for_port "$order_port"
wait_for_port "$lookup_port"
arguments+=(--order-service "127.0.0.1:$order_port")

# Puts the tables in force; a control VM that has just started refuses until it leads.
apply_tables() {
    for _ in $(seq 100); do
        if "$bin/gooseberryctl" --control "127.0.0.1:$control_port" \
            --token-file "$work/command-token" \
            apply --routes "$work/routes.ini" --pools "$work/pools.ini" >"$work/apply.log"; then
            return
        fi
        sleep 0.1
    done
    cat "$work/apply.log" >&2
    exit 1
}

apply_tables
for port in "${router_ports[@]}"; do
    start_linked_router "$port" "$((port + 1))" "$control_port" "$work"
    arguments+=(--router "127.0.0.1:$port")
done
sleep 2

"$bin/gooseberry-load" run "${arguments[@]}" "$@"
