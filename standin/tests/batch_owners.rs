//! A batch job that changes hands, on real nodes' parts in one process.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::{Fleet, NODES};
use googletest::prelude::*;
use hyper::StatusCode;
use standin::site::store::Treatment;
use tokio::time::sleep;

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

#[gtest]
fn submit_store_silent() {
    // A node is cut off from the store, and a job is sent to it. It has heard
    // nothing for seconds, so it knows that it can't keep the job. Were it to try
    // all the same, the caller would wait for half a second and more before it
    // tries another node, and be late with its whole job.
    let (status, writes) = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        let silent = Treatment {
            slow: Duration::from_secs(60),
            ..Treatment::default()
        };
        fleet.store.treatment.borrow_mut().insert(0, silent);
        sleep(Duration::from_secs(4)).await;
        let before = fleet.store.writes.get();
        let status = fleet.try_submit("/n/works").await;
        (status, fleet.store.writes.get() - before)
    });
    expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(writes, eq(0));
}

#[gtest]
fn submit_store_back() {
    // The same node's store answers again. Jobs must be taken at once, not only
    // after the next of them has found out.
    let status = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        let refuse = Treatment {
            refuse: true,
            ..Treatment::default()
        };
        fleet.store.treatment.borrow_mut().insert(0, refuse);
        sleep(Duration::from_secs(4)).await;
        fleet.store.treatment.borrow_mut().remove(&0);
        sleep(Duration::from_secs(2)).await;
        fleet.try_submit("/n/works").await
    });
    expect_that!(status, eq(StatusCode::ACCEPTED));
}
