//! What goes into and comes out of the decision which version may be acted by.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::super::Document;
use super::super::row::Pointer;
use crate::clock::Time;
use crate::name::Name;
use crate::table::Fault;

/// What a node tells a peer that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The version of its document; 0 when it has none.
    pub version: u64,
    /// The newest version that it has heard of.
    pub newest: u64,
    /// The newest version that somebody said he was about to commit.
    pub announced: u64,
    /// True when it can vouch that no change was announced to it but the one
    /// it names: it has run for long enough, so that it has forgotten none.
    pub witness: bool,
    /// How long ago the table confirmed its version; none if it did not lately.
    pub confirmed_ago: Option<Duration>,
    /// Nodes that it knows of, itself among them.
    pub members: u32,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed; due about once a second and when [`Follower::wake`] says.
    Tick,
    /// The small row was read, or not.
    Polled {
        /// When the read was sent.
        asked: Time,
        /// What it brought; none when there is no configuration yet.
        result: Result<Option<Pointer>, Fault>,
    },
    /// The document was read, or not.
    Fetched {
        /// When the read was sent.
        asked: Time,
        /// What it brought.
        result: Result<Option<Arc<Document>>, Fault>,
    },
    /// A peer gave its document.
    Offered(Arc<Document>),
    /// This node has committed a document.
    Committed {
        /// When the commit was begun.
        asked: Time,
        /// The document.
        document: Arc<Document>,
    },
    /// A peer is about to commit this version, and waits to hear that this
    /// node knows; see [`super::commit::Announce`].
    Announced(u64),
    /// Somebody mentioned a version, as gossip does.
    Mentioned(u64),
    /// A peer answered a question.
    Answered {
        /// Which peer.
        peer: Name,
        /// When it was asked.
        asked: Time,
        /// Its answer.
        report: Report,
    },
    /// The nodes of the fleet without this one. A node is left out only when
    /// it said that it leaves or when the platform's list no longer has it;
    /// never because it can't be heard, or else a node that is cut off would
    /// soon take itself for the whole fleet.
    Peers(Vec<Name>),
}

/// What the shell must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the small row.
    Poll,
    /// Read the document.
    Fetch,
    /// Ask this peer for its [`Report`].
    Query(Name),
    /// Ask this peer for its document.
    FetchFrom(Name),
    /// Publish what may be acted by.
    Publish(InForce),
}

/// What may be acted by, and until when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The document in force.
    pub document: Arc<Document>,
    /// The end of its time, unless something newer is published before.
    pub until: Time,
}

impl InForce {
    /// True while the document may be acted by. Whoever starts work asks this
    /// with the present time at that moment, so that a node that was paused
    /// stops at once.
    pub fn is_valid(&self, now: Time) -> bool {
        self.document.version > 0 && now < self.until
    }
}
