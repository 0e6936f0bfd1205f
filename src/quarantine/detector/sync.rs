//! Synchronisation with the platform's store: applies its rows, writes what it lacks, and deletes
//! what has expired.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;

use super::Detector;
use crate::clock::Time;
use crate::edge::learn::Update;
use crate::event;
use crate::quarantine::Fingerprint;
use crate::quarantine::evidence::{Added, CRASH_TTL, Crash, Ran, Status, Verdict};
use crate::quarantine::record::{self, CrashRow, Key, Record, VerdictRow};
use crate::table::{self, Table as _, Transaction};

/// How this node learned of the last crash of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// Another node observed it.
    Other,
    /// This node observed it and may run the request again, which would clear it.
    Own,
    /// This node observed it and does not run the request again.
    OwnLast,
}

impl Detector {
    /// Returns this member's rank for a record.
    pub(super) fn rank(&self, key: &Key) -> u32 {
        let view = self.setup.view.read();
        view.rank(&key.to_string(), &self.setup.me)
    }

    /// Has the crashes of a request stored: from the second one on, or from the first one if the
    /// request is not run again.
    pub(super) fn store_crashes(&self, now: Time, request: Fingerprint, source: Source) {
        let crashes = self.evidence.borrow().crashes_of(request).into_iter();
        let min_crashes = if source == Source::OwnLast { 1 } else { 2 };
        let rank = |key: &Key| match source {
            // Other members write only what the observing node has not written soon.
            Source::Other => 1 + self.rank(key),
            Source::Own | Source::OwnLast => 0,
        };
        self.storage
            .borrow_mut()
            .add_crashes(now, request, crashes, min_crashes, rank);
    }

    /// Stores the records that are this member's to store by now. What is not stored is lost
    /// when all nodes restart.
    pub(super) fn save(self: &Rc<Self>) {
        let now = self.now();
        let due = self.storage.borrow_mut().take_due(now);
        if let Some((keys, transaction)) = due {
            actix_rt::spawn(Rc::clone(self).store(keys, transaction));
        }
    }

    async fn store(self: Rc<Self>, keys: Vec<Key>, transaction: Transaction) {
        let stored = self.setup.store.transact(transaction).await;
        let mut storage = self.storage.borrow_mut();
        match stored {
            Ok(_) => storage.written(&keys),
            Err(fault) => {
                log::info!(
                    "{} table={} rows={} first={} why=\"{fault}\"",
                    event::STORE_CALL_LOST,
                    record::TABLE,
                    keys.len(),
                    keys[0],
                );
                storage.write_failed(&keys);
            }
        }
    }

    /// Applies an update of the stored verdicts.
    pub(super) fn apply_update(&self, update: Update) {
        let mut is_whole = false;
        let (rows, clock, clock_read) = match update {
            Update::Snapshot(snapshot) => {
                is_whole = true;
                self.storage.borrow_mut().clear_rows();
                (put_rows(snapshot.rows), snapshot.clock, self.now())
            }
            Update::Part(part) => (put_rows(part.rows), part.clock, self.now()),
            Update::Changes(changes) => {
                let rows = changes.changes.into_iter();
                let rows: Vec<_> = rows.map(|row| (row.key, row.value)).collect();
                (rows, changes.clock, self.now() - changes.age)
            }
            Update::Failed => return,
        };
        self.storage.borrow_mut().set_clock(clock_read, clock);
        for (key, value) in rows {
            self.apply_row(clock, &key, value.as_deref());
        }
        self.evidence.borrow_mut().update_blame();
        if is_whole {
            self.mark_informed("store");
        }
    }

    fn apply_row(&self, clock: u64, key: &str, value: Option<&[u8]>) {
        let Some(value) = value else {
            if let Ok(key) = key.parse() {
                self.storage.borrow_mut().remove_row(&key);
            }
            return;
        };
        match record::decode(key, value) {
            Ok(Record::Verdict(request, row)) => self.apply_verdict(clock, request, &row),
            Ok(Record::Crash(request, crash, row)) => self.apply_crash(clock, request, crash, &row),
            Err(why) => log::warn!("{} key={key} why=\"{why}\"", event::ROW_UNREADABLE),
        }
    }

    pub(super) fn apply_verdict(&self, clock: u64, request: Fingerprint, row: &VerdictRow) {
        self.storage
            .borrow_mut()
            .add_row(Key::Verdict(request), row.until);
        let now = self.now();
        let left = Duration::from_millis(row.until.saturating_sub(clock));
        let status = self.evidence.borrow().status(now, request);
        if status != Status::Condemned && !left.is_zero() {
            log::info!(
                "{} print={request} source=store times={} term_s={} endpoints={}",
                event::REQUEST_CONDEMNED,
                row.times,
                left.as_secs(),
                row.endpoints.join(","),
            );
        }
        // Crashes after its end are evidence anew, so an end that has passed matters too.
        let ended = Duration::from_millis(clock.saturating_sub(row.until));
        let verdict = Verdict {
            until: now + left - ended,
            times: row.times,
            is_doubtful: row.is_doubtful,
        };
        self.evidence.borrow_mut().condemn(request, verdict);
        self.changed.notify_waiters();
    }

    fn apply_crash(&self, clock: u64, request: Fingerprint, crash: Crash, row: &CrashRow) {
        let left = Duration::from_millis(row.until.saturating_sub(clock));
        let observed = self.now() - CRASH_TTL.saturating_sub(left);
        let mut storage = self.storage.borrow_mut();
        storage.add_row(Key::Crash(request, crash.clone()), row.until);
        if left.is_zero() {
            return;
        }
        let ran = Ran {
            stage: row.stage,
            ran: row.ran,
            parts: row.parts.clone(),
        };
        let mut evidence = self.evidence.borrow_mut();
        if let Added::Refuted(_) = evidence.add_crash(observed, crash, request, ran) {
            storage.withdraw(request);
        }
    }

    /// Deletes the expired rows that this member is responsible for.
    pub(super) fn delete_expired(self: &Rc<Self>) {
        let is_mine = |key: &Key| self.rank(key) == 0;
        let expired = self.storage.borrow_mut().take_expired(self.now(), is_mine);
        let Some(delete) = expired else {
            return;
        };
        let detector = Rc::clone(self);
        actix_rt::spawn(async move {
            // Rows that remain are found again with the next snapshot.
            if let Err(fault) = detector.setup.store.transact(delete).await {
                log::debug!(
                    "{} table={} why=\"{fault}\"",
                    event::STORE_CALL_LOST,
                    record::TABLE
                );
            }
        });
    }
}

fn put_rows(rows: Vec<table::Row>) -> Vec<(String, Option<Bytes>)> {
    let rows = rows.into_iter();
    rows.map(|row| (row.key, Some(row.value))).collect()
}
