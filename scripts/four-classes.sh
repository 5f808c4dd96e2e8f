#!/usr/bin/env bash
# Sends requests of four classes through two routers to three engines, an order service and a lookup
# service, with one control VM, and fails if a caller or a stand-in observes a broken guarantee.
#
#   scripts/four-classes.sh [ARGUMENT...]
#
# Arguments are passed to `gooseberry-load run`. BIN is the folder of the binaries (default
# target/release) and PLAN another plan with these classes. Everything runs on loopback, in under
# two minutes and nine processes.
set -euo pipefail

script_dir=$(dirname "${BASH_SOURCE[0]}")
# shellcheck source=scripts/daemons.sh
source "$script_dir/daemons.sh"

control_port=19621
control_admin_port=19622
order_port=19623
lookup_port=19624
engine_ports=(19631 19632 19633)
router_ports=(19641 19643)
token=four-classes-$$

cat >"$work_dir/routes.ini" <<TABLE
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
cat >"$work_dir/pools.ini" <<TABLE
[model]
kind = engine
model = small
servers = 127.0.0.1:${engine_ports[0]}@fd-1, 127.0.0.1:${engine_ports[1]}@fd-1, 127.0.0.1:${engine_ports[2]}@fd-1

[orders]
kind = service
servers = 127.0.0.1:$order_port@fd-1

[lookups]
kind = service
servers = 127.0.0.1:$lookup_port@fd-1
TABLE
for workspace in 0 1 2 3; do
    printf '[workspace-%d]\ntoken = token-%d\n\n' "$workspace" "$workspace"
done >"$work_dir/workspaces.ini"

start_control "$control_port" "$control_admin_port" "$token"
arguments=(--plan "${PLAN:-$script_dir/../crates/load/plans/four-classes.ini}")
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

# Applies the tables, retrying because a control VM that has just started refuses changes until it
# is the leader.
apply_tables() {
    for _ in $(seq 100); do
        if "$bin/gooseberryctl" --control "127.0.0.1:$control_port" \
            --token-file "$work_dir/command-token" \
            apply --routes "$work_dir/routes.ini" --pools "$work_dir/pools.ini" \
            >"$work_dir/apply.log"; then
            return
        fi
        sleep 0.1
    done
    cat "$work_dir/apply.log" >&2
    exit 1
}

apply_tables
for port in "${router_ports[@]}"; do
    cat >"$work_dir/router-$port.ini" <<SETTINGS
[router]
vm = vm-$port
failure_domain = fd-1
listen = 127.0.0.1:$port
admin_listen = 127.0.0.1:$((port + 1))
log = warn
routers = ${#router_ports[@]}
control = 127.0.0.1:$control_port
command_token_file = $work_dir/command-token
workspaces_file = $work_dir/workspaces.ini
SETTINGS
    start "router-$port" "$bin/gooseberry-router" --config "$work_dir/router-$port.ini"
    wait_for_port "$port"
    arguments+=(--router "127.0.0.1:$port")
done
sleep 2

"$bin/gooseberry-load" run "${arguments[@]}" "$@"
