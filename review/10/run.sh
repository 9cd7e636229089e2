#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
cd "$(dirname "$0")/../.." || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
[ -x target/review-2/case-10 ] || exit 2
timeout -k 3 110 target/review-2/case-10 review/10 "$scratch"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
