#!/usr/bin/env bash
# Measures what one node adds to a question, on loopback: a platform, a fast
# engine and a node as processes, which are ended by their ids.
# Use: benches/overhead.sh [arguments of standin overhead, as --questions 5000]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace
bin=target/release
folder=$(mktemp -d)
pids=()
finish() { kill "${pids[@]}" 2>/dev/null || true; rm -r "$folder"; }
trap finish EXIT

# Starts a process and waits for the line that says where it listens.
start() {
    local out=$1; shift
    "$@" >"$out" 2>"$out.log" &
    pids+=($!)
    until grep -q '^listening' "$out"; do sleep 0.05; done
}
start "$folder/platform" $bin/standin platform --listen 127.0.0.1:0
start "$folder/engine" $bin/standin engine --listen 127.0.0.1:0 --faster 1000
platform=$(awk '{print $2}' "$folder/platform")
engine=$(awk '{print $2}' "$folder/engine")
cat >"$folder/node.toml" <<TOML
[node]
name = "node-0"
zone = "zone-0"

[listen]
callers = "127.0.0.1:0"
link = "127.0.0.1:0"
control = "127.0.0.1:0"

[platform]
address = "$platform"
TOML
start "$folder/node" $bin/auburnspoke serve --settings "$folder/node.toml"
node_pid=${pids[-1]}
node=$(sed 's/.*callers=\([^ ]*\).*/\1/' "$folder/node")
cat >"$folder/config.toml" <<TOML
version = 0

[[services]]
name = "recipes"
kind = "model"
model = "recipe-model"
model_version = "1"
deadline_ms = 30000
max_tokens = 512
latency_weight = 50

[[endpoints]]
name = "engine-0"
address = "$engine"
zone = "zone-0"
services = ["recipes"]
slots = 64
TOML
export AUBURNSPOKE_SERVER=$node
$bin/auburnspoke config apply "$folder/config.toml" --author bench >/dev/null
until curl -sf "http://$node/readyz" >/dev/null; do sleep 0.1; done
$bin/standin overhead --node "$node" --engine "$engine" --pid "$node_pid" "$@"
