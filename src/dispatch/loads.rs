//! Loads of a node's dispatchers, shared with other threads.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Load;
use crate::name::Name;
use crate::snapshot::Cell;

/// Load by endpoint.
pub type Loads = BTreeMap<Name, Load>;

/// The most recent loads of all shells. Publishing and reading take no lock.
#[derive(Clone, Debug)]
pub struct Registry {
    threads: Arc<[Arc<Cell<Loads>>]>,
}

impl Registry {
    /// Creates a registry for `threads` shells.
    pub fn new(threads: usize) -> Self {
        let cells = (0..threads).map(|_| Arc::new(Cell::new(Loads::new())));
        Self {
            threads: cells.collect(),
        }
    }

    /// The cell that the shell of `thread` publishes to.
    pub fn cell(&self, thread: usize) -> Arc<Cell<Loads>> {
        Arc::clone(&self.threads[thread])
    }

    /// Returns the load of an endpoint, or `None` while its dispatcher is unused.
    pub fn load(&self, endpoint: &str) -> Option<Load> {
        let thread = super::handle::thread_of(endpoint, self.threads.len());
        self.threads[thread].read().get(endpoint).copied()
    }

    /// Returns the loads of all dispatchers in use.
    pub fn all(&self) -> Loads {
        let all = self.threads.iter().map(|cell| Loads::clone(&cell.read()));
        all.flatten().collect()
    }
}
