//! Which members callers are told to use.

use std::collections::BTreeMap;

use auburnspoke::edge::directory::{Own, addresses};
use auburnspoke::member::{Member, State, View};
use auburnspoke::name::Name;
use auburnspoke::platform::call::Place;
use googletest::prelude::*;

const ZONES: usize = 3;

fn member(at: usize, state: State) -> Member {
    Member {
        name: format!("node-{at:03}.1").into(),
        address: format!("10.0.0.{at}:1").into(),
        link: format!("10.0.0.{at}:2").into(),
        control: format!("10.0.0.{at}:3").into(),
        zone: format!("z{}", at % ZONES).into(),
        incarnation: 1,
        state,
        config_version: 0,
        power: 500,
    }
}

fn view<S>(count: usize, state: S) -> View
where
    S: Fn(usize) -> State,
{
    View {
        members: (0..count).map(|at| member(at, state(at))).collect(),
    }
}

fn own(away: bool) -> Own<'static> {
    Own {
        address: "10.0.0.0:1",
        leaving: false,
        away,
    }
}

fn ask(view: &View, own: Own<'_>) -> Vec<Name> {
    let regions = (0..ZONES)
        .map(|at| (format!("z{at}").into(), "r0".into()))
        .collect::<BTreeMap<Name, Name>>();
    let place = Place {
        region: "r0".into(),
        zone: "z1".into(),
    };
    addresses(view, &regions, &place, own)
}

/// The number of the member at `address`.
fn number(address: &Name) -> usize {
    let digits = address.trim_start_matches("10.0.0.").trim_end_matches(":1");
    digits.parse().unwrap()
}

#[gtest]
fn addresses_near_first() {
    let near = |address: &Name| number(address) % ZONES == 1;
    let all = ask(&view(9, |_| State::Alive), own(false));
    expect_that!(all.len(), eq(9));
    expect_true!(all[..3].iter().all(near));
}

#[gtest]
fn addresses_by_state() {
    let states = [State::Alive, State::Suspect, State::Dead, State::Leaving];
    let all = ask(&view(8, |at| states[at % 4]), own(false));
    let expected: Vec<Name> = [4, 0, 1, 5]
        .map(|at| format!("10.0.0.{at}:1").into())
        .into();
    expect_that!(all, eq(&expected));
}

#[gtest]
fn addresses_leaving() {
    let leaving = Own {
        leaving: true,
        ..own(false)
    };
    let all = ask(&view(3, |_| State::Alive), leaving);
    expect_that!(all.len(), eq(2));
    expect_false!(all.iter().any(|address| **address == *"10.0.0.0:1"));
}

#[gtest]
fn addresses_many() {
    expect_that!(ask(&view(200, |_| State::Alive), own(false)).len(), eq(64));
}

#[gtest]
fn addresses_cut_off() {
    // A third of the nodes lose the others and the store, while callers reach all
    // of them. Each takes the others for dead. A caller that asks one of them must
    // not be sent only to nodes that can't keep its jobs, or it is refused again
    // and again and its whole job is late.
    let state = |at| match at {
        0..20 => State::Alive,
        20..25 => State::Suspect,
        _ => State::Dead,
    };
    let all = ask(&view(60, state), own(true));
    expect_that!(all.len(), eq(60));
    let well = all[..20].iter().filter(|address| number(address) >= 20);
    expect_that!(well.count(), ge(13));
}

#[gtest]
fn addresses_members_lost() {
    // Most nodes lose power at once, and the store answers those that are left:
    // the others are gone indeed. Callers that were sent there would wait a second
    // for each connection.
    let state = |at| if at < 20 { State::Alive } else { State::Dead };
    expect_that!(ask(&view(60, state), own(false)).len(), eq(20));
}

#[gtest]
fn addresses_store_away() {
    // The store is down for everybody, and a few nodes have died meanwhile. The
    // members still hear each other, so what they say of the dead counts.
    let state = |at| if at < 50 { State::Alive } else { State::Dead };
    expect_that!(ask(&view(60, state), own(true)).len(), eq(50));
}
