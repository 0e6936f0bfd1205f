//! The complete request path, on real processes.

use googletest::prelude::*;
use serde_json::json;

#[path = "support/env.rs"]
mod env;

#[gtest]
fn ask_through_every_node() {
    // Each node must answer a request, whichever node runs the engine's dispatcher.
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet.configure();
    let ask = json!({"service": "recipes", "prompt": "swap nuts for seeds", "maxTokens": 8});
    let mut texts = Vec::new();
    for node in 0..3 {
        let answer = fleet.caller(node, "Ask", &ask).unwrap();
        expect_that!(answer["tokens"], eq(&json!(8)));
        texts.push(answer["text"].clone());
    }
    expect_that!(texts[1], eq(&texts[0]));
    expect_that!(texts[2], eq(&texts[0]));
}

#[gtest]
fn ask_plain_service() {
    let mut fleet = env::Fleet::new();
    fleet.plain();
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure();
    // "bm90ZQ" is "note" in the base64 of protobuf's JSON.
    let ask = json!({"service": "screening", "path": "/v1/check", "body": "bm90ZQ=="});
    for node in 0..2 {
        let answer = fleet.caller(node, "Ask", &ask).unwrap();
        expect_that!(answer["httpStatus"], eq(&json!(200)));
    }
    expect_that!(fleet.plain_counts(0)["arrived"], eq(&json!(2)));
}

/// A client submits items in the form that the help text shows, without `maxTokens`. Without
/// the service's default limit every one of them would end as failed.
#[gtest]
fn job_items_without_bound() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0");
    fleet.await_members(1);
    fleet.configure();
    let items = json!([{"key": "k", "prompt": "p"}]);
    let job =
        json!({"service": "recipes", "organisation": "trust", "key": "unbounded", "items": items});
    let accepted = fleet.caller(0, "SubmitJob", &job).unwrap();
    let name = json!({"job": accepted["job"]});
    env::until("the job ends", || {
        fleet.caller(0, "JobStatus", &name).unwrap()["state"] == "JOB_STATE_ENDED"
    });
    let results = fleet.caller(0, "JobResults", &name).unwrap();
    expect_that!(
        results["results"][0]["state"],
        eq(&json!("ITEM_STATE_DONE"))
    );
}

#[gtest]
fn job_results_whole() {
    // Twenty items are submitted at one node and their results are read at another.
    let mut fleet = env::Fleet::new();
    fleet
        .engine(&["--faster", "20"])
        .engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet.configure();
    let items: Vec<_> = (0..20)
        .map(|item| json!({"key": format!("i{item}"), "prompt": format!("scale {item}"), "maxTokens": 4}))
        .collect();
    let job =
        json!({"service": "recipes", "organisation": "trust", "key": "night-1", "items": items});
    let accepted = fleet.caller(0, "SubmitJob", &job).unwrap();
    let name = json!({"job": accepted["job"]});
    env::until("the job ends", || {
        fleet.caller(1, "JobStatus", &name).unwrap()["state"] == "JOB_STATE_ENDED"
    });
    let results = fleet.caller(2, "JobResults", &name).unwrap();
    let results = results["results"].as_array().unwrap();
    expect_that!(results.len(), eq(20));
    for result in results {
        expect_that!(result["state"], eq(&json!("ITEM_STATE_DONE")));
        expect_that!(result["tokens"], eq(&json!(4)));
    }
}
