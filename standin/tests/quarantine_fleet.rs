//! Requests that crash the endpoints that run them, before real nodes.

use std::time::Duration;

use googletest::prelude::*;
use standin::soak::{Plan, fleet};

/// One request crashes every endpoint that runs it and is sent again and again, at
/// every node: nobody else is served any more.
#[gtest]
fn killer_repeats_everywhere() {
    let plan = Plan {
        seed: 1,
        length: Duration::from_secs(8),
        nodes: 3,
        replicas: 6,
        killers: 1,
        faults: false,
    };
    let report = actix_rt::System::new().block_on(fleet::play(plan)).unwrap();
    expect_that!(report.broken, is_empty(), "{report}");
}
