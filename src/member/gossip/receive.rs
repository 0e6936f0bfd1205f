//! What a node makes of a datagram.

use std::net::SocketAddr;

use super::{Action, Gossip};
use crate::clock::Time;
use crate::member::State;
use crate::member::record::Record;
use crate::name::Name;
use crate::wire::control::{Body, Frame, Head, Update};

/// What a node knows of a sender, compared with what the sender says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// As it says itself.
    Known,
    /// Never heard of, or only of an earlier process or incarnation.
    New,
    /// Thought suspect or dead, or of a higher incarnation than it says.
    Doubted,
}

impl Gossip {
    pub(super) fn receive(
        &mut self,
        now: Time,
        source: SocketAddr,
        frame: Frame,
        actions: &mut Vec<Action>,
    ) {
        let Frame {
            head,
            body,
            updates,
        } = frame;
        if head.from == self.me.member.name {
            self.meet_namesake(source, &head, actions);
            return;
        }
        self.last_heard = now;
        if self.learn_committed(head.heard.max(head.in_force)) {
            actions.push(Action::Committed(self.committed));
        }
        self.learn_in_force(&head.from, head.boot, head.in_force, actions);
        if let Some(entry) = self.entries.get_mut(&head.from) {
            entry.heard = now;
        }
        // Whoever introduces itself does so at all others; nobody need pass it on.
        let table = matches!(body, Body::Table | Body::Hello { .. });
        // A node that was declared dead and does not know it goes on accusing
        // others with old news; it is told, and believed once it objected.
        let gone = self.standing(&head) == Standing::Doubted && self.is_dead(&head.from);
        let mut objected = false;
        for update in updates {
            let own = matches!(&update, Update::Record(r) if r.member.name == head.from);
            if !gone || table || own || self.is_me(&update) {
                objected |= self.take(now, update, table, actions);
            }
        }
        self.answer(now, source, &head, body, objected, actions);
    }

