//! The loads of a node's dispatchers, for readers on other threads.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Load;
use crate::name::Name;
use crate::snapshot::Cell;

/// What one shell last published.
pub type Loads = BTreeMap<Name, Load>;

/// Where the shells publish and others read, without a lock.
#[derive(Clone, Debug)]
pub struct Registry {
    threads: Arc<[Arc<Cell<Loads>>]>,
}

impl Registry {
    /// A board for that many shells.
    pub fn new(threads: usize) -> Self {
        let cells = (0..threads).map(|_| Arc::new(Cell::new(Loads::new())));
        Self {
            threads: cells.collect(),
        }
    }

    /// Where the shell of that thread publishes.
    pub fn cell(&self, thread: usize) -> Arc<Cell<Loads>> {
        Arc::clone(&self.threads[thread])
    }

    /// The load of an endpoint, or nothing while its dispatcher is unused.
    pub fn load(&self, endpoint: &str) -> Option<Load> {
        let thread = super::handle::thread_of(endpoint, self.threads.len());
        self.threads[thread].read().get(endpoint).copied()
    }

    /// The loads of every dispatcher that is in use.
    pub fn all(&self) -> Loads {
        let all = self.threads.iter().map(|cell| Loads::clone(&cell.read()));
        all.flatten().collect()
    }
}
