#!/usr/bin/env bash
# Plays the case of this folder, after the build of the deploy file and review/build-3.sh. Exit code 1: the rule
# was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/fireflyworks target/review-3/standins; do
  [[ -x $program ]] || { echo "$program is missing: run the builds first"; exit 2; }
done
exec target/review-3/standins 15 target/release/fireflyworks review/15
