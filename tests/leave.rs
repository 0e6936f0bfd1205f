//! Graceful shutdown of real nodes.

use googletest::prelude::*;
use rustix::process::Signal;
use serde_json::json;

#[path = "support/env.rs"]
mod env;

/// A node is stopped while it streams answers for its own callers and for another
/// node. No answer may be truncated, and the process must exit by itself with
/// code 0.
#[gtest]
fn stop_under_load() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&[]);
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure();
    let ask = json!({"service": "recipes", "prompt": "long", "maxTokens": 100});
    let asking: Vec<_> = (0..6)
        .map(|n| {
            let address = fleet.nodes[n % 2].address("callers");
            let ask = ask.clone();
            std::thread::spawn(move || env::call(&address, "/auburnspoke.v1.Caller/Ask", &ask))
        })
        .collect();
    env::until("the requests run", || {
        fleet.engine_counts(0)["arrived"].as_u64() >= Some(6)
    });
    fleet.nodes[0].signal(Signal::TERM);
    for answer in asking {
        let answer = answer.join().unwrap();
        expect_that!(answer.map(|a| a["tokens"].clone()), ok(eq(&json!(100))));
    }
    expect_that!(fleet.nodes[0].wait(), some(eq(0)));
}

/// A caller got the address of a node before the node began to leave and uses it
/// afterwards. It is served and told to close its connection.
#[gtest]
fn stop_serves_cached_address() {
    let mut fleet = env::Fleet::new();
    fleet.engine(&["--faster", "20"]);
    fleet.node("zone-0").node("zone-1");
    fleet.await_members(2);
    fleet.configure();
    fleet.nodes[0].signal(Signal::TERM);
    env::until("the other node learns of the departure", || {
        let located = fleet.caller(1, "Locate", &json!({"count": 5})).unwrap();
        located["addresses"].as_array().map(Vec::len) == Some(1)
    });
    let ask = json!({"service": "recipes", "prompt": "late", "maxTokens": 4});
    let answer = fleet.caller(0, "Ask", &ask);
    expect_that!(answer.map(|a| a["tokens"].clone()), ok(eq(&json!(4))));
    expect_that!(fleet.nodes[0].wait(), some(eq(0)));
}
