//! Waits until a job has ended, with a progress bar on a terminal.

use std::time::Duration;

use clap::{Arg, ArgAction};
use eyre::Result;
use indicatif::{ProgressBar, ProgressStyle};

use crate::rpc::client::{Client, Error};
use crate::rpc::v1;

/// First pause between two looks; each is half as long again as the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two looks, so that a long job costs few reads.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Looks in a row that may fail, as during an outage or a restart, before the
/// wait is given up: some five minutes.
const MAX_FAILURES: u32 = 150;

pub(super) fn option() -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Wait until the job has ended; a progress bar shows on a terminal")
}

/// Looks again and again until the job has ended or was cancelled.
pub(in crate::cli) async fn until_ended(
    client: &Client,
    job: &str,
) -> Result<v1::JobStatusResponse> {
    // Draws nothing when the standard error stream is no terminal.
    let bar = ProgressBar::new(0).with_style(style());
    let mut failures = 0;
    let mut pause = FIRST_PAUSE;
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
            Err(e) if failures < MAX_FAILURES && is_passing(&e) => failures += 1,
            Err(e) => return Err(e.into()),
        }
        actix_rt::time::sleep(pause).await;
        pause = (pause * 3 / 2).min(LONGEST_PAUSE);
    }
}

/// A look may be repeated; it ends the wait only when looking again can't help.
const fn is_passing(error: &Error) -> bool {
    match error {
        Error::Refused(refusal) => refusal.retry_after_ms.is_some(),
        Error::Unreachable { .. } | Error::Lost(_) => true,
    }
}

fn style() -> ProgressStyle {
    ProgressStyle::with_template("{bar:40} {pos}/{len} items {elapsed} (about {eta} left)")
        .expect("the template is constant")
}
