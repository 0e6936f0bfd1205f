//! What of the quarantine is in the platform's store, and what has to be written to it. Performs
//! no I/O.
//!
//! Verdicts are stored, and so are the crashes of a request from its second one on: when all
//! nodes end, only the store still has them. A first crash is stored only if its request is not
//! run again, because most requests that run on an endpoint that ends complete elsewhere. Every
//! member that knows a record may write it, and all write the same row.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Fingerprint;
use super::evidence::{CRASH_TTL, Condemnation, Crash, Ran};
use super::record::{CrashRow, Key, VerdictRow};
use crate::clock::Time;
use crate::name::Name;
use crate::table::Transaction;
use crate::wire;

/// Delay per rank before a member writes a record, so that a lower-ranked one takes over when
/// those before it have not written it.
const WRITE_DELAY: Duration = Duration::from_millis(300);
/// How long a verdict's row is kept after its end, so that nodes that read late still see it.
const ROW_RETENTION: Duration = Duration::from_secs(900);
/// Limit on the rows of one transaction; the store takes 100.
const MAX_WRITES: usize = 64;
/// Limit on the records that wait to be written.
const MAX_UNSAVED: usize = 4_096;
/// Limit on a row's key in the store, in bytes.
const MAX_KEY_BYTES: usize = 200;

enum Value {
    Verdict {
        times: u32,
        endpoints: Vec<Name>,
        is_doubtful: bool,
    },
    Crash(Ran),
}

/// A record that the store is not known to hold.
struct Unsaved {
    /// When this node writes it, unless the store holds it by then.
    due: Time,
    /// When the record loses its effect.
    ends: Time,
    is_saving: bool,
    value: Value,
}

/// The records in the store, and those that are to be written.
#[derive(Default)]
pub struct Storage {
    unsaved: BTreeMap<Key, Unsaved>,
    /// The rows in the store, with the time in milliseconds of the store's clock from which each
    /// can be deleted.
    rows: BTreeMap<Key, u64>,
    /// Time of the store's last answer, and its clock in that answer.
    clock: Option<(Time, u64)>,
}

impl Storage {
    /// Records that the store's clock was at `clock` milliseconds at `now`.
    pub fn set_clock(&mut self, now: Time, clock: u64) {
        self.clock = Some((now, clock));
    }

    /// Estimates the store's clock in milliseconds.
    pub fn store_now(&self, now: Time) -> Option<u64> {
        let (at, clock) = self.clock?;
        Some(clock + millis(now.since(at)))
    }

    /// Adds a verdict to write; `rank` is this member's rank for it.
    pub fn add_verdict(&mut self, now: Time, condemnation: Condemnation, rank: u32) {
        let endpoints = condemnation.crashes.into_iter().map(|it| it.endpoint);
        let unsaved = Unsaved {
            due: now + WRITE_DELAY * rank,
            ends: now + condemnation.term,
            is_saving: false,
            value: Value::Verdict {
                times: condemnation.times,
                endpoints: endpoints.collect(),
                is_doubtful: condemnation.is_doubtful,
            },
        };
        self.unsaved
            .insert(Key::Verdict(condemnation.request), unsaved);
    }

    /// Adds the crashes of a request to write, with the time of each, unless there are fewer than
    /// `min_crashes`. A node that reads a row takes the crash's age from it: crashes of one time
    /// count as one of a part of prompts. `rank`
    /// returns this member's rank for a record; it is 0 at the node that observed the last crash.
    pub fn add_crashes<C, R>(
        &mut self,
        now: Time,
        request: Fingerprint,
        crashes: C,
        min_crashes: usize,
        rank: R,
    ) where
        C: ExactSizeIterator<Item = (Crash, Time, Ran)>,
        R: Fn(&Key) -> u32,
    {
        if crashes.len() < min_crashes {
            return;
        }
        for (crash, at, ran) in crashes {
            let key = Key::Crash(request, crash);
            let is_known = self.rows.contains_key(&key) || self.unsaved.contains_key(&key);
            let is_full = self.unsaved.len() >= MAX_UNSAVED;
            if is_known || is_full || key.to_string().len() > MAX_KEY_BYTES {
                continue;
            }
            let unsaved = Unsaved {
                due: now + WRITE_DELAY * rank(&key),
                ends: at + CRASH_TTL,
                is_saving: false,
                value: Value::Crash(ran),
            };
            self.unsaved.insert(key, unsaved);
        }
    }

