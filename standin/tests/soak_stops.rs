//! A short soak of planned stops, with callers that use a node until its process is gone.

use std::time::Duration;

use googletest::prelude::*;
use standin::soak::{Faults, Plan, fleet};

/// Guards against a planned stop that cuts a request: nodes get signals that overlap with each
/// other, with pauses, slow starts and changes, while callers ignore that they leave.
#[gtest]
fn play_stops() {
    let plan = Plan {
        seed: 1,
        length: Duration::from_secs(12),
        nodes: 4,
        replicas: 6,
        versions: 2,
        killers: 0,
        crash_parts: 0,
        faults: Faults::Stops,
    };
    let report = actix_rt::System::new().block_on(fleet::play(plan)).unwrap();
    println!("{report}");
    expect_that!(report.violations, is_empty(), "{report}");
    expect_that!(report.stopping, gt(0), "{report}");
    expect_that!(report.items, gt(0), "{report}");
}
