#!/usr/bin/env bash
# Measures what the fleet adds to a request. It sends the same load directly to the
# backend servers, through the node that owns them, and through a second node. Prints
# the latency, the CPU time of the nodes per request, and their resident memory.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

RATE=${RATE:-600}
LOAD_SECONDS=${LOAD_SECONDS:-15}
LOG_LEVEL=warn

start_platform
wait_for 5 http "$(platform_url)/admin/calls"
for i in 1 2; do
  write_node_settings "$i" fd1 region1
  start_node "$i"
done
sed -e 's/max_slots = 5/max_slots = 64/' -e 's/queue = 10/queue = 64/' -e 's/floor = 9/floor = 1/' \
  examples/policies/riemwerk-booking.toml >"$WORK/policy.toml"
targets=()
for k in 1 2 3 4; do
  spawn "booking-$k" bin/wigeon-backend --id "booking-$k" --service booking --slots 64 --cold-start 0s \
    --service-time 5ms --listen "$(backend_addr "$k")" --node "$(peer_addr 1)"
  targets+=(--target "$(backend_addr "$k")")
done
ready() { http "http://$(operator_addr "$1")/ready"; }
for i in 1 2; do wait_for 20 ready "$i"; done
ctl policy apply "$WORK/policy.toml" >/dev/null
known() { [ "$(CTL_NODE=2 ctl backends | grep -c active)" = 4 ]; }
wait_for 10 known
sleep 12 # Wait for the end of the slow start of the backend servers.

cpu_ticks() { awk '{ sub(/^.*\) /, ""); print $12 + $13 }' "/proc/$(pid_of "$1")/stat"; }
rss_mb() { awk '/VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/$(pid_of "$1")/status"; }
echo "resident memory at rest: n1 $(rss_mb n1) MB, n2 $(rss_mb n2) MB"
run() { # run LABEL TARGET_ARGS...
  local label=$1 c1 c2
  shift
  c1=$(($(cpu_ticks n1) + $(cpu_ticks n2)))
  bin/wigeon-load "$@" --service booking --host booking.riemwerk.example --prefix "$label" --rate "$RATE" \
    --duration "${LOAD_SECONDS}s" --seed 1 >"$WORK/$label.out" 2>"$WORK/$label.sum"
  c2=$(($(cpu_ticks n1) + $(cpu_ticks n2)))
  echo "$label $(cat "$WORK/$label.sum") node_cpu_us_per_request=$(((c2 - c1) * 10000 / (RATE * LOAD_SECONDS)))"
}
run warm --target "$(caller_addr 1)" >/dev/null
run direct "${targets[@]}"
run owner-node --target "$(caller_addr 1)"
run two-nodes --target "$(caller_addr 2)"
run direct-again "${targets[@]}"
echo "resident memory under load: n1 $(rss_mb n1) MB, n2 $(rss_mb n2) MB"
