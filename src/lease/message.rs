//! What goes into and comes out of the decision about a lease.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;
use crate::name::Name;
use crate::table::{Fault, Row, Transaction};

/// What a lease's row holds. The row is never removed, so that the epoch never
/// starts anew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The node that holds it; empty when it was released.
    pub holder: Name,
    /// Tells this run of the holder from an earlier one of the same name.
    pub nonce: u64,
    /// Counts up with every new holder.
    pub epoch: u64,
    /// Counts up with every write of the same epoch.
    pub renewal: u64,
}

/// What a lease is and who asks for it.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The row's key.
    pub key: String,
    /// This node's name.
    pub holder: Name,
    /// Random, chosen once when the process starts.
    pub nonce: u64,
    /// How long it lasts after a renewal.
    pub duration: Duration,
    /// By how much the holder stops early and a successor waits longer.
    pub margin: Duration,
    /// How often it is renewed, or looked at by those who wait for it.
    pub period: Duration,
}

impl Setting {
    /// The lease `name` with the durations that docs/design/lease.md chose.
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

/// A lease that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its epoch, which is the fencing number.
    pub epoch: u64,
    /// When the holder must have stopped.
    pub until: Time,
}

/// Tells one read or write of a claim from the others, so that an answer that
/// was given up on can't be taken for that of a later one.
pub type Token = u64;

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed; due several times a second.
    Tick,
    /// Whether this node wants the lease.
    Contend(bool),
    /// The row was read, or not.
    Read {
        /// Which read.
        token: Token,
        /// What it brought.
        result: Result<Option<Row>, Fault>,
    },
    /// The row was written, or not.
    Wrote {
        /// Which write.
        token: Token,
        /// What became of it.
        result: Result<u64, Fault>,
    },
}

/// What the shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the row.
    Read(Token),
    /// Write the row.
    Write(Token, Transaction),
    /// Act under this epoch from now on.
    Gained(u64),
    /// Stop acting under this epoch.
    Lost(u64),
}
