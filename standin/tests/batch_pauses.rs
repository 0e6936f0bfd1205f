//! Tests items of batch jobs while the process stands still.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::Fleet;
use googletest::prelude::*;
use tokio::time::sleep;

/// Guards against a node that was paused, takes an endpoint for silent, and runs an item again.
#[gtest]
fn run_paused() {
    /// The item takes 0.6 s.
    const SLOWDOWN: u32 = 60;
    /// Longer than an endpoint may be silent.
    const PAUSE: Duration = Duration::from_millis(1_500);
    let (runs, listed) = actix_rt::System::new().block_on(async {
        let fleet = Fleet::start(4).await;
        fleet.slow_down(SLOWDOWN);
        fleet.submit("/n/works").await;
        assert!(fleet.wait_runs(1, Duration::from_secs(5)).await);
        sleep(Duration::from_millis(400)).await;
        std::thread::sleep(PAUSE);
        let answer = fleet.read(0, Duration::from_secs(10)).await;
        let listed = String::from_utf8_lossy(answer.body()).into_owned();
        (fleet.runs(), listed)
    });
    expect_that!(listed, contains_substring("\"complete\""));
    expect_that!(runs, eq(1));
}
