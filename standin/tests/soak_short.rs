//! The fault soak in short: real processes, faults by seed, promises checked.

use std::time::Duration;

use googletest::prelude::*;
use standin::soak::{Plan, fleet};

fn play(seed: u64) {
    let plan = Plan {
        seed,
        length: Duration::from_secs(6),
        nodes: 3,
        replicas: 3,
        killers: 0,
        faults: true,
    };
    let report = actix_rt::System::new().block_on(fleet::play(plan)).unwrap();
    expect_that!(report.broken, is_empty(), "{report}");
    expect_that!(report.items, gt(0), "{report}");
}

/// Nodes are killed, paused and stopped, the store refuses and loses answers,
/// replicas crash and leave, all at once and overlapping. No answer may be
/// wrong, nothing may run that was called not run, no item may get lost.
#[gtest]
fn play_seeds() {
    for seed in [1, 2] {
        play(seed);
    }
}
