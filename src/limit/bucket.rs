//! A bucket of tokens, one for each request that may run.

use std::time::Duration;

use crate::clock::Time;

/// Longest wait that is told, for a bucket that fills hardly or not at all.
const MOST_WAIT: Duration = Duration::from_secs(60);

/// Tokens that come back at a steady rate up to a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    filled: Time,
    /// Tokens a second.
    rate: f64,
    /// Most tokens at a time.
    capacity: f64,
}

impl Bucket {
    /// A bucket that holds `tokens` at `now`.
    pub fn new(now: Time, rate: f64, capacity: f64, tokens: f64) -> Self {
        Self {
            tokens: tokens.min(capacity),
            filled: now,
            rate,
            capacity,
        }
    }

    /// Fills it from now on at another rate, up to another capacity.
    pub fn resize(&mut self, now: Time, rate: f64, capacity: f64) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Tokens that it holds at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Lowers what it holds to at most `tokens`.
    pub fn cap(&mut self, now: Time, tokens: f64) {
        self.fill(now);
        self.tokens = self.tokens.min(tokens);
    }

    /// Takes a token.
    ///
    /// # Errors
    /// How long until there is one.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.rate;
        Err(Duration::try_from_secs_f64(wait).map_or(MOST_WAIT, |wait| wait.min(MOST_WAIT)))
    }

    /// Puts a token back that was not used.
    pub fn refund(&mut self, now: Time) {
        self.fill(now);
        self.tokens = (self.tokens + 1.0).min(self.capacity);
    }

    fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + passed * self.rate).min(self.capacity);
    }
}
