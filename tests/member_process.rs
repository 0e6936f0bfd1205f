//! Members as real processes that are killed, stopped and restarted.

use googletest::prelude::*;
use rustix::process::Signal;
use serde_json::{Value, json};

#[path = "support/env.rs"]
mod env;

/// How `node` sees the member of that name: its state and incarnation.
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
    fleet.settle(3);
    fleet
}

/// A VM is lost in the middle of its work. The others must notice by themselves,
/// or callers go on being sent to an address where nobody answers.
#[gtest]
fn killed_node_is_dead_for_the_others() {
    let mut fleet = three();
    fleet.nodes[2].kill();
    for node in 0..2 {
        env::until("the killed node is dead", || {
            is(&fleet, node, "node-2", "MEMBER_STATE_DEAD")
        });
    }
    // A new process of that name is taken back, whatever was known of the old.
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

/// A VM's host stops it for long and lets it run again. It is dead for the
/// others meanwhile; awake, it must be back by itself, and must not have taken
/// the others for dead because it slept.
#[gtest]
fn stopped_node_comes_back_and_blames_nobody() {
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
    // Nobody was accused, so nobody had to object with a higher incarnation.
    expect_that!(sees(&fleet, 0, "node-0").unwrap(), eq(&before));
}
