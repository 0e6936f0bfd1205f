//! Counts what is in flight on a node, so that a planned stop cuts nothing
//! short.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A count shared by every thread.
#[derive(Clone, Debug, Default)]
pub struct Work {
    count: Arc<AtomicUsize>,
}

/// One thing in flight, until it is dropped.
#[derive(Debug)]
pub struct Guard {
    count: Arc<AtomicUsize>,
}

impl Work {
    /// Counts one more thing for as long as the guard lives.
    pub fn begin(&self) -> Guard {
        self.count.fetch_add(1, Ordering::Relaxed);
        let count = Arc::clone(&self.count);
        Guard { count }
    }

    /// How much is in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
