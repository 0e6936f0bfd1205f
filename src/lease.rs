//! Leases: who may act for the fleet, as a pure decision over one table row.
//!
//! What goes wrong without them: two nodes order endpoints about. What goes
//! wrong with them: a holder is paused, loses its lease without noticing and
//! acts on. Three things stand against that, and none trusts a wall clock:
//!
//! - the epoch goes up with every new holder and is carried in each order, so
//!   that whoever checks it refuses an old holder;
//! - the holder counts its time from before it sent the write that gave it the
//!   lease, on its own monotonic clock, and stops a margin early;
//! - another takes the lease only after it has seen the same row version for
//!   the lease's whole duration and a margin, counted from after it read it.
//!
//! docs/design/lease.md weighs the ways.

use std::time::Duration;

use crate::clock::Time;
use crate::config::row;
use crate::table::{Expect, Fault, Row, Transaction};

pub mod elector;
mod message;

pub use message::{Action, Held, Input, Record, Setting, Token};

/// An answer that takes longer is taken for lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before asking a table again that did not answer.
const RETRY: Duration = Duration::from_millis(500);

/// A write whose fate is not known yet.
#[derive(Clone, Debug)]
struct Pending {
    record: Record,
    base: Option<u64>,
    /// When it was first sent: the lease's time counts from here, because it
    /// may have taken effect then.
    first_sent: Time,
    /// How many copies of it were sent.
    copies: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waiting {
    Nothing,
    Answer { since: Time, token: Token },
}

/// One node's claim to one lease.
#[derive(Debug)]
pub struct Claim {
    setting: Setting,
    contend: bool,
    held: Option<Held>,
    /// The row as it was last read or written: its version and record.
    row: Option<(u64, Record)>,
    /// Since when this version has been seen.
    seen: Time,
    pending: Option<Pending>,
    waiting: Waiting,
    token: Token,
    next: Time,
}

impl Claim {
    /// A claim that holds nothing yet and does not contend.
    pub fn new(now: Time, setting: Setting) -> Self {
        Self {
            setting,
            contend: false,
            held: None,
            row: None,
            seen: now,
            pending: None,
            waiting: Waiting::Nothing,
            token: 0,
            next: now,
        }
    }

    /// The lease, while it may be acted under. Whoever acts asks this with the
    /// present time, so that a holder that was paused stops at once.
    pub fn held(&self, now: Time) -> Option<Held> {
        self.held.filter(|held| now < held.until)
    }

    /// Takes one input and appends what must be done to `actions`.
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
                    Err(_) => self.next = now + RETRY,
                }
            }
            Input::Wrote { token, result } => {
                if self.answered(token) {
                    self.wrote(now, &result, actions);
                }
            }
        }
    }

    /// True when this is the answer that was waited for.
    fn answered(&mut self, token: Token) -> bool {
        let expected = matches!(self.waiting, Waiting::Answer { token: one, .. } if one == token);
        if expected {
            self.waiting = Waiting::Nothing;
        }
        expected
    }

    /// Waits for an answer from now on.
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
            _ => self.ask(now, actions),
        }
    }

    fn ask(&mut self, now: Time, actions: &mut Vec<Action>) {
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

    /// Gives the lease up. It stops acting before it says so; the other way
    /// round, a successor could start while this node still acts.
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
        // Nobody waits for the answer: if it is lost, the lease runs out.
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
            copies: 1,
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
            Ok(version) => self.effective(now, *version, actions),
            // It may be this node's own earlier write that stands in the way.
            Err(Fault::Conflict { .. }) => self.ask(now, actions),
            // An earlier copy of this write may still take effect, so that it
            // stays pending and the row is read.
            Err(Fault::Unknown) => self.next = now + RETRY,
            Err(Fault::Refused { retry_after }) => {
                if pending.copies == 1 {
                    self.pending = None;
                }
                self.next = now + RETRY.max(*retry_after);
            }
        }
    }

    /// The pending write took effect and gave the row this version.
    fn effective(&mut self, now: Time, version: u64, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let until = pending.first_sent + self.setting.duration - self.setting.margin;
        let epoch = pending.record.epoch;
        self.row = Some((version, pending.record));
        self.seen = now;
        self.next = pending.first_sent + self.setting.period;
        if now >= until {
            // It took too long; the row says that this node holds it, so that
            // it may be taken anew at once.
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
            // A row that can't be read was written by a later release; it is
            // left alone.
            Some(found) => match row::decode::<Record>(&found.value) {
                Some(record) => Some((found.version, record)),
                None => return,
            },
        };
        let version = found.as_ref().map(|(version, _)| *version);
        if let Some(mut pending) = self.pending.take() {
            let effective = found
                .as_ref()
                .filter(|(_, record)| *record == pending.record);
            if let Some((version, _)) = effective {
                self.pending = Some(pending);
                return self.effective(now, *version, actions);
            }
            if version == pending.base {
                // Not there, but it may still come. The same write again can't
                // take effect twice, because both demand the same version.
                let again = self.transaction(pending.base, &pending.record);
                pending.copies += 1;
                self.pending = Some(pending);
                let token = self.wait(now);
                return actions.push(Action::Write(token, again));
            }
            self.lose(actions);
        }
        if self.row.as_ref().map(|(version, _)| *version) != version {
            self.row = found;
            self.seen = now;
        }
        if self.contend && self.is_free(now) {
            self.acquire(now, actions);
        }
    }

    /// True when the row as last read may be taken.
    fn is_free(&self, now: Time) -> bool {
        let Some((_, record)) = &self.row else {
            return true;
        };
        let own = record.holder == self.setting.holder && record.nonce == self.setting.nonce;
        let wait = self.setting.duration + self.setting.margin;
        record.holder.is_empty() || own || now.since(self.seen) >= wait
    }
}
