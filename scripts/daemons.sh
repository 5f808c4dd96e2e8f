# Starts and stops daemons for the other scripts, which source this file. Every process is ended by
# its own id when the script ends.

bin=${BIN:-target/release}
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    pids=()
}

finish() {
    stop_all
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

# Starts an engine on port $1 whose step takes $2 microseconds whatever its batch.
start_engine() {
    local port=$1 step_us=$2
    start "engine-$port" "$bin/gooseberry-standin" engine --listen "127.0.0.1:$port" \
        --set server.front=direct --set model.batch_max=2000 --set model.waiting_max=2000 \
        --set "model.step_base_us=$step_us" --set model.step_per_sequence_us=0 \
        --set model.prefill_per_token_us=0 --set model.kv_blocks=1000000
    wait_for_port "$port"
}

# Starts a router on ports $1 and $2 with the tables and workspaces in the folder $3; its process
# id is then in `router`.
start_router() {
    local port=$1 admin_port=$2 site=$3
    cat >"$work/router-$port.ini" <<SETTINGS
[router]
vm = vm-$port
failure_domain = fd-1
listen = 127.0.0.1:$port
admin_listen = 127.0.0.1:$admin_port
log = warn
drain_delay_ms = 0
routes_file = $site/routes.ini
pools_file = $site/pools.ini
workspaces_file = $site/workspaces.ini
SETTINGS
    start "router-$port" "$bin/gooseberry-router" --config "$work/router-$port.ini"
    router=$started
    wait_for_port "$port"
}

# Starts a control VM of its own cluster on ports $1 and $2, whose operators' token is $3; its
# process id is then in `control`.
start_control() {
    local port=$1 admin_port=$2 token=$3
    rm -rf "$work/data"
    mkdir -p "$work/data"
    printf '%s' "$token" >"$work/command-token"
    printf 'peer-%s' "$token" >"$work/peer-token"
    cat >"$work/control.ini" <<SETTINGS
[control]
node = 1
failure_domain = fd-1
listen = 127.0.0.1:$port
admin_listen = 127.0.0.1:$admin_port
data_dir = $work/data
command_token_file = $work/command-token
peer_token_file = $work/peer-token
voters_max = 1
log = warn

[peers]
1 = 127.0.0.1:$port
SETTINGS
    "$bin/gooseberry-control" format --found --config "$work/control.ini" >/dev/null
    start control "$bin/gooseberry-control" run --config "$work/control.ini"
    control=$started
    wait_for_port "$port"
}

# Starts a router on ports $1 and $2 that is linked to the control VM on port $3, with the
# workspaces in the folder $4; its process id is then in `router`.
start_linked_router() {
    local port=$1 admin_port=$2 control_port=$3 site=$4
    cat >"$work/router-$port.ini" <<SETTINGS
[router]
vm = vm-$port
failure_domain = fd-1
listen = 127.0.0.1:$port
admin_listen = 127.0.0.1:$admin_port
log = warn
drain_delay_ms = 0
control = 127.0.0.1:$control_port
command_token_file = $work/command-token
workspaces_file = $site/workspaces.ini
SETTINGS
    start "router-$port" "$bin/gooseberry-router" --config "$work/router-$port.ini"
    router=$started
    wait_for_port "$port"
}
