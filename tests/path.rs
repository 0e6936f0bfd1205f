//! The whole path over real processes.

use googletest::prelude::*;
use serde_json::json;

#[path = "support/env.rs"]
mod env;

#[gtest]
fn ask_through_every_node() {
    // Each node must answer a question, whichever node admits to the engine.
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.settle(3);
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
    fleet.settle(2);
    fleet.configure();
    // "bm90ZQ" is "note" in the base64 of protobuf's JSON.
    let ask = json!({"service": "screening", "path": "/v1/check", "body": "bm90ZQ=="});
    for node in 0..2 {
        let answer = fleet.caller(node, "Ask", &ask).unwrap();
        expect_that!(answer["httpStatus"], eq(&json!(200)));
    }
    expect_that!(fleet.plain_counts(0)["arrived"], eq(&json!(2)));
}
