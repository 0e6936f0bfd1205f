//! Immutable snapshots that the control thread publishes and traffic threads read
//! without a lock.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

/// Holds the latest snapshot.
///
/// Readers never wait for the writer, so that a slow configuration change cannot
/// delay a request.
#[derive(Debug)]
pub struct Cell<T> {
    current: ArcSwap<T>,
}

impl<T> Cell<T> {
    /// Creates a cell that holds `first` until another snapshot is published.
    pub fn new(first: T) -> Self {
        Self {
            current: ArcSwap::from_pointee(first),
        }
    }

    /// Returns the latest snapshot, for a short time without an await.
    pub fn read(&self) -> Guard<Arc<T>> {
        self.current.load()
    }

    /// Returns the latest snapshot, which may be held across an await.
    pub fn load(&self) -> Arc<T> {
        self.current.load_full()
    }

    /// Replaces the snapshot. Only the control thread calls this.
    pub fn publish(&self, next: T) {
        self.current.store(Arc::new(next));
    }
}
