//! Requests that ran on endpoints when these crashed.
//!
//! The pool of a service learns of a crash before any other node, since all runs hold
//! its permits.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Time;
use crate::quarantine::Fingerprint;

/// Time after which a suspect is dropped. By then it has been condemned or cleared.
const SUSPECT_TTL: Duration = Duration::from_secs(60);
/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 1_024;

/// Backoff of a request after its second crash; each further one doubles it. It limits
/// the number of endpoints that the request crashes until all nodes have received
/// enough evidence to condemn it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    since: Time,
    crashes: u32,
    backoff_until: Time,
}

/// The suspects of one pool.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    known: HashMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Adds a request that ran on an endpoint that crashed.
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
            backoff_until: now,
        });
        suspect.since = now;
    }

    /// Records a crash that this request's own run reported.
    pub(super) fn add_crash(&mut self, now: Time, request: Fingerprint) {
        self.add(now, request);
        let Some(suspect) = self.known.get_mut(&request) else {
            return;
        };
        suspect.crashes += 1;
        if let Some(doublings) = suspect.crashes.checked_sub(2) {
            let backoff = INITIAL_BACKOFF * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
            suspect.backoff_until = now + backoff;
        }
    }

    /// Removes a request that ran to completion.
    pub(super) fn remove(&mut self, request: Fingerprint) {
        self.known.remove(&request);
    }

    pub(super) fn contains(&self, request: Fingerprint) -> bool {
        self.known.contains_key(&request)
    }

    /// True while the request must not run.
    pub(super) fn is_backing_off(&self, now: Time, request: Fingerprint) -> bool {
        let suspect = self.known.get(&request);
        suspect.is_some_and(|suspect| now < suspect.backoff_until)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.known
            .retain(|_, suspect| now.since(suspect.since) < SUSPECT_TTL);
    }
}
