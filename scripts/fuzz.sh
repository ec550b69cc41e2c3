#!/usr/bin/env bash
# Runs each fuzz test of internal/ and platform/ for FUZZ_SECONDS (5 by default) with FUZZ_WORKERS
# parallel workers (4 by default). An input that fails is kept in the testdata/fuzz
# directory of the package, and the normal tests run it from then on.
set -euo pipefail
cd "$(dirname "$0")/.."

FUZZ_SECONDS=${FUZZ_SECONDS:-5}
FUZZ_WORKERS=${FUZZ_WORKERS:-4}
status=0
while read -r package name; do
  echo "fuzz: $package $name, $FUZZ_SECONDS s"
  go test -run '^$' -fuzz "^$name\$" -fuzztime "${FUZZ_SECONDS}s" -parallel "$FUZZ_WORKERS" "$package" || status=1
done < <(grep -ro --include='*_test.go' '^func Fuzz[A-Za-z0-9]*' internal platform | sed 's|^\(.*\)/[^/]*:func \(.*\)|./\1 \2|' | sort)
exit $status
