//! Counts the work in flight on a node, so that a shutdown can wait for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A counter shared by all threads.
#[derive(Clone, Debug, Default)]
pub struct Work {
    count: Arc<AtomicUsize>,
}

/// Counts one item of work until dropped.
#[derive(Debug)]
pub struct Guard {
    count: Arc<AtomicUsize>,
}

impl Work {
    /// Counts one more item of work until the guard is dropped.
    pub fn begin(&self) -> Guard {
        self.count.fetch_add(1, Ordering::Relaxed);
        let count = Arc::clone(&self.count);
        Guard { count }
    }

    /// Returns the number of items in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
