//! How long the store's answers are waited for.

use std::cell::Cell;
use std::time::Duration;

/// The store answers in some 5 ms and, when slow, in 60 times as long; after
/// this the answer is taken for lost, however slow the store was before.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An object call takes 25 ms and its share of 80 MB a second.
const OBJECT_TIMEOUT: Duration = Duration::from_secs(3);
/// An answer is taken for lost after so many times the usual time. A job is to
/// be accepted within 500 ms, which leaves time for another try only if a lost
/// answer is noticed early; every call may be repeated or is read back.
const PATIENCE: u32 = 8;
/// The least of that; a pause of this process must not look like a lost answer.
const LEAST_PATIENCE: Duration = Duration::from_millis(120);
/// The usual time before any answer came.
const FIRST_USUAL: Duration = Duration::from_millis(20);
/// The same for objects, which take 25 ms and their share of 80 MB a second.
const FIRST_OBJECT: Duration = Duration::from_millis(50);
const LEAST_OBJECT_PATIENCE: Duration = Duration::from_millis(250);
/// By so many tenths a lost answer raises the usual time, in case the store is
/// slow and not lossy.
const RAISED: u32 = 16;

/// How long answers take, and how long to wait for one.
#[derive(Debug)]
pub(super) struct Pace {
    usual: Cell<Duration>,
    least: Duration,
    most: Duration,
}

impl Pace {
    /// Of calls about rows.
    pub(super) fn rows() -> Self {
        Self {
            usual: Cell::new(FIRST_USUAL),
            least: LEAST_PATIENCE,
            most: CALL_TIMEOUT,
        }
    }

    /// Of calls about objects.
    pub(super) fn objects() -> Self {
        Self {
            usual: Cell::new(FIRST_OBJECT),
            least: LEAST_OBJECT_PATIENCE,
            most: OBJECT_TIMEOUT,
        }
    }

    /// How long to wait for the next answer.
    pub(super) fn limit(&self) -> Duration {
        (self.usual.get() * PATIENCE).clamp(self.least, self.most)
    }

    /// An answer came after `took`.
    pub(super) fn answered(&self, took: Duration) {
        self.usual.set((self.usual.get() * 3 + took) / 4);
    }

    /// No answer came in time.
    pub(super) fn lost(&self) {
        let raised = self.usual.get() * RAISED / 10;
        self.usual.set(raised.min(self.most / PATIENCE));
    }
}
