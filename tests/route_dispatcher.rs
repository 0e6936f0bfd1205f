//! Selection of the node that dispatches to an endpoint.

use std::collections::BTreeMap;

use auburnspoke::member::{Member, State, View};
use auburnspoke::route;
use googletest::prelude::*;

fn view(count: usize) -> View {
    let mut members: Vec<Member> = (0..count).map(member).collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    View::from(members)
}

fn member(at: usize) -> Member {
    Member {
        name: format!("n{at:03}").into(),
        address: "".into(),
        link: "".into(),
        control: "".into(),
        zone: zone(at).into(),
        incarnation: 1,
        state: State::Alive,
        config_version: 1,
        power: 0,
    }
}

fn zone(at: usize) -> &'static str {
    ["a", "b", "c"][at % 3]
}

fn dispatchers(view: &View, endpoints: usize) -> Vec<String> {
    (0..endpoints)
        .map(|at| {
            let found = route::dispatcher(view, &format!("e{at}"), zone(at));
            found.map_or_else(String::new, |m| m.name.to_string())
        })
        .collect()
}

#[gtest]
fn dispatcher_same_zone() {
    let view = view(12);
    for at in 0..45 {
        let found = route::dispatcher(&view, &format!("e{at}"), zone(at)).unwrap();
        expect_that!(&*found.zone, eq(zone(at)));
    }
}

#[gtest]
fn dispatcher_member_lost() {
    // The loss of a node must move only its own endpoints. Otherwise each loss would
    // reset the queues of the whole fleet.
    let before = view(330);
    let mut after = before.clone();
    let gone = after.members[7].name.to_string();
    after.members[7].state = State::Dead;
    let (old, new) = (dispatchers(&before, 690), dispatchers(&after, 690));
    for (old, new) in old.iter().zip(&new) {
        expect_that!(new, not(eq(&gone)));
        if *old != gone {
            expect_that!(new, eq(old));
        }
    }
}

#[gtest]
fn dispatcher_zone_lost() {
    // The endpoints of a zone without nodes still have a dispatcher.
    let mut view = view(12);
    for member in view.members.iter_mut().filter(|m| &*m.zone == "a") {
        member.state = State::Dead;
    }
    let found = route::dispatcher(&view, "e1", "a").unwrap();
    expect_that!(&*found.zone, not(eq("a")));
}

#[gtest]
fn dispatcher_leaving_skipped() {
    let mut view = view(3);
    view.members[0].state = State::Leaving;
    let found = route::dispatcher(&view, "e1", "a").unwrap();
    expect_that!(&*found.name, not(eq("n000")));
    expect_that!(route::dispatcher(&View::default(), "e1", "a"), none());
}

#[gtest]
fn dispatcher_spread() {
    let mut counts = BTreeMap::<String, u32>::new();
    for name in dispatchers(&view(330), 690) {
        *counts.entry(name).or_default() += 1;
    }
    expect_that!(counts.values().max(), some(le(&10)));
}
