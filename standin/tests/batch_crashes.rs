//! Tests items of batch jobs under which endpoints crash.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::Fleet;
use googletest::prelude::*;
use standin::site::replica::{EVENT_TOKENS, UNLUCKY_RUNS};

/// Runs that may fail before an item is given up.
const ATTEMPTS: u32 = 4;
/// Time in which the endpoints under an item crash one after the other, and it is completed.
const LENGTH: Duration = Duration::from_secs(20);

/// Guards against an item that is put aside for good, because endpoints crashed under it often
/// enough for it to be taken for the cause.
#[gtest]
fn run_endpoints_crash() {
    /// An endpoint that crashes may send an event before, and the next run goes on behind it. No run ends
    /// the output before the last one.
    const TOKENS: u64 = EVENT_TOKENS * 4 * UNLUCKY_RUNS as u64;
    let (runs, listed) = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.submit_long("/n/unlucky", TOKENS).await;
        let read = fleet.read(0, LENGTH);
        let listed = tokio::select! {
            answer = read => String::from_utf8_lossy(answer.body()).into_owned(),
            () = fleet.replace_crashed(LENGTH) => String::new(),
        };
        (fleet.runs(), listed)
    });
    expect_that!(listed, contains_substring("\"complete\""));
    expect_that!(runs, eq(UNLUCKY_RUNS + 1));
}

/// Guards against an item that a verdict holds back for its term, because an online request with the
/// same content crashes endpoints. It is met as well when a node starts and finds the verdict in the
/// store.
#[gtest]
fn run_online_request_condemned() {
    let listed = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(ATTEMPTS).await;
        fleet.condemn("/n/works").await;
        fleet.submit("/n/works").await;
        let answer = fleet.read(0, Duration::from_secs(10)).await;
        String::from_utf8_lossy(answer.body()).into_owned()
    });
    expect_that!(listed, contains_substring("\"complete\""));
}
