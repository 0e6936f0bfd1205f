//! Handing a finished chunk over in one phase against two, on the stand-in.
//!
//! The related paper commits in one phase because whoever recovers can read the
//! worker's log on shared, fenced storage. Here the lane's row is that storage
//! and the epoch is the fence. docs/design/commit.md takes its figures from
//! `cargo test --test job_commit -- --nocapture`.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::job::change::{self, Change, Place};
use auburnspoke::job::lane::{Committed, Lane, Step};
use auburnspoke::job::record::{self, Counts, Job};
use auburnspoke::job::{Jobs, State};
use auburnspoke::outcome::Outcome;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Expect, Store, Table, Transaction};
use googletest::prelude::*;
use tokio::time::{Instant, sleep};

use crate::fleet::{NOW_MS, Remote, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

/// One way between two nodes of a zone.
const MESSAGE: Duration = Duration::from_millis(1);
/// Hand-overs that each figure is the mean of.
const RUNS: u64 = 200;

/// What a hand-over cost.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    rows: u64,
    objects: u64,
    reads: u64,
    messages: u64,
    time: Duration,
}

/// A chunk whose results are ready, and its holder.
struct Ready {
    platform: Platform,
    remote: Remote,
    place: Place,
    committed: Committed,
}

async fn ready(seed: u64) -> Ready {
    let platform = Platform::in_virtual_time(Time::ZERO, seed);
    let remote = Remote::new(platform.clone(), seed);
    let jobs = Jobs::new(platform.clone(), platform.clone());
    let wanted = submission("menu", items(300));
    let Outcome::Done(accepted) = jobs.submit(NOW_MS, wanted).await else {
        panic!("accepted");
    };
    let row = Table::get(&platform, &accepted.job.row()).await;
    let row = row.expect("answers").expect("there");
    let job: Job = record::decode(&row.value).expect("a job");
    let place = Place {
        job,
        version: row.version,
        lane: 0,
    };
    let claim = |lane: &Lane| match lane.claim(&"holder".into(), 0) {
        Some((lane, _)) => Step::Write(lane),
        None => Step::Lost,
    };
    let claimed = change::apply(&platform, &place, None, None, claim).await;
    assert_eq!(claimed, Change::Settled);
    let committed = Committed {
        chunk: 0,
        epoch: 1,
        counts: Counts {
            done: 128,
            ..Counts::default()
        },
    };
    Ready {
        platform,
        remote,
        place,
        committed,
    }
}

impl Ready {
    async fn results(&self) {
        let name = self.place.job.id().replies(0, 1);
        let stored = self.remote.put(&name, "results".into()).await;
        stored.expect("answers");
    }

    async fn lane(&self) -> Change {
        change::apply(&self.remote, &self.place, None, None, |lane| {
            lane.commit(self.committed)
        })
        .await
    }

    /// The product's way: results, then the conditional change that decides.
    async fn one_phase(&self, steps: usize) {
        if steps > 0 {
            self.results().await;
        }
        if steps > 1 {
            assert_eq!(self.lane().await, Change::Settled);
        }
    }

    /// Two phases with a coordinator that has a log of its own: the holder is
    /// asked to prepare and logs that it did, the coordinator logs its decision,
    /// the holder applies it, and the log is ended.
    async fn two_phases(&self, steps: usize) -> u64 {
        let prepared = "prepared/lane/0";
        let decision = "decision/lane/0";
        let mut messages = 0;
        if steps > 0 {
            sleep(MESSAGE).await; // prepare
            messages += 1;
            self.results().await;
            let log = Transaction::default()
                .check(prepared, Expect::Absent)
                .put(prepared, "1");
            self.remote.transact(log).await.expect("answers");
            sleep(MESSAGE).await; // prepared
            messages += 1;
        }
        if steps > 1 {
            let log = Transaction::default()
                .check(prepared, Expect::Present)
                .check(decision, Expect::Absent)
                .put(decision, "commit");
            self.remote.transact(log).await.expect("answers");
        }
        if steps > 2 {
            sleep(MESSAGE).await; // commit
            messages += 1;
            assert_eq!(self.lane().await, Change::Settled);
            sleep(MESSAGE).await; // acknowledge
            messages += 1;
        }
        if steps > 3 {
            let end = Transaction::default().delete(prepared).delete(decision);
            self.remote.transact(end).await.expect("answers");
        }
        messages
    }

