#!/usr/bin/env bash
# Builds the stand-in that the scripts of this folder start into target/, beside the build of
# deploy/system.toml. Its sources stand beside this file, in a module of their own.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOFLAGS=-buildvcs=false GOWORK=off go build -trimpath -o ../target/review-case .
