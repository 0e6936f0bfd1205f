//! Batch jobs on real processes, beside those of `job_process`.

use googletest::prelude::*;
use serde_json::json;

#[path = "support/env.rs"]
mod env;

/// A planner cancels a job at one node while others run its items. Within the
/// moment that the news needs, no node starts another item. Without the push the
/// others would go on until they look at the job's row, up to ten seconds later.
#[gtest]
fn cancel_is_pushed() {
    let mut fleet = env::Fleet::new();
    for _ in 0..3 {
        fleet.engine(&["--faster", "20"]);
    }
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.settle(3);
    fleet.configure();
    let items: Vec<_> = (0..6_000)
        .map(|n| json!({"key": format!("i{n}"), "prompt": format!("item {n}"), "maxTokens": 40}))
        .collect();
    let job = json!({"service": "recipes", "organisation": "trust", "key": "c", "items": items});
    let accepted = fleet.caller(0, "SubmitJob", &job).unwrap();
    let arrived = || -> u64 {
        let each = (0..3).map(|engine| fleet.engine_counts(engine)["arrived"].as_u64().unwrap());
        each.sum()
    };
    env::until("items run", || arrived() > 100);
    let name = json!({"job": accepted["job"]});
    let cancelled = fleet.caller(1, "CancelJob", &name).unwrap();
    expect_that!(cancelled["state"], eq(&json!("JOB_STATE_CANCELLED")));
    let acknowledged = arrived();
    let mut last = acknowledged;
    env::until("nothing starts any more", || {
        std::thread::sleep(std::time::Duration::from_millis(500));
        let now = arrived();
        let still = now == last;
        last = now;
        still
    });
    // Some 300 items a second ran before; ten seconds of them would be far more.
    expect_that!(last - acknowledged, lt(600));
}
