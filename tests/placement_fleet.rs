//! Placement by real nodes, one of which is paused while it holds the lease.

use std::time::Duration;

use auburnspoke::config::row;
use auburnspoke::lease::Record;
use auburnspoke::table::Table as _;
use auburnspoke::table::http::Client;
use googletest::prelude::*;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

/// Returns an engine's models and the fencing number of its last order.
fn state(fleet: &env::Fleet, engine: usize) -> Value {
    let (_, body) = env::get(&fleet.engines[engine].address("listening"), "/v1/state");
    serde_json::from_slice(&body).unwrap()
}

fn hold(fleet: &env::Fleet, version: &str) -> bool {
    let wanted = json!([{"model": "recipe-model", "version": version, "adapters": []}]);
    (0..fleet.engines.len()).all(|engine| state(fleet, engine)["hold"] == wanted)
}

/// Returns the holder of the region's lease and its epoch, from the table.
fn holder(fleet: &env::Fleet) -> Option<(usize, u64)> {
    let address = fleet.platform.address("listening").parse().unwrap();
    let found = actix_rt::System::new().block_on(async {
        let client = Client::new(address, Duration::from_secs(3));
        client.get("lease/placement/zone").await.ok().flatten()
    });
    let record: Record = row::decode(&found?.value)?;
    let node = record.holder.strip_prefix("node-")?.parse().ok()?;
    Some((node, record.epoch))
}

fn version(version: &str) -> Value {
    json!({
        "service": {
            "name": "recipes", "kind": "SERVICE_KIND_MODEL", "model": "recipe-model",
            "modelVersion": version, "replicas": 2,
        },
        "author": "test",
    })
}

#[gtest]
fn holder_paused() {
    // The holder is paused, another node takes over and loads a new version, and the
    // first one resumes. The old version must not come back, neither on the engine that
    // checks fencing numbers nor on the one that does not.
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--checks-fencing"]).engine(&[]);
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet.configure_with(&json!({"modelVersion": "2", "replicas": 2}));
    env::until("the engines hold version 2", || hold(&fleet, "2"));

    let (first, epoch) = holder(&fleet).unwrap();
    fleet.nodes[first].pause();
    let other = (first + 1) % 3;
    fleet
        .operator(other, "ApplyService", &version("3"))
        .unwrap();
    env::until("the engines hold version 3", || hold(&fleet, "3"));
    let (next, newer) = holder(&fleet).unwrap();
    expect_that!(next, not(eq(first)));
    expect_that!(newer, gt(epoch));

    fleet.nodes[first].resume();
    for _ in 0..50 {
        std::thread::sleep(Duration::from_millis(100));
        expect_that!(hold(&fleet, "3"), eq(true));
    }
    expect_that!(state(&fleet, 0)["fence"], eq(&json!(newer)));
    expect_that!(state(&fleet, 1)["fence"], eq(&json!(newer)));
}

#[gtest]
fn engine_replaced() {
    // An engine that is replaced by an empty one at another address must be loaded
    // without further operator action.
    let mut fleet = env::Fleet::new();
    fleet
        .engine(&["--checks-fencing"])
        .engine(&["--checks-fencing"]);
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure_with(&json!({"modelVersion": "2", "replicas": 2}));
    env::until("the engines hold version 2", || hold(&fleet, "2"));
    fleet.engines.pop();
    fleet.engine(&["--checks-fencing"]);
    let endpoint = json!({
        "name": "engine-1", "address": fleet.engines[1].address("listening"),
        "zone": "zone-1", "services": ["recipes"], "slots": 8,
    });
    let add = json!({"endpoint": endpoint, "author": "test"});
    fleet.operator(0, "AddEndpoint", &add).unwrap();
    env::until("the new engine holds version 2", || hold(&fleet, "2"));
}
