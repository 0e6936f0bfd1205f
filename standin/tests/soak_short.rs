//! A short fault soak: real processes, faults drawn by seed, and checks of the guarantees.

use std::time::Duration;

use googletest::prelude::*;
use standin::soak::{Faults, Plan, fleet};

fn play(seed: u64) {
    let plan = Plan {
        seed,
        length: Duration::from_secs(6),
        nodes: 3,
        replicas: 3,
        killers: 0,
        faults: Faults::Drawn,
    };
    let report = actix_rt::System::new().block_on(fleet::play(plan)).unwrap();
    expect_that!(report.violations, is_empty(), "{report}");
    expect_that!(report.items, gt(0), "{report}");
}

/// Nodes are killed, paused and stopped, the store refuses calls and drops responses, and replicas
/// crash and drain, with overlaps. No response may be wrong, no request may run that was answered
/// "not run", and no item may be lost.
#[gtest]
fn play_seeds() {
    for seed in [1, 2] {
        play(seed);
    }
}
