//! Requests that crash the endpoints that run them, before real nodes.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use googletest::prelude::*;
use standin::soak::{Plan, fleet};

/// Runs of one process share their ports.
static PORTS: Mutex<()> = Mutex::new(());

fn play(killers: usize) {
    let _ports = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
    let plan = Plan {
        seed: 1,
        length: Duration::from_secs(8),
        nodes: 3,
        replicas: 6,
        killers,
        faults: false,
    };
    let report = actix_rt::System::new().block_on(fleet::play(plan)).unwrap();
    expect_that!(report.broken, is_empty(), "{report}");
}

/// One request crashes every endpoint that runs it and is sent again and again, at
/// every node: nobody else is served any more.
#[gtest]
fn killer_repeats_everywhere() {
    play(1);
}

/// The same with one that may not be gone on with, and with an item of a batch job,
/// which its owner runs again by itself.
#[gtest]
fn killers_of_each_kind() {
    play(3);
}
