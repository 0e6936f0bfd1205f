//! Jobs are accepted once for each key.

use std::time::Duration;

use auburnspoke::job::{End, State};
use auburnspoke::outcome::{Outcome, Reason};
use auburnspoke::table::fault::Command;
use googletest::prelude::*;

use crate::fleet::{Fleet, NOW_MS, assert_whole, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

#[gtest]
fn submit_runs_to_the_end() {
    run(async {
        let mut fleet = Fleet::new(1, 2);
        let id = fleet.submit(&submission("menu", items(300))).await;
        expect_that!(fleet.finish(&id).await, eq(State::Ended));
        let replies = fleet.read(&id).await;
        assert_whole(&replies, 300);
        expect_that!(replies.iter().all(|reply| reply.end == End::Done), eq(true));
        expect_that!(fleet.world.borrow().runs.len(), eq(300));
    });
}

/// A VM is lost just after it acknowledged a job. The job is not only in its memory, so other nodes
/// find and finish it without the caller noticing.
#[gtest]
fn submit_then_loss_of_the_node() {
    run(async {
        let mut fleet = Fleet::new(2, 1);
        let id = fleet.submit(&submission("menu", items(40))).await;
        fleet.kill(0);
        fleet.add();
        expect_that!(fleet.finish(&id).await, eq(State::Ended));
        assert_whole(&fleet.read(&id).await, 40);
    });
}

/// A client resubmits a job to several nodes at the same moment. If two jobs were accepted, every
/// item would run twice.
#[gtest]
fn submit_resent_concurrently() {
    run(async {
        let mut fleet = Fleet::new(3, 1);
        let wanted = submission("menu", items(40));
        let jobs = fleet.jobs.clone();
        let sends = (0..8).map(|_| jobs.submit(NOW_MS, wanted.clone()));
        let answers = fleet.during(futures_util::future::join_all(sends)).await;
        let accepted: Vec<_> = answers
            .into_iter()
            .map(|answer| match answer {
                Outcome::Done(accepted) => accepted,
                refused => panic!("{refused:?}"),
            })
            .collect();
        expect_that!(accepted.iter().filter(|a| !a.resent).count(), eq(1));
        let id = accepted[0].job.clone();
        expect_that!(accepted.iter().all(|a| a.job == id), eq(true));
        expect_that!(fleet.finish(&id).await, eq(State::Ended));
        let later = fleet.during(jobs.submit(NOW_MS + 9, wanted)).await;
        expect_that!(
            matches!(later, Outcome::Done(a) if a.resent && a.job == id),
            eq(true)
        );
        expect_that!(fleet.world.borrow().runs.len(), eq(40));
    });
}

/// Two different jobs have the same key by mistake. If the second were taken for a resubmission of
/// the first, its items would silently never run.
#[gtest]
fn submit_other_content_under_the_same_key() {
    run(async {
        let mut fleet = Fleet::new(4, 0);
        let id = fleet.submit(&submission("menu", items(40))).await;
        let other = fleet
            .jobs
            .submit(NOW_MS, submission("menu", items(41)))
            .await;
        let Outcome::NotRun(refusal) = other else {
            panic!("{other:?}");
        };
        expect_that!(refusal.reason, eq(Reason::Conflict));
        fleet.add();
        expect_that!(fleet.finish(&id).await, eq(State::Ended));
        assert_whole(&fleet.read(&id).await, 40);
    });
}

/// The platform's answer to the registration is lost after it took effect. If the job were reported
/// as refused, the caller would choose a new key and run it twice.
#[gtest]
fn submit_lost_answer() {
    run(async {
        for before in [false, true] {
            let mut fleet = Fleet::new(5, 1);
            for prefix in ["items/", "job/"] {
                fleet.command(&Command::Lose {
                    prefix: prefix.into(),
                    count: 2,
                    before,
                });
            }
            let id = fleet.submit(&submission("menu", items(40))).await;
            expect_that!(fleet.finish(&id).await, eq(State::Ended));
            expect_that!(fleet.world.borrow().runs.len(), eq(40));
        }
    });
}

/// During an outage of the platform no job can be stored, so a submission must be refused as not
/// run, with a retry delay.
#[gtest]
fn submit_during_an_outage() {
    run(async {
        let mut fleet = Fleet::new(6, 1);
        let outage = Command::Outage {
            ms: Some(60_000),
            silent: false,
        };
        fleet.command(&outage);
        let refused = fleet
            .jobs
            .submit(NOW_MS, submission("menu", items(40)))
            .await;
        let Outcome::NotRun(refusal) = refused else {
            panic!("{refused:?}");
        };
        expect_that!(refusal.reason, eq(Reason::Platform));
        expect_that!(refusal.retry_after, some(gt(Duration::ZERO)));
        fleet.pass(Duration::from_secs(61)).await;
        let id = fleet.submit(&submission("menu", items(40))).await;
        expect_that!(fleet.finish(&id).await, eq(State::Ended));
        expect_that!(fleet.world.borrow().runs.len(), eq(40));
    });
}

/// The largest job has 821 objects, and the platform accepts 200 writes a second. If a refusal by
/// that limit ended the submission, such a job could never be accepted.
#[gtest]
fn submit_large_job_under_the_write_limit() {
    run(async {
        let mut fleet = Fleet::new(8, 0);
        fleet.command(&Command::Limit {
            writes: 200,
            reads: 2_000,
        });
        fleet.submit(&submission("menu", items(420_000))).await;
        expect_that!(fleet.platform.counts().refused, gt(0));
        expect_that!(fleet.platform.counts().writes, eq(821 + 17));
        expect_that!(fleet.elapsed(), ge(Duration::from_secs(3)));
    });
}

/// Invalid submissions are refused at once, without a write to the platform.
#[gtest]
fn submit_invalid() {
    run(async {
        let fleet = Fleet::new(7, 0);
        let mut twice = items(2);
        for item in &mut twice {
            item.key = "soup".into();
        }
        let wrong = [
            submission("", items(1)),
            submission("a/b", items(1)),
            submission("menu", Vec::new()),
            submission("menu", twice),
        ];
        for submission in wrong {
            let answer = fleet.jobs.submit(NOW_MS, submission).await;
            let Outcome::NotRun(refusal) = answer else {
                panic!("{answer:?}");
            };
            expect_that!(refusal.reason, eq(Reason::Invalid));
        }
        expect_that!(fleet.platform.counts().writes, eq(0));
    });
}
