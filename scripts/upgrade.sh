#!/usr/bin/env bash
# Upgrades a fleet under load and takes the upgrade back: the nodes are replaced one
# by one by those of the build in NEW (bin by default), then by those of the build in
# OLD again. Meanwhile policies change through the wigeonctl of either build and one
# node is killed. Fails if an invariant was broken, if the two builds show different
# data, or if a policy does not come into force.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh

OLD=${OLD:?folder with the programs of the old build}
NEW=${NEW:-bin}
LOAD_SECONDS=${LOAD_SECONDS:-120}
RATE=${RATE:-120}
SEED=${SEED:-1}
FLOOR=9
NODES="1 2 3 4 5 6"
OBSERVER=7
FLEET=7

# start_node INDEX BUILD: starts a node of a build; each start has a log of its own.
starts=0
declare -A running
start_node() {
  starts=$((starts + 1))
  running[$1]=n$1-$starts
  spawn "n$1-$starts" "$2/wigeonspringd" --config "$WORK/n$1.toml"
}

# ctl BUILD ARGUMENTS...: runs the command-line tool of a build.
ctl() {
  local build=$1
  shift
  "$build/wigeonctl" --platform "$(platform_url)" --node "http://$(operator_addr "${CTL_NODE:-1}")" "$@"
}

ready() { http "http://$(operator_addr "$1")/ready"; }
in_force() { [ "$(ctl "$NEW" policy status | awk -v s="$1" -v e="$2" '$1 == s && $2 == e { print $4 }')" = $FLEET ]; }
announced() { [ "$(CTL_NODE=$1 ctl "$NEW" backends | grep -c active)" = 36 ]; }
alive() { [ "$(CTL_NODE=$1 ctl "$NEW" nodes | grep -c alive)" = $FLEET ]; }

# settle INDEX: waits until a node that was started takes part.
settle() {
  wait_for 20 ready "$1"
  wait_for 20 alive "$1"
  wait_for 20 announced "$1"
}

# replace INDEX BUILD: stops a node gracefully and starts one of a build in its place.
replace() {
  kill -TERM "$(pid_of "${running[$1]}")"
  wait "$(pid_of "${running[$1]}")"
  start_node "$1" "$2"
  settle "$1"
}

# values BUILD ARGUMENTS...: prints what the command-line tool of a build shows. The white
# space of its JSON differs from build to build.
values() { ctl "$@" --output json | bin/wigeon-verify canonical; }

# same_data WHAT...: fails unless the tools of both builds show the same documents, fleet
# and further tables.
same_data() {
  local build dir service what
  for build in old new; do
    dir=$OLD
    [ "$build" = old ] || dir=$NEW
    for service in booking reservations; do values "$dir" policy show "$service"; done >"$WORK/policies.$build"
    values "$dir" policy status >"$WORK/status.$build"
    for what in nodes backends "$@"; do values "$dir" "$what" >"$WORK/$what.$build"; done
  done
  for what in policies status nodes backends "$@"; do diff "$WORK/$what.old" "$WORK/$what.new"; done
  echo "upgrade: the tools of both builds show the same policies, epochs, nodes and backend servers"
}

# apply BUILD FILE SERVICE EPOCH [COMMAND]: applies a policy, changed by a sed command,
# and waits until it is in force on all nodes.
apply() {
  sed "${5:-}" "$2" >"$WORK/policy.toml"
  ctl "$1" policy apply "$WORK/policy.toml" | sed -n 1p
  wait_for 10 in_force "$3" "$4"
}

