//! Hedging: a second attempt at a repeatable request whose first token is late.

use std::time::Duration;

/// Relative step by which the estimate moves.
const STEP: f64 = 0.05;
/// Fraction of requests that may be hedged.
const HEDGE_FRACTION: f64 = 0.05;
/// Maximum number of saved hedges.
const CAPACITY: f64 = 10.0;
/// Initial estimate.
const INITIAL_US: f64 = 150_000.0;
/// Quantile of the time to first token beyond which a request is late.
const QUANTILE: f64 = 0.95;

/// Estimates when a first token is late, and limits the number of hedges.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    late_us: f64,
    tokens: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            late_us: INITIAL_US,
            tokens: 0.0,
        }
    }
}

impl Hedge {
    /// Records a time to first token. Moves the estimate of the quantile by a small step up or
    /// down, which needs no stored samples.
    pub fn first_token(&mut self, took: Duration) {
        let micros = took.as_secs_f64() * 1e6;
        let step = if micros > self.late_us {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.late_us *= 1.0 + STEP * step;
        self.tokens = (self.tokens + HEDGE_FRACTION).min(CAPACITY);
    }

    /// Returns the time after sending at which a request without a first token is hedged.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.late_us / 1e6)
    }

    /// Takes a saved hedge; returns false when there is none. Only for repeatable requests
    /// without any token yet.
    pub fn withdraw(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}
