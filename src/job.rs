//! Batch jobs: every accepted item gets exactly one result, whatever fails.
//!
//! [`Jobs`] serves callers and [`runner::Runner`] executes chunks. The two share only rows and
//! objects in the platform, so that any node may be lost at any step. docs/design/batch.md
//! describes the layout and sketches the proof; docs/BATCH.md is for operators.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::outcome::Outcome;
use crate::request::{Answer, Request};

pub mod accept;
pub mod change;
pub mod chunk;
pub mod index;
pub mod key;
pub mod lane;
pub mod order;
pub mod read;
pub mod record;
pub mod runner;
pub mod segment;
pub mod watch;

mod cancel;

pub use accept::{Accepted, Jobs, Submission};
pub use key::Id;
pub use read::{Listing, Results, Status};
pub use record::{Counts, Item, Job, State};

/// Interface of the runner to the dispatchers of its node.
pub trait Execute {
    /// Number of batch items that this node would accept now for the service.
    fn capacity(&self, service: &Name) -> usize;

    /// The services that this node dispatches for at present.
    fn services(&self) -> Vec<Name>;

    /// Runs one item. Dropping the future cancels it at the endpoint.
    async fn execute(&self, request: Request) -> Outcome<Answer>;
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// The answer is complete.
    Done,
    /// It cannot be completed; the text gives the reason.
    Failed,
    /// It must run at most once, and it is unknown whether it ran.
    MayHaveRun,
    /// Its job was cancelled before it had a result.
    Cancelled,
}

/// The single result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Index of the item in its job, from 0.
    pub number: u32,
    /// The caller's key of the item; empty if it gave none.
    pub key: Name,
    /// How it ended.
    pub end: End,
    /// The generated text, or the reason why there is none.
    pub text: String,
    /// Tokens generated.
    pub tokens: u32,
    /// Recorded number of times that it was sent to an endpoint.
    pub attempts: u32,
}

/// Intervals and limits of batch execution. docs/design/batch.md derives them from the request
/// budget of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// A holder that has not renewed its lease for this long may be taken over.
    pub lease_duration: Duration,
    /// Interval between renewals of a holder's lease.
    pub renew_interval: Duration,
    /// Interval between flushes of finished results. After a loss, at most this much work is
    /// redone, plus the items that were running.
    pub flush_interval: Duration,
    /// Interval between reads of the index of open chunks.
    pub poll_interval: Duration,
    /// Interval between reads of the rows of the jobs held, which detect cancellations whose push
    /// was lost.
    pub check_interval: Duration,
    /// Time that a stopping node gives running items to finish.
    pub drain_timeout: Duration,
    /// Number of times an item may fail while it runs isolated.
    pub max_attempts: u32,
    /// Most chunks that one node holds.
    pub max_chunks: usize,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(30),
            renew_interval: Duration::from_secs(10),
            flush_interval: Duration::from_secs(5),
            poll_interval: Duration::from_secs(2),
            check_interval: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(20),
            max_attempts: 3,
            max_chunks: 16,
        }
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::MayHaveRun => "may_have_run",
            Self::Cancelled => "cancelled",
        })
    }
}
