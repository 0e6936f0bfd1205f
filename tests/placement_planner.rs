//! Placement by a fleet in virtual time, with paused holders, late orders, lost endpoints
//! and a slow weight store.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::lease;
use auburnspoke::name::Name;
use auburnspoke::order::State;
use auburnspoke::placement::{Action, Failure, Input, Planner, SETTLE_DELAY};
use auburnspoke::table::fault::Command;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::Rng as _;

#[path = "placement_planner/fleet.rs"]
mod fleet;

use fleet::{ENDPOINTS, Fleet, NODES, START, document};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    // Holders are paused and resume, their orders arrive late, and endpoints come and go.
    // An outdated order may temporarily drop a model that callers need. This must be
    // corrected, and no further orders may be sent once all endpoints are as planned.
    #[test]
    fn step_faults(seed in any::<u64>()) {
        let mut fleet = Fleet::new(seed);
        for _ in 0..50 {
            fleet.inject_fault();
            let seconds = fleet.random.random_range(0..20);
            fleet.run(seconds);
        }
        fleet.platform.command(&Command::Clear);
        fleet.nodes.iter_mut().for_each(|node| node.paused_until = Time::ZERO);
        fleet.endpoints.values_mut().for_each(|endpoint| endpoint.up = true);
        // The last late order arrives within 40 s and must then be corrected.
        fleet.max_order_delay_ms = 500;
        fleet.run(150);
        let wanted = ["a", "b"].map(|name| fleet.document.services[name].replicas as usize);
        proptest::prop_assert_eq!(fleet.held(), wanted);
        proptest::prop_assert_eq!(fleet.unplanned_models(), 0);
        let orders = fleet.orders;
        fleet.run(120);
        proptest::prop_assert_eq!(fleet.orders, orders);
        proptest::prop_assert_eq!(fleet.held(), wanted);
    }
}

#[gtest]
fn step_target_reached() {
    let mut fleet = Fleet::new(1);
    fleet.run(30);
    expect_that!(fleet.held(), eq([4, 3]));
    expect_that!(fleet.loads, eq(7));
    expect_that!(fleet.platform.counts().admitted, eq(7));
}

#[gtest]
fn step_weight_limited() {
    // Eight endpoints need models at once. The weight store admits ten loads a minute, and
    // starting more would slow down all of them.
    let mut fleet = Fleet::new(1);
    fleet.platform.command(&Command::Weight {
        per_minute: 10,
        burst: 1,
    });
    fleet.apply(&document(2, "1", [8, 8]));
    for _ in 0..120 {
        fleet.run(1);
        let admitted = fleet.platform.counts().admitted;
        assert!(
            fleet.loads <= admitted,
            "{} loads, {admitted} admitted",
            fleet.loads
        );
    }
    expect_that!(fleet.held(), eq([8, 8]));
}

#[gtest]
fn step_endpoint_lost() {
    // An endpoint is lost and replaced by another within a minute. When it comes back,
    // surplus replicas are dropped.
    let mut fleet = Fleet::new(1);
    fleet.run(30);
    let lost = fleet
        .endpoints
        .values_mut()
        .find(|endpoint| !endpoint.state.hold.is_empty())
        .unwrap();
    lost.up = false;
    fleet.run(60);
    expect_that!(fleet.held(), eq([4, 3]));
    fleet
        .endpoints
        .values_mut()
        .for_each(|endpoint| endpoint.up = true);
    fleet.run(60);
    expect_that!(fleet.held(), eq([4, 3]));
}

#[gtest]
fn step_holder_replaced() {
    // The holder is lost and nothing else changes. If its successor planned before it had
    // read every endpoint, it would load surplus models.
    let mut fleet = Fleet::new(1);
    fleet.run(30);
    let (orders, loads) = (fleet.orders, fleet.loads);
    let holder = (0..NODES)
        .find(|at| fleet.nodes[*at].claim.held(fleet.now).is_some())
        .unwrap();
    fleet.nodes[holder].paused_until = Time::MAX;
    fleet.max_read_delay_ms = 3_000;
    fleet.run(60);
    let next = (0..NODES).find(|at| fleet.nodes[*at].claim.held(fleet.now).is_some());
    expect_that!(next, some(not(eq(holder))));
    expect_that!((fleet.orders, fleet.loads), eq((orders, loads)));
}

#[gtest]
fn ordered_read_back() {
    // The endpoint confirms an order. Its state must be read back all the same, because
    // another order may have arrived after it.
    let (mut planner, _) = planner(START + Duration::from_secs(60));
    let mut actions = Vec::new();
    let obeyed = Input::Ordered {
        endpoint: "e1".into(),
        result: Ok(()),
    };
    planner.step(START, obeyed, &mut actions);
    expect_that!(actions, elements_are![eq(&Action::Read("e1".into()))]);
}

