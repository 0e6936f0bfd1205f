//! Decides which holders may be taken for lost.
//!
//! Only the observer's own monotonic clock counts: a holder is taken for lost
//! when its lease's version did not change for as long as the lease lasts. This
//! is never more than a licence to try; the epoch in the lane's row and the
//! lease's version in the same transaction keep it safe when it is wrong.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;

/// Leases unchanged for this many times their length are removed.
const STALE_FACTOR: u32 = 20;

/// The leases as one node has watched them.
#[derive(Clone, Debug)]
pub struct Watch {
    lease: Duration,
    listed: bool,
    seen: BTreeMap<Name, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    since: Time,
}

/// How a holder looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It renews, or was not watched for long enough.
    Alive,
    /// Its lease has had this version for longer than it lasts.
    Expired(u64),
    /// It has given up its lease.
    Gone,
}

impl Watch {
    /// Has seen nothing yet.
    pub const fn new(lease: Duration) -> Self {
        Self {
            lease,
            listed: false,
            seen: BTreeMap::new(),
        }
    }

    /// Takes the list of all leases with their versions.
    pub fn list(&mut self, now: Time, leases: &[(Name, u64)]) {
        let before = std::mem::take(&mut self.seen);
        for (session, version) in leases {
            let since = match before.get(session) {
                Some(seen) if seen.version == *version => seen.since,
                _ => now,
            };
            let version = *version;
            self.seen.insert(session.clone(), Seen { version, since });
        }
        self.listed = true;
    }

    /// The list could not be read.
    ///
    /// After an outage every lease looks old, because nobody could renew. If the
    /// time of the outage counted, each node would take the chunks of all others
    /// and half the work would be done twice. So watching starts anew.
    pub fn fail(&mut self) {
        self.seen.clear();
        self.listed = false;
    }

    /// How a holder looks now.
    pub fn verdict(&self, now: Time, session: &str) -> Verdict {
        match self.seen.get(session) {
            None if self.listed => Verdict::Gone,
            Some(seen) if now.since(seen.since) > self.lease => Verdict::Expired(seen.version),
            _ => Verdict::Alive,
        }
    }

    /// Leases whose holders are long gone, for removal.
    pub fn stale(&self, now: Time) -> impl Iterator<Item = (&Name, u64)> {
        let bound = self.lease * STALE_FACTOR;
        self.seen
            .iter()
            .filter(move |(_, seen)| now.since(seen.since) > bound)
            .map(|(session, seen)| (session, seen.version))
    }
}
