//! Selection of the members whose addresses callers are given.

#[path = "support/member.rs"]
mod support;

use std::collections::BTreeMap;

use auburnspoke::edge::directory::addresses;
use auburnspoke::member::{Member, State, View};
use auburnspoke::name::Name;
use auburnspoke::platform::call::Location;
use googletest::prelude::*;

const ZONES: usize = 3;

fn member(at: usize, state: State) -> Member {
    Member {
        address: format!("10.0.0.{at}:1").into(),
        zone: format!("z{}", at % ZONES).into(),
        state,
        ..support::member(&format!("node-{at:03}"))
    }
}

fn view<S>(count: usize, state: S) -> View
where
    S: Fn(usize) -> State,
{
    let members: Vec<Member> = (0..count).map(|at| member(at, state(at))).collect();
    View::from(members)
}

fn ask(view: &View, without: Option<&str>) -> Vec<Name> {
    let regions = (0..ZONES)
        .map(|at| (format!("z{at}").into(), "r0".into()))
        .collect::<BTreeMap<Name, Name>>();
    let location = Location {
        region: "r0".into(),
        zone: "z1".into(),
    };
    addresses(view, &regions, &location, without)
}

/// Returns the number of the member at `address`.
fn number(address: &Name) -> usize {
    let digits = address.trim_start_matches("10.0.0.").trim_end_matches(":1");
    digits.parse().unwrap()
}

#[gtest]
fn addresses_near_first() {
    let near = |address: &Name| number(address) % ZONES == 1;
    let all = ask(&view(9, |_| State::Alive), None);
    expect_that!(all.len(), eq(9));
    expect_true!(all[..3].iter().all(near));
}

#[gtest]
fn addresses_by_state() {
    let states = [State::Alive, State::Suspect, State::Dead, State::Leaving];
    let all = ask(&view(8, |at| states[at % 4]), None);
    let expected: Vec<Name> = [4, 0, 1, 5]
        .map(|at| format!("10.0.0.{at}:1").into())
        .into();
    expect_that!(all, eq(&expected));
}

#[gtest]
fn addresses_leaving() {
    // A caller that is sent to a leaving node finds it gone a moment later.
    let all = ask(&view(3, |_| State::Alive), Some("10.0.0.0:1"));
    expect_that!(all.len(), eq(2));
    expect_false!(all.iter().any(|address| **address == *"10.0.0.0:1"));
}

#[gtest]
fn addresses_many() {
    expect_that!(ask(&view(200, |_| State::Alive), None).len(), eq(64));
}

#[gtest]
fn addresses_members_lost() {
    // Most nodes lose power at once. Callers sent to them would wait a second per connection.
    let state = |at| if at < 20 { State::Alive } else { State::Dead };
    expect_that!(ask(&view(60, state), None).len(), eq(20));
}
