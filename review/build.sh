#!/bin/sh
# Builds the programs of the cases with the standard library only. The program under test is built
# by the command of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in 1 2 3; do
    if [ -f "review/$case/case.rs" ]; then
        rustc --edition 2024 -O -A warnings -o "target/review/case-$case" "review/$case/case.rs"
    fi
done
