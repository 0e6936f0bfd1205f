//! What an organisation may still send: what its limit allows, and beside it a
//! little more.

use std::time::Duration;

use super::bucket::Bucket;
use super::{Rate, Tolerance};
use crate::clock::Time;

/// Out of which bucket a request was let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Its limit allows it.
    Limit,
    /// It is beyond the limit, within what the deployment tolerates.
    Tolerance,
}

/// Two buckets. The first one is the limit to the request, so that nothing below
/// it is refused because more was let through before; the second one is for what
/// arrives bunched a little closer than it was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    limit: Bucket,
    tolerance: Bucket,
}

impl Allowance {
    /// What a limit allows at `now`: all of it, or `first` requests.
    pub fn new(now: Time, rate: Rate, tolerance: Tolerance, first: Option<f64>) -> Self {
        let Rate { per_second, burst } = rate;
        let more = tolerance.headroom(rate);
        Self {
            limit: Bucket::new(now, per_second, burst.max(1.0), first.unwrap_or(burst)),
            tolerance: Bucket::new(now, more.per_second, more.burst, {
                if first.is_some() { 0.0 } else { more.burst }
            }),
        }
    }

    /// Allows another limit from now on.
    pub fn resize(&mut self, now: Time, rate: Rate, tolerance: Tolerance) {
        let more = tolerance.headroom(rate);
        self.limit.resize(now, rate.per_second, rate.burst.max(1.0));
        self.tolerance.resize(now, more.per_second, more.burst);
    }

    /// Lets a request through.
    ///
    /// # Errors
    /// How long until there is room.
    pub fn take(&mut self, now: Time) -> Result<Source, Duration> {
        match self.limit.take(now) {
            Ok(()) => Ok(Source::Limit),
            Err(wait) => match self.tolerance.take(now) {
                Ok(()) => Ok(Source::Tolerance),
                Err(other) => Err(wait.min(other)),
            },
        }
    }

    /// A request did not run.
    pub fn refund(&mut self, now: Time, source: Source) {
        match source {
            Source::Limit => self.limit.refund(now),
            Source::Tolerance => self.tolerance.refund(now),
        }
    }

    /// Requests that may be sent at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.limit.level(now) + self.tolerance.level(now)
    }

    /// Lowers it to at most so many requests.
    pub fn cap(&mut self, now: Time, most: f64) {
        self.limit.cap(now, most);
        let left = most - self.limit.level(now);
        self.tolerance.cap(now, left.max(0.0));
    }
}
