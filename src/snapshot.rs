//! Immutable snapshots that the control thread publishes and traffic threads
//! read without a lock.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};

/// A place that always holds the newest snapshot.
///
/// Readers never wait for the writer, so that a slow change of configuration
/// can't hold up a request.
#[derive(Debug)]
pub struct Cell<T> {
    current: ArcSwap<T>,
}

impl<T> Cell<T> {
    /// A cell that holds `first` until something newer is published.
    pub fn new(first: T) -> Self {
        Self {
            current: ArcSwap::from_pointee(first),
        }
    }

    /// The newest snapshot, for the length of one decision.
    pub fn read(&self) -> Guard<Arc<T>> {
        self.current.load()
    }

    /// The newest snapshot, to be kept across an await.
    pub fn load(&self) -> Arc<T> {
        self.current.load_full()
    }

    /// Replaces the snapshot. Only the control thread calls this.
    pub fn publish(&self, next: T) {
        self.current.store(Arc::new(next));
    }
}
