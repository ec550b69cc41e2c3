#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review. The daemon is built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod go build -o ../../target/review-2/rig .
