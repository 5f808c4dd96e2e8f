#!/usr/bin/env bash
# Builds the programs, runs the whole system on this machine and prints the answers to two requests.
#
#   scripts/demo.sh          sends two requests and stops everything
#   scripts/demo.sh stay     also keeps everything running until Enter is pressed
#
# One control VM, two routers, two engines, an order service, a lookup service and the platform's
# list run on loopback with the settings in examples/demo. State and logs are stored in target/demo.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=${1:-once}
bin=target/release
config_dir=examples/demo
state_dir=target/demo
ports=(7101 8001 8002 9001 9002 9003 9004 9005)
pids=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}
trap stop_all EXIT

# Starts a program that logs to the state folder.
start() {
    local name=$1
    shift
    "$@" >"$state_dir/$name.log" 2>&1 &
    pids+=($!)
}

is_open() {
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Waits up to ten seconds until a port accepts connections.
wait_for_port() {
    local port=$1
    for _ in $(seq 100); do
        if is_open "$port"; then
            return
        fi
        sleep 0.1
    done
    fail "nothing listens on port $port"
}

# Waits up to twenty seconds until a router has tables and reaches a backend server.
wait_until_ready() {
    local admin_port=$1 line
    for _ in $(seq 200); do
        line=
        if is_open "$admin_port"; then
            exec 3<>"/dev/tcp/127.0.0.1/$admin_port"
            printf 'GET /readyz HTTP/1.1\r\nhost: demo\r\nconnection: close\r\n\r\n' >&3
            read -r line <&3 || true
            exec 3>&-
        fi
        if [[ $line == *" 200"* ]]; then
            return
        fi
        sleep 0.1
    done
    fail "the router on admin port $admin_port is not ready"
}

# Applies the tables, retrying until the control VM has been elected leader.
apply_tables() {
    local answer
    for _ in $(seq 100); do
        if answer=$("$bin/gooseberryctl" --control 127.0.0.1:7101 \
            --token-file "$state_dir/command-token" apply --change-id demo \
            --routes "$config_dir/routes.ini" --pools "$config_dir/pools.ini" 2>&1); then
            echo "$answer"
            return
        fi
        sleep 0.1
    done
    fail "the tables were not accepted: $answer"
}

fail() {
    echo "$1; the logs below $state_dir say:" >&2
    tail -n 5 "$state_dir"/*.log >&2
    exit 1
}

for port in "${ports[@]}"; do
    if is_open "$port"; then
        echo "port $port is in use: stop what listens there, such as another demo" >&2
        exit 1
    fi
done

cargo build --release --locked --quiet \
    -p control -p router -p gooseberryctl -p standin -p load

rm -rf "$state_dir"
mkdir -p "$state_dir"
for token in command-token peer-token; do
    (umask 077 && head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$state_dir/$token")
done

"$bin/gooseberry-control" format --config "$config_dir/control.ini" --found
start control "$bin/gooseberry-control" run --config "$config_dir/control.ini"
for engine in engine-1 engine-2; do
    start "$engine" "$bin/gooseberry-standin" engine --config "$config_dir/$engine.ini"
done
for service in orders lookup platform; do
    start "$service" "$bin/gooseberry-standin" "$service" --config "$config_dir/$service.ini"
done
wait_for_port 7101
apply_tables
for router in router-1 router-2; do
    start "$router" "$bin/gooseberry-router" --config "$config_dir/$router.ini"
done
wait_until_ready 8011
wait_until_ready 8012

echo "-- one chat request through router 1:"
"$bin/gooseberry-load" once --router 127.0.0.1:8001 --token demo-mosque --class chat \
    "When is the dawn prayer on Friday?"
echo "-- the next one through router 2:"
"$bin/gooseberry-load" once --router 127.0.0.1:8002 --token demo-vault --class chat \
    --request-id twice "Where is the clip of Saturday's ride?"

if [[ $mode == stay ]]; then
    echo "-- routers listen on 127.0.0.1:8001 and :8002; press Enter to stop"
    read -r _ || true
fi
