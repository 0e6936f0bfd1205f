//! Counting an organisation's requests at one node, and at the gateways.

use std::net::SocketAddr;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::limit::coordinator::{Answer, Coordinator, Decision, Hint, Query};
use auburnspoke::limit::isolation::Isolation;
use auburnspoke::limit::meter::Meter;
use auburnspoke::limit::{Rate, Tolerance};
use auburnspoke::name::Name;
use auburnspoke::pool::Key;
use googletest::prelude::*;

const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};
const RATE: Rate = Rate {
    per_second: 10.0,
    burst: 10.0,
};

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn gateway(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn key(seq: u64) -> Key {
    let gateway = gateway(7);
    Key { gateway, seq }
}

fn organisation() -> Name {
    "a".into()
}

fn question(hint: Option<Hint>) -> Query {
    Query {
        organisation: organisation(),
        rate: RATE,
        version: 1,
        hint,
    }
}

/// A keeper that has run for longer than requests are counted.
fn keeper(tolerance: Tolerance) -> Coordinator {
    let before = at(0) - Duration::from_secs(60);
    let mut keeper = Coordinator::new(before, tolerance);
    keeper.set_node_count(before, 88);
    keeper.set_node_count(before + Duration::from_secs(2), 88);
    keeper
}

/// Asks so often at one time; how many are let through.
fn flood(keeper: &mut Coordinator, now: Time, from: u64, count: u64, hint: Option<Hint>) -> usize {
    let passes =
        |seq: &u64| keeper.take(now, key(*seq), &question(hint)).decision == Decision::Allow;
    (from..from + count).filter(passes).count()
}

#[gtest]
fn take_exact() {
    let mut keeper = keeper(Tolerance::default());
    expect_that!(flood(&mut keeper, at(0), 0, 50, None), eq(10));
    expect_that!(flood(&mut keeper, at(1_000), 100, 50, None), eq(10));
}

/// A datagram is lost, and the gateway asks again. Counted twice, an organisation
/// would be refused below its limit.
#[gtest]
fn take_repeated() {
    let mut keeper = keeper(Tolerance::default());
    for again in 0..5 {
        let verdict = keeper.take(at(again * 20), key(1), &question(None));
        expect_that!(verdict.decision, eq(Decision::Allow));
    }
    expect_that!(flood(&mut keeper, at(80), 100, 50, None), eq(9));
}

/// A request is counted and finds no place. Told to come back, its caller would be
/// over the limit by a request that never ran.
#[gtest]
fn put_back_unrun() {
    let mut keeper = keeper(Tolerance::default());
    flood(&mut keeper, at(0), 0, 50, None);
    keeper.refund(at(0), key(3), &organisation());
    // Given back twice, or never counted: it frees nothing more.
    keeper.refund(at(0), key(3), &organisation());
    keeper.refund(at(0), key(49), &organisation());
    expect_that!(flood(&mut keeper, at(0), 100, 50, None), eq(1));
}

/// Whoever is over the limit is told when there is room, and finds it then.
#[gtest]
fn take_wait_true() {
    let mut keeper = keeper(Tolerance::default());
    flood(&mut keeper, at(0), 0, 10, None);
    let wait = Duration::from_millis(100);
    let before = keeper.take(at(0), key(99), &question(None));
    expect_that!(before.decision, eq(Decision::Deny(wait)));
    let after = keeper.take(at(0) + wait, key(99), &question(None));
    expect_that!(after.decision, eq(Decision::Allow));
}

/// The keeper's node is lost while an organisation floods. With a full bucket at
/// the next one it would have its burst again, as often as nodes are lost.
#[gtest]
fn take_hint_of_another() {
    let mut next = keeper(Tolerance::default());
    let age = Duration::from_millis(200);
    let hint = Hint { tokens: 0.0, age };
    expect_that!(flood(&mut next, at(0), 0, 50, Some(hint)), eq(2));
}

/// All nodes restart at once, and none knows what was let through before.
#[gtest]
fn take_just_started() {
    let mut young = Coordinator::new(at(0), Tolerance::default());
    young.set_node_count(at(5), 88);
    young.set_node_count(at(200), 88);
    expect_that!(flood(&mut young, at(200), 0, 50, None), eq(1));
}

/// All nodes restart, and each finds the others one by one. One that sees a few of
/// them only must not count for all.
#[gtest]
fn see_members_coming() {
    let mut young = Coordinator::new(at(0), Tolerance::default());
    for (millis, nodes) in [(0, 1), (100, 3), (200, 20), (300, 87)] {
        young.set_node_count(at(millis), nodes);
        expect_that!(young.is_settled(), eq(false));
    }
    young.set_node_count(at(450), 87);
    expect_that!(young.is_settled(), eq(true));
}

/// Operators lower a limit far below what is sent. A gateway that has not heard of
/// it yet still asks with the old one.
#[gtest]
fn take_lowered() {
    let mut keeper = keeper(Tolerance::default());
    flood(&mut keeper, at(0), 0, 50, None);
    let lower = Query {
        rate: Rate {
            per_second: 1.0,
            burst: 1.0,
        },
        version: 2,
        ..question(None)
    };
    keeper.take(at(0), key(60), &lower);
    expect_that!(flood(&mut keeper, at(3_000), 100, 50, None), eq(1));
}

fn over(wait_ms: u64) -> Answer {
    Answer {
        decision: Decision::Deny(Duration::from_millis(wait_ms)),
        tokens: 0.0,
    }
}

/// An organisation sends twenty times its usual. Each request that were asked
/// about, or that took a place before it is refused, would cost the others.
#[gtest]
fn dry_refused_here() {
    let mut meter = Meter::new(TOLERANCE);
    let name = organisation();
    expect_that!(meter.exhausted_for(at(0), &name), none());
    expect_that!(meter.was_over_limit(at(0), &name), eq(false));
    meter.record_answer(at(0), &name, gateway(1), over(80));
    expect_that!(
        meter.exhausted_for(at(30), &name),
        some(eq(Duration::from_millis(50)))
    );
    expect_that!(meter.exhausted_for(at(80), &name), none());
    expect_that!(meter.was_over_limit(at(900), &name), eq(true));
    expect_that!(meter.was_over_limit(at(1_100), &name), eq(false));
}

/// A bucket fills hardly or not at all, such as that of a keeper that has just
/// started. Refused here for as long as that would take, an organisation would get
/// nothing for a minute, whatever happens to its limit.
#[gtest]
fn dry_not_for_long() {
    let mut meter = Meter::new(TOLERANCE);
    meter.record_answer(at(0), &organisation(), gateway(1), over(60_000));
    expect_that!(meter.exhausted_for(at(600), &organisation()), none());
}

#[gtest]
fn hint_from_another() {
    let mut meter = Meter::new(TOLERANCE);
    let name = organisation();
    meter.record_answer(at(0), &name, gateway(1), over(80));
    expect_that!(meter.hint(at(50), &name, gateway(1)), none());
    let hint = meter.hint(at(50), &name, gateway(2)).unwrap();
    expect_that!(hint.age, eq(Duration::from_millis(50)));
    expect_that!(meter.hint(at(11_000), &name, gateway(2)), none());
}

/// No keeper answers any of 88 nodes. What they let through together must stay
/// below the limit, and a first request must not be refused everywhere.
#[gtest]
fn alone_all_nodes() {
    let name = organisation();
    let mut passed = 0;
    for node in 0..88 {
        let mut meter = Meter::new(TOLERANCE);
        let chance = f64::from(node) / 88.0;
        for tick in 0..500 {
            let result = meter.take_isolated(at(tick * 10), &name, RATE, 88, chance);
            passed += u32::from(result);
        }
    }
    let bound = (10.0 * 5.0 + 10.0) * 1.1 + 20.0;
    expect_that!(f64::from(passed), le(bound));
    expect_that!(passed, ge(1));
}

/// A node is cut off from all others. As the keeper of a limit it would let all of
/// it through, beside what the others do.
#[gtest]
fn is_cut_off() {
    let mut reach = Isolation::default();
    let fresh = Some(Duration::from_millis(500));
    let old = Some(Duration::from_secs(3));
    let lately = Duration::from_millis(100);
    let long = Duration::from_secs(1);
    reach.set_node_count(at(0), 88);
    // Before and after the others are taken for lost.
    expect_that!(reach.is_isolated(old, long), eq(true));
    reach.set_node_count(at(3_000), 1);
    expect_that!(reach.is_isolated(old, long), eq(true));
    expect_that!(reach.nodes(), eq(88));
    // The others are lost indeed: the store still answers.
    expect_that!(reach.is_isolated(fresh, long), eq(false));
    // The store is away for all, and they still ask this node.
    expect_that!(reach.is_isolated(old, lately), eq(false));
    reach.set_node_count(at(20_000), 1);
    expect_that!(reach.is_isolated(old, long), eq(false));
}
