//! Requests that must run at most once, on real processes.

use googletest::prelude::*;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

fn fleet() -> env::Fleet {
    let mut fleet = env::Fleet::new();
    fleet.plain();
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet.configure();
    fleet
}

fn pay(key: &str) -> Value {
    json!({
        "service": "screening", "organisation": "association", "key": key, "once": true,
        "path": "/v1/pay", "body": "cGF5",
    })
}

fn plain_fault(fleet: &env::Fleet, fault: &Value) {
    let address = fleet.plain[0].address("listening");
    let answer = env::post(
        &address,
        "/fault",
        "application/json",
        fault.to_string().into(),
    );
    assert_eq!(answer.0, 200);
}

/// The plain service runs a call, its answer is lost, and the client repeats the call through
/// every node. The call must run once, and no later answer may report it as not run.
#[gtest]
fn once_answer_lost() {
    let fleet = fleet();
    plain_fault(&fleet, &json!({"lose_answer": true}));
    for node in 0..3 {
        let error = fleet.caller(node, "Ask", &pay("invoice-1")).unwrap_err();
        expect_that!(env::refusal(&error)["notRun"], not(eq(&json!(true))));
    }
    expect_that!(fleet.plain_counts(0)["arrived"], eq(&json!(1)));
}

/// The node that dispatches the call is killed while the plain service runs it, and the client
/// retries through another node. The call must run once.
#[gtest]
fn once_dispatcher_killed() {
    let mut fleet = fleet();
    plain_fault(&fleet, &json!({"delay_ms": 2000}));
    let endpoints = fleet.operator(0, "ListEndpoints", &json!({})).unwrap();
    let dispatcher = endpoints["endpoints"][0]["dispatcher"].as_str().unwrap();
    let dead: usize = dispatcher.strip_prefix("node-").unwrap().parse().unwrap();
    let other = (dead + 1) % 3;
    let address = fleet.nodes[other].address("callers");
    let asking = std::thread::spawn(move || {
        env::call(&address, "/auburnspoke.v1.Caller/Ask", &pay("invoice-2"))
    });
    env::until("the call is under way", || {
        fleet.plain_counts(0)["arrived"] == json!(1)
    });
    fleet.nodes[dead].kill();
    let error = asking.join().unwrap().unwrap_err();
    expect_that!(env::refusal(&error)["notRun"], not(eq(&json!(true))));
    let again = fleet.caller(other, "Ask", &pay("invoice-2")).unwrap_err();
    expect_that!(
        env::refusal(&again)["reason"],
        eq(&json!("REASON_ALREADY_RUN"))
    );
    expect_that!(fleet.plain_counts(0)["arrived"], eq(&json!(1)));
}

/// The platform is unavailable, so no mark can be inserted. The call is refused as not run, with
/// a retry delay, and must not reach the service.
#[gtest]
fn once_platform_down() {
    let fleet = fleet();
    fleet.platform_fault(&json!({"outage": {"silent": false}}));
    let error = fleet.caller(0, "Ask", &pay("invoice-3")).unwrap_err();
    let refusal = env::refusal(&error);
    expect_that!(refusal["notRun"], eq(&json!(true)));
    expect_that!(refusal["retryAfterMs"].as_u64(), some(gt(0)));
    expect_that!(fleet.plain_counts(0)["arrived"], eq(&json!(0)));
}
