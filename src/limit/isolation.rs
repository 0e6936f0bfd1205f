//! Detection of a node that is isolated from the others.
//!
//! An isolated node may be the coordinator of a limit, or consider itself to be after a while.
//! What it lets through comes on top of what the others let through. By membership alone it
//! can't distinguish isolation from a real loss of the others; but an isolated node receives
//! nothing from the store either, and no queries from other nodes. Sooner than the store, the
//! other candidates for the coordinator tell, which it asks itself ([`super::witness`]).

use std::time::Duration;

use crate::clock::Time;

/// How long lost nodes still count.
const NODE_TTL: Duration = Duration::from_secs(10);
/// A node with an answer of the store within this time is not isolated.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Nor is a node with a query of another node within this time.
const QUERY_TIMEOUT: Duration = Duration::from_millis(800);
/// The same for a node that no other candidate answers.
const SILENT_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of recently seen nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    max_nodes: usize,
    seen: Time,
}

impl Isolation {
    /// Sets the number of nodes in the current membership view.
    pub fn set_node_count(&mut self, now: Time, nodes: usize) {
        if nodes >= self.max_nodes || now.since(self.seen) > NODE_TTL {
            self.max_nodes = nodes;
            self.seen = now;
        }
    }

    /// Returns the highest recent number of nodes.
    pub fn nodes(&self) -> usize {
        self.max_nodes
    }

    /// True when this node appears to be isolated: no query of another node has arrived for
    /// `query_age`, and either the store's last answer is `store_age` old, or the other candidates
    /// are `silent`.
    pub fn is_isolated(
        &self,
        store_age: Option<Duration>,
        query_age: Duration,
        silent: bool,
    ) -> bool {
        let without_store = store_age.is_some_and(|ago| ago >= STORE_TIMEOUT);
        self.max_nodes > 1
            && ((without_store && query_age >= QUERY_TIMEOUT)
                || (silent && query_age >= SILENT_QUERY_TIMEOUT))
    }
}
