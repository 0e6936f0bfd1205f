//! A cancelled job stops, and every reader sees the same final state.

use std::time::Duration;

use auburnspoke::job::runner::Input;
use auburnspoke::job::{End, Id, State};
use auburnspoke::outcome::{Outcome, Reason};
use auburnspoke::table::fault::Command;
use googletest::prelude::*;

use crate::fleet::{Fleet, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

impl Fleet {
    async fn cancel(&mut self, id: &Id) -> Outcome<State> {
        let jobs = self.jobs.clone();
        self.during(async { jobs.cancel(id).await }).await
    }

    fn last_start(&self) -> Duration {
        let world = self.world.borrow();
        world.runs.last().map_or(Duration::ZERO, |run| run.started)
    }
}

/// After a cancellation every item that still starts wastes a slot. The push to the holders is lost
/// here, so only their own check of the job's row stops them.
#[gtest]
fn cancel_stops_within_the_check_period() {
    run(async {
        let mut fleet = Fleet::with(1, 0, Duration::from_secs(3));
        for _ in 0..3 {
            fleet.add();
        }
        let id = fleet.submit(&submission("menu", items(5_000))).await;
        let sent = |fleet: &Fleet| fleet.world.borrow().runs.len();
        fleet.until(|fleet| sent(fleet) >= 100).await;
        expect_that!(
            fleet.cancel(&id).await,
            eq(&Outcome::Done(State::Cancelled))
        );
        let acknowledged = fleet.elapsed();
        fleet.pass(Duration::from_secs(60)).await;
        let late = fleet.last_start().saturating_sub(acknowledged);
        expect_that!(
            late,
            le(fleet.setting.check_interval + Duration::from_millis(200))
        );
        // Running items were cancelled at the endpoints.
        expect_that!(fleet.world.borrow().cancelled, ge(8));
        expect_that!(
            fleet.nodes.values().all(|node| node.running.get() == 0),
            eq(true)
        );
    });
}

/// After the push has arrived, no further item starts.
#[gtest]
fn cancel_pushed_stops_at_once() {
    run(async {
        let mut fleet = Fleet::new(2, 3);
        let id = fleet.submit(&submission("menu", items(5_000))).await;
        fleet
            .until(|fleet| fleet.world.borrow().runs.len() >= 200)
            .await;
        expect_that!(
            fleet.cancel(&id).await,
            eq(&Outcome::Done(State::Cancelled))
        );
        for node in fleet.nodes.values() {
            node.handle.send(Input::Cancelled(id.clone()));
        }
        fleet.pass(Duration::from_millis(1)).await;
        let acknowledged = fleet.elapsed();
        fleet.pass(Duration::from_secs(60)).await;
        expect_that!(fleet.last_start(), le(acknowledged));
    });
}

/// Results that were readable before the cancellation stay. All other items are reported as
/// cancelled and never get another result.
#[gtest]
fn cancel_keeps_what_was_readable() {
    run(async {
        let mut fleet = Fleet::new(3, 2);
        let id = fleet.submit(&submission("menu", items(1_000))).await;
        fleet
            .until(|fleet| {
                fleet
                    .nodes
                    .values()
                    .map(|n| n.stats.get().committed)
                    .sum::<u64>()
                    >= 3
            })
            .await;
        let before = fleet.read(&id).await;
        expect_that!(before.len(), ge(300));
        expect_that!(
            fleet.cancel(&id).await,
            eq(&Outcome::Done(State::Cancelled))
        );
        let after = fleet.read(&id).await;
        expect_that!(after.len(), eq(1_000));
        fleet.pass(Duration::from_secs(120)).await;
        expect_that!(fleet.read(&id).await, eq(&after));
        let cancelled = after.iter().filter(|reply| reply.end == End::Cancelled);
        expect_that!(cancelled.count(), ge(1));
        let open = fleet.open_lanes().await;
        expect_that!(open, eq(0), "no lane of a cancelled job stays in the index");
    });
}

/// No node finds the lanes of the cancelled job. If they stayed in the index, every node that looks
/// for work would read them again.
#[gtest]
fn cancel_clears_the_index() {
    run(async {
        let mut fleet = Fleet::new(4, 0);
        let id = fleet.submit(&submission("menu", items(3_000))).await;
        expect_that!(fleet.open_lanes().await, eq(16));
        expect_that!(
            fleet.cancel(&id).await,
            eq(&Outcome::Done(State::Cancelled))
        );
        expect_that!(fleet.open_lanes().await, eq(0));
    });
}

/// The node that cancels is lost before it has removed the lanes from the index. A node that finds
/// such a lane removes it and claims nothing from it.
#[gtest]
fn cancel_then_loss_of_the_node() {
    run(async {
        let mut fleet = Fleet::new(4, 0);
        let id = fleet.submit(&submission("menu", items(3_000))).await;
        let jobs = fleet.jobs.clone();
        let lost = tokio::time::timeout(Duration::from_millis(20), jobs.cancel(&id));
        expect_that!(fleet.during(lost).await.is_err(), eq(true));
        expect_that!(fleet.open_lanes().await, gt(0));
        fleet.add();
        fleet.pass(Duration::from_secs(120)).await;
        expect_that!(fleet.state(&id).await, some(eq(State::Cancelled)));
        expect_that!(fleet.open_lanes().await, eq(0));
        expect_that!(fleet.world.borrow().runs.len(), eq(0));
    });
}

/// The cancellation races the commit of the last chunk. All readers must agree on whether the job
/// ended or was cancelled. Each fifth of a millisecond around the commit is tried.
#[gtest]
fn cancel_races_the_last_commit() {
    run(async {
        let mut ended = 0;
        let mut cancelled = 0;
        for step in 0..400u64 {
            let mut fleet = Fleet::new(step % 5, 2);
            let id = fleet.submit(&submission("menu", items(4))).await;
            fleet
                .until(|fleet| fleet.world.borrow().runs.len() >= 4)
                .await;
            fleet
                .pass(Duration::from_micros(180_000 + step * 200))
                .await;
            let Outcome::Done(reported) = fleet.cancel(&id).await else {
                panic!("the platform answers");
            };
            let replies = fleet.read(&id).await;
            fleet.pass(Duration::from_secs(60)).await;
            assert_eq!(fleet.state(&id).await, Some(reported));
            assert_eq!(fleet.read(&id).await, replies);
            let done = replies
                .iter()
                .filter(|reply| reply.end == End::Done)
                .count();
            match reported {
                State::Ended => {
                    ended += 1;
                    assert_eq!(done, 4);
                }
                State::Cancelled => {
                    cancelled += 1;
                    assert_eq!(done, 0);
                }
                State::Active => panic!("neither ended nor cancelled"),
            }
        }
        expect_that!(ended, ge(10), "the commit wins the race in some runs");
        expect_that!(
            cancelled,
            ge(10),
            "the cancellation wins the race in some runs"
        );
    });
}

/// During an outage of the platform a cancellation must be refused. If it were reported as done,
/// the job would continue unnoticed.
#[gtest]
fn cancel_during_an_outage() {
    run(async {
        let mut fleet = Fleet::new(5, 1);
        let id = fleet.submit(&submission("menu", items(500))).await;
        fleet.command(&Command::Outage {
            ms: Some(30_000),
            silent: false,
        });
        let Outcome::NotRun(refusal) = fleet.cancel(&id).await else {
            panic!("must be refused");
        };
        expect_that!(refusal.reason, eq(Reason::Platform));
        expect_that!(refusal.retry_after, some(anything()));
        fleet.pass(Duration::from_secs(31)).await;
        expect_that!(fleet.state(&id).await, some(eq(State::Active)));
        expect_that!(
            fleet.cancel(&id).await,
            eq(&Outcome::Done(State::Cancelled))
        );
    });
}

/// The answer to the cancellation is lost, with and without having taken effect. The row is read
/// back, so that the caller gets the actual state.
#[gtest]
fn cancel_lost_answer() {
    run(async {
        for before in [false, true] {
            let mut fleet = Fleet::new(6, 1);
            let id = fleet.submit(&submission("menu", items(5_000))).await;
            fleet.command(&Command::Lose {
                prefix: "job/".into(),
                count: 2,
                before,
            });
            expect_that!(
                fleet.cancel(&id).await,
                eq(&Outcome::Done(State::Cancelled))
            );
            expect_that!(fleet.state(&id).await, some(eq(State::Cancelled)));
        }
    });
}

#[gtest]
fn cancel_unknown_job() {
    run(async {
        let mut fleet = Fleet::new(7, 0);
        let Outcome::NotRun(refusal) = fleet.cancel(&Id::of(&"trust".into(), "none")).await else {
            panic!("must be refused");
        };
        expect_that!(refusal.reason, eq(Reason::UnknownJob));
    });
}
