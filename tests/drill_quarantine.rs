//! Requests that crash the engines that run them, on real processes.

use std::net::TcpStream;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

const ENGINES: usize = 6;
const KILLER: &str = "kill-engine";

fn prompt_request(prompt: &str, n: usize) -> Value {
    json!({"service": "recipes", "prompt": prompt, "maxTokens": 20, "key": format!("k{n}")})
}

fn fleet() -> env::Fleet {
    let mut fleet = env::Fleet::new();
    for _ in 0..ENGINES {
        fleet.engine(&["--faster", "20"]);
    }
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet.configure();
    for engine in 0..ENGINES {
        fleet.engine_fault(engine, &json!({"die_on": KILLER}));
    }
    fleet
}

fn crashed(fleet: &env::Fleet) -> usize {
    let engines = fleet.engines.iter();
    let has_crashed =
        |engine: &&env::Process| TcpStream::connect(engine.address("listening")).is_err();
    engines.filter(has_crashed).count()
}

/// A request crashes every engine that runs it, and its callers retry it at every node.
/// Without the quarantine no engine would be left for other requests.
#[gtest]
fn request_crashes_engines() {
    let fleet = fleet();
    for n in 0..6 {
        let answer = fleet.caller(n % 3, "Ask", &prompt_request(KILLER, n));
        expect_that!(answer, err(anything()));
    }
    expect_that!(crashed(&fleet), le(3));
    let answer = fleet.caller(0, "Ask", &prompt_request("good", 100));
    expect_that!(answer, ok(anything()));
}

/// Guards against a node that was paused while others saw a request crash engines: it runs
/// requests that arrived meanwhile before it has read what the others observed.
#[gtest]
fn request_after_pause() {
    let fleet = fleet();
    let request = prompt_request(KILLER, 0);
    for round in 0..3 {
        fleet.nodes[2].pause();
        let answer = fleet.caller(0, "Ask", &prompt_request(KILLER, round));
        expect_that!(answer, err(anything()));
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| fleet.caller(2, "Ask", &request));
            }
            // The requests arrive while the node is paused.
            std::thread::sleep(Duration::from_millis(200));
            fleet.nodes[2].resume();
        });
    }
    expect_that!(crashed(&fleet), le(3));
    let answer = fleet.caller(0, "Ask", &prompt_request("good", 100));
    expect_that!(answer, ok(anything()));
}
