//! Budget of the table and the store, as bounds on request counts.
//!
//! The platform handles several hundred writes and about two thousand reads a second in total.
//! docs/design/batch.md derives from these bounds the cost of 74 million items a day in 88,000
//! jobs.

use std::time::Duration;

use auburnspoke::job::chunk::Chunk;
use auburnspoke::job::lane::Lane;
use auburnspoke::job::{Id, Setting, State};
use auburnspoke::table::memory::Counts;
use googletest::prelude::*;

use crate::fleet::{Fleet, items, run, submission};

#[path = "job_support/fleet.rs"]
mod fleet;

/// Cost of one job with that many items on three nodes, without the periodic work of holders.
async fn cost(count: u32, once: bool) -> (Counts, Fleet, Id) {
    let mut fleet = Fleet::new(1, 3);
    fleet.pass(Duration::from_secs(10)).await;
    let before = fleet.platform.counts();
    assert_eq!(before.writes, 0, "an idle fleet writes nothing");
    let mut job = submission("menu", items(count));
    job.once = once;
    let id = fleet.submit(&job).await;
    let state = fleet.finish(&id).await;
    assert_eq!(state, State::Ended);
    (fleet.platform.counts(), fleet, id)
}

fn writes(counts: &Counts, prefix: &str) -> u64 {
    counts.by_prefix.get(prefix).map_or(0, |used| used.writes)
}

/// A job of 50 items: 2 rows to accept, 1 to claim, 3 to commit and end; one object with items and
/// one with results.
#[gtest]
fn writes_of_a_small_job() {
    run(async {
        let (counts, ..) = cost(50, false).await;
        let rows = writes(&counts, "job") + writes(&counts, "open") + writes(&counts, "lane");
        expect_that!(rows, eq(6));
        expect_that!(writes(&counts, "items"), eq(1));
        expect_that!(writes(&counts, "replies"), eq(1));
        expect_that!(counts.conflicts, le(3));
    });
}

/// The mean job of the plan, 841 items: 7 chunks in 7 lanes.
#[gtest]
fn writes_of_the_mean_job() {
    run(async {
        let (counts, ..) = cost(841, false).await;
        let rows = writes(&counts, "job") + writes(&counts, "open") + writes(&counts, "lane");
        expect_that!(rows, eq(30));
        let objects = writes(&counts, "items") + writes(&counts, "replies");
        expect_that!(objects, eq(14));
    });
}

/// A job of 100,000 items in chunks of 512: two rows and two objects for each chunk.
#[gtest]
fn writes_of_a_large_job() {
    run(async {
        let count = 100_000;
        let (counts, fleet, _) = cost(count, false).await;
        let chunks = u64::from(count.div_ceil(512));
        let rows = writes(&counts, "job") + writes(&counts, "open") + writes(&counts, "lane");
        expect_that!(rows, le(2 * chunks + 60));
        expect_that!(writes(&counts, "items"), eq(chunks));
        expect_that!(writes(&counts, "replies"), eq(chunks));
        let claimed: u64 = fleet.claimed();
        expect_that!(claimed, eq(chunks));
        // Claims of three nodes rarely conflict.
        expect_that!(counts.conflicts, le(chunks / 10));
        // Reads: a page, a job and the items for a claim; a lane for a commit.
        let polls = 3 * fleet.elapsed().as_secs() * 2;
        expect_that!(counts.reads, le(8 * chunks + polls + 2_000));
    });
}

/// Periodic writes of a holder: its lease every 10 s and a segment every 5 s, however many chunks
/// it holds.
#[gtest]
fn writes_of_a_holder() {
    run(async {
        let mut fleet = Fleet::new(2, 1);
        fleet.slots = 400;
        fleet.item_duration = Duration::from_secs(20);
        let node = fleet.add();
        fleet.kill(0);
        for number in 0..8 {
            fleet
                .submit(&submission(&format!("menu-{number}"), items(1_000)))
                .await;
        }
        fleet
            .until(|fleet| fleet.nodes[&node].stats.get().claimed >= 4)
            .await;
        let before = fleet.platform.counts();
        fleet.pass(Duration::from_secs(100)).await;
        let after = fleet.platform.counts();
        let spent = |prefix| writes(&after, prefix) - writes(&before, prefix);
        expect_that!(spent("session"), le(11));
        expect_that!(spent("log"), le(21));
    });
}

