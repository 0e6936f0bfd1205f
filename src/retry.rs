//! Decides whether and when a request is retried.
//!
//! docs/design/retries.md explains which retries are legal, why they have a budget and what
//! hedging costs.

use std::time::Duration;

use crate::outcome::{Reason, Refusal};

mod assembly;
mod budget;
mod hedge;

pub use assembly::{Assembly, Push};
pub use budget::Budget;
pub use hedge::Hedge;

/// Maximum number of attempts at one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// Wait before the second retry; doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(20);
/// Minimum remaining time for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// Outcome of an attempt that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request certainly did not run.
    NotRun(Refusal),
    /// The request may have run.
    MayHaveRun(Refusal),
}

/// State of the request at the time of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of attempts so far, including the failed one.
    pub count: u32,
    /// True when the request must run at most once.
    pub once: bool,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// True when there is another endpoint to try.
    pub has_alternative: bool,
}

/// Decision about a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry after `wait`, from the offset that the caller has.
    Retry {
        /// Delay before the retry.
        wait: Duration,
    },
    /// Return the failure to the caller.
    GiveUp(Failure),
}

/// Decides whether to retry a failed attempt. A retry is charged to `budget`.
///
/// After [`Failure::MayHaveRun`] a request that must run at most once is never retried.
pub fn decide(failure: Failure, attempt: &Attempt, budget: &mut Budget) -> Decision {
    let (refusal, legal) = match &failure {
        Failure::NotRun(refusal) => (refusal, true),
        Failure::MayHaveRun(refusal) => (refusal, !attempt.once),
    };
    let useful = is_retryable(refusal.reason)
        && attempt.has_alternative
        && attempt.count < MAX_ATTEMPTS
        && attempt.time_left >= MIN_TIME_LEFT;
    if !legal || !useful || !budget.withdraw() {
        return Decision::GiveUp(failure);
    }
    let wait = match attempt.count {
        0 | 1 => Duration::ZERO,
        count => BACKOFF * 2_u32.pow(count - 2),
    };
    Decision::Retry { wait }
}

/// True when another endpoint may succeed.
const fn is_retryable(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overloaded
            | Reason::NoEndpoint
            | Reason::NotReady
            | Reason::EndpointFailed
            | Reason::LinkFailed
    )
}
