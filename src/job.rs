//! Batch jobs: every accepted item gets exactly one result, whatever fails.
//!
//! [`Jobs`] serves callers and [`runner::Runner`] executes chunks; the two share
//! nothing but rows and objects, so that any node may be lost at any step.
//! docs/design/batch.md gives the layout and the proof sketch, docs/BATCH.md
//! what an operator looks at.

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

/// What the runner needs from the dispatchers of its node.
pub trait Execute {
    /// Batch items that this node would take now for the service.
    fn capacity(&self, service: &Name) -> usize;

    /// The services that this node dispatches for now.
    fn services(&self) -> Vec<Name>;

    /// Runs one item. Dropping the future cancels it at the endpoint.
    async fn execute(&self, request: Request) -> Outcome<Answer>;
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// The answer is whole.
    Done,
    /// It can't be completed; the text says why.
    Failed,
    /// It must run at most once, and whether it ran is not known.
    MayHaveRun,
    /// Its job was cancelled before it had a result.
    Cancelled,
}

/// The one result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Which item of its job, from 0.
    pub number: u32,
    /// The caller's name of the item; empty when it gave none.
    pub key: Name,
    /// How it ended.
    pub end: End,
    /// The generated text, or why there is none.
    pub text: String,
    /// Tokens generated.
    pub tokens: u32,
    /// Times it was sent to an endpoint, as far as that was recorded.
    pub attempts: u32,
}

/// Periods and bounds of batch execution. docs/design/batch.md derives them
/// from the table's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Setting {
    /// A holder that was not seen to renew for this long may be taken over.
    pub lease_duration: Duration,
    /// Time between two renewals of a holder's lease.
    pub renew_interval: Duration,
    /// Time between two flushes of finished results; work redone after a loss
    /// is at most this much and what ran at the time.
    pub flush_interval: Duration,
    /// Time between two looks at the index of open chunks.
    pub poll_interval: Duration,
    /// Time between two looks at the rows of the jobs held, for cancellations
    /// whose push was lost.
    pub check_interval: Duration,
    /// Time for which a stopping node lets running items finish.
    pub drain_timeout: Duration,
    /// Times an item may fail while it runs alone.
    pub max_attempts: u32,
    /// Chunks that one node holds at most.
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
