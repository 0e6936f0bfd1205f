//! Questions that one node's control thread asks another's.
//!
//! They travel in frames of connections that the control thread keeps for
//! itself, so that no answer to a caller stands before them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Document;
use crate::config::follow::Report;
use crate::dispatch::Load;
use crate::edge::learn::PeerUpdate;
use crate::feed::Answer;
use crate::name::Name;

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// What do you know of the configuration?
    Report,
    /// Which document do you have?
    Document,
    /// This version is about to be committed.
    Announce {
        /// The version.
        version: u64,
    },
    /// How busy are the endpoints that you dispatch for?
    Loads,
    /// Leave, as SIGTERM would make you.
    Drain,
    /// What does the store say? I can't reach it.
    Known {
        /// The configuration version that the asker has.
        version: u64,
    },
    /// What changed in a table of the store?
    Changes {
        /// The table.
        table: Name,
        /// The version that the asker knows.
        after: u64,
    },
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Query::Report`].
    Report(Report),
    /// To [`Query::Document`]; none while no document is known.
    Document(Option<Arc<Document>>),
    /// To [`Query::Announce`].
    Announced,
    /// To [`Query::Loads`].
    Loads(Vec<(Name, Load)>),
    /// To [`Query::Drain`]: what is in flight there.
    Draining {
        /// Requests and items.
        in_flight: u32,
    },
    /// To [`Query::Known`]; none when the store does not answer this node either.
    Known(Option<Box<PeerUpdate>>),
    /// To [`Query::Changes`].
    Changes(Answer),
    /// The node can't answer now.
    Busy,
}
