//! Queries between the control threads of nodes.
//!
//! They use connections of the control thread's own, so that answers to callers never delay
//! them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Document;
use crate::config::follow::Report;
use crate::dispatch::Load;
use crate::edge::learn::PeerUpdate;
use crate::feed::{Answer, Page};
use crate::name::Name;
use crate::quarantine::export::Export;

/// A query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Requests the receiver's state of the configuration.
    Report,
    /// Requests the receiver's configuration document.
    Document,
    /// Announces a version that is about to be committed.
    Announce {
        /// The version.
        version: u64,
    },
    /// Requests the loads of the endpoints that the receiver dispatches for.
    Loads,
    /// Requests that the receiver shut down, as SIGTERM does.
    Drain,
    /// Requests the catalogue, from a node that can't reach the store.
    Known {
        /// The sender's configuration version.
        version: u64,
        /// The version up to which the sender knows the table of endpoints; 0 for none.
        #[serde(default)]
        endpoints_version: u64,
    },
    /// Requests the changes of a table in the store.
    Changes {
        /// The table.
        table: Name,
        /// The sender's version of the table.
        after: u64,
    },
    /// Requests rows of a table in the store.
    Rows {
        /// The table.
        table: Name,
        /// The rows follow this key; empty for the first rows.
        after: String,
    },
    /// Requests what the receiver knows about requests that crash endpoints.
    Quarantine,
}

/// A reply.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Replies to [`Query::Report`].
    Report(Report),
    /// Replies to [`Query::Document`]; none if the node has no document.
    Document(Option<Arc<Document>>),
    /// Replies to [`Query::Announce`].
    Announced,
    /// Replies to [`Query::Loads`].
    Loads(Vec<(Name, Load)>),
    /// Replies to [`Query::Drain`].
    Draining {
        /// Number of requests and items in flight on the draining node.
        in_flight: u32,
    },
    /// Replies to [`Query::Known`]; none if the store does not answer this node either.
    Known(Option<Box<PeerUpdate>>),
    /// Replies to [`Query::Changes`].
    Changes(Answer),
    /// Replies to [`Query::Rows`]; none if the node can't read the table.
    Rows(Option<Page>),
    /// Replies to [`Query::Quarantine`].
    Quarantine(Export),
    /// The node can't reply now.
    Busy,
}
