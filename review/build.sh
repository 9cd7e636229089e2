#!/usr/bin/env bash
# Builds the stand-ins of the cases with a script: one program a case, with the standard library
# only. They go to target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -C opt-level=2 "$source" -o "target/review/case-$number"
done
