#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2 target/review-3
rustc --edition 2021 -O review/rig-2/main.rs -o target/review-2/rig
rustc --edition 2024 -O review/rig-3/rig.rs -o target/review-3/rig
