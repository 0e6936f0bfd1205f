//! Tests real nodes against requests that crash the endpoints that run them.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use googletest::prelude::*;
use standin::soak::{Faults, Plan, fleet};

/// Runs of one process use the same ports, so they must not overlap.
static PORTS: Mutex<()> = Mutex::new(());

fn play(killers: usize, faults: Faults) {
    let _ports = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let plan = Plan {
        seed: 1,
        length: Duration::from_secs(8),
        nodes: 3,
        replicas: 6,
        killers,
        faults,
    };
    let report = actix_rt::System::new().block_on(fleet::play(plan)).unwrap();
    expect_that!(report.violations, is_empty(), "{report}");
}

/// Guards against one request that crashes every endpoint that runs it and is sent repeatedly to
/// every node: without quarantine no other caller is served any more.
#[gtest]
fn killer_repeats_everywhere() {
    play(1, Faults::None);
}

/// The same with a request that is not resumable, and with an item of a batch job, which its owner
/// retries by itself.
#[gtest]
fn killers_of_each_kind() {
    play(3, Faults::None);
}

/// Guards against a node that serves before it knows the verdicts: it learns the configuration
/// from other nodes while the store refuses it, and runs requests that all of them refuse.
#[gtest]
fn killers_after_restarts_without_store() {
    play(3, Faults::RestartsWithoutStore);
}
