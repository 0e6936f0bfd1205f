//! What a node makes of news, its own and that of others.

use bytes::Bytes;

use super::{Action, Entry, Gossip, Rival};
use crate::clock::Time;
use crate::member::State;
use crate::member::record::Record;
use crate::name::Name;
use crate::wire::control::{FINGERPRINT_BYTES, MAX_VALUE_BYTES, Note, Update};

/// Incarnations above this can't have been reached by counting. Taking one for
/// true would leave its owner without a higher one to object with.
const MAX_INCARNATION: u64 = 1 << 48;
/// A rival that outbids this node this often is a running process, not an old
/// record of one.
const MAX_RISES: u32 = 3;
/// Most notes remembered.
const MAX_NOTES: usize = 8_192;

fn in_force(print: u64, version: u64) -> Update {
    let prints = Bytes::copy_from_slice(&print.to_be_bytes());
    Update::InForce { version, prints }
}

impl Gossip {
    /// Takes a record; true when it was news.
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
        // The dead are remembered only by those who knew them; otherwise nodes
        // that forget at different times would remind each other for ever.
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
        let wait = self.tuning.suspicion_timeout(self.living());
        let entry = Entry {
            heard: known.map_or(now, |entry| entry.heard),
            since: now,
            deadline: (state == State::Suspect).then(|| now + wait),
            record,
            control,
        };
        self.prints.insert(entry.record.fingerprint(), name.clone());
        self.entries.insert(name.clone(), entry);
        if before != Some(state) {
            let name = name.clone();
            actions.push(Action::StateChanged { name, state });
        }
        actions.push(Action::Publish);
        true
    }

    /// Takes what somebody says of this very node; true when this node had to
    /// object.
    pub(super) fn learn_self(&mut self, record: &Record, actions: &mut Vec<Action>) -> bool {
        let said = record.member.incarnation;
        if said > MAX_INCARNATION || said < self.me.member.incarnation {
            return false;
        }
        if record.boot == self.me.boot {
            if matches!(record.member.state, State::Alive | State::Leaving) {
                return false;
            }
        } else if self.lost_name_to(record) {
            self.replaced = true;
            actions.push(Action::Replaced);
            return false;
        }
        self.me.member.incarnation = said + 1;
        self.rumours.push(Update::Record(self.me.clone()));
        actions.push(Action::Refuted);
        actions.push(Action::Publish);
        true
    }

    /// True when another process holds this node's name and goes on outbidding.
    ///
    /// Records of an earlier process of this name never rise, so a restart
    /// always wins against them. Two that run at once would outbid each other
    /// for ever and callers would reach now one, now the other; the one with
    /// the lower boot number gives in.
    fn lost_name_to(&mut self, record: &Record) -> bool {
        let said = record.member.incarnation;
        let rival = match self.rival {
            Some(rival) if rival.boot == record.boot => rival,
            _ => Rival {
                boot: record.boot,
                incarnation: said,
                rises: 0,
            },
        };
        let rose = u32::from(said > rival.incarnation);
        let rival = Rival {
            incarnation: rival.incarnation.max(said),
            rises: rival.rises + rose,
            ..rival
        };
        self.rival = Some(rival);
        rival.rises >= MAX_RISES && record.boot > self.me.boot
    }

    /// Marks a member that did not answer, unless it is known to be leaving:
    /// that it leaves must not be forgotten because it is slow.
    pub(super) fn suspect(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let wait = self.tuning.suspicion_timeout(self.living());
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        match entry.record.member.state {
            State::Alive => {
                let mut record = entry.record.clone();
                record.member.state = State::Suspect;
                self.learn(now, &record, actions);
                self.rumours.push(Update::Record(record));
            }
            State::Leaving => entry.deadline = entry.deadline.or(Some(now + wait)),
            State::Suspect | State::Dead => {}
        }
    }

    /// Takes a member for dead.
    pub(super) fn bury(&mut self, now: Time, name: &Name, actions: &mut Vec<Action>) {
        let Some(entry) = self.entries.get(name) else {
            return;
        };
        let mut record = entry.record.clone();
        record.member.state = State::Dead;
        self.learn(now, &record, actions);
        self.rumours.push(Update::Record(record));
    }

    pub(super) fn put_in_force(&mut self, version: u64, actions: &mut Vec<Action>) {
        if version <= self.me.member.config_version {
            return;
        }
        self.me.member.config_version = version;
        self.rumours.push(in_force(self.me.fingerprint(), version));
        self.learn_committed(version);
        actions.push(Action::Publish);
    }

    /// Takes the version that a member has in force and passes it on.
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
        self.rumours.push(update);
        actions.push(Action::Publish);
    }

    /// Takes the version that several members have in force.
    pub(super) fn learn_prints(&mut self, version: u64, prints: &[u8], actions: &mut Vec<Action>) {
        for print in prints.chunks_exact(FINGERPRINT_BYTES) {
            let print = print
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
            let Some(name) = self.prints.get(&print).cloned() else {
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

    /// Takes the newest committed version; true when it was news.
    pub(super) fn learn_committed(&mut self, version: u64) -> bool {
        if version <= self.committed {
            return false;
        }
        self.committed = version;
        self.rumours.push(Update::Committed(version));
        true
    }

    /// Takes a note and passes it on; true when it was news.
    pub(super) fn remember(&mut self, now: Time, note: &Note) -> bool {
        let key = (note.topic, note.key.clone());
        let known = self.notes.get(&key).map_or(0, |(version, _)| *version);
        let full = self.notes.len() >= MAX_NOTES && !self.notes.contains_key(&key);
        if note.version <= known || full || note.value.len() > MAX_VALUE_BYTES {
            return false;
        }
        self.notes.insert(key, (note.version, now));
        self.rumours.push(Update::Note(note.clone()));
        true
    }
}
