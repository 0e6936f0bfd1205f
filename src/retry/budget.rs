//! Retry budget, which keeps retries from amplifying an overload.

/// Retries that each success adds to the budget.
const DEPOSIT: f64 = 0.1;
/// Maximum number of retries in the budget.
const CAPACITY: f64 = 20.0;

/// A token bucket that successes refill and retries drain.
///
/// Without it, endpoints that slow down make requests fail, each request is retried several
/// times, and the load that was already too high multiplies; goodput then stays low after the
/// fault is gone. With it, retries are at most a tenth of the successes in the long run, and
/// stop when nothing succeeds.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: CAPACITY }
    }
}

impl Budget {
    /// Records a success.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + DEPOSIT).min(CAPACITY);
    }

    /// Takes a retry from the budget; returns false when it is empty.
    pub fn withdraw(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }

    /// Returns the number of retries left.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
