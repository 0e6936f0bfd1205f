//! What a reader keeps of one table: the changes of the last while, without a
//! gap.

use std::collections::VecDeque;
use std::time::Duration;

use super::Answer;
use crate::clock::{Time, Uptime};
use crate::table::{Change, Changes};

/// Most changes that are kept. The busiest table, of jobs, changes with each result,
/// and who follows asks several times a second.
const MOST_CHANGES: usize = 4_000;
/// Most bytes of keys and values that are kept, of the 160 MB that the smallest
/// VM has.
const MOST_BYTES: usize = 2 * 1024 * 1024;
/// For how long after a failure of the store those who follow are told of it:
/// as long as an endpoint that could not renew its entry may stay away.
const FAILURE_TOLD: Duration = Duration::from_secs(3);

/// Changes of one table from a version on.
#[derive(Debug)]
pub struct Buffer {
    /// Every change after this version is here.
    base: u64,
    version: u64,
    changes: VecDeque<Change>,
    bytes: usize,
    /// When the store last answered, and what its clock said then.
    heard: Option<(Time, u64)>,
    /// When the store was asked what it last answered.
    asked: Option<Uptime>,
    /// When the store last failed to answer.
    failed: Option<Time>,
}

impl Buffer {
    /// An empty shelf for whoever knows the table as of `version`.
    pub fn new(version: u64) -> Self {
        Self {
            base: version,
            version,
            changes: VecDeque::new(),
            bytes: 0,
            heard: None,
            asked: None,
            failed: None,
        }
    }

    /// The version from which the store is to be followed on.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds what followed on [`Self::version`]. An answer that is behind it came
    /// from a copy of the store that lags; it tells nothing.
    pub fn add(&mut self, now: Time, changes: Changes) {
        if changes.version < self.version {
            return;
        }
        self.version = changes.version;
        self.heard = Some((now, changes.clock));
        self.asked = changes.asked;
        for change in changes.changes {
            self.bytes += size(&change);
            self.changes.push_back(change);
        }
        while self.changes.len() > MOST_CHANGES || self.bytes > MOST_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= size(&oldest);
            self.base = oldest.version;
        }
    }

    /// The store did not answer.
    pub fn fail(&mut self, now: Time) {
        self.failed = Some(now);
    }

    /// What followed on `version`; nothing while that is not known yet.
    pub fn since(&self, now: Time, version: u64) -> Option<Answer> {
        if version < self.base || version > self.version {
            return Some(Answer::Gap);
        }
        let (heard, clock) = match (self.heard, self.failed) {
            // What is known may be old, and the one who asks may reach the store.
            (Some((heard, _)), Some(failed)) if failed >= heard => return Some(Answer::Stale),
            (None, Some(_)) => return Some(Answer::Stale),
            (None, None) => return None,
            (Some(heard), _) => heard,
        };
        let from = self
            .changes
            .partition_point(|change| change.version <= version);
        let failed_ago = self.failed.map(|failed| now.since(failed));
        Some(Answer::Changes(Changes {
            changes: self.changes.range(from..).cloned().collect(),
            version: self.version,
            clock,
            age: now.since(heard),
            failed_ago: failed_ago.filter(|ago| *ago < FAILURE_TOLD),
            asked_ago: None,
            asked: self.asked,
        }))
    }

    /// True when something followed on `version`.
    pub fn is_behind(&self, version: u64) -> bool {
        self.changes
            .back()
            .is_some_and(|change| change.version > version)
    }
}

fn size(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len)
}
