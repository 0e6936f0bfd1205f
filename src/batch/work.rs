//! State of a job that this node runs.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::absence::Absence;
use super::commit::RETRY_DELAY;
use super::item::{Item, Outcome, Partial, State};
use super::record::{Failure, Record};
use super::registry::Entry;
use crate::clock::Time;
use crate::edge::body::Guard;
use crate::name::Name;
use crate::node;

/// Moving average of item durations, from runs that were not interrupted.
#[derive(Debug)]
pub(super) struct Estimator {
    /// Seconds per token of prompt and longest output.
    seconds_per_token: Cell<f64>,
}

/// Estimate before the first item has run: 1,800 tokens took some 5 s.
const INITIAL_SECONDS_PER_TOKEN: f64 = 0.002_7;
/// Weight of the newest item in the average.
const MEAN_WEIGHT: f64 = 0.1;
/// Number of times that the delay before an item runs again is doubled, while endpoints crash under
/// it before they write anything. An item is never the cause, but endpoints that crash one after the
/// other have to come back first.
const MAX_CRASH_DOUBLINGS: u32 = 4;
/// An item that is nearly complete still needs a slot and its last events.
const MIN_REMAINING: Duration = Duration::from_millis(300);

impl Default for Estimator {
    fn default() -> Self {
        Self {
            seconds_per_token: Cell::new(INITIAL_SECONDS_PER_TOKEN),
        }
    }
}

impl Estimator {
    /// Records that an item of `tokens` ran for `took`, from its first event to its last.
    pub(super) fn record(&self, tokens: u32, took: Duration) {
        let new = took.as_secs_f64() / f64::from(tokens.max(1));
        let mean = self.seconds_per_token.get();
        self.seconds_per_token
            .set(mean + MEAN_WEIGHT * (new - mean));
    }

    /// Estimated time that an item which has run for `ran` still needs.
    fn remaining(&self, tokens: u32, ran: Duration) -> Duration {
        let whole = Duration::from_secs_f64(self.seconds_per_token.get() * f64::from(tokens));
        whole.saturating_sub(ran).max(MIN_REMAINING)
    }
}

/// State of an item.
#[derive(Debug)]
pub(super) enum Slot {
    /// May be run from this time on.
    Ready(Time),
    /// Waits for a slot or runs; dropping the guard ends the task.
    Busy {
        #[expect(dead_code, reason = "dropping it is its use")]
        guard: Guard,
    },
    /// Has an outcome that is not stored yet.
    Unstored,
    /// Its last run failed, and the failure is not stored yet. It must not run again before that:
    /// if the owner were lost, the next one would not count this failure.
    FailureUnstored,
    /// Its outcome is stored.
    Done,
}

/// A job that this node runs.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) id: Name,
    pub(super) items: Vec<Item>,
    /// The job's row as this node last wrote or read it.
    pub(super) entry: RefCell<Entry>,
    pub(super) slots: RefCell<Vec<Slot>>,
    pub(super) partials: RefCell<Vec<Partial>>,
    /// Run time of each item so far, over runs that a later run resumes.
    pub(super) run_time: RefCell<Vec<Duration>>,
    /// Runs of each item that an endpoint ended with an error of its own, including those under
    /// earlier owners.
    pub(super) failures: RefCell<Vec<u32>>,
    /// The endpoints that returned these errors, by item.
    pub(super) failed_at: RefCell<Vec<Vec<Name>>>,
    /// Consecutive runs of each item, at most [`MAX_CRASH_DOUBLINGS`], under which an endpoint
    /// crashed before it wrote anything.
    crashes: RefCell<Vec<u32>>,
    /// Outcomes that are not stored yet, by item.
    pub(super) unstored: RefCell<Vec<(usize, Outcome)>>,
    pub(super) committing: Cell<bool>,
    /// When all results are due.
    pub(super) due: Time,
    /// When unfinished items are given up.
    pub(super) expires: Time,
    /// True if the job was ended or another node owns it.
    pub(super) stopped: Cell<bool>,
    /// True once the node has begun to release it.
    pub(super) releasing: Cell<bool>,
    /// How long its route has been unknown.
    pub(super) route_absence: Cell<Absence>,
    #[expect(dead_code, reason = "dropping it is its use")]
    owned: node::work::Guard,
}

impl Work {
    pub(super) fn new(
        id: Name,
        items: Vec<Item>,
        entry: Entry,
        due: Time,
        expires: Time,
        owned: node::work::Guard,
    ) -> Self {
        let count = items.len();
        let mut slots: Vec<Slot> = (0..count).map(|_| Slot::Ready(Time::ZERO)).collect();
        for item in &entry.record.done {
            if let Some(slot) = slots.get_mut(usize::from(*item)) {
                *slot = Slot::Done;
            }
        }
        let failures = (0..count).map(|item| entry.record.failed_runs(item));
        let failures = RefCell::new(failures.collect());
        Self {
            id,
            items,
            entry: RefCell::new(entry),
            slots: RefCell::new(slots),
            partials: RefCell::new(vec![Partial::default(); count]),
            run_time: RefCell::new(vec![Duration::ZERO; count]),
            failures,
            failed_at: RefCell::new(vec![Vec::new(); count]),
            crashes: RefCell::new(vec![0; count]),
            unstored: RefCell::default(),
            committing: Cell::new(false),
            due,
            expires,
            stopped: Cell::new(false),
            releasing: Cell::new(false),
            route_absence: Cell::default(),
            owned,
        }
    }

