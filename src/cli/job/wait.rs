//! Polls a job until it has ended, and shows a progress bar on a terminal.

use std::time::Duration;

use clap::{Arg, ArgAction};
use eyre::Result;
use indicatif::{ProgressBar, ProgressStyle};

use crate::rpc::client::{Client, Error};
use crate::rpc::v1;

/// Initial poll interval; each interval is 1.5 times the one before.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Upper bound of the poll interval, so that a long job costs few reads.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Consecutive failed polls, as during an outage or a restart, after which waiting ends with an
/// error: about five minutes.
const MAX_FAILURES: u32 = 150;

pub(super) fn option() -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Wait until the job has ended; a progress bar shows on a terminal")
}

/// Polls the job until it has ended or was cancelled, and returns its last status.
pub(in crate::cli) async fn until_ended(
    client: &Client,
    job: &str,
) -> Result<v1::JobStatusResponse> {
    // Draws nothing if standard error is not a terminal.
    let bar = ProgressBar::new(0).with_style(style());
    let mut failures = 0;
    let mut interval = INITIAL_POLL_INTERVAL;
    loop {
        match client.call(&v1::JobStatusRequest { job: job.into() }).await {
            Ok(status) => {
                failures = 0;
                bar.set_length(status.items.into());
                bar.set_position((status.done + status.failed + status.unknown).into());
                if status.state() != v1::JobState::Active {
                    bar.finish_and_clear();
                    return Ok(status);
                }
            }
            Err(e) if failures < MAX_FAILURES && is_transient(&e) => failures += 1,
            Err(e) => return Err(e.into()),
        }
        actix_rt::time::sleep(interval).await;
        interval = (interval * 3 / 2).min(MAX_POLL_INTERVAL);
    }
}

/// Returns whether the next poll can succeed. A status query may be repeated after any other error
/// than a refusal without a retry delay.
const fn is_transient(error: &Error) -> bool {
    match error {
        Error::Refused(refusal) => refusal.retry_after_ms.is_some(),
        Error::Unreachable { .. } | Error::Lost(_) => true,
    }
}

fn style() -> ProgressStyle {
    ProgressStyle::with_template("{bar:40} {pos}/{len} items {elapsed} (about {eta} left)")
        .expect("the template is constant")
}
