//! Passing on what the store says, so that not every node reads it.
//!
//! Every node follows the same three tables. Read by each node for itself, the
//! store's calls and bytes grow with nodes times changes, and with hundreds of nodes
//! they cost more than all else that a node does besides serving. Here two members
//! of each availability zone read, and the others ask them. Nobody is elected:
//! whoever is asked for a table begins to follow it, and stops when it is asked
//! no more. All of it is soft state. A node whose readers are silent, late or
//! behind reads the store by itself, as it would without them.
//!
//! [`buffer`] and [`selector`] decide, [`desk`] and [`source`] act;
//! docs/design/feed.md weighs the ways.

pub mod buffer;
pub mod reader;
pub mod selector;
pub mod source;

use serde::{Deserialize, Serialize};

use crate::clock::Uptime;
use crate::table::Changes;

/// What a reader answers to [`crate::wire::query::Query::Changes`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Everything that changed since the version that was asked about.
    Changes(Changes),
    /// The reader does not know what followed on that version.
    Gap,
    /// The store does not answer the reader.
    Stale,
    /// The reader follows no such table.
    Foreign,
}

impl Answer {
    /// Says how long before `now` the store was asked. Whoever is told counts
    /// back from its own question, which was sent before `now`: however long the
    /// answer is on its way, or its sender suspended, it never seems newer than
    /// it is.
    #[must_use]
    pub fn with_age(mut self, now: Uptime) -> Self {
        if let Self::Changes(changes) = &mut self {
            changes.asked_ago = changes.asked.map(|asked| now.since(asked));
        }
        self
    }
}