    /// The first item that may run now.
    pub(super) fn next_ready(&self, now: Time) -> Option<usize> {
        if self.stopped.get() {
            return None;
        }
        let slots = self.slots.borrow();
        slots
            .iter()
            .position(|slot| matches!(slot, Slot::Ready(from) if *from <= now))
    }

    /// Returns the item to run next, and its urgency relative to other jobs' items: the earliest
    /// due time first. Under overload, items that can no longer finish in time give way to those
    /// that can; otherwise every item would finish just after its due time. Within a job, items
    /// that have run longest go first.
    pub(super) fn next(&self, now: Time, estimator: &Estimator) -> Option<(Time, usize)> {
        if self.stopped.get() {
            return None;
        }
        let slots = self.slots.borrow();
        let ready = slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| matches!(slot, Slot::Ready(from) if *from <= now));
        let ran = self.run_time.borrow();
        ready
            .map(|(item, _)| (self.urgency(now, item, estimator), item))
            .min_by_key(|(urgency, item)| (*urgency, Reverse(ran[*item])))
    }

    /// The due time of an item, or the job's expiry if the item can no longer finish in time.
    pub(super) fn urgency(&self, now: Time, item: usize, estimator: &Estimator) -> Time {
        let left = estimator.remaining(self.items[item].tokens, self.run_time.borrow()[item]);
        if now + left > self.due {
            self.expires
        } else {
            self.due
        }
    }

    /// Hash of the organisation that submitted the job, 0 for none.
    pub(super) fn organisation_hash(&self) -> u64 {
        let entry = self.entry.borrow();
        let name = entry.record.organisation.as_ref();
        name.map_or(0, |name| xxh3_64(name.as_bytes()))
    }

    /// Records a run of an item under which its endpoint crashed, and returns the delay before the
    /// next one.
    pub(super) fn record_crash(&self, item: usize, has_written: bool) -> Duration {
        let mut crashes = self.crashes.borrow_mut();
        let doublings = if has_written { 0 } else { crashes[item] };
        crashes[item] = (doublings + 1).min(MAX_CRASH_DOUBLINGS);
        RETRY_DELAY * 2_u32.pow(doublings)
    }

    /// Number of items that wait for a slot or run.
    pub(super) fn busy(&self) -> usize {
        let busy = |slot: &&Slot| matches!(slot, Slot::Busy { .. });
        self.slots.borrow().iter().filter(busy).count()
    }

    /// Aborts all runs; nothing more is started or stored.
    pub(super) fn stop(&self) {
        self.stopped.set(true);
        self.abort_runs();
    }

    /// Aborts all runs; a later run can resume from their output.
    pub(super) fn abort_runs(&self) {
        for slot in self.slots.borrow_mut().iter_mut() {
            if matches!(slot, Slot::Busy { .. }) {
                *slot = Slot::Ready(Time::ZERO);
            }
        }
    }

    pub(super) fn set(&self, item: usize, slot: Slot) {
        if let Some(old) = self.slots.borrow_mut().get_mut(item) {
            *old = slot;
        }
    }

    /// Returns true if an outcome or a failure is not stored yet.
    pub(super) fn has_unstored(&self) -> bool {
        let failing = |slot: &Slot| matches!(slot, Slot::FailureUnstored);
        !self.unstored.borrow().is_empty() || self.slots.borrow().iter().any(failing)
    }

    /// Failure counts of the items that failed and have no result.
    pub(super) fn unfinished_failures(&self, done: &[u16]) -> Vec<Failure> {
        let failures = self.failures.borrow();
        let items = (0_u16..).zip(failures.iter().copied());
        items
            .filter(|(item, runs)| *runs > 0 && !done.contains(item))
            .map(|(item, runs)| Failure { item, runs })
            .collect()
    }

    /// Marks the failures in `stored` as stored: these items may run again at `from`.
    pub(super) fn mark_failures_stored(&self, stored: &Record, from: Time) {
        let failures = self.failures.borrow();
        for (item, slot) in self.slots.borrow_mut().iter_mut().enumerate() {
            if matches!(slot, Slot::FailureUnstored) && stored.failed_runs(item) >= failures[item] {
                *slot = Slot::Ready(from);
            }
        }
    }

    /// Sets the final outcome of an item.
    pub(super) fn finish(&self, item: usize, state: State) {
        let output = match state {
            State::Done => std::mem::take(&mut self.partials.borrow_mut()[item].output),
            State::Failed => String::new(),
        };
        let outcome = Outcome {
            id: self.items[item].id.clone(),
            state,
            output,
            object: None,
            object_length: None,
        };
        self.set(item, Slot::Unstored);
        self.unstored.borrow_mut().push((item, outcome));
    }
}
