#!/bin/sh
# Builds the stand-ins of the cases 9 to 13: one file, standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/rig.rs
