//! Applies updates of this node and of others.

use std::net::SocketAddr;

use bytes::Bytes;

use super::{Action, Conflict, Entry, Gossip};
use crate::clock::Time;
use crate::member::State;
use crate::member::record::Record;
use crate::name::Name;
use crate::wire::control::{FINGERPRINT_BYTES, MAX_VALUE_BYTES, Note, Update};

/// Upper bound of plausible incarnations. A node could not refute a record with
/// an incarnation above it, because there would be no higher one left.
const MAX_INCARNATION: u64 = 1 << 48;
/// Number of increases after which a conflicting incarnation is attributed to a
/// running process instead of a stale record of an earlier one.
const MAX_INCREASES: u32 = 3;
/// Maximum number of stored notes.
const MAX_NOTES: usize = 8_192;

fn in_force(print: u64, version: u64) -> Update {
    let prints = Bytes::copy_from_slice(&print.to_be_bytes());
    Update::InForce { version, prints }
}

impl Gossip {
    /// Applies a record; returns true if it was new.
    pub(super) fn learn(&mut self, now: Time, record: &Record, actions: &mut Vec<Action>) -> bool {
        let Ok(control) = record.member.control.parse() else {
            actions.push(Action::Refused);
            return false;
        };
        if record.member.incarnation > MAX_INCARNATION {
            actions.push(Action::Refused);
            return false;
        }
        let name = &record.member.name;
        let state = record.member.state;
        let known = self.entries.get(name);
        // Only nodes that knew a member store its death. Otherwise nodes that
        // forget it at different times would reintroduce it to each other
        // indefinitely.
        if known.is_none() && state == State::Dead {
            return false;
        }
        if known.is_some_and(|entry| !record.supersedes(&entry.record)) {
            let version = record.member.config_version;
            self.learn_in_force(name, record.boot, version, actions);
            return false;
        }
        let before = known.map(|entry| entry.record.member.state);
        let mut record = record.clone();
        if let Some(known) = known.filter(|entry| entry.record.boot == record.boot) {
            let version = known.record.member.config_version;
            record.member.config_version = record.member.config_version.max(version);
        }
        let last_contact = known.map_or(now, |entry| entry.last_contact);
        // Counting the members takes time, and a table brings a thousand records.
        let deadline = (state == State::Suspect)
            .then(|| now + self.tuning.suspicion_timeout(self.live_members()));
        let entry = Entry {
            last_contact,
            changed_at: now,
            deadline,
            record,
            control,
        };
        self.by_fingerprint
            .insert(entry.record.fingerprint(), name.clone());
        self.entries.insert(name.clone(), entry);
        if before != Some(state) {
            let name = name.clone();
            actions.push(Action::StateChanged { name, state });
        }
        actions.push(Action::Publish);
        if state != State::Dead {
            self.replace_process(now, control, name, actions);
        }
        true
    }

    /// Declares the earlier process at the address of a newer one dead. Each VM runs one process,
    /// and after a restart of all nodes every node would otherwise suspect each of the earlier
    /// processes for seconds, and tell all others. A process whose clock is behind that of the
    /// earlier one is not recognised as newer; probes then find the earlier one dead.
    fn replace_process(
        &mut self,
        now: Time,
        control: SocketAddr,
        name: &Name,
        actions: &mut Vec<Action>,
    ) {
        let known = self.by_control.get(&control).filter(|known| *known != name);
        let Some(known) = known.cloned() else {
            self.by_control.insert(control, name.clone());
            return;
        };
        let incarnation = |name: &Name| {
            let entry = self.entries.get(name);
            entry.map_or(0, |entry| entry.record.member.incarnation)
        };
        if incarnation(name) <= incarnation(&known) {
            return;
        }
        self.by_control.insert(control, name.clone());
        let Some(entry) = self.entries.get(&known) else {
            return;
        };
        // A process that moved to another address is not replaced.
        if entry.control == control && entry.record.member.state != State::Dead {
            let mut record = entry.record.clone();
            record.member.state = State::Dead;
            self.learn(now, &record, actions);
        }
    }

    /// Applies a record about this node; returns true if this node had to refute
    /// it.
    pub(super) fn learn_self(&mut self, record: &Record, actions: &mut Vec<Action>) -> bool {
        let claimed = record.member.incarnation;
        if claimed > MAX_INCARNATION || claimed < self.me.member.incarnation {
            return false;
        }
        if record.boot == self.me.boot {
            if matches!(record.member.state, State::Alive | State::Leaving) {
                return false;
            }
        } else if self.must_yield_name(record) {
            self.replaced = true;
            actions.push(Action::Replaced);
            return false;
        }
        self.me.member.incarnation = claimed + 1;
        self.broadcasts.push(Update::Record(self.me.clone()));
        actions.push(Action::Refuted);
        actions.push(Action::Publish);
        true
    }