#[gtest]
fn step_holder_lost() {
    let mut fleet = Fleet::new(1);
    fleet.run(30);
    let holder = (0..NODES)
        .find(|at| fleet.nodes[*at].claim.held(fleet.now).is_some())
        .unwrap();
    fleet.nodes[holder].paused_until = Time::MAX;
    fleet.apply(&document(2, "2", [5, 2]));
    fleet.run(60);
    expect_that!(fleet.held(), eq([5, 2]));
}

/// Returns a planner that has read all states, and its lease.
fn planner(until: Time) -> (Planner, lease::Held) {
    let mut planner = Planner::new("muscat".into());
    let held = lease::Held { epoch: 3, until };
    planner.step(
        START,
        Input::Document(document(1, "1", [8, 0])),
        &mut Vec::new(),
    );
    planner.step(START, Input::Tick { held: Some(held) }, &mut Vec::new());
    for at in 0..ENDPOINTS {
        let endpoint = format!("e{at}").into();
        let result = Ok(State::default());
        planner.step(START, Input::Read { endpoint, result }, &mut Vec::new());
    }
    (planner, held)
}

/// Ticks and admits loads until no more orders are sent, and returns the ordered endpoints.
fn ordered(planner: &mut Planner, now: Time, held: lease::Held) -> Vec<Name> {
    let mut ordered = Vec::new();
    for _ in 0..40 {
        let mut actions = Vec::new();
        planner.step(now, Input::Tick { held: Some(held) }, &mut actions);
        for action in actions {
            match action {
                Action::Order {
                    endpoint, order, ..
                } => {
                    assert_eq!(order.fence, held.epoch);
                    ordered.push(endpoint);
                }
                Action::Admit(_) => {
                    planner.step(now, Input::Admitted { result: Ok(()) }, &mut Vec::new());
                }
                Action::Read(endpoint) => {
                    let result = Ok(State::default());
                    planner.step(now, Input::Read { endpoint, result }, &mut Vec::new());
                }
                Action::Counts(_) => {}
            }
        }
    }
    ordered.sort_unstable();
    ordered
}

fn fencing_endpoints() -> Vec<Name> {
    (0..ENDPOINTS)
        .step_by(2)
        .map(|at| format!("e{at}").into())
        .collect()
}

#[gtest]
fn tick_new_holder_settles() {
    // The previous holder may have just sent an order. Endpoints that check fencing numbers
    // refuse it. The others get no orders until it has arrived, so that it can't revert a
    // newer one.
    let (mut planner, held) = planner(START + Duration::from_secs(60));
    expect_that!(ordered(&mut planner, START, held), eq(&fencing_endpoints()));
    let settled = START + SETTLE_DELAY;
    expect_that!(
        ordered(&mut planner, settled, held).len(),
        eq(ENDPOINTS / 2)
    );
}

#[gtest]
fn tick_lease_ends_soon() {
    // The lease has less time left than an order takes. An order to an endpoint that does
    // not check fencing numbers might arrive under the next holder.
    let (mut planner, held) = planner(START + Duration::from_secs(20));
    expect_that!(ordered(&mut planner, START, held), eq(&fencing_endpoints()));
    let late = START + Duration::from_secs(18);
    expect_that!(ordered(&mut planner, late, held), eq(&fencing_endpoints()));
}

#[gtest]
fn ordered_stale() {
    // An endpoint has applied an order of a newer holder. This node must stop sending
    // orders at once, even if its lease still appears to be valid.
    let (mut planner, held) = planner(START + Duration::from_secs(60));
    let stale = Input::Ordered {
        endpoint: "e0".into(),
        result: Err(Failure::Stale { fence: 4 }),
    };
    planner.step(START, stale, &mut Vec::new());
    let settled = START + SETTLE_DELAY;
    expect_that!(ordered(&mut planner, settled, held).len(), eq(0));
}

#[gtest]
fn step_operations() {
    // Bounds the cost of an hour without changes; see docs/design/placement.md.
    let mut fleet = Fleet::new(1);
    fleet.run(120);
    let (orders, reads, counts) = (fleet.orders, fleet.reads, fleet.platform.counts());
    fleet.run(3_600);
    let writes = fleet.platform.counts().writes - counts.writes;
    let reads = fleet.reads - reads;
    println!("an idle hour: {reads} endpoint reads of {ENDPOINTS}, {writes} table writes");
    expect_that!(fleet.orders, eq(orders));
    expect_that!(reads, le(120 * u32::try_from(ENDPOINTS).unwrap()));
    expect_that!(writes, le(901));
}