for f in examples/policies/*.toml; do
  "$OLD/wigeonctl" policy check "$f" >"$WORK/check.old" 2>&1
  "$NEW/wigeonctl" policy check "$f" >"$WORK/check.new" 2>&1
  diff "$WORK/check.old" "$WORK/check.new"
done

spawn platform "$OLD/wigeon-platform" --listen "127.0.0.1:$(platform_port)"
wait_for 5 http "$(platform_url)/admin/calls"
for i in $NODES $OBSERVER; do
  domain=$(((i - 1) / 2 + 1))
  write_node_settings "$i" "fd$domain" "region$domain"
  "$OLD/wigeonspringd" --check --config "$WORK/n$i.toml" >"$WORK/settings.old" 2>&1
  "$NEW/wigeonspringd" --check --config "$WORK/n$i.toml" >"$WORK/settings.new" 2>&1
  diff "$WORK/settings.old" "$WORK/settings.new"
  start_node "$i" "$OLD"
done
# A node that stops hands up to 6 of the 18 backend servers of a service to its neighbour,
# and for a second or two they take no work; the floor of 9 leaves room for that.
for k in $(seq 1 18); do
  node=$(((k - 1) / 3 + 1))
  neighbour=$(((node - 1) / 2 * 2 + 1 + node % 2))
  start_backend "$k" "booking-$k" booking 5 "$node" "$neighbour"
  start_backend $((18 + k)) "reservations-$k" reservations 7 "$node" "$neighbour"
done
for i in $NODES $OBSERVER; do settle "$i"; done
apply "$OLD" examples/policies/riemwerk-booking.toml booking 1
apply "$OLD" examples/policies/plechovka-reservations.toml reservations 1
same_data explain
sleep 2

callers=()
for i in $NODES; do callers+=(--target "$(caller_addr "$i")"); done
spawn watch bin/wigeon-verify watch --node "http://$(operator_addr "$OBSERVER")" --service booking --service reservations
spawn load-booking bin/wigeon-load "${callers[@]}" --service booking --host booking.riemwerk.example \
  --prefix b --rate "$RATE" --duration "${LOAD_SECONDS}s" --uploads 1 --upload-bytes 1000000 --seed "$SEED"
spawn load-reservations bin/wigeon-load "${callers[@]}" --service reservations --host reservations.plechovka.example \
  --prefix r --rate "$RATE" --duration "${LOAD_SECONDS}s" --uploads 1 --upload-bytes 1000000 --seed $((SEED + 1))

for i in 1 2 3; do replace "$i" "$NEW"; done
echo "upgrade: three of six nodes run the new build"
apply "$NEW" examples/policies/riemwerk-booking.toml booking 2 's/retry_percent = 10.0/retry_percent = 9.0/'
apply "$OLD" examples/policies/plechovka-reservations.toml reservations 2 's/spill_percent = .*/spill_percent = 6.0/'
same_data
kill -KILL "$(pid_of "${running[6]}")"
{ wait "$(pid_of "${running[6]}")" || true; } 2>/dev/null
sleep 4
start_node 6 "$NEW"
settle 6
echo "upgrade: a node of the old build was killed and replaced"
for i in 4 5; do replace "$i" "$NEW"; done
wait_for 10 in_force booking 2
wait_for 10 in_force reservations 2
echo "upgrade: six nodes run the new build"
same_data
for i in $NODES; do replace "$i" "$OLD"; done
wait_for 10 in_force booking 2
wait_for 10 in_force reservations 2
echo "upgrade: all nodes run the old build again"
apply "$OLD" examples/policies/riemwerk-booking.toml booking 3
same_data
if ! kill -0 "$(pid_of load-booking)"; then
  echo "the load ended before the upgrade; raise LOAD_SECONDS" >&2
  exit 1
fi
wait "$(pid_of load-booking)" "$(pid_of load-reservations)"
kill -TERM "$(pid_of watch)"

echo
if grep -hE 'invariant violated|"invariant_violation"|panic:' "$WORK"/n?-*.out "$WORK"/n?-*.err; then
  echo "a node reported a broken invariant" >&2
  exit 1
fi
bin/wigeon-verify report --runs "$WORK/booking-*.out" --runs "$WORK/reservations-*.out" \
  --results "$WORK/load-*.out" --capacity "$WORK/watch.out" --floor "booking:$FLOOR" --floor "reservations:$FLOOR"
