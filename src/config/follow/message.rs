//! Inputs and actions of the decision which configuration may be applied.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::super::Document;
use super::super::row::Pointer;
use crate::clock::Time;
use crate::name::Name;
use crate::table::Fault;

/// Answer of a node to a query of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Version of its document; 0 if it has none.
    pub version: u64,
    /// Newest version known to it.
    pub newest: u64,
    /// Newest version that was announced to it as about to be committed.
    pub announced: u64,
    /// True if the node has run for long enough to know of every change that may
    /// still be committed, so that none but `announced` was announced to it.
    pub witness: bool,
    /// How long ago the table confirmed its version; `None` if not recently.
    pub confirmed_ago: Option<Duration>,
    /// Number of nodes known to it, including itself.
    pub members: u32,
}

/// An input of the follower.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed; due about once per second and when [`super::Follower::wake`]
    /// says.
    Tick,
    /// A read of the pointer row has completed or failed.
    Polled {
        /// Time at which the read was sent.
        requested_at: Time,
        /// Result of the read; `None` if there is no configuration yet.
        result: Result<Option<Pointer>, Fault>,
    },
    /// A read of the document has completed or failed.
    Fetched {
        /// Time at which the read was sent.
        requested_at: Time,
        /// Result of the read.
        result: Result<Option<Arc<Document>>, Fault>,
    },
    /// A peer sent its document.
    Offered(Arc<Document>),
    /// This node committed a document.
    Committed {
        /// Time at which the commit was started.
        requested_at: Time,
        /// The document.
        document: Arc<Document>,
    },
    /// A peer is about to commit this version and waits for the acknowledgement;
    /// see [`super::super::commit::Announce`].
    Announced(u64),
    /// A version was mentioned, for example by gossip.
    Mentioned(u64),
    /// A peer answered a query.
    Answered {
        /// Name of the peer.
        peer: Name,
        /// Time at which the query was sent.
        requested_at: Time,
        /// Answer of the peer.
        report: Report,
    },
    /// All other nodes of the fleet. A node is omitted only after it announced
    /// its departure or when the platform's list no longer contains it, never
    /// because it is unreachable; otherwise a partitioned node would soon
    /// consider itself the whole fleet.
    Peers(Vec<Name>),
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the pointer row.
    Poll,
    /// Read the document.
    Fetch,
    /// Query this peer for its [`Report`].
    Query(Name),
    /// Fetch the document of this peer.
    FetchFrom(Name),
    /// Publish the document in force.
    Publish(InForce),
}

/// The document in force and its expiry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The document in force.
    pub document: Arc<Document>,
    /// Time at which it expires unless something newer is published before.
    pub until: Time,
}

impl InForce {
    /// Returns true while the document may be applied. Callers must check this
    /// with the current time when they start work, so that a node that was paused
    /// stops at once.
    pub fn is_valid(&self, now: Time) -> bool {
        self.document.version > 0 && now < self.until
    }
}
