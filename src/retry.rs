//! Whether, when and how a request is tried again.
//!
//! docs/design/retries.md tells which retries are legal, why they have a
//! budget and what hedging costs.

use std::time::Duration;

use crate::outcome::{Reason, Refusal};

mod assembly;
mod budget;
mod hedge;

pub use assembly::{Assembly, Push};
pub use budget::Budget;
pub use hedge::Hedge;

/// Attempts at one request, the first among them.
const MAX_ATTEMPTS: u32 = 4;
/// Wait before a second retry; doubles each time.
const BACKOFF: Duration = Duration::from_millis(20);
/// Less time than this is not worth another attempt.
const MIN_TIME: Duration = Duration::from_millis(50);

/// How an attempt ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It certainly did not run.
    NotRun(Refusal),
    /// It may have run.
    MayHaveRun(Refusal),
}

/// What is known of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Attempts so far, the failed one among them.
    pub count: u32,
    /// True when the request must run at most once.
    pub once: bool,
    /// Time until the caller gives up.
    pub time_left: Duration,
    /// True when another endpoint is left to try.
    pub has_alternative: bool,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try again after `wait`, from the offset that the caller has.
    Retry {
        /// How long to wait first.
        wait: Duration,
    },
    /// Tell the caller at once.
    GiveUp(Failure),
}

/// Decides what follows a failed attempt; takes from `budget` what it spends.
///
/// After [`Failure::MayHaveRun`] a request that must run at most once is never
/// tried again, whatever else holds.
pub fn decide(failure: Failure, attempt: &Attempt, budget: &mut Budget) -> Decision {
    let (refusal, legal) = match &failure {
        Failure::NotRun(refusal) => (refusal, true),
        Failure::MayHaveRun(refusal) => (refusal, !attempt.once),
    };
    let useful = helps(refusal.reason)
        && attempt.has_alternative
        && attempt.count < MAX_ATTEMPTS
        && attempt.time_left >= MIN_TIME;
    if !legal || !useful || !budget.withdraw() {
        return Decision::GiveUp(failure);
    }
    let wait = match attempt.count {
        0 | 1 => Duration::ZERO,
        count => BACKOFF * 2_u32.pow(count - 2),
    };
    Decision::Retry { wait }
}

/// True when another endpoint may do better.
const fn helps(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overloaded
            | Reason::NoEndpoint
            | Reason::NotReady
            | Reason::EndpointFailed
            | Reason::LinkFailed
    )
}
