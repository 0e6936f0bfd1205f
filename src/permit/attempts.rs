//! Repetition of unanswered requests, and failover to the next owner.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// Unanswered attempts at the first owner before the next one is tried.
const FIRST_OWNER_ATTEMPTS: u32 = 3;
/// Unanswered attempts at each further owner.
const NEXT_OWNER_ATTEMPTS: u32 = 2;

/// Unanswered attempts of one request.
pub(super) struct Attempts {
    pub(super) last_sent: Time,
    /// The owner of the last attempt.
    owner: Option<SocketAddr>,
    /// Attempts at it without an answer.
    pub(super) unanswered: u32,
    /// Number of owners that did not answer.
    silent_owners: u32,
}

/// What to do about an unanswered request. Unless it is given up, it is sent again.
pub(super) struct Due {
    /// The owner that did not answer and is to be skipped, if any.
    pub(super) silent: Option<SocketAddr>,
    /// True when no further owner is tried.
    pub(super) give_up: bool,
}

impl Attempts {
    /// Creates the state of a request before its first attempt.
    pub(super) fn new(now: Time) -> Self {
        Self {
            last_sent: now,
            owner: None,
            unanswered: 0,
            silent_owners: 0,
        }
    }

    /// Records an attempt. Attempts are counted per owner: if another request has found
    /// the first owner silent meanwhile, the next one must not be skipped because of the
    /// first one's silence.
    pub(super) fn record_send(&mut self, now: Time, to: Option<SocketAddr>) {
        if self.owner != to {
            self.owner = to;
            self.unanswered = 0;
        }
        self.last_sent = now;
        self.unanswered += 1;
    }

    /// Returns what to do at `now`, if anything. An unanswered request is repeated after
    /// `interval`, and given up after `max_silent` silent owners.
    pub(super) fn due(&mut self, now: Time, interval: Duration, max_silent: u32) -> Option<Due> {
        if now.since(self.last_sent) < interval {
            return None;
        }
        let attempts = if self.silent_owners == 0 {
            FIRST_OWNER_ATTEMPTS
        } else {
            NEXT_OWNER_ATTEMPTS
        };
        let mut silent = None;
        if self.unanswered >= attempts {
            silent = self.owner;
            self.silent_owners += 1;
            self.unanswered = 0;
        }
        let give_up = self.silent_owners >= max_silent;
        Some(Due { silent, give_up })
    }
}
