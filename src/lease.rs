//! Leases grant one node at a time the right to act for the fleet. A claim is a
//! pure state machine over one table row.
//!
//! Without leases, two nodes would give conflicting orders to endpoints. With a
//! lease, a holder may be paused, lose the lease without noticing and continue to
//! act. Three rules prevent that, none of which relies on a wall clock:
//!
//! - The epoch increases with every new holder and is part of each order as a
//!   fencing token, so that its recipient rejects orders of an old holder.
//! - The holder counts the lease duration on its own monotonic clock, from before
//!   it sent the write that acquired or renewed the lease, and stops a margin
//!   early.
//! - Another node takes the lease only after the row version has not changed for
//!   the lease duration and a margin, counted from after it was read.
//!
//! docs/design/lease.md compares the alternatives.

use std::time::Duration;

use crate::clock::Time;
use crate::config::row;
use crate::table::{Expect, Fault, Row, Transaction};

pub mod elector;
mod message;

pub use message::{Action, Held, Input, Record, Setting, Token};

/// Time after which an answer is considered lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before retrying an operation that the table did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A write whose outcome is not known yet.
#[derive(Clone, Debug)]
struct Pending {
    record: Record,
    base: Option<u64>,
    /// Time of the first transmission. The lease duration counts from here,
    /// because the write may have taken effect then.
    first_sent: Time,
    /// Number of transmissions.
    transmissions: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    Nothing,
    Answer { since: Time, token: Token },
}

/// The claim of one node to one lease.
#[derive(Debug)]
pub struct Claim {
    setting: Setting,
    contend: bool,
    held: Option<Held>,
    /// Version and record of the row as last read or written.
    row: Option<(u64, Record)>,
    /// Time at which this version was first seen.
    seen_at: Time,
    pending: Option<Pending>,
    waiting: Waiting,
    token: Token,
    next: Time,
}

impl Claim {
    /// Creates a claim that neither holds the lease nor contends for it.
    pub fn new(now: Time, setting: Setting) -> Self {
        Self {
            setting,
            contend: false,
            held: None,
            row: None,
            seen_at: now,
            pending: None,
            waiting: Waiting::Nothing,
            token: 0,
            next: now,
        }
    }

