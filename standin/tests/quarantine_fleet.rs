//! Tests real nodes against requests that crash the endpoints that run them.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use googletest::prelude::*;
use standin::soak::check::End;
use standin::soak::{Faults, Plan, fleet};

/// Time in which a killer that is not condemned crashes far more replicas than one that is.
const LENGTH: Duration = Duration::from_secs(8);
/// Runs at the same time would slow each other down.
static RUNNING: Mutex<()> = Mutex::new(());

fn play(killers: usize, crash_parts: usize, faults: Faults, length: Duration) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let plan = Plan {
        seed: 1,
        length,
        nodes: 3,
        replicas: 6,
        versions: 2,
        killers,
        crash_parts,
        faults,
    };
    let report = actix_rt::System::new().block_on(fleet::play(plan)).unwrap();
    expect_that!(report.violations, is_empty(), "{report}");
    if crash_parts > 0 && faults == Faults::None {
        let whole = report.beside.get(&End::Whole).copied().unwrap_or_default();
        let all: usize = report.beside.values().sum();
        expect_that!(whole, gt(0), "{report}");
        expect_that!(whole * 2, ge(all), "{report}");
    }
}

/// Guards against one request that crashes every endpoint that runs it and is sent repeatedly to
/// every node: without quarantine no other caller is served any more.
#[gtest]
fn killer_repeats_everywhere() {
    play(1, 0, Faults::None, LENGTH);
}

/// The same with a request that is not resumable, and with an item of a batch job, which its owner
/// retries by itself.
#[gtest]
fn killers_of_each_kind() {
    play(3, 0, Faults::None, LENGTH);
}

/// Guards against a node that serves before it knows the verdicts: it learns the configuration
/// from other nodes while the store refuses it, and runs requests that all of them refuse.
#[gtest]
fn killers_after_restarts_without_store() {
    play(3, 0, Faults::RestartsWithoutStore, LENGTH);
}

/// Guards against crashes that are known to one node only, and forgotten when all nodes end right
/// after them: the request crashes an endpoint after each restart.
#[gtest]
fn killers_all_nodes_end_after_each_crash() {
    // Each crash takes a restart of all nodes.
    play(2, 0, Faults::KillsAfterCrashes, LENGTH * 2);
}

/// Guards against a part of prompts that crashes endpoint after endpoint, because no two requests
/// with it are alike, and against a verdict on the part that sound requests share with them.
#[gtest]
fn part_crashes_replicas() {
    play(0, 1, Faults::None, LENGTH * 2);
}

/// The same beside requests that crash replicas by themselves.
#[gtest]
fn part_beside_killers() {
    play(2, 1, Faults::None, LENGTH * 2);
}

/// Guards against what is known of a part and forgotten: nodes start again while the store refuses
/// them.
#[gtest]
fn part_after_restarts_without_store() {
    play(0, 1, Faults::RestartsWithoutStore, LENGTH);
}

/// Guards against crashes under a part that are forgotten when all nodes end right after them.
#[gtest]
fn part_all_nodes_end_after_each_crash() {
    play(0, 1, Faults::KillsAfterCrashes, LENGTH * 2);
}
