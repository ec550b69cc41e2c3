#!/usr/bin/env bash
# Runs a complete fleet in separate processes: a platform, six nodes in three
# failure domains, 24 backend servers of two services, and callers. Under load,
# it kills one backend server and injects a gray failure into another. Prints a
# table and fails if an invariant was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

LOAD_SECONDS=${LOAD_SECONDS:-15}
RATE=${RATE:-120}
SEED=${SEED:-1}
FLOOR=9
echo "demo: seed $SEED, $LOAD_SECONDS s of load at 2 x $RATE requests/s"

start_platform
wait_for 5 http "$(platform_url)/admin/calls"
for i in 1 2 3 4 5 6; do
  domain=$(((i - 1) / 2 + 1))
  write_node_settings "$i" "fd$domain" "region$domain"
  start_node "$i"
done
for k in $(seq 1 12); do
  node=$(((k - 1) / 2 + 1))
  neighbour=$(((node - 1) / 2 * 2 + 1 + node % 2))
  start_backend "$k" "booking-$k" booking 5 "$node" "$neighbour"
  start_backend $((12 + k)) "reservations-$k" reservations 7 "$node" "$neighbour"
done

ready() { http "http://$(operator_addr "$1")/ready"; }
for i in 1 2 3 4 5 6; do wait_for 20 ready "$i"; done
ctl policy apply examples/policies/riemwerk-booking.toml | sed -n 1p
ctl policy apply examples/policies/plechovka-reservations.toml | sed -n 1p
in_force() { [ "$(ctl policy status | awk 'NR > 1 && $2 == 1 && $4 == 6' | wc -l)" = 2 ]; }
wait_for 10 in_force
announced() { [ "$(ctl backends | grep -c active)" = 24 ]; }
wait_for 10 announced
echo "demo: policies in force on 6 nodes, 24 backend servers announced"
sleep 2

# Send the same mix of requests directly to the backend servers, for comparison.
targets=()
for k in $(seq 1 12); do targets+=(--target "$(backend_addr "$k")"); done
bin/wigeon-load "${targets[@]}" --service booking --host booking.riemwerk.example --prefix direct \
  --rate "$RATE" --duration 3s --seed "$SEED" >"$WORK/direct.out" 2>/dev/null

nodes=()
for i in 1 2 3 4 5 6; do nodes+=(--target "$(caller_addr "$i")"); done
spawn watch bin/wigeon-verify watch --node "http://$(operator_addr 1)" --service booking --service reservations
spawn load-booking bin/wigeon-load "${nodes[@]}" --service booking --host booking.riemwerk.example \
  --prefix b --rate "$RATE" --duration "${LOAD_SECONDS}s" --uploads 1 --upload-bytes 1000000 --seed "$SEED"
spawn load-reservations bin/wigeon-load "${nodes[@]}" --service reservations --host reservations.plechovka.example \
  --prefix r --rate "$RATE" --duration "${LOAD_SECONDS}s" --uploads 1 --upload-bytes 1000000 --seed $((SEED + 1))
sleep 3
echo "demo: killing booking-3, making reservations-7 fail gray"
kill_quietly booking-3
gray_start=$(date +%s%3N)
set_faults 19 '{"gray": true}'
wait "$(pid_of load-booking)" "$(pid_of load-reservations)"
kill -TERM "$(pid_of watch)"

echo
bin/wigeon-verify report --runs "$WORK/booking-*.out" --runs "$WORK/reservations-*.out" \
  --results "$WORK/load-*.out" --direct "$WORK/direct.out" --capacity "$WORK/watch.out" \
  --floor "booking:$FLOOR" --floor "reservations:$FLOOR" --sick "reservations-7:$gray_start"
echo
echo "why reservations-7 is out:"
ctl explain --backend reservations-7 | tail -n 8 || true
