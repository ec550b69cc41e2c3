#!/usr/bin/env bash
# Plays the case "upload" of the stand-in in review/. Needs the build of deploy/system.toml and review/build.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonspringd ] && [ -x target/review-case ] || { echo "build first" >&2; exit 2; }
timeout -k 5 115 target/review-case upload review/1/record.txt
status=$?
[ $status -le 1 ] || status=2
exit $status
