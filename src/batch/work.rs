//! A job that this node runs.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::absence::Absence;
use super::item::{Item, Outcome, Partial, State};
use super::ledger::Entry;
use super::record::{Failure, Record};
use crate::clock::Time;
use crate::edge::body::Guard;
use crate::name::Name;
use crate::quarantine::Fingerprint;

/// How long items take, learned from those that ran without a stop.
#[derive(Debug)]
pub(super) struct Pace {
    /// Seconds a token of prompt and longest output.
    per_token: Cell<f64>,
}

/// Seconds a token before any item has run: 1,800 tokens took some 5 s.
const FIRST_PER_TOKEN: f64 = 0.002_7;
/// Weight of the newest item in the mean.
const PACE_WEIGHT: f64 = 0.1;
/// An item that is nearly done still needs a place and its last events.
const LEAST_LEFT: Duration = Duration::from_millis(300);

impl Default for Pace {
    fn default() -> Self {
        Self {
            per_token: Cell::new(FIRST_PER_TOKEN),
        }
    }
}

impl Pace {
    /// An item of `tokens` ran for `took` from its first event to its last.
    pub(super) fn learn(&self, tokens: u32, took: Duration) {
        let new = took.as_secs_f64() / f64::from(tokens.max(1));
        let mean = self.per_token.get();
        self.per_token.set(mean + PACE_WEIGHT * (new - mean));
    }

    /// How long an item still needs that ran for `ran`.
    fn left(&self, tokens: u32, ran: Duration) -> Duration {
        let whole = Duration::from_secs_f64(self.per_token.get() * f64::from(tokens));
        whole.saturating_sub(ran).max(LEAST_LEFT)
    }
}

/// Where an item stands.
#[derive(Debug)]
pub(super) enum Slot {
    /// It may be run from this time on.
    Ready(Time),
    /// It asks for a place, or runs; the task ends with the guard.
    Busy {
        #[expect(dead_code, reason = "dropping it is its use")]
        guard: Guard,
    },
    /// It has an outcome that is not stored yet.
    Fresh,
    /// Its last run failed, and the store does not know of it yet. It is not run
    /// again before: if the owner were lost meanwhile, the next one would start
    /// to count anew.
    Failing,
    /// Its outcome is stored.
    Done,
}

/// A job that this node runs, in memory.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) id: Name,
    pub(super) items: Vec<Item>,
    /// The job's row as this node last wrote or read it.
    pub(super) entry: RefCell<Entry>,
    pub(super) slots: RefCell<Vec<Slot>>,
    pub(super) partials: RefCell<Vec<Partial>>,
    /// How long items have run so far, in runs that are gone on with.
    pub(super) ran: RefCell<Vec<Duration>>,
    /// Runs so far that an endpoint ended with an error of its own, by item;
    /// those of earlier owners among them.
    pub(super) failures: RefCell<Vec<u32>>,
    /// The endpoints that gave them, by item.
    pub(super) failed_at: RefCell<Vec<Vec<Name>>>,
    /// Outcomes that are not stored yet.
    pub(super) fresh: RefCell<Vec<(usize, Outcome)>>,
    pub(super) committing: Cell<bool>,
    /// When all results are due.
    pub(super) due: Time,
    /// When what is not done is given up.
    pub(super) expires: Time,
    /// It was ended, or another node has it.
    pub(super) stopped: Cell<bool>,
    /// Since when its route is not known.
    pub(super) unrouted: Cell<Absence>,
}

impl Work {
    pub(super) fn new(id: Name, items: Vec<Item>, entry: Entry, due: Time, expires: Time) -> Self {
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
            ran: RefCell::new(vec![Duration::ZERO; count]),
            failures,
            failed_at: RefCell::new(vec![Vec::new(); count]),
            fresh: RefCell::default(),
            committing: Cell::new(false),
            due,
            expires,
            stopped: Cell::new(false),
            unrouted: Cell::default(),
        }
    }

    /// The first item that may be run now.
    pub(super) fn next_ready(&self, now: Time) -> Option<usize> {
        if self.stopped.get() {
            return None;
        }
        let slots = self.slots.borrow();
        slots
            .iter()
            .position(|slot| matches!(slot, Slot::Ready(from) if *from <= now))
    }

    /// The item that should be run next, and how urgent it is relative to
    /// other jobs': what is due first goes first. Many jobs at once are more
    /// than can be done in time; what can't be on time any more gives way to
    /// what can, or every item would end just after its due time. Of one job's
    /// items those that are further along go first.
    pub(super) fn next(&self, now: Time, pace: &Pace) -> Option<(Time, usize)> {
        if self.stopped.get() {
            return None;
        }
        let slots = self.slots.borrow();
        let ready = slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| matches!(slot, Slot::Ready(from) if *from <= now));
        let ran = self.ran.borrow();
        ready
            .map(|(item, _)| (self.urgency(now, item, pace), item))
            .min_by_key(|(urgency, item)| (*urgency, Reverse(ran[*item])))
    }

    /// When an item is due, or when it is given up if it can't be on time.
    pub(super) fn urgency(&self, now: Time, item: usize, pace: &Pace) -> Time {
        let left = pace.left(self.items[item].tokens, self.ran.borrow()[item]);
        if now + left > self.due {
            self.expires
        } else {
            self.due
        }
    }

    /// Stands for the organisation whose job it is, 0 for none.
    pub(super) fn organisation(&self) -> u64 {
        let entry = self.entry.borrow();
        let name = entry.record.organisation.as_ref();
        name.map_or(0, |name| xxh3_64(name.as_bytes()))
    }

    /// Which request an item is, whatever its id.
    pub(super) fn print(&self, item: usize) -> Fingerprint {
        let entry = self.entry.borrow();
        let record = &entry.record;
        let Item { path, body, .. } = &self.items[item];
        Fingerprint::of(&record.host, record.organisation.as_deref(), path, body)
    }

    /// Items that ask for a place or run.
    pub(super) fn busy(&self) -> usize {
        let busy = |slot: &&Slot| matches!(slot, Slot::Busy { .. });
        self.slots.borrow().iter().filter(busy).count()
    }

    /// Ends all its runs; nothing more is started or stored.
    pub(super) fn stop(&self) {
        self.stopped.set(true);
        self.pause();
    }

    /// Ends all its runs; what they brought can be gone on with.
    pub(super) fn pause(&self) {
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

    /// True when something is to be stored: an outcome or a failure.
    pub(super) fn has_news(&self) -> bool {
        let failing = |slot: &Slot| matches!(slot, Slot::Failing);
        !self.fresh.borrow().is_empty() || self.slots.borrow().iter().any(failing)
    }

    /// How often each item without a result failed, of those that did.
    pub(super) fn failed(&self, done: &[u16]) -> Vec<Failure> {
        let failures = self.failures.borrow();
        let items = (0_u16..).zip(failures.iter().copied());
        items
            .filter(|(item, runs)| *runs > 0 && !done.contains(item))
            .map(|(item, runs)| Failure { item, runs })
            .collect()
    }

    /// The store knows of the failures in `stored`: these items may run again
    /// from `from` on.
    pub(super) fn failures_stored(&self, stored: &Record, from: Time) {
        let failures = self.failures.borrow();
        for (item, slot) in self.slots.borrow_mut().iter_mut().enumerate() {
            if matches!(slot, Slot::Failing) && stored.failed_runs(item) >= failures[item] {
                *slot = Slot::Ready(from);
            }
        }
    }

    /// An item has its final outcome.
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
        };
        self.set(item, Slot::Fresh);
        self.fresh.borrow_mut().push((item, outcome));
    }
}
