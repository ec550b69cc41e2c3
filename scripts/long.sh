#!/usr/bin/env bash
# Repeats the randomized tests with new seeds. Each test prints its seed. Setting
# WIGEONSPRING_SEED=SEED repeats a failure.
set -euo pipefail
cd "$(dirname "$0")/.."

ROUNDS=${ROUNDS:-20}
export WIGEONSPRING_SEED=random
for round in $(seq 1 "$ROUNDS"); do
  echo "round $round of $ROUNDS"
  go test -count=1 -timeout 30m ./internal/coordination/... ./internal/protocol/... ./internal/transport/proxy
done
