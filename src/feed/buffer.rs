//! A reader's buffer of the recent changes of one table, without gaps.

use std::collections::VecDeque;
use std::time::Duration;

use super::Answer;
use crate::clock::{Time, Uptime};
use crate::table::{Change, Changes};

/// Limit on the buffered changes. The busiest table, that of the jobs, changes with each result,
/// and members query several times per second.
const MAX_CHANGES: usize = 4_000;
/// Limit on the buffered keys and values; the smallest VM has 160 MB of memory.
const MAX_BYTES: usize = 2 * 1024 * 1024;
/// How long a failure of the store is reported to members: as long as an endpoint that could not
/// renew its entry may be missing.
const FAILURE_REPORT_TIME: Duration = Duration::from_secs(3);

/// Changes of one table since a version.
#[derive(Debug)]
pub struct Buffer {
    /// Every change after this version is buffered.
    base: u64,
    version: u64,
    changes: VecDeque<Change>,
    bytes: usize,
    /// Time of the store's last answer, and its clock in that answer.
    answered: Option<(Time, u64)>,
    /// Time of the query that the store last answered.
    queried: Option<Uptime>,
    /// Time at which the store last failed to answer.
    failed: Option<Time>,
}

impl Buffer {
    /// Creates an empty buffer for the changes after `version`.
    pub fn new(version: u64) -> Self {
        Self {
            base: version,
            version,
            changes: VecDeque::new(),
            bytes: 0,
            answered: None,
            queried: None,
            failed: None,
        }
    }

    /// Returns the version after which the store has to be read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Adds the changes after [`Self::version`]. An answer with a lower version comes from a
    /// lagging replica of the store and is ignored.
    pub fn add(&mut self, now: Time, changes: Changes) {
        if changes.version < self.version {
            return;
        }
        self.version = changes.version;
        self.answered = Some((now, changes.clock));
        self.queried = changes.asked;
        for change in changes.changes {
            self.bytes += size(&change);
            self.changes.push_back(change);
        }
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.bytes -= size(&oldest);
            self.base = oldest.version;
        }
    }

    /// Records that the store did not answer.
    pub fn fail(&mut self, now: Time) {
        self.failed = Some(now);
    }

    /// Returns the changes after `version`; `None` before the store's first answer.
    pub fn since(&self, now: Time, version: u64) -> Option<Answer> {
        if version < self.base || version > self.version {
            return Some(Answer::Gap);
        }
        let (answered, clock) = match (self.answered, self.failed) {
            // The buffer may be outdated, and the querying member may reach the store.
            (Some((answered, _)), Some(failed)) if failed >= answered => {
                return Some(Answer::Stale);
            }
            (None, Some(_)) => return Some(Answer::Stale),
            (None, None) => return None,
            (Some(answered), _) => answered,
        };
        let from = self
            .changes
            .partition_point(|change| change.version <= version);
        let failed_ago = self.failed.map(|failed| now.since(failed));
        Some(Answer::Changes(Changes {
            changes: self.changes.range(from..).cloned().collect(),
            version: self.version,
            clock,
            age: now.since(answered),
            failed_ago: failed_ago.filter(|ago| *ago < FAILURE_REPORT_TIME),
            asked_ago: None,
            asked: self.queried,
        }))
    }

    /// Returns when the store last answered, its clock in that answer, and when it was queried;
    /// `None` if it has not answered, or failed since.
    pub fn answered(&self) -> Option<(Time, u64, Option<Uptime>)> {
        let (at, clock) = self.answered?;
        let has_failed = self.failed.is_some_and(|failed| failed >= at);
        (!has_failed).then_some((at, clock, self.queried))
    }

    /// True when there are changes after `version`.
    pub fn has_changes_after(&self, version: u64) -> bool {
        self.changes
            .back()
            .is_some_and(|change| change.version > version)
    }
}

fn size(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len)
}