    /// Returns true if this node must yield its name to another running process.
    ///
    /// The incarnation in a stale record of an earlier process never increases,
    /// so a restarted node always prevails over it. Two running processes with
    /// one name would increase their incarnations indefinitely and callers would
    /// alternate between them; the one with the lower boot number yields.
    fn must_yield_name(&mut self, record: &Record) -> bool {
        let claimed = record.member.incarnation;
        let conflict = match self.conflict {
            Some(conflict) if conflict.boot == record.boot => conflict,
            _ => Conflict {
                boot: record.boot,
                incarnation: claimed,
                increases: 0,
            },
        };
        let increase = u32::from(claimed > conflict.incarnation);
        let conflict = Conflict {
            incarnation: conflict.incarnation.max(claimed),
            increases: conflict.increases + increase,
            ..conflict
        };
        self.conflict = Some(conflict);
        conflict.increases >= MAX_INCREASES && record.boot > self.me.boot
    }

    /// Marks a member that did not answer as suspect. A leaving member stays
    /// `Leaving`, because a slow answer must not cancel its departure.
    pub(super) fn suspect(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let wait = self.tuning.suspicion_timeout(self.live_members());
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        match entry.record.member.state {
            State::Alive => {
                let mut record = entry.record.clone();
                record.member.state = State::Suspect;
                self.learn(now, &record, actions);
                self.broadcasts.push(Update::Record(record));
            }
            State::Leaving => entry.deadline = entry.deadline.or(Some(now + wait)),
            State::Suspect | State::Dead => {}
        }
    }

    /// Declares a member dead.
    pub(super) fn declare_dead(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        let mut record = entry.record.clone();
        record.member.state = State::Dead;
        self.learn(now, &record, actions);
        self.broadcasts.push(Update::Record(record));
    }

    pub(super) fn put_in_force(&mut self, version: u64, actions: &mut Vec<Action>) {
        if version <= self.me.member.config_version {
            return;
        }
        self.me.member.config_version = version;
        self.broadcasts
            .push(in_force(self.me.fingerprint(), version));
        self.learn_committed(version);
        actions.push(Action::Publish);
    }

    /// Applies the configuration version that a member has in force and
    /// disseminates it.
    pub(super) fn learn_in_force(
        &mut self,
        name: &Name,
        boot: u64,
        version: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let member = &mut entry.record.member;
        if entry.record.boot != boot || member.config_version >= version {
            return;
        }
        member.config_version = version;
        let update = in_force(entry.record.fingerprint(), version);
        self.broadcasts.push(update);
        actions.push(Action::Publish);
    }

    /// Applies the configuration version that several members have in force.
    pub(super) fn learn_prints(&mut self, version: u64, prints: &[u8], actions: &mut Vec<Action>) {
        for print in prints.chunks_exact(FINGERPRINT_BYTES) {
            let print = print
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
            let Some(name) = self.by_fingerprint.get(&print).cloned() else {
                continue;
            };
            let boot = self.entries.get(&name).map(|entry| entry.record.boot);
            let current = self
                .entries
                .get(&name)
                .map(|entry| entry.record.fingerprint());
            if let Some(boot) = boot.filter(|_| current == Some(print)) {
                self.learn_in_force(&name, boot, version, actions);
            }
        }
    }

    /// Applies a committed configuration version; returns true if it was new.
    pub(super) fn learn_committed(&mut self, version: u64) -> bool {
        if version <= self.committed {
            return false;
        }
        self.committed = version;
        self.broadcasts.push(Update::Committed(version));
        true
    }

    /// Applies a note and disseminates it; returns true if it was new.
    pub(super) fn learn_note(&mut self, now: Time, note: &Note) -> bool {
        let key = (note.topic, note.key.clone());
        let known = self.notes.get(&key).map_or(0, |(version, _)| *version);
        let full = self.notes.len() >= MAX_NOTES && !self.notes.contains_key(&key);
        if note.version <= known || full || note.value.len() > MAX_VALUE_BYTES {
            return false;
        }
        self.notes.insert(key, (note.version, now));
        self.broadcasts.push(Update::Note(note.clone()));
        true
    }
}
