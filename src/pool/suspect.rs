//! Requests that ran at endpoints when these ended, as the pool of a service hears of
//! them: before any other node does, since all runs hold places of it.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::quarantine::Fingerprint;

/// How long a request stays suspect here; by then it is condemned or cleared.
const MEMORY: Duration = Duration::from_secs(60);
/// Most that are remembered.
const MAX_SUSPECTS: usize = 1_024;

/// How long a request rests after its second crash; each further one doubles it. Until
/// all nodes have heard enough to condemn it, it ends that many endpoints fewer.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Most doublings.
const MOST_DOUBLINGS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    since: Time,
    crashes: u32,
    rests_until: Time,
}

/// The suspects of one pool.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    known: HashMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// It ran where an endpoint ended.
    pub(super) fn add(&mut self, now: Time, request: Fingerprint) {
        if self.known.len() >= MAX_SUSPECTS {
            self.expire(now);
        }
        if self.known.len() >= MAX_SUSPECTS {
            return;
        }
        let suspect = self.known.entry(request).or_insert(Suspect {
            since: now,
            crashes: 0,
            rests_until: now,
        });
        suspect.since = now;
    }

    /// An endpoint ended during a run of it.
    pub(super) fn crashed(&mut self, now: Time, request: Fingerprint) {
        self.add(now, request);
        let Some(suspect) = self.known.get_mut(&request) else {
            return;
        };
        suspect.crashes += 1;
        if let Some(doublings) = suspect.crashes.checked_sub(2) {
            let rest = FIRST_REST * 2_u32.pow(doublings.min(MOST_DOUBLINGS));
            suspect.rests_until = now + rest;
        }
    }

    /// It ran to its end.
    pub(super) fn remove(&mut self, request: Fingerprint) {
        self.known.remove(&request);
    }

    pub(super) fn has(&self, request: Fingerprint) -> bool {
        self.known.contains_key(&request)
    }

    /// True while it is not to run, so that less is lost until it is condemned.
    pub(super) fn rests(&self, now: Time, request: Fingerprint) -> bool {
        let suspect = self.known.get(&request);
        suspect.is_some_and(|suspect| now < suspect.rests_until)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.known
            .retain(|_, suspect| now.since(suspect.since) < MEMORY);
    }
}
