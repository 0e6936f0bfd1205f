//! In-memory copy of the store's rows of batch jobs.

use std::collections::BTreeMap;

use super::record::Record;
use crate::clock::Time;
use crate::name::Name;

/// A job's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The row's version.
    pub version: u64,
    /// The row's content.
    pub record: Record,
}

/// All jobs, and the store's clock.
#[derive(Debug, Default)]
pub struct Registry {
    jobs: BTreeMap<Name, Entry>,
    /// When the store last answered, and its clock at that time.
    clock: Option<(Time, u64)>,
    /// Rows are complete up to this version.
    version: u64,
}

impl Registry {
    /// Returns the job with that id.
    pub fn get(&self, job: &str) -> Option<&Entry> {
        self.jobs.get(job)
    }

    /// Iterates over all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Entry)> {
        self.jobs.iter()
    }

    /// Takes a row; returns false if a newer one is present already.
    pub fn apply(&mut self, job: &Name, version: u64, record: Record) -> bool {
        if self
            .jobs
            .get(job)
            .is_some_and(|known| known.version >= version)
        {
            return false;
        }
        self.jobs.insert(job.clone(), Entry { version, record });
        true
    }

    /// Removes a job whose row was deleted at `version`.
    pub fn remove(&mut self, job: &str, version: u64) {
        if self
            .jobs
            .get(job)
            .is_some_and(|known| known.version < version)
        {
            self.jobs.remove(job);
        }
    }

    /// Records that rows are complete up to `version`, and that the store's clock read `clock` at
    /// `now`.
    pub fn synced(&mut self, now: Time, version: u64, clock: u64) {
        self.version = self.version.max(version);
        self.clock = Some((now, clock));
    }

    /// The version up to which rows are complete.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// When the store last answered.
    pub fn synced_at(&self) -> Option<Time> {
        self.clock.map(|(at, _)| at)
    }

    /// Estimate of the store's clock at `now`, in milliseconds.
    pub fn store_now(&self, now: Time) -> Option<u64> {
        let (at, clock) = self.clock?;
        Some(clock + u64::try_from(now.since(at).as_millis()).unwrap_or(0))
    }

    /// Waiting tokens of an organisation on a route, over all nodes.
    pub fn waiting_tokens(&self, host: &str, prefix: &str, organisation: Option<&str>) -> u64 {
        let counts = |record: &Record| {
            *record.host == *host
                && *record.prefix == *prefix
                && record.organisation.as_deref() == organisation
        };
        self.jobs
            .values()
            .filter(|entry| counts(&entry.record))
            .map(|entry| entry.record.waiting_tokens())
            .sum()
    }
}
