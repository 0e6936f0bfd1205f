//! Adaptive timeouts of calls to the store, derived from the latency of earlier calls.

use std::cell::Cell;
use std::time::Duration;

/// Upper bound of the timeout of row calls. The store answers in some 5 ms and, when slow, in 60
/// times as long; after this time an answer counts as lost, however slow the store was before.
const MAX_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Upper bound of the timeout of object calls, which take 25 ms plus the transfer at 80 MB a
/// second.
const MAX_OBJECT_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout as a multiple of the average latency. A job has to be accepted within 500 ms, which
/// leaves time for a retry only if a lost answer is detected early. An early timeout is safe: every
/// call may be repeated, or its effect is read back.
const LATENCY_FACTOR: u32 = 8;
/// Lower bound of the timeout, so that a pause of this process does not look like a lost answer.
const MIN_TIMEOUT: Duration = Duration::from_millis(120);
/// Assumed latency before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// Assumed latency of object calls before the first answer; they take 25 ms plus the transfer at
/// 80 MB a second.
const INITIAL_OBJECT_LATENCY: Duration = Duration::from_millis(50);
/// Lower bound of the timeout of object calls.
const MIN_OBJECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Factor in tenths by which a lost answer raises the average latency, in case the store is slow
/// rather than losing answers.
const LOSS_FACTOR_TENTHS: u32 = 16;

/// The average latency of one kind of call, and the timeout derived from it.
#[derive(Debug)]
pub(super) struct Timeout {
    latency: Cell<Duration>,
    min: Duration,
    max: Duration,
}

impl Timeout {
    /// Creates the timeout of row calls.
    pub(super) fn rows() -> Self {
        Self {
            latency: Cell::new(INITIAL_LATENCY),
            min: MIN_TIMEOUT,
            max: MAX_TIMEOUT,
        }
    }

    /// Creates the timeout of object calls.
    pub(super) fn objects() -> Self {
        Self {
            latency: Cell::new(INITIAL_OBJECT_LATENCY),
            min: MIN_OBJECT_TIMEOUT,
            max: MAX_OBJECT_TIMEOUT,
        }
    }

    /// Returns how long to wait for the next answer.
    pub(super) fn current(&self) -> Duration {
        (self.latency.get() * LATENCY_FACTOR).clamp(self.min, self.max)
    }

    /// Records an answer that took `took`.
    pub(super) fn record_answer(&self, took: Duration) {
        self.latency.set((self.latency.get() * 3 + took) / 4);
    }

    /// Records a lost answer and raises the average latency.
    pub(super) fn record_loss(&self) {
        let raised = self.latency.get() * LOSS_FACTOR_TENTHS / 10;
        self.latency.set(raised.min(self.max / LATENCY_FACTOR));
    }
}