/// Marks of items that must run at most once are written 64 at a time.
#[gtest]
fn writes_of_marks() {
    run(async {
        let (counts, ..) = cost(512, true).await;
        let rows = writes(&counts, "open");
        // 4 chunks of 128: 4 rows to accept, 4 claims, 4 removals, and marks.
        expect_that!(rows, le(12 + 4 * 4));
    });
}

/// An idle node reads one page of each service every 2 s.
#[gtest]
fn reads_of_an_idle_node() {
    run(async {
        let mut fleet = Fleet::new(3, 1);
        fleet.pass(Duration::from_secs(100)).await;
        let counts = fleet.platform.counts();
        expect_that!(counts.reads, le(51));
        expect_that!(counts.writes, eq(0));
    });
}

/// A status request costs at most three reads, whatever the job's size.
#[gtest]
fn reads_of_a_status() {
    run(async {
        let mut fleet = Fleet::new(4, 0);
        let id = fleet.submit(&submission("menu", items(50_000))).await;
        let before = fleet.platform.counts().reads;
        expect_that!(fleet.state(&id).await, some(eq(State::Active)));
        expect_that!(fleet.platform.counts().reads - before, le(3));
    });
}

/// Many nodes claim from the same few lanes at the same moment. If all tried the same row, most
/// writes would be refused claims.
#[gtest]
fn claims_of_many_nodes_rarely_collide() {
    run(async {
        let mut fleet = Fleet::new(5, 40);
        let id = fleet.submit(&submission("menu", items(40_000))).await;
        assert_eq!(fleet.finish(&id).await, State::Ended);
        let counts = fleet.platform.counts();
        let claims: u64 = fleet.claimed();
        expect_that!(counts.conflicts, le(claims), "{counts:?}");
    });
}

/// After the loss of a VM, the work done twice is what was not flushed and what was running, so it
/// is bounded by the flush interval.
#[gtest]
fn redone_against_the_flush_period() {
    run(async {
        for seconds in [1, 2, 4, 8] {
            let mut worst = 0;
            for seed in 0..12 {
                let mut fleet = Fleet::with(seed, 0, Duration::from_secs(1));
                fleet.setting.flush_interval = Duration::from_secs(seconds);
                fleet.add();
                let id = fleet.submit(&submission("menu", items(128))).await;
                // 128 items take 16 rounds of a second; each seed places the loss in another round.
                let sent = 40 + usize::try_from(seed).unwrap_or(0) * 7;
                fleet
                    .until(|fleet| fleet.world.borrow().runs.len() >= sent)
                    .await;
                fleet.kill(0);
                fleet.add();
                assert_eq!(fleet.finish(&id).await, State::Ended);
                worst = worst.max(fleet.world.borrow().runs.len() - 128);
            }
            println!("flush every {seconds} s: at most {worst} items done twice");
            // Eight slots at a second an item do eight items a second.
            let bound = 8 * usize::try_from(seconds).unwrap_or(0) + 8;
            expect_that!(worst, le(bound));
        }
    });
}

/// A held chunk keeps its prompts and results in memory.
#[gtest]
fn memory_of_a_held_chunk() {
    let (_, held) = Lane::new(0, 1).claim(&"node".into(), 0).expect("free");
    let mut lot = items(512);
    for item in &mut lot {
        item.prompt = "x".repeat(400).into();
    }
    let chunk = Chunk::new(&held, 0, lot, false, 3, &[]);
    expect_that!(chunk.size(), eq(512 * 400));
    expect_that!(Setting::default().max_chunks, le(16));
}
