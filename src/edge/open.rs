//! The open requests of a node: those that it has read and whose answers its callers do not
//! have completely.
//!
//! A shutdown waits for them and logs those that it cuts; docs/design/leaving.md describes it.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::Time;
use crate::event;
use crate::name::Name;

/// Largest number of requests that one summary lists.
const MAX_LISTED: usize = 20;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Its body is being read, or the node answers it by itself.
    Reading,
    /// It waits for a slot at an endpoint, the first or another one.
    Waiting,
    /// An endpoint has it and has not answered yet.
    Running,
    /// Its answer has begun.
    Answering,
    /// Its answer has begun, and waits for the next endpoint.
    Resuming,
}

impl Stage {
    /// True once its caller has a part of the answer.
    fn has_begun(self) -> bool {
        matches!(self, Self::Answering | Self::Resuming)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    id: Option<Name>,
    endpoint: Option<Name>,
    arrived: Time,
    stage: Stage,
}

/// The open requests of a node. Clones share them.
///
/// The traffic thread changes them and the control thread reads them during a shutdown only, so
/// the lock is free otherwise.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    table: Arc<Mutex<Table>>,
}

#[derive(Debug, Default)]
struct Table {
    last: u64,
    entries: BTreeMap<u64, Entry>,
}

/// Number of open requests by stage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    stages: BTreeMap<Stage, usize>,
}

impl Summary {
    /// Returns the number of open requests.
    pub fn total(&self) -> usize {
        self.stages.values().sum()
    }

    /// Returns the number of open requests that have come this far.
    pub fn count(&self, stage: Stage) -> usize {
        self.stages.get(&stage).copied().unwrap_or_default()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "open={} reading={} waiting={} running={} answering={} resuming={}",
            self.total(),
            self.count(Stage::Reading),
            self.count(Stage::Waiting),
            self.count(Stage::Running),
            self.count(Stage::Answering),
            self.count(Stage::Resuming),
        )
    }
}

impl Requests {
    /// Adds a request that arrived at `arrived`. It is open until the returned value is dropped.
    pub fn begin(&self, arrived: Time, id: Option<Name>) -> Request {
        let mut table = self.lock();
        table.last += 1;
        let number = table.last;
        let entry = Entry {
            id,
            endpoint: None,
            arrived,
            stage: Stage::Reading,
        };
        table.entries.insert(number, entry);
        Request {
            requests: self.clone(),
            number,
        }
    }

    /// Counts the open requests.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for entry in self.lock().entries.values() {
            *summary.stages.entry(entry.stage).or_default() += 1;
        }
        summary
    }

    /// Logs the oldest open requests, one line each.
    pub fn log(&self, now: Time) {
        let oldest: Vec<Entry> = {
            let table = self.lock();
            table.entries.values().take(MAX_LISTED).cloned().collect()
        };
        let text = |name: &Option<Name>| name.clone().unwrap_or_else(|| "-".into());
        for entry in oldest {
            log::info!(
                "{} id={} stage={:?} endpoint={} age_ms={}",
                event::REQUEST_OPEN,
                text(&entry.id),
                entry.stage,
                text(&entry.endpoint),
                now.since(entry.arrived).as_millis(),
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        // A panic can't leave an entry half changed.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open request. It is closed when this is dropped.
#[derive(Debug)]
pub struct Request {
    requests: Requests,
    number: u64,
}

impl Request {
    /// Records that the request waits for a slot.
    pub fn wait(&self) {
        self.update(|entry| {
            entry.stage = if entry.stage.has_begun() {
                Stage::Resuming
            } else {
                Stage::Waiting
            };
            entry.endpoint = None;
        });
    }

    /// Records that the request was sent to `endpoint`.
    pub fn run(&self, endpoint: &Name) {
        self.update(|entry| {
            entry.stage = if entry.stage.has_begun() {
                Stage::Answering
            } else {
                Stage::Running
            };
            entry.endpoint = Some(endpoint.clone());
        });
    }

    /// Records that its answer has begun.
    pub fn answer(&self) {
        self.update(|entry| entry.stage = Stage::Answering);
    }

    /// True once its answer has begun, also while it waits for its next endpoint.
    pub fn is_answering(&self) -> bool {
        let table = self.requests.lock();
        let entry = table.entries.get(&self.number);
        entry.is_some_and(|entry| entry.stage.has_begun())
    }

    fn update<C>(&self, change: C)
    where
        C: FnOnce(&mut Entry),
    {
        if let Some(entry) = self.requests.lock().entries.get_mut(&self.number) {
            change(entry);
        }
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.requests.lock().entries.remove(&self.number);
    }
}
