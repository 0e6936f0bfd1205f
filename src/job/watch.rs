//! Detects holders whose lease has expired.
//!
//! Only the observer's monotonic clock counts: a lease is expired if its version has not changed
//! for the lease duration. This only permits an attempt to take over. If the verdict is wrong, the
//! epoch in the lane's row and the check of the lease's version in the same transaction keep the
//! takeover safe.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;

/// Leases unchanged for this many lease durations are removed.
const STALE_FACTOR: u32 = 20;

/// The leases as observed by one node.
#[derive(Clone, Debug)]
pub struct Watch {
    lease: Duration,
    listed: bool,
    seen: BTreeMap<Name, Observation>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    version: u64,
    since: Time,
}

/// State of a holder's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The lease is renewed, or was not observed for long enough.
    Alive,
    /// The lease has had this version for longer than its duration.
    Expired(u64),
    /// The lease was removed.
    Gone,
}

impl Watch {
    /// Creates a watch without observations.
    pub const fn new(lease: Duration) -> Self {
        Self {
            lease,
            listed: false,
            seen: BTreeMap::new(),
        }
    }

    /// Takes the list of all leases with their versions.
    pub fn update(&mut self, now: Time, leases: &[(Name, u64)]) {
        let before = std::mem::take(&mut self.seen);
        for (session, version) in leases {
            let since = match before.get(session) {
                Some(seen) if seen.version == *version => seen.since,
                _ => now,
            };
            let version = *version;
            self.seen
                .insert(session.clone(), Observation { version, since });
        }
        self.listed = true;
    }

    /// Discards all observations after the list could not be read.
    ///
    /// After an outage every lease looks expired, because none could be renewed. If the time of the
    /// outage counted, each node would take over the chunks of all others, and half the work would
    /// be done twice.
    pub fn reset(&mut self) {
        self.seen.clear();
        self.listed = false;
    }

    /// State of a holder's lease at `now`.
    pub fn verdict(&self, now: Time, session: &str) -> Verdict {
        match self.seen.get(session) {
            None if self.listed => Verdict::Gone,
            Some(seen) if now.since(seen.since) > self.lease => Verdict::Expired(seen.version),
            _ => Verdict::Alive,
        }
    }

    /// Leases that expired long ago, for removal.
    pub fn stale(&self, now: Time) -> impl Iterator<Item = (&Name, u64)> {
        let bound = self.lease * STALE_FACTOR;
        self.seen
            .iter()
            .filter(move |(_, seen)| now.since(seen.since) > bound)
            .map(|(session, seen)| (session, seen.version))
    }
}
