//! A token bucket, with one token for each request that may run.

use std::time::Duration;

use crate::clock::Time;

/// Upper bound of the returned wait, for a bucket that refills very slowly or not at all.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Tokens that are refilled at a steady rate up to a capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    refilled_at: Time,
    /// Tokens per second.
    rate: f64,
    /// Maximum number of tokens.
    capacity: f64,
}

impl Bucket {
    /// Creates a bucket that holds `tokens` at `now`.
    pub fn new(now: Time, rate: f64, capacity: f64, tokens: f64) -> Self {
        Self {
            tokens: tokens.min(capacity),
            refilled_at: now,
            rate,
            capacity,
        }
    }

    /// Changes the rate and the capacity from `now` on.
    pub fn resize(&mut self, now: Time, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Returns the number of tokens at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Lowers the number of tokens to at most `tokens`.
    pub fn cap(&mut self, now: Time, tokens: f64) {
        self.refill(now);
        self.tokens = self.tokens.min(tokens);
    }

    /// Takes a token.
    ///
    /// # Errors
    /// The time until a token is available.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.rate;
        Err(Duration::try_from_secs_f64(wait).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT)))
    }

    /// Returns an unused token.
    pub fn refund(&mut self, now: Time) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(self.capacity);
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + passed * self.rate).min(self.capacity);
    }
}
