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

/// Submits a job with one item and returns its name.
fn submit_item(fleet: &env::Fleet) -> Value {
    let items = [json!({"key": "i", "prompt": KILLER, "maxTokens": 20})];
    let job = json!({"service": "recipes", "organisation": "trust", "key": "j", "items": items});
    let accepted = fleet.caller(0, "SubmitJob", &job).unwrap();
    json!({"job": accepted["job"]})
}

/// Waits until a job of one item has ended, and returns true if the item is done.
fn is_done(fleet: &env::Fleet, job: &Value) -> bool {
    let status = || fleet.caller(1, "JobStatus", job).unwrap();
    env::until("the job has ended", || {
        status()["state"] == json!("JOB_STATE_ENDED")
    });
    status()["done"] == json!(1)
}

/// Makes the engines that are left sound.
fn mend(fleet: &env::Fleet) {
    let is_up =
        |engine: &usize| TcpStream::connect(fleet.engines[*engine].address("listening")).is_ok();
    for engine in (0..ENGINES).filter(is_up) {
        fleet.engine_fault(engine, &json!({"die_on": ""}));
    }
}

/// Returns a request like the item of [`submit_item`].
fn request_like_item(n: usize) -> Value {
    let mut request = prompt_request(KILLER, n);
    request["organisation"] = json!("trust");
    request
}

/// Guards against an item of a batch job that a verdict holds back, because an online request for
/// the same prompt has crashed engines.
#[gtest]
fn item_like_condemned_request() {
    let fleet = fleet();
    for n in 0..6 {
        let answer = fleet.caller(n % 3, "Ask", &request_like_item(n));
        expect_that!(answer, err(anything()));
    }
    mend(&fleet);
    let job = submit_item(&fleet);
    expect_that!(is_done(&fleet, &job), eq(true));
}
