#!/usr/bin/env bash
# Runs the tests with the race detector. Tests named in KNOWN-RED.txt run too,
# but their failure does not fail the run; they are printed.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$skip" ]; then
  echo "known red (see KNOWN-RED.txt): $skip"
  go test -race -timeout 20m -skip "^($skip)\$" ./...
  go test -timeout 10m -run "^($skip)\$" ./... || echo "known red tests failed as recorded"
else
  go test -race -timeout 20m ./...
fi
