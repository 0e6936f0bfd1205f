//! A short fault soak: real processes, faults drawn by seed, and checks of the guarantees.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use googletest::prelude::*;
use standin::soak::{Faults, Plan, fleet};

/// Runs at the same time would slow each other down.
static RUNNING: Mutex<()> = Mutex::new(());

fn check(plan: Plan) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let report = actix_rt::System::new().block_on(fleet::play(plan)).unwrap();
    expect_that!(report.violations, is_empty(), "{report}");
    expect_that!(report.items, gt(0), "{report}");
}

fn play(seed: u64) {
    check(Plan {
        seed,
        length: Duration::from_secs(6),
        nodes: 3,
        replicas: 3,
        versions: 2,
        killers: 0,
        crash_parts: 0,
        faults: Faults::Drawn,
    });
}

/// Guards against requests that crash replicas and run on while nodes are restarted: with the
/// faults of these seeds two such requests excused each other, and restarts forgot their crashes.
#[gtest]
fn play_seeds_with_killers() {
    for seed in [9116, 9120] {
        let plan = Plan {
            seed,
            length: Duration::from_secs(10),
            nodes: 4,
            replicas: 5,
            versions: 2,
            killers: 3,
            crash_parts: 0,
            faults: Faults::Drawn,
        };
        check(plan);
    }
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
