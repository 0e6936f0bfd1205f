//! Relaying of the store's changes, so that not every node has to read the store.
//!
//! Every node follows the same three tables. If each node read them itself, the store's calls and
//! bytes would grow with nodes times changes, and with hundreds of nodes they would cost more
//! than everything else that a node does besides serving. Here two members of each availability
//! zone read the store, and the others query them. There is no election: a member that is queried
//! for a table starts to follow it, and stops when the queries stop. All of it is soft state. A
//! node whose readers are silent, late or lagging reads the store itself, as it would without
//! them.
//!
//! [`buffer`] and [`selector`] decide, [`reader`] and [`source`] perform the I/O;
//! docs/design/feed.md compares the alternatives.

pub mod buffer;
pub mod reader;
pub mod selector;
pub mod source;
pub mod table;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Uptime;
use crate::table::{Changes, Row};

/// Answer of a reader to [`crate::wire::query::Query::Changes`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// All changes since the requested version.
    Changes(Changes),
    /// The reader does not have all changes since that version.
    Gap,
    /// The store does not answer the reader.
    Stale,
    /// The reader serves no such table.
    Foreign,
}

/// Rows of a table, as a reader has them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The rows, in order of their keys.
    pub rows: Vec<Row>,
    /// True if more rows follow.
    pub has_more: bool,
    /// The version of the table that the rows reflect at least.
    pub version: u64,
    /// The store's clock at its last answer, in milliseconds.
    pub clock: u64,
    /// Age of that answer.
    pub age: Duration,
    /// How long before this page was sent the store was queried for that answer.
    pub asked_ago: Duration,
}

impl Answer {
    /// Sets how long before `now` the store was queried. The receiver counts back from the time
    /// of its own query, which was sent before `now`: even if the answer is delayed or its sender
    /// suspended, it never appears newer than it is.
    #[must_use]
    pub fn with_age(mut self, now: Uptime) -> Self {
        if let Self::Changes(changes) = &mut self {
            changes.asked_ago = changes.asked.map(|asked| now.since(asked));
        }
        self
    }
}