    /// Chunks that are committed, and log rows that somebody has to look after.
    async fn left(&self) -> (usize, usize) {
        let mut rows = Vec::new();
        for prefix in ["open/", "lane/"] {
            rows.extend(
                self.platform
                    .scan(prefix, "", 100)
                    .await
                    .expect("answers")
                    .rows,
            );
        }
        let lanes = rows
            .iter()
            .filter_map(|row| record::decode::<Lane>(&row.value));
        let committed = lanes.map(|lane| lane.committed.len()).sum();
        let mut logs = 0;
        for prefix in ["prepared/", "decision/"] {
            logs += self
                .platform
                .scan(prefix, "", 100)
                .await
                .expect("answers")
                .rows
                .len();
        }
        (committed, logs)
    }
}

async fn cost(one_phase: bool) -> Cost {
    let mut sum = Cost::default();
    for seed in 0..RUNS {
        let ready = ready(seed).await;
        let before = ready.platform.counts();
        let from = Instant::now();
        if one_phase {
            ready.one_phase(2).await;
        } else {
            sum.messages += ready.two_phases(4).await;
        }
        sum.time += from.elapsed();
        let after = ready.platform.counts();
        let objects = after.by_prefix["replies"].writes;
        sum.objects += objects;
        sum.rows += after.writes - before.writes - objects;
        sum.reads += after.reads - before.reads;
    }
    let count = u32::try_from(RUNS).expect("small");
    Cost {
        rows: sum.rows / RUNS,
        objects: sum.objects / RUNS,
        reads: sum.reads / RUNS,
        messages: sum.messages / RUNS,
        time: sum.time / count,
    }
}

#[gtest]
fn commit_in_one_phase_and_in_two() {
    run(async {
        let one = cost(true).await;
        let two = cost(false).await;
        println!("one phase: {one:?}");
        println!("two phases: {two:?}");
        expect_that!(one.messages, eq(0));
        expect_that!(one.objects, eq(1));
        // The last chunk of a lane also moves the lane out of the index.
        expect_that!(one.rows, le(2));
        expect_that!(two.rows, ge(one.rows + 4));
        expect_that!(two.time, gt(one.time));
    });
}

/// The holder dies between two steps. In one phase there is nothing to be found
/// and decided afterwards: the chunk is committed or it is held by a holder whose
/// lease expires. In two, rows are left that say that something was begun.
#[gtest]
fn death_between_steps_of_one_phase() {
    run(async {
        for steps in 0..=2 {
            let ready = ready(steps as u64).await;
            ready.one_phase(steps).await;
            let (committed, logs) = ready.left().await;
            println!("one phase, death after step {steps}: committed {committed}, logs {logs}");
            expect_that!(committed, eq(usize::from(steps == 2)));
            expect_that!(logs, eq(0));
        }
    });
}

#[gtest]
fn death_between_steps_of_two_phases() {
    run(async {
        let mut undecided = 0;
        for steps in 0..=4 {
            let ready = ready(steps as u64).await;
            ready.two_phases(steps).await;
            let (committed, logs) = ready.left().await;
            println!("two phases, death after step {steps}: committed {committed}, logs {logs}");
            undecided += usize::from(logs > 0);
        }
        expect_that!(undecided, eq(3), "states that somebody has to recover");
    });
}

/// A holder that died after its results were stored, and before the commit, leaves
/// an object that nobody names. The next holder's has another name.
#[gtest]
fn death_leaves_the_job_able_to_end() {
    run(async {
        let ready = ready(9).await;
        ready.one_phase(1).await;
        let take = |lane: &Lane| match lane.take_over(1, &"next".into(), 0) {
            Some((lane, _)) => Step::Write(lane),
            None => Step::Lost,
        };
        let taken = change::apply(&ready.platform, &ready.place, None, None, take).await;
        expect_that!(taken, eq(&Change::Settled));
        expect_that!(ready.lane().await, eq(&Change::Lost));
        let next = Committed {
            epoch: 2,
            ..ready.committed
        };
        let commit = |lane: &Lane| lane.commit(next);
        let change = change::apply(&ready.platform, &ready.place, None, None, commit).await;
        expect_that!(change, eq(&Change::Settled));
        expect_that!(ready.place.job.state, eq(State::Active));
    });
}
