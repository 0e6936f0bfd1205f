//! Items that can never be completed end, and do not affect other items.

use std::time::Duration;

use auburnspoke::job::{End, State};
use googletest::prelude::*;

use crate::fleet::{Fleet, assert_whole, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

/// Some items are malformed and the endpoint refuses them. If they were retried without end, the
/// job would never end.
#[gtest]
fn malformed_items_end_with_an_error() {
    run(async {
        let mut fleet = Fleet::new(1, 2);
        let mut lot = items(200);
        lot[7].prompt = "malformed".into();
        lot[150].prompt = "malformed".into();
        let id = fleet.submit(&submission("menu", lot)).await;
        assert_eq!(fleet.finish(&id).await, State::Ended);
        let replies = fleet.read(&id).await;
        assert_whole(&replies, 200);
        for reply in &replies {
            let failed = matches!(reply.number, 7 | 150);
            expect_that!(
                reply.end == End::Failed,
                eq(failed),
                "item {}",
                reply.number
            );
        }
        expect_that!(replies[7].text, contains_substring("no such language"));
    });
}

/// One item crashes its endpoint each time, together with everything that runs there. If it were
/// sent along with others again, those would fail as often as it does and end with errors.
#[gtest]
fn endpoint_killer_is_isolated() {
    run(async {
        let mut fleet = Fleet::new(2, 1);
        let mut lot = items(100);
        lot[40].prompt = "kill the endpoint".into();
        let id = fleet.submit(&submission("menu", lot)).await;
        assert_eq!(fleet.finish(&id).await, State::Ended);
        let replies = fleet.read(&id).await;
        assert_whole(&replies, 100);
        for reply in &replies {
            expect_that!(reply.end == End::Failed, eq(reply.number == 40));
        }
        let world = fleet.world.borrow();
        let key = format!("{id}/40");
        let runs: Vec<_> = world.runs.iter().filter(|run| *run.key == *key).collect();
        expect_that!(runs.len(), eq(4), "once among others and three times alone");
        expect_that!(runs[1..].iter().all(|run| run.others == 0), eq(true));
    });
}

/// One item crashes its whole VM each time. An attempt counted only in that VM's memory would be
/// lost, and the item would crash one VM after the other.
#[gtest]
fn vm_killer_attempts_are_bounded() {
    run(async {
        let mut fleet = Fleet::new(3, 1);
        let mut lot = items(30);
        lot[11].prompt = "kill the vm".into();
        let id = fleet.submit(&submission("menu", lot)).await;
        let mut killed = 0;
        for _ in 0..3_600 {
            if fleet.state(&id).await == Some(State::Ended) {
                break;
            }
            if fleet.nodes.is_empty() {
                killed += 1;
                fleet.add();
            }
            fleet.pass(Duration::from_secs(1)).await;
        }
        // Twice with other items, then three times isolated.
        expect_that!(killed, le(5));
        assert_eq!(fleet.state(&id).await, Some(State::Ended));
        let replies = fleet.read(&id).await;
        assert_whole(&replies, 30);
        for reply in &replies {
            expect_that!(reply.end == End::Failed, eq(reply.number == 11));
        }
    });
}

/// While an item that crashes endpoints is retried in isolation, the other items wait for seconds
/// and not for as long as the job lasts.
#[gtest]
fn endpoint_killer_does_not_block_other_jobs() {
    run(async {
        let mut fleet = Fleet::new(4, 1);
        let mut lot = items(100);
        lot[3].prompt = "kill the endpoint".into();
        let bad = fleet.submit(&submission("bad", lot)).await;
        let good = fleet.submit(&submission("good", items(100))).await;
        assert_eq!(fleet.finish(&good).await, State::Ended);
        assert_eq!(fleet.finish(&bad).await, State::Ended);
        expect_that!(fleet.elapsed(), lt(Duration::from_secs(60)));
        let replies = fleet.read(&good).await;
        expect_that!(replies.iter().all(|reply| reply.end == End::Done), eq(true));
    });
}