    fn is_dead(&self, name: &Name) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.record.member.state == State::Dead)
    }

    fn is_me(&self, update: &Update) -> bool {
        matches!(update, Update::Record(record) if record.member.name == self.me.member.name)
    }

    fn standing(&self, head: &Head) -> Standing {
        let Some(entry) = self.entries.get(&head.from) else {
            return Standing::New;
        };
        let known = (entry.record.member.incarnation, entry.record.boot);
        let said = (head.incarnation, head.boot);
        let doubted = matches!(entry.record.member.state, State::Suspect | State::Dead);
        match said.cmp(&known) {
            std::cmp::Ordering::Greater => Standing::New,
            std::cmp::Ordering::Equal if !doubted => Standing::Known,
            _ => Standing::Doubted,
        }
    }

    /// Takes one update; true when this node had to object.
    fn take(&mut self, now: Time, update: Update, table: bool, actions: &mut Vec<Action>) -> bool {
        match update {
            Update::Record(record) if record.member.name == self.me.member.name => {
                return self.learn_self(&record, actions);
            }
            Update::Record(record) if table => self.learn_gently(now, &record, actions),
            Update::Record(record) => {
                if self.learn(now, &record, actions) {
                    self.rumours.push(Update::Record(record));
                }
            }
            Update::InForce { version, prints } => self.learn_prints(version, &prints, actions),
            Update::Committed(version) => {
                if self.learn_committed(version) {
                    actions.push(Action::Committed(version));
                }
            }
            Update::Note(note) => {
                if self.remember(now, &note) {
                    actions.push(Action::Note(note));
                }
            }
        }
        false
    }

    /// Takes a record out of another node's table.
    ///
    /// Two halves of a fleet that were cut apart hold each other for dead. If
    /// each believed the other's table when they meet, both would drop every
    /// node at once, and callers would find nobody. So an accusation from a
    /// table is only passed to the accused, who objects or fails the probe.
    fn learn_gently(&mut self, now: Time, record: &Record, actions: &mut Vec<Action>) {
        let name = &record.member.name;
        let accused = matches!(record.member.state, State::Suspect | State::Dead);
        let known = self.entries.get(name);
        if !accused || known.is_none() {
            // A newcomer learns everybody this way; only what corrects a known
            // record is news to others as well.
            let corrects = known.is_some();
            if self.learn(now, record, actions) && corrects {
                self.rumours.push(Update::Record(record.clone()));
            }
            return;
        }
        let Some(entry) = known else { return };
        if entry.record.member.state == State::Dead || !record.supersedes(&entry.record) {
            return;
        }
        let to = entry.control;
        self.prober.hurry(name);
        let updates = vec![Update::Record(record.clone())];
        self.post(to, Body::Gossip, updates, actions);
    }

    fn answer(
        &mut self,
        now: Time,
        source: SocketAddr,
        head: &Head,
        body: Body,
        objected: bool,
        actions: &mut Vec<Action>,
    ) {
        let standing = self.standing(head);
        if standing == Standing::New {
            self.ask(now, source, actions);
        }
        let mut first = Vec::new();
        if objected {
            first.push(Update::Record(self.me.clone()));
        }
        if standing == Standing::Doubted
            && let Some(entry) = self.entries.get(&head.from)
        {
            first.push(Update::Record(entry.record.clone()));
        }
        match body {
            Body::Ping { seq, to } if to == self.me.member.name => {
                let of = to;
                self.send(source, Body::Ack { seq, of }, first, actions);
                return;
            }
            // Somebody else had this address before. An answer would make the
            // one who is gone look alive.
            Body::Ping { .. } => actions.push(Action::Refused),
            Body::Ack { seq, of } => self.acknowledged(seq, of, actions),
            Body::Probe { seq, to, address } => {
                self.try_for(now, source, seq, to, &address, actions);
            }
            Body::Sync { digests, answer } => {
                self.synchronise(now, source, &digests, answer, actions);
            }
            Body::Direct { topic, value } => {
                let from = head.from.clone();
                actions.push(Action::Direct { from, topic, value });
            }
            Body::Hello { answer: false } => actions.push(self.hello(source, true)),
            Body::Hello { answer: true } | Body::Gossip | Body::Table => {}
        }
        // Within the budget, so that two nodes which go on contradicting each
        // other, whatever the reason, can't fill the network.
        if !first.is_empty() && self.budget > 0 {
            self.send(source, Body::Gossip, first, actions);
        }
    }

    fn acknowledged(&mut self, seq: u32, of: Name, actions: &mut Vec<Action>) {
        if let Some((asker, seq)) = self.prober.relayed(seq, &of) {
            self.send(asker, Body::Ack { seq, of }, Vec::new(), actions);
            return;
        }
        if self.prober.answer(seq, &of)
            && let Some(entry) = self.entries.get_mut(&of)
            && entry.record.member.state == State::Leaving
        {
            entry.deadline = None;
        }
    }

    fn try_for(
        &mut self,
        now: Time,
        asker: SocketAddr,
        seq: u32,
        to: Name,
        address: &Name,
        actions: &mut Vec<Action>,
    ) {
        let Ok(target) = address.parse() else {
            actions.push(Action::Refused);
            return;
        };
        if let Some(seq) = self.prober.relay(now, asker, seq, to.clone()) {
            let first = self.accusation(&to);
            self.send(target, Body::Ping { seq, to }, first, actions);
        }
    }

    /// Somebody speaks under this node's name.
    fn meet_namesake(&mut self, source: SocketAddr, head: &Head, actions: &mut Vec<Action>) {
        if head.boot == self.me.boot {
            actions.push(Action::Refused);
            return;
        }
        let mut record = self.me.clone();
        record.boot = head.boot;
        record.member.incarnation = head.incarnation;
        if self.learn_self(&record, actions) {
            let first = vec![Update::Record(self.me.clone())];
            self.send(source, Body::Gossip, first, actions);
        }
    }
}
