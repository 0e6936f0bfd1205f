//! Compares one-phase and two-phase commit of a finished chunk, on the stand-in platform.
//!
//! The related paper commits in one phase because the recovering node can read the worker's log on
//! shared, fenced storage. Here the lane's row is that storage and the epoch is the fence.
//! docs/design/commit.md takes its figures from `cargo test --test job_commit -- --nocapture`.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::job::change::{self, Resolution, Target};
use auburnspoke::job::lane::{Committed, Decision, Lane};
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

/// One-way latency between two nodes of a zone.
const MESSAGE: Duration = Duration::from_millis(1);
/// Number of commits over which each figure is the mean.
const RUNS: u64 = 200;

/// Cost of a commit.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    rows: u64,
    objects: u64,
    reads: u64,
    messages: u64,
    time: Duration,
}

/// A chunk whose results are ready to commit.
struct Ready {
    platform: Platform,
    remote: Remote,
    target: Target,
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
    let target = Target {
        job,
        version: row.version,
        lane: 0,
    };
    let claim = |lane: &Lane| match lane.claim(&"holder".into(), 0) {
        Some((lane, _)) => Decision::Write(lane),
        None => Decision::Superseded,
    };
    let claimed = change::apply(&platform, &target, None, None, claim).await;
    assert_eq!(claimed, Resolution::Applied);
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
        target,
        committed,
    }
}

impl Ready {
    async fn results(&self) {
        let name = self.target.job.id().replies(0, 1);
        let stored = self.remote.put(&name, "results".into()).await;
        stored.expect("answers");
    }

    async fn lane(&self) -> Resolution {
        change::apply(&self.remote, &self.target, None, None, |lane| {
            lane.commit(self.committed)
        })
        .await
    }

    /// One-phase commit as in the product: store the results, then apply the conditional change
    /// that decides.
    async fn one_phase(&self, steps: usize) {
        if steps > 0 {
            self.results().await;
        }
        if steps > 1 {
            assert_eq!(self.lane().await, Resolution::Applied);
        }
    }

    /// Two-phase commit with a coordinator that has its own log: the holder is asked to prepare and
    /// logs it, the coordinator logs its decision, the holder applies it, and the log entries are
    /// removed.
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
            assert_eq!(self.lane().await, Resolution::Applied);
            sleep(MESSAGE).await; // acknowledge
            messages += 1;
        }
        if steps > 3 {
            let end = Transaction::default().delete(prepared).delete(decision);
            self.remote.transact(end).await.expect("answers");
        }
        messages
    }

    /// Number of committed chunks, and of log rows that need recovery.
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

/// The holder dies between two steps. With one phase there is nothing to recover: the chunk is
/// either committed or held by a holder whose lease expires. With two phases, log rows of an
/// unfinished commit are left behind.
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
        expect_that!(undecided, eq(3), "states that need recovery");
    });
}

/// A holder that dies after it stored its results, and before the commit, leaves an object that no
/// row refers to. The next holder writes an object with another name.
#[gtest]
fn death_leaves_the_job_able_to_end() {
    run(async {
        let ready = ready(9).await;
        ready.one_phase(1).await;
        let take = |lane: &Lane| match lane.take_over(1, &"next".into(), 0) {
            Some((lane, _)) => Decision::Write(lane),
            None => Decision::Superseded,
        };
        let taken = change::apply(&ready.platform, &ready.target, None, None, take).await;
        expect_that!(taken, eq(&Resolution::Applied));
        expect_that!(ready.lane().await, eq(&Resolution::Superseded));
        let next = Committed {
            epoch: 2,
            ..ready.committed
        };
        let commit = |lane: &Lane| lane.commit(next);
        let change = change::apply(&ready.platform, &ready.target, None, None, commit).await;
        expect_that!(change, eq(&Resolution::Applied));
        expect_that!(ready.target.job.state, eq(State::Active));
    });
}
