#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
number=$(basename "$folder")
[ -x "target/review/case-$number" ] && [ -x target/release/fireflyworks ] || exit 2
exec "target/review/case-$number" "review/$number"
