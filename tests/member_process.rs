//! Membership of real processes that are killed, stopped and restarted.

use googletest::prelude::*;
use rustix::process::Signal;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

/// Returns the state and incarnation of a member as seen by `node`.
fn sees(fleet: &env::Fleet, node: usize, name: &str) -> Option<(String, u64)> {
    let answer = fleet.operator(node, "ListMembers", &json!({})).ok()?;
    let members = answer["members"].as_array()?;
    let member = members.iter().find(|member| member["name"] == name)?;
    let state = member["state"].as_str()?.to_owned();
    let incarnation = match &member["incarnation"] {
        Value::String(text) => text.parse().ok()?,
        number => number.as_u64()?,
    };
    Some((state, incarnation))
}

fn is(fleet: &env::Fleet, node: usize, name: &str, state: &str) -> bool {
    sees(fleet, node, name).is_some_and(|(seen, _)| seen == state)
}

fn three() -> env::Fleet {
    let mut fleet = env::Fleet::new();
    fleet.node("zone-0").node("zone-1").node("zone-2");
    fleet.await_members(3);
    fleet
}

/// A VM crashes during its work. The other nodes must detect it by themselves, or
/// callers keep being sent to an address where nothing answers.
#[gtest]
fn killed_node_is_dead_for_the_others() {
    let mut fleet = three();
    fleet.nodes[2].kill();
    for node in 0..2 {
        env::until("the killed node is dead", || {
            is(&fleet, node, "node-2", "MEMBER_STATE_DEAD")
        });
    }
    // A new process with that name rejoins, whatever the others stored about the
    // old one.
    let again = fleet.start_node("node-2", "zone-2", "127.0.0.1:0", "");
    fleet.nodes[2] = again;
    for node in 0..2 {
        env::until("the restarted node is back", || {
            is(&fleet, node, "node-2", "MEMBER_STATE_ALIVE")
        });
    }
    let (_, incarnation) = sees(&fleet, 0, "node-2").unwrap();
    expect_that!(incarnation, gt(1));
}

/// A VM is suspended for a long time and resumed. The other nodes declare it dead
/// meanwhile; after it resumes it must rejoin by itself, without having declared
/// the others dead.
#[gtest]
fn stopped_node_rejoins_without_suspicions() {
    let fleet = three();
    let before = sees(&fleet, 0, "node-0").unwrap();
    fleet.nodes[2].signal(Signal::STOP);
    for node in 0..2 {
        env::until("the stopped node is dead", || {
            is(&fleet, node, "node-2", "MEMBER_STATE_DEAD")
        });
    }
    fleet.nodes[2].resume();
    for node in 0..2 {
        env::until("the stopped node is back", || {
            is(&fleet, node, "node-2", "MEMBER_STATE_ALIVE")
        });
        let name = format!("node-{node}");
        expect_that!(is(&fleet, 2, &name, "MEMBER_STATE_ALIVE"), eq(true));
    }
    // No member was suspected, so none had to refute it with a higher
    // incarnation.
    expect_that!(sees(&fleet, 0, "node-0").unwrap(), eq(&before));
}