    /// Returns the lease while it is valid. Callers must check this with the
    /// current time before they act, so that a holder that was paused stops at
    /// once.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.held.filter(|held| now < held.until)
    }

    /// Handles one input and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        if self.held.is_some() && self.held(now).is_none() {
            self.lose(actions);
        }
        match input {
            Input::Tick => self.tick(now, actions),
            Input::Contend(contend) => self.contend(now, contend, actions),
            Input::Read { token, result } => {
                if !self.answered(token) {
                    return;
                }
                match result {
                    Ok(found) => self.read(now, found, actions),
                    Err(_) => self.next = now + RETRY_DELAY,
                }
            }
            Input::Wrote { token, result } => {
                if self.answered(token) {
                    self.wrote(now, &result, actions);
                }
            }
        }
    }

    /// Returns true if this answers the outstanding operation.
    fn answered(&mut self, token: Token) -> bool {
        let expected = matches!(self.waiting, Waiting::Answer { token: one, .. } if one == token);
        if expected {
            self.waiting = Waiting::Nothing;
        }
        expected
    }

    /// Marks a new operation as outstanding and returns its token.
    fn wait(&mut self, now: Time) -> Token {
        self.token += 1;
        self.waiting = Waiting::Answer {
            since: now,
            token: self.token,
        };
        self.next = now + self.setting.period;
        self.token
    }

    fn lose(&mut self, actions: &mut Vec<Action>) {
        if let Some(held) = self.held.take() {
            actions.push(Action::Lost(held.epoch));
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if let Waiting::Answer { since, .. } = self.waiting {
            if now.since(since) < ANSWER_TIMEOUT {
                return;
            }
            self.waiting = Waiting::Nothing;
            self.next = now;
        }
        if now < self.next || !(self.contend || self.pending.is_some()) {
            return;
        }
        match (self.pending.is_some(), self.held(now)) {
            (false, Some(held)) => self.renew(now, held, actions),
            _ => self.send_read(now, actions),
        }
    }

    fn send_read(&mut self, now: Time, actions: &mut Vec<Action>) {
        let token = self.wait(now);
        actions.push(Action::Read(token));
    }

    fn contend(&mut self, now: Time, contend: bool, actions: &mut Vec<Action>) {
        if contend == self.contend {
            return;
        }
        self.contend = contend;
        self.next = now;
        if contend || self.pending.is_some() {
            return;
        }
        self.release(now, actions);
    }

    /// Releases the lease. This node stops acting before it writes the release;
    /// in the reverse order, a successor could start while this node still acts.
    fn release(&mut self, now: Time, actions: &mut Vec<Action>) {
        let held = self.held(now);
        self.lose(actions);
        let (Some(held), Some((version, record))) = (held, self.row.clone()) else {
            return;
        };
        let released = Record {
            holder: "".into(),
            nonce: 0,
            epoch: held.epoch,
            renewal: record.renewal + 1,
        };
        let transaction = self.transaction(Some(version), &released);
        // The answer is not awaited: if the write is lost, the lease expires.
        self.token += 1;
        actions.push(Action::Write(self.token, transaction));
    }

    fn renew(&mut self, now: Time, held: Held, actions: &mut Vec<Action>) {
        let Some((version, record)) = self.row.clone() else {
            return;
        };
        let renewed = Record {
            epoch: held.epoch,
            renewal: record.renewal + 1,
            ..record
        };
        self.write(now, Some(version), renewed, actions);
    }

    fn acquire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let epoch = self.row.as_ref().map_or(0, |(_, record)| record.epoch) + 1;
        let version = self.row.as_ref().map(|(version, _)| *version);
        let record = Record {
            holder: self.setting.holder.clone(),
            nonce: self.setting.nonce,
            epoch,
            renewal: 0,
        };
        self.write(now, version, record, actions);
    }

    fn write(&mut self, now: Time, base: Option<u64>, record: Record, actions: &mut Vec<Action>) {
        let transaction = self.transaction(base, &record);
        self.pending = Some(Pending {
            record,
            base,
            first_sent: now,
            transmissions: 1,
        });
        let token = self.wait(now);
        actions.push(Action::Write(token, transaction));
    }

    fn transaction(&self, base: Option<u64>, record: &Record) -> Transaction {
        let expect = base.map_or(Expect::Absent, Expect::Version);
        Transaction::default()
            .check(&*self.setting.key, expect)
            .put(&*self.setting.key, row::encode(record))
    }

    fn wrote(&mut self, now: Time, result: &Result<u64, Fault>, actions: &mut Vec<Action>) {
        let Some(pending) = &self.pending else {
            return;
        };
        match result {
            Ok(version) => self.take_effect(now, *version, actions),
            // The conflict may be with an earlier write of this node.
            Err(Fault::Conflict { .. }) => self.send_read(now, actions),
            // An earlier transmission of this write may still take effect, so it
            // stays pending and the row is read.
            Err(Fault::Unknown) => self.next = now + RETRY_DELAY,
            Err(Fault::Refused { retry_after }) => {
                if pending.transmissions == 1 {
                    self.pending = None;
                }
                self.next = now + RETRY_DELAY.max(*retry_after);
            }
        }
    }

    /// Handles that the pending write took effect and gave the row this version.
    fn take_effect(&mut self, now: Time, version: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let until = pending.first_sent + self.setting.duration - self.setting.margin;
        let epoch = pending.record.epoch;
        self.row = Some((version, pending.record));
        self.seen_at = now;
        self.next = pending.first_sent + self.setting.period;
        if now >= until {
            // The write took too long. The row names this node as the holder, so
            // it may acquire the lease again at once.
            self.lose(actions);
            self.next = now;
            return;
        }
        if self.held.is_none_or(|held| held.epoch != epoch) {
            self.lose(actions);
            actions.push(Action::Gained(epoch));
        }
        self.held = Some(Held { epoch, until });
        if !self.contend {
            self.release(now, actions);
        }
    }

    fn read(&mut self, now: Time, found: Option<Row>, actions: &mut Vec<Action>) {
        let found = match found {
            None => None,
            // A row that cannot be decoded was written by a later release; it is
            // left unchanged.
            Some(found) => match row::decode::<Record>(&found.value) {
                Some(record) => Some((found.version, record)),
                None => return,
            },
        };
        let version = found.as_ref().map(|(version, _)| *version);
        if let Some(mut pending) = self.pending.take() {
            let written = found
                .as_ref()
                .filter(|(_, record)| *record == pending.record);
            if let Some((version, _)) = written {
                self.pending = Some(pending);
                return self.take_effect(now, *version, actions);
            }
            if version == pending.base {
                // The write has not taken effect but still may. Sending it again
                // is safe: both transmissions require the same row version, so
                // only one can take effect.
                let again = self.transaction(pending.base, &pending.record);
                pending.transmissions += 1;
                self.pending = Some(pending);
                let token = self.wait(now);
                return actions.push(Action::Write(token, again));
            }
            self.lose(actions);
        }
        if self.row.as_ref().map(|(version, _)| *version) != version {
            self.row = found;
            self.seen_at = now;
        }
        if self.contend && self.is_available(now) {
            self.acquire(now, actions);
        }
    }

    /// Returns true if the lease in the row as last read may be taken.
    fn is_available(&self, now: Time) -> bool {
        let Some((_, record)) = &self.row else {
            return true;
        };
        let own = record.holder == self.setting.holder && record.nonce == self.setting.nonce;
        let wait = self.setting.duration + self.setting.margin;
        record.holder.is_empty() || own || now.since(self.seen_at) >= wait
    }
}
