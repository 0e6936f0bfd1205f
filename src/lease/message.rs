//! Inputs and actions of a lease claim.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::name::Name;
use crate::table::{Fault, Row, Transaction};

/// Content of the table row of a lease. The row is never removed, so that the
/// epoch never restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the holder; empty after a release.
    pub holder: Name,
    /// Distinguishes this process of the holder from an earlier one of the same
    /// name.
    pub nonce: u64,
    /// Incremented with every new holder.
    pub epoch: u64,
    /// Incremented with every write in the same epoch.
    pub renewal: u64,
}

/// Parameters of a lease and the identity of the claimant.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Key of the row.
    pub key: String,
    /// Name of this node.
    pub holder: Name,
    /// Random number drawn at process start.
    pub nonce: u64,
    /// Duration of the lease after a renewal.
    pub duration: Duration,
    /// Time by which the holder stops early and a successor waits longer.
    pub margin: Duration,
    /// Interval between renewals by the holder and reads by contenders.
    pub period: Duration,
}

impl Setting {
    /// Returns the lease `name` with the durations chosen in
    /// docs/design/lease.md.
    pub fn new(name: &str, holder: Name, nonce: u64) -> Self {
        Self {
            key: format!("lease/{name}"),
            holder,
            nonce,
            duration: Duration::from_secs(15),
            margin: Duration::from_secs(2),
            period: Duration::from_secs(4),
        }
    }
}

/// A held lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Epoch, used as the fencing token.
    pub epoch: u64,
    /// Time by which the holder must have stopped acting.
    pub until: Time,
}

/// Identifies one read or write of a claim, so that a late answer cannot be
/// attributed to a later operation.
pub type Token = u64;

/// An input of the claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed; due several times per second.
    Tick,
    /// Whether this node contends for the lease.
    Contend(bool),
    /// A read of the row has completed or failed.
    Read {
        /// Token of the read.
        token: Token,
        /// Result of the read.
        result: Result<Option<Row>, Fault>,
    },
    /// A write of the row has completed or failed.
    Wrote {
        /// Token of the write.
        token: Token,
        /// Result of the write.
        result: Result<u64, Fault>,
    },
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row.
    Read(Token),
    /// Write the row.
    Write(Token, Transaction),
    /// The lease was acquired; act under this epoch from now on.
    Gained(u64),
    /// The lease was lost; stop acting under this epoch.
    Lost(u64),
}
