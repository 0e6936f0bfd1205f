//! A second attempt at a repeatable question whose first token is late.

use std::time::Duration;

/// Steps by which the estimate moves, relative to itself.
const STEP: f64 = 0.05;
/// Share of questions that may be hedged.
const SHARE: f64 = 0.05;
/// Hedges that can be saved up.
const MOST: f64 = 10.0;
/// Estimate before anything is known, in microseconds.
const START_US: f64 = 150_000.0;
/// The quantile of the first-token time after which a question is late.
const QUANTILE: f64 = 0.95;

/// Learns when a first token is late, and allows a hedge now and then.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    late_us: f64,
    tokens: f64,
}

impl Default for Hedge {
    fn default() -> Self {
        Self {
            late_us: START_US,
            tokens: 0.0,
        }
    }
}

impl Hedge {
    /// A first token came after `took`. Moves the estimate of the quantile by
    /// a small step up or down, so that no samples need be kept.
    pub fn first_token(&mut self, took: Duration) {
        let micros = took.as_secs_f64() * 1e6;
        let step = if micros > self.late_us {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        self.late_us *= 1.0 + STEP * step;
        self.tokens = (self.tokens + SHARE).min(MOST);
    }

    /// When to hedge a question without a first token, counted from when it
    /// was sent.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.late_us / 1e6)
    }

    /// Takes one hedge out; false when there is none. Only for repeatable
    /// requests of which no token has come.
    pub fn withdraw(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}