    /// Returns a transaction with the records that are this member's to write by now, and their
    /// keys. They are not returned again before [`Self::write_failed`].
    pub fn take_due(&mut self, now: Time) -> Option<(Vec<Key>, Transaction)> {
        let clock = self.store_now(now)?;
        self.unsaved.retain(|_, unsaved| now < unsaved.ends);
        let all = self.unsaved.iter_mut();
        let due = all.filter(|(_, unsaved)| !unsaved.is_saving && unsaved.due <= now);
        let mut keys = Vec::new();
        let mut transaction = Transaction::default();
        for (key, unsaved) in due.take(MAX_WRITES) {
            unsaved.is_saving = true;
            let until = clock + millis(unsaved.ends.since(now));
            let value = match &unsaved.value {
                Value::Verdict {
                    times,
                    endpoints,
                    is_doubtful,
                } => wire::encode(&VerdictRow {
                    until,
                    times: *times,
                    endpoints: endpoints.clone(),
                    is_doubtful: *is_doubtful,
                }),
                Value::Crash(ran) => wire::encode(&CrashRow {
                    until,
                    stage: ran.stage,
                    ran: ran.ran,
                    parts: ran.parts.clone(),
                }),
            };
            // Encoding plain data can't fail.
            transaction = transaction.put(key.row(), value.unwrap_or_default());
            keys.push(key.clone());
        }
        (!keys.is_empty()).then_some((keys, transaction))
    }

    /// Records that the store holds the records.
    pub fn written(&mut self, keys: &[Key]) {
        for key in keys {
            self.unsaved.remove(key);
        }
    }

    /// Records that the records were not written, so that they are tried again.
    pub fn write_failed(&mut self, keys: &[Key]) {
        for key in keys {
            if let Some(unsaved) = self.unsaved.get_mut(key) {
                unsaved.is_saving = false;
            }
        }
    }

    /// Forgets all rows, since the whole table follows.
    pub fn clear_rows(&mut self) {
        self.rows.clear();
    }

    /// Records a row of the store, with the end of its effect by the store's clock.
    pub fn add_row(&mut self, key: Key, until: u64) {
        self.unsaved.remove(&key);
        let kept = match key {
            Key::Verdict(_) => millis(ROW_RETENTION),
            Key::Crash(..) => 0,
        };
        self.rows.insert(key, until + kept);
    }

    /// Records that a row was deleted.
    pub fn remove_row(&mut self, key: &Key) {
        self.rows.remove(key);
    }

    /// Withdraws the crashes of a request that has completed, which had another cause, and a verdict
    /// on it or on a part of prompts.
    pub fn withdraw(&mut self, request: Fingerprint) {
        let is_withdrawn = |key: &Key| match key {
            Key::Verdict(of) | Key::Crash(of, _) => *of == request,
        };
        self.unsaved.retain(|key, _| !is_withdrawn(key));
        for (key, until) in &mut self.rows {
            if is_withdrawn(key) {
                *until = 0;
            }
        }
    }

    /// Returns a transaction that deletes the rows which are expired and this member's to delete.
    pub fn take_expired<M>(&mut self, now: Time, is_mine: M) -> Option<Transaction>
    where
        M: Fn(&Key) -> bool,
    {
        let clock = self.store_now(now)?;
        let expired = self.rows.iter().filter(|(_, until)| **until < clock);
        let mine = expired.map(|(key, _)| key).filter(|key| is_mine(key));
        let keys: Vec<Key> = mine.take(MAX_WRITES).cloned().collect();
        for key in &keys {
            self.rows.remove(key);
        }
        let delete = |transaction: Transaction, key: &Key| transaction.delete(key.row());
        (!keys.is_empty()).then(|| keys.iter().fold(Transaction::default(), delete))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
