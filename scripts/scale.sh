#!/usr/bin/env bash
# Measures the cost of the control plane for a node that serves no requests. It starts
# fleets of several sizes from real node processes, with 12 backend servers for each node
# and the policies of 650 services with 42 routes each. Prints a CSV line for each size.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

SIZES=${SIZES:-"10 50 100 200"}
SERVICES=${SERVICES:-650}
ROUTES=${ROUTES:-42}
SECONDS_EACH=${SECONDS_EACH:-20}

# These replace the functions of fleet.sh, whose ranges have 100 ports each.
caller_addr() { echo "127.0.0.1:$((BASE_PORT + 1000 + $1))"; }
peer_addr() { echo "127.0.0.1:$((BASE_PORT + 2000 + $1))"; }
operator_addr() { echo "127.0.0.1:$((BASE_PORT + 3000 + $1))"; }
LOG_LEVEL=warn

start_platform
wait_for 5 http "$(platform_url)/admin/calls"
bin/wigeon-scale policies --platform "$(platform_url)" --services "$SERVICES" --routes "$ROUTES"
started=0
header=(--header)
for size in $SIZES; do
  announce=() sample=()
  while [ "$started" -lt "$size" ]; do
    started=$((started + 1))
    domain=$(((started - 1) % 12 + 1))
    write_node_settings "$started" "fd$domain" "region$(((domain - 1) / 4 + 1))"
    start_node "$started"
  done
  for i in $(seq 1 "$size"); do
    announce+=(--peer "$(peer_addr "$i")")
    sample+=(--operator "http://$(operator_addr "$i")" --pid "$(pid_of "n$i")")
  done
  spawn "announce-$size" bin/wigeon-scale announce "${announce[@]}" --services "$SERVICES"
  known() { [ "$(ctl nodes | grep -c alive)" = "$size" ]; }
  wait_for 90 known
  for i in $(seq 1 "$size"); do wait_for 60 http "http://$(operator_addr "$i")/ready"; done
  # The records of nodes that start together take over a minute to settle.
  sleep "${SETTLE_SECONDS:-90}"
  bin/wigeon-scale sample "${header[@]}" "${sample[@]}" --platform "$(platform_url)" \
    --duration "${SECONDS_EACH}s" --label idle
  header=()
  # Measure the time until one policy change is in force on the last node.
  before=$(date +%s%3N)
  bin/wigeon-scale policies --platform "$(platform_url)" --services 1 --from 7 --routes "$ROUTES" --base "${base:-1}"
  base=$((${base:-1} + 1))
  everywhere() { [ "$(ctl policy status | awk -v e="$base" '$1 == "service-007" { print $2, $4 }')" = "$base $size" ]; }
  wait_for 30 everywhere
  echo "change in force on $size nodes $(($(date +%s%3N) - before)) ms after the operator began, polling included" >&2
  kill -TERM "$(pid_of "announce-$size")"
done
