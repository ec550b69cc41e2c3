# Functions that start a fleet of separate processes on loopback, for scripts that
# source this file. When the script exits, it kills every process that it started,
# by process id.

WORK=$(mktemp -d)
PIDS=()
PORTS=

# take_ports reserves a range of ports that no other fleet of these scripts uses. It
# skips a range whose first port is in use. If BASE_PORT is set in the environment, it
# uses that range instead.
take_ports() {
  local base lock
  if [ -n "${BASE_PORT:-}" ]; then
    if listens "$BASE_PORT"; then
      echo "port $BASE_PORT of BASE_PORT is taken" >&2
      return 1
    fi
    return
  fi
  for base in $(seq 21000 1000 30000); do
    lock=${TMPDIR:-/tmp}/wigeonspring-ports-$base
    if mkdir "$lock" 2>/dev/null; then
      PORTS=$lock BASE_PORT=$base
      listens "$base" || return 0
      rmdir "$lock"
    fi
  done
  PORTS=
  echo "no free range of ports from 21000 on; if no fleet runs, remove ${TMPDIR:-/tmp}/wigeonspring-ports-*" >&2
  return 1
}

listens() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# spawn NAME COMMAND...: starts a process with its output in $WORK/NAME.out and
# $WORK/NAME.err, and its id in $WORK/NAME.pid.
spawn() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
  PIDS+=($!)
  echo $! >"$WORK/$name.pid"
}

pid_of() { cat "$WORK/$1.pid"; }

stop_fleet() {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  [ -z "$PORTS" ] || rmdir "$PORTS"
  [ -n "${KEEP:-}" ] && echo "logs: $WORK" || rm -rf "$WORK"
}
trap stop_fleet EXIT
take_ports

# kill_quietly NAME: kills a process and suppresses the shell's message about it.
kill_quietly() {
  kill -KILL "$(pid_of "$1")"
  { wait "$(pid_of "$1")" || true; } 2>/dev/null
}

platform_port() { echo $((BASE_PORT)); }
platform_url() { echo "http://127.0.0.1:$(platform_port)"; }
caller_addr() { echo "127.0.0.1:$((BASE_PORT + 100 + $1))"; }
peer_addr() { echo "127.0.0.1:$((BASE_PORT + 200 + $1))"; }
operator_addr() { echo "127.0.0.1:$((BASE_PORT + 300 + $1))"; }
backend_addr() { echo "127.0.0.1:$((BASE_PORT + 400 + $1))"; }

http() { bin/wigeon-verify http "$@"; }

start_platform() { spawn platform bin/wigeon-platform --listen "127.0.0.1:$(platform_port)"; }

# write_node_settings INDEX FAILURE_DOMAIN REGION
write_node_settings() {
  cat >"$WORK/n$1.toml" <<EOF
[node]
id = "n$1"
failure_domain = "$2"
region = "$3"

[listen]
caller_listen = "$(caller_addr "$1")"
peer_listen = "$(peer_addr "$1")"
operator_listen = "$(operator_addr "$1")"

[platform]
address = "$(platform_url)"

[membership]
seeds = ["$(peer_addr 1)", "$(peer_addr 2)"]

[output]
log_level = "${LOG_LEVEL:-info}"
trace = "${TRACE:-}"
EOF
}

# start_node INDEX: starts a node. Its settings must have been written before.
start_node() { spawn "n$1" bin/wigeonspringd --config "$WORK/n$1.toml"; }

# start_backend INDEX ID SERVICE SLOTS NODE...: starts a backend server that
# announces itself to the given nodes.
start_backend() {
  local index=$1 id=$2 service=$3 slots=$4 args=() node
  shift 4
  for node in "$@"; do args+=(--node "$(peer_addr "$node")"); done
  spawn "$id" bin/wigeon-backend --id "$id" --service "$service" --slots "$slots" \
    --listen "$(backend_addr "$index")" --seed "$index" "${args[@]}"
}

# set_faults INDEX JSON
set_faults() { http --post "$2" "http://$(backend_addr "$1")/admin/faults"; }

ctl() { bin/wigeonctl --platform "$(platform_url)" --node "http://$(operator_addr "${CTL_NODE:-1}")" "$@"; }

# wait_for SECONDS COMMAND...: repeats a command until it succeeds.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $deadline ]; then
      echo "timed out waiting for: $*" >&2
      # Print the last two lines that each process wrote to standard error.
      find "$WORK" -name '*.err' -size +0 -exec tail -n 2 {} + >&2
      return 1
    fi
    sleep 0.1
  done
}
