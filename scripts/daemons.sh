# Starts and stops daemons for the other scripts, which source this file. When a script exits, each
# process is terminated by its process id.

bin=${BIN:-target/release}
work_dir=$(mktemp -d)
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

clean_up() {
    stop_all
    rm -rf "$work_dir"
}
trap clean_up EXIT

# Starts a daemon, logs to the work folder and sets `started_pid` to its process id.
start() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.log" 2>&1 &
    started_pid=$!
    pids+=("$started_pid")
}

# Waits up to ten seconds until a port accepts connections.
wait_for_port() {
    local port=$1
    for _ in $(seq 100); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            return
        fi
        sleep 0.1
    done
    echo "nothing listens on port $port; the logs say:" >&2
    tail -n 5 "$work_dir"/*.log >&2
    exit 1
}

# Starts an engine on port $1 whose step takes $2 microseconds for any batch size.
start_engine() {
    local port=$1 step_us=$2
    start "engine-$port" "$bin/gooseberry-standin" engine --listen "127.0.0.1:$port" \
        --set server.front=direct --set model.batch_max=2000 --set model.waiting_max=2000 \
        --set "model.step_base_us=$step_us" --set model.step_per_sequence_us=0 \
        --set model.prefill_per_token_us=0 --set model.kv_blocks=1000000
    wait_for_port "$port"
}

# Starts a router on ports $1 and $2 with the tables and workspaces in the folder $3, and sets
# `router_pid` to its process id.
start_router() {
    local port=$1 admin_port=$2 config_dir=$3
    cat >"$work_dir/router-$port.ini" <<SETTINGS
[router]
vm = vm-$port
failure_domain = fd-1
listen = 127.0.0.1:$port
admin_listen = 127.0.0.1:$admin_port
log = warn
drain_delay_ms = 0
routes_file = $config_dir/routes.ini
pools_file = $config_dir/pools.ini
workspaces_file = $config_dir/workspaces.ini
SETTINGS
    start "router-$port" "$bin/gooseberry-router" --config "$work_dir/router-$port.ini"
    router_pid=$started_pid
    wait_for_port "$port"
}

# Starts a control VM as a cluster of one on ports $1 and $2 with the operators' token $3, and sets
# `control_pid` to its process id.
start_control() {
    local port=$1 admin_port=$2 token=$3
    rm -rf "$work_dir/data"
    mkdir -p "$work_dir/data"
    printf '%s' "$token" >"$work_dir/command-token"
    printf 'peer-%s' "$token" >"$work_dir/peer-token"
    cat >"$work_dir/control.ini" <<SETTINGS
[control]
node = 1
failure_domain = fd-1
listen = 127.0.0.1:$port
admin_listen = 127.0.0.1:$admin_port
data_dir = $work_dir/data
command_token_file = $work_dir/command-token
peer_token_file = $work_dir/peer-token
voters_max = 1
log = warn

[peers]
1 = 127.0.0.1:$port
SETTINGS
    "$bin/gooseberry-control" format --found --config "$work_dir/control.ini" >/dev/null
    start control "$bin/gooseberry-control" run --config "$work_dir/control.ini"
    control_pid=$started_pid
    wait_for_port "$port"
}
