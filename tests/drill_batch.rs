//! Batch jobs on real processes, in addition to `job_process`.

use googletest::prelude::*;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

/// A job is cancelled at one node while other nodes run its items, each of which takes seconds. The
/// cancellation is pushed to all nodes, so none starts another item after a moment. Without the
/// push they would continue until they check the job's row, up to ten seconds later.
#[gtest]
fn cancel_is_pushed() {
    let mut fleet = env::Fleet::new();
    for _ in 0..3 {
        fleet.engine(&[]);
    }
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet.configure_with(&json!({"latencyWeight": 0}));
    let items: Vec<_> = (0..600)
        .map(|n| json!({"key": format!("i{n}"), "prompt": format!("item {n}"), "maxTokens": 120}))
        .collect();
    let job = json!({"service": "recipes", "organisation": "trust", "key": "c", "items": items});
    let accepted = fleet.caller(0, "SubmitJob", &job).unwrap();
    let arrived = || -> u64 {
        let each = (0..3).map(|engine| fleet.engine_counts(engine)["arrived"].as_u64().unwrap());
        each.sum()
    };
    env::until("items run", || arrived() > 15);
    let name = json!({"job": accepted["job"]});
    let cancelled = fleet.caller(1, "CancelJob", &name).unwrap();
    expect_that!(cancelled["state"], eq(&json!("JOB_STATE_CANCELLED")));
    let acknowledged = arrived();
    let idle = |engine: usize| {
        let address = fleet.engines[engine].address("listening");
        let (_, load) = env::get(&address, "/v1/load");
        let load: Value = serde_json::from_slice(&load).unwrap();
        load["running"] == json!(0) && load["waiting"] == json!(0)
    };
    env::until("nothing runs any more", || (0..3).all(idle));
    // There are 24 slots in total; ten more seconds would fill each of them several times.
    expect_that!(arrived() - acknowledged, lt(24));
}
