//! Tests waits that are limited while the process stands still.

use std::time::Duration;

use auburnspoke::clock::within;
use googletest::prelude::*;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(400);

/// Waits for what takes `length`, while the process stands still for [`PAUSE`].
async fn wait_paused(length: Duration) -> bool {
    let wait = async {
        let answer = async {
            // It arrives in several steps, as an answer on a connection does.
            sleep(length).await;
            tokio::task::yield_now().await;
        };
        within(LIMIT, answer).await.is_ok()
    };
    let pause = async {
        sleep(LIMIT / 5).await;
        std::thread::sleep(PAUSE);
    };
    tokio::join!(wait, pause).0
}

/// Guards against an answer that came during a pause and counts as missing.
#[gtest]
fn within_paused() {
    let is_ready = actix_rt::System::new().block_on(wait_paused(LIMIT / 2));
    expect_that!(is_ready, eq(true));
}

/// Guards against a wait that a pause makes endless.
#[gtest]
fn within_paused_nothing() {
    let is_ready = actix_rt::System::new().block_on(wait_paused(Duration::from_secs(60)));
    expect_that!(is_ready, eq(false));
}
