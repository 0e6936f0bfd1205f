//! The configuration on real nodes that are suspended, replaced, and disconnected
//! from the platform.

use std::thread::sleep;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

fn start(nodes: usize) -> env::Fleet {
    let mut fleet = env::Fleet::new();
    fleet.plain();
    for node in 0..nodes {
        fleet.node(&format!("zone-{node}"));
    }
    fleet.await_members(nodes);
    fleet.configure();
    fleet
}

fn ask(fleet: &env::Fleet, node: usize) -> std::result::Result<Value, Value> {
    let ask = json!({"service": "screening", "path": "/v1/check", "body": "bm90ZQ=="});
    fleet.caller(node, "Ask", &ask)
}

/// Removes the service and everything that refers to it.
fn remove(fleet: &env::Fleet, node: usize) {
    let config = fleet.operator(node, "GetConfig", &json!({})).unwrap();
    let apply = json!({"expectVersion": config["version"], "config": {}, "author": "test"});
    fleet.operator(node, "ApplyConfig", &apply).unwrap();
}

#[gtest]
fn node_frozen() {
    // The node that admits requests to the service's endpoint is suspended while
    // an operator removes the service. When it resumes, it still has the old
    // configuration and must not use it to serve requests that waited in its
    // buffers.
    let fleet = start(3);
    expect_that!(ask(&fleet, 0), ok(anything()));
    fleet.nodes[0].pause();
    remove(&fleet, 1);
    sleep(Duration::from_secs(15));
    let before = fleet.plain_counts(0)["arrived"].clone();
    let answers = std::thread::scope(|scope| {
        let waiting: Vec<_> = (0..4).map(|_| scope.spawn(|| ask(&fleet, 0))).collect();
        sleep(Duration::from_millis(300));
        fleet.nodes[0].resume();
        waiting
            .into_iter()
            .map(|one| one.join().unwrap())
            .collect::<Vec<_>>()
    });
    for answer in answers {
        let refused = answer.unwrap_err();
        expect_that!(env::refusal(&refused)["notRun"], eq(&json!(true)));
    }
    expect_that!(fleet.plain_counts(0)["arrived"], eq(&before));
    env::until("the node learns of the change", || {
        let refused = ask(&fleet, 0).unwrap_err();
        env::refusal(&refused)["reason"] == "REASON_UNKNOWN_SERVICE"
    });
}

#[gtest]
fn platform_lost() {
    // The platform is unavailable for longer than any evidence remains valid.
    // Every node can verify that the others cannot reach it either, and requests
    // are still answered; no change is accepted. A node that is replaced
    // meanwhile finds its peers by the seeds in its settings, and refuses
    // requests until they have sent it the configuration.
    let mut fleet = start(3);
    // A node counts as a witness of the configuration half a minute after its
    // start.
    sleep(Duration::from_secs(34));
    fleet.platform.pause();
    let lost = Instant::now();
    while lost.elapsed() < Duration::from_secs(30) {
        for node in 0..3 {
            expect_that!(
                ask(&fleet, node),
                ok(anything()),
                "after {:?}",
                lost.elapsed()
            );
        }
        sleep(Duration::from_millis(500));
    }
    let config = json!({"expectVersion": 1, "config": {}, "author": "test"});
    let refused = fleet.operator(0, "ApplyConfig", &config).unwrap_err();
    expect_that!(env::refusal(&refused)["notRun"], eq(&json!(true)));

    fleet.nodes[2].kill();
    let seeds = format!("seeds = [\"{}\"]", fleet.nodes[0].address("control"));
    let again = fleet.start_node("node-2", "zone-2", "127.0.0.1:0", &seeds);
    fleet.nodes[2] = again;
    env::until("the new node has learned the configuration", || {
        ask(&fleet, 2).is_ok()
    });
    for node in 0..2 {
        expect_that!(ask(&fleet, node), ok(anything()));
    }
    fleet.platform.resume();
    env::until("the platform is back", || {
        let config = fleet.operator(0, "GetConfig", &json!({}));
        config.is_ok_and(|config| config["version"] == "1")
    });
}

#[gtest]
fn all_replaced_without_platform() {
    // Every node is replaced while the platform is unavailable. No node has the
    // configuration, and callers are asked to retry instead of being served with
    // a guessed one.
    let mut fleet = start(2);
    fleet.platform.pause();
    for node in 0..2 {
        fleet.nodes[node].kill();
        let name = format!("node-{node}");
        let again = fleet.start_node(&name, &format!("zone-{node}"), "127.0.0.1:0", "");
        fleet.nodes[node] = again;
    }
    for _ in 0..20 {
        for node in 0..2 {
            let refused = ask(&fleet, node).unwrap_err();
            expect_that!(env::refusal(&refused)["reason"], eq("REASON_NOT_READY"));
        }
        sleep(Duration::from_millis(250));
    }
    fleet.platform.resume();
    for node in 0..2 {
        env::until("the node has read the configuration", || {
            ask(&fleet, node).is_ok()
        });
    }
}

#[gtest]
fn operators_race() {
    // Six operators add services through three nodes at the same time. Each
    // change is reported as accepted, so each service must be present.
    let fleet = start(3);
    std::thread::scope(|scope| {
        for operator in 0..6 {
            let fleet = &fleet;
            scope.spawn(move || {
                let service = json!({
                    "service": {"name": format!("s{operator}"), "kind": "SERVICE_KIND_PLAIN"},
                    "author": format!("operator-{operator}"),
                });
                fleet
                    .operator(operator % 3, "ApplyService", &service)
                    .unwrap();
            });
        }
    });
    env::until("every node has all of them", || {
        (0..3).all(|node| {
            let config = fleet.operator(node, "GetConfig", &json!({})).unwrap();
            config["config"]["services"].as_array().map(Vec::len) == Some(8)
        })
    });
    let history = fleet.operator(0, "ConfigHistory", &json!({})).unwrap();
    expect_that!(history["changes"].as_array().map(Vec::len), some(eq(7)));
}
