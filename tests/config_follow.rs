//! Configuration versions applied by a small fleet in virtual time, with pauses,
//! partitions, restarts and outages while the configuration changes.

use auburnspoke::clock::Time;
use auburnspoke::config::follow::{Action, Follower, Input};
use auburnspoke::config::row::Pointer;
use auburnspoke::table::Fault;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::test_runner::RngSeed;
use rand::Rng as _;

#[path = "config_follow/fleet.rs"]
mod fleet;

use fleet::{Fleet, Message, NODES, START, STEP, document};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    // Nodes are paused, restarted and partitioned and the table comes and goes
    // while changes are accepted. Thirteen seconds after a change was reported as
    // accepted, no node may still apply the configuration that it replaced, and
    // no node may return to an older one.
    #[test]
    fn step_disturbed(seed in any::<u64>()) {
        let mut fleet = Fleet::new(seed);
        for _ in 0..60 {
            fleet.inject_faults();
            let seconds = fleet.random.random_range(0..10);
            fleet.run(seconds);
        }
        // After the faults end, the newest version is in force on every node.
        fleet.table_up = true;
        fleet.nodes.iter_mut().for_each(|node| {
            node.side = 0;
            node.paused_until = Time::ZERO;
        });
        fleet.run(30);
        let newest = fleet.commits.len() as u64;
        proptest::prop_assert_eq!(fleet.versions(), vec![newest; NODES]);
        proptest::prop_assert!(fleet.accepted > 0);
    }
}

#[gtest]
fn step_change_in_force() {
    // Without gossip, an accepted change must still be in force on every node
    // within thirteen seconds.
    let mut fleet = Fleet::new(1);
    fleet.run(20);
    fleet.commits.push(fleet.now);
    fleet.run(13);
    expect_that!(fleet.versions(), eq(&vec![2; NODES]));
}

#[gtest]
fn step_outage() {
    // The platform is unavailable for an hour. Every node can verify that no
    // other node reaches it either, and requests are still answered.
    let mut fleet = Fleet::new(1);
    fleet.run(40);
    fleet.table_up = false;
    for _ in 0..3_600 {
        fleet.run(1);
        assert!(fleet.versions().iter().all(|version| *version == 1));
    }
}

#[gtest]
fn step_cut_off() {
    // One node is partitioned. It cannot determine whether the others accept
    // changes, and refuses work until it can.
    let mut fleet = Fleet::new(1);
    fleet.run(20);
    fleet.nodes[0].side = 1;
    fleet.run(16);
    expect_that!(fleet.versions(), eq(&vec![0, 1, 1, 1, 1]));
    fleet.nodes[0].side = 0;
    fleet.run(10);
    expect_that!(fleet.versions(), eq(&vec![1; NODES]));
}

#[gtest]
fn step_table_cut_off() {
    // One node cannot reach the table but reaches its peers, which can. It
    // continues with the evidence that they confirm.
    let mut fleet = Fleet::new(1);
    fleet.run(20);
    let mut served = 0;
    for _ in 0..60 {
        let requested_at = fleet.now;
        fleet.run(1);
        let failed = Err(Fault::Unknown);
        // Its own polls fail, so its evidence can only come from peers.
        let polled = |message: &Message| matches!(message, Message::Input(Input::Polled { .. }));
        fleet.nodes[0].inbox.retain(|_, message| !polled(message));
        fleet.input(
            0,
            Input::Polled {
                requested_at,
                result: failed,
            },
        );
        served += u32::from(fleet.versions()[0] == 1);
    }
    expect_that!(served, ge(55));
}

#[gtest]
fn step_restart_in_outage() {
    // A node is replaced while the platform is unavailable. It refuses work until
    // its peers have sent it the version, and then takes part.
    let mut fleet = Fleet::new(1);
    fleet.run(40);
    fleet.table_up = false;
    fleet.run(20);
    fleet.restart(0);
    expect_that!(fleet.versions()[0], eq(0));
    fleet.run(20);
    expect_that!(fleet.versions(), eq(&vec![1; NODES]));
}

#[gtest]
fn step_all_restart_in_outage() {
    // Every node is replaced while the platform is unavailable. No node has the
    // configuration, and none may guess it.
    let mut fleet = Fleet::new(1);
    fleet.run(40);
    fleet.table_up = false;
    (0..NODES).for_each(|at| fleet.restart(at));
    fleet.run(60);
    expect_that!(fleet.versions(), eq(&vec![0; NODES]));
    fleet.table_up = true;
    fleet.run(13);
    expect_that!(fleet.versions(), eq(&vec![1; NODES]));
}

#[gtest]
fn step_reads() {
    // A node of an idle fleet reads one small row every six seconds and the
    // document once; docs/design/config.md sums this up for 330 nodes.
    let mut follower = Follower::new(START, "n1");
    let (mut polls, mut fetches) = (0, 0);
    let mut now = START;
    for _ in 0..3_600 * 4 {
        now += STEP;
        let mut actions = vec![];
        follower.step(now, Input::Tick, &mut actions);
        for action in actions {
            let requested_at = now;
            if action == Action::Poll {
                polls += 1;
                let version = 1;
                let result = Ok(Some(Pointer { version, change: 0 }));
                follower.step(
                    now,
                    Input::Polled {
                        requested_at,
                        result,
                    },
                    &mut Vec::new(),
                );
            } else if action == Action::Fetch {
                fetches += 1;
                let result = Ok(Some(document(1)));
                follower.step(
                    now,
                    Input::Fetched {
                        requested_at,
                        result,
                    },
                    &mut Vec::new(),
                );
            }
        }
    }
    println!("polls an hour: {polls}, reads of the document: {fetches}");
    expect_that!(polls, le(601));
    expect_that!(fetches, eq(1));
}
