//! Remaining allowance of an organisation: its limit, plus a small headroom.

use std::time::Duration;

use super::bucket::Bucket;
use super::{Rate, Tolerance};
use crate::clock::Time;

/// Bucket that a request's token was taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The request is within the limit.
    Limit,
    /// The request is beyond the limit, but within the deployment's tolerance.
    Tolerance,
}

/// Two token buckets. The first one is the exact limit, so that no request below it is refused
/// because more was let through before. The second one absorbs requests that arrive in a
/// denser burst than they were sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    limit: Bucket,
    tolerance: Bucket,
}

impl Allowance {
    /// Creates the allowance at `now`, with full buckets or with `first` requests.
    pub fn new(now: Time, rate: Rate, tolerance: Tolerance, first: Option<f64>) -> Self {
        let Rate { per_second, burst } = rate;
        let headroom = tolerance.headroom(rate);
        Self {
            limit: Bucket::new(now, per_second, burst.max(1.0), first.unwrap_or(burst)),
            tolerance: Bucket::new(now, headroom.per_second, headroom.burst, {
                if first.is_some() { 0.0 } else { headroom.burst }
            }),
        }
    }

    /// Changes the limit from `now` on.
    pub fn resize(&mut self, now: Time, rate: Rate, tolerance: Tolerance) {
        let headroom = tolerance.headroom(rate);
        self.limit.resize(now, rate.per_second, rate.burst.max(1.0));
        self.tolerance
            .resize(now, headroom.per_second, headroom.burst);
    }

    /// Takes a token for a request.
    ///
    /// # Errors
    /// The time until a token is available.
    pub fn take(&mut self, now: Time) -> Result<Source, Duration> {
        match self.limit.take(now) {
            Ok(()) => Ok(Source::Limit),
            Err(wait) => match self.tolerance.take(now) {
                Ok(()) => Ok(Source::Tolerance),
                Err(other) => Err(wait.min(other)),
            },
        }
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&mut self, now: Time, source: Source) {
        match source {
            Source::Limit => self.limit.refund(now),
            Source::Tolerance => self.tolerance.refund(now),
        }
    }

    /// Returns the number of requests that may be sent at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.limit.level(now) + self.tolerance.level(now)
    }

    /// Lowers the allowance to at most `most` requests.
    pub fn cap(&mut self, now: Time, most: f64) {
        self.limit.cap(now, most);
        let left = most - self.limit.level(now);
        self.tolerance.cap(now, left.max(0.0));
    }
}
