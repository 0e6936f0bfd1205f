//! A batch job that changes hands, on real nodes' parts in one process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NODES};
use googletest::prelude::*;

/// Runs that an endpoint may end with an error before an item is given up.
const ATTEMPTS: u32 = 4;

#[gtest]
fn owner_changes_item_fails() {
    // An item fails wherever it runs. Its job changes hands after each failure:
    // nodes are stopped one after the other, or taken for gone. Were failures
    // counted by each owner for itself, the item would run without end and hold
    // slots that users wait for, and its job would never be over.
    let runs = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.submit("/n/fails").await;
        let mut seen = 0;
        for at in 0..NODES {
            fleet.serve(at);
            let more = fleet.wait_runs(seen + 1, Duration::from_secs(3)).await;
            if !more {
                break;
            }
            seen = fleet.runs();
            fleet.leave(at);
        }
        fleet.runs()
    });
    expect_that!(runs, eq(usize::try_from(ATTEMPTS).unwrap()));
}
