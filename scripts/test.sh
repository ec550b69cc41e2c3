#!/usr/bin/env bash
# Runs the tests with the race detector. The tests named in KNOWN-RED.txt run
# separately and their results are printed, but their failure does not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."

# A subtest is named Test/subtest. Each part must match the whole name.
skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sed 's|/|$/^|g; s|^|^|; s|$|$|' | paste -sd'|' -)
if [ -n "$skip" ]; then
  echo "known red (see KNOWN-RED.txt): $skip"
  go test -race -timeout 20m -skip "$skip" ./...
  if go test -timeout 10m -run "$skip" ./... 2>&1 | grep -v '\[no test\(s to run\| files\)\]'; then
    echo "known red tests: see above; a pass means that the entry can be removed"
  fi
else
  go test -race -timeout 20m ./...
fi
