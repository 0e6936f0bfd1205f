//! The budget that keeps retries from turning a brown-out into a storm.

/// Retries that each success pays for.
const DEPOSIT: f64 = 0.1;
/// Retries that can be saved up.
const MOST: f64 = 20.0;

/// A bucket that successes fill and retries empty.
///
/// What goes wrong without it: endpoints slow down, requests fail, each is
/// tried several times, and the load that was too high doubles. One notices by
/// goodput staying down after the fault is gone. Here retries are at most a
/// tenth of the successes in the long run, and none when nothing succeeds.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: MOST }
    }
}

impl Budget {
    /// A request was answered.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + DEPOSIT).min(MOST);
    }

    /// Takes one retry out; false when there is none.
    pub fn withdraw(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }

    /// Retries left.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
