//! Whether a node is cut off from the others.
//!
//! A node that is cut off may be the keeper of a limit, or take itself for it after
//! a while. What it lets through then comes on top of what the others do. It can't
//! tell that from a real loss of the others by itself; but a node that is cut off
//! hears nothing of the store either, and nobody asks it anything.

use std::time::Duration;

use crate::clock::Time;

/// For how long nodes are remembered that are no longer seen.
const REMEMBERED: Duration = Duration::from_secs(10);
/// A node that has heard of the store within this is not cut off.
const HEARD: Duration = Duration::from_millis(2_500);
/// Nor is one that another node asked something within this.
const QUIET: Duration = Duration::from_millis(800);

/// The nodes that were seen lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    most: usize,
    seen: Time,
}

impl Isolation {
    /// Takes the number of nodes that are seen now.
    pub fn set_node_count(&mut self, now: Time, nodes: usize) {
        if nodes >= self.most || now.since(self.seen) > REMEMBERED {
            self.most = nodes;
            self.seen = now;
        }
    }

    /// The nodes that were there lately.
    pub fn nodes(&self) -> usize {
        self.most
    }

    /// True when this node seems to be cut off: it heard of the store `heard` ago,
    /// and of another node `asked` ago.
    pub fn is_isolated(&self, heard: Option<Duration>, asked: Duration) -> bool {
        self.most > 1 && heard.is_some_and(|ago| ago >= HEARD) && asked >= QUIET
    }
}
