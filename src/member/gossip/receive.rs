//! Handles received datagrams.

use std::net::SocketAddr;

use super::{Action, Gossip};
use crate::clock::Time;
use crate::member::State;
use crate::member::record::Record;
use crate::name::Name;
use crate::wire::control::{Body, Frame, Head, Update};

/// The stored record of a sender compared with the header of its datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    /// The record matches the header.
    Known,
    /// Unknown, or known only from an earlier process or incarnation.
    New,
    /// Suspect, dead, or stored with a higher incarnation than in the header.
    Disputed,
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
            self.handle_name_conflict(source, &head, actions);
            return;
        }
        self.last_contact = now;
        if self.learn_committed(head.committed.max(head.in_force)) {
            actions.push(Action::Committed(self.committed));
        }
        self.learn_in_force(&head.from, head.boot, head.in_force, actions);
        if let Some(entry) = self.entries.get_mut(&head.from) {
            entry.last_contact = now;
        }
        // A node introduces itself to every other node, so its record need not be
        // disseminated.
        let table = matches!(body, Body::Table | Body::Hello { .. });
        // A node that was declared dead without noticing keeps sending stale
        // suspicions. They are ignored until it has refuted its own death, which
        // the answer below reports to it.
        let declared_dead = self.status(&head) == Status::Disputed && self.is_dead(&head.from);
        let mut refuted = false;
        for update in updates {
            let own = matches!(&update, Update::Record(r) if r.member.name == head.from);
            if !declared_dead || table || own || self.is_me(&update) {
                refuted |= self.apply(now, update, table, actions);
            }
        }
        self.answer(now, source, &head, body, refuted, actions);
    }

    fn is_dead(&self, name: &Name) -> bool {
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| entry.record.member.state == State::Dead)
    }

    fn is_me(&self, update: &Update) -> bool {
        matches!(update, Update::Record(record) if record.member.name == self.me.member.name)
    }

    fn status(&self, head: &Head) -> Status {
        let Some(entry) = self.entries.get(&head.from) else {
            return Status::New;
        };
        let known = (entry.record.member.incarnation, entry.record.boot);
        let claimed = (head.incarnation, head.boot);
        let disputed = matches!(entry.record.member.state, State::Suspect | State::Dead);
        match claimed.cmp(&known) {
            std::cmp::Ordering::Greater => Status::New,
            std::cmp::Ordering::Equal if !disputed => Status::Known,
            _ => Status::Disputed,
        }
    }

    /// Applies one update; returns true if this node refuted a record about
    /// itself.
    fn apply(&mut self, now: Time, update: Update, table: bool, actions: &mut Vec<Action>) -> bool {
        match update {
            Update::Record(record) if record.member.name == self.me.member.name => {
                return self.learn_self(&record, actions);
            }
            Update::Record(record) if table => self.learn_from_table(now, &record, actions),
            Update::Record(record) => {
                if self.learn(now, &record, actions) {
                    self.broadcasts.push(Update::Record(record));
                }
            }
            Update::InForce { version, prints } => self.learn_prints(version, &prints, actions),
            Update::Committed(version) => {
                if self.learn_committed(version) {
                    actions.push(Action::Committed(version));
                }
            }
            Update::Note(note) => {
                if self.learn_note(now, &note) {
                    actions.push(Action::Note(note));
                }
            }
        }
        false
    }

    /// Applies a record from another node's table.
    ///
    /// After a network partition, each half considers the other one dead. If each
    /// applied the other's table when they reconnect, all nodes would be removed
    /// at once and callers would find none. A suspicion or death from a table is
    /// therefore only forwarded to its subject, which refutes it or fails the
    /// next probe.
    fn learn_from_table(&mut self, now: Time, record: &Record, actions: &mut Vec<Action>) {
        let name = &record.member.name;
        let suspected = matches!(record.member.state, State::Suspect | State::Dead);
        let known = self.entries.get(name);
        if !suspected || known.is_none() {
            // A joining node learns all members from tables. Only corrections of
            // known records are news to other nodes as well.
            let corrects = known.is_some();
            if self.learn(now, record, actions) && corrects {
                self.broadcasts.push(Update::Record(record.clone()));
            }
            return;
        }
        let Some(entry) = known else { return };
        if entry.record.member.state == State::Dead || !record.supersedes(&entry.record) {
            return;
        }
        let to = entry.control;
        self.prober.prioritise(name);
        let updates = vec![Update::Record(record.clone())];
        self.send_exact(to, Body::Gossip, updates, actions);
    }

    fn answer(
        &mut self,
        now: Time,
        source: SocketAddr,
        head: &Head,
        body: Body,
        refuted: bool,
        actions: &mut Vec<Action>,
    ) {
        let status = self.status(head);
        if status == Status::New {
            self.request_sync(now, source, actions);
        }
        let mut first = Vec::new();
        if refuted {
            first.push(Update::Record(self.me.clone()));
        }
        if status == Status::Disputed
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
            // Another node used this address before. An answer would make that
            // node look alive.
            Body::Ping { .. } => actions.push(Action::Refused),
            Body::Ack { seq, of } => self.acknowledged(seq, of, actions),
            Body::Probe { seq, to, address } => {
                self.probe_for(now, source, seq, to, &address, actions);
            }
            Body::Sync { digests, answer } => {
                self.answer_sync(now, source, &digests, answer, actions);
            }
            Body::Direct { topic, value } => {
                let from = head.from.clone();
                actions.push(Action::Direct { from, topic, value });
            }
            Body::Hello { answer: false } => self.answer_introduction(source, actions),
            Body::Hello { answer: true } | Body::Gossip | Body::Table => {}
        }
        // Sent within the budget, so that two nodes with conflicting records
        // cannot flood the network.
        if !first.is_empty() && self.budget > 0 {
            self.send(source, Body::Gossip, first, actions);
        }
    }

    fn acknowledged(&mut self, seq: u32, of: Name, actions: &mut Vec<Action>) {
        if let Some((requester, seq)) = self.prober.take_relay(seq, &of) {
            self.send(requester, Body::Ack { seq, of }, Vec::new(), actions);
            return;
        }
        if self.prober.acknowledge(seq, &of)
            && let Some(entry) = self.entries.get_mut(&of)
            && entry.record.member.state == State::Leaving
        {
            entry.deadline = None;
        }
    }

    fn probe_for(
        &mut self,
        now: Time,
        requester: SocketAddr,
        seq: u32,
        to: Name,
        address: &Name,
        actions: &mut Vec<Action>,
    ) {
        let Ok(target) = address.parse() else {
            actions.push(Action::Refused);
            return;
        };
        if let Some(seq) = self.prober.add_relay(now, requester, seq, to.clone()) {
            let first = self.suspicion_of(&to);
            self.send(target, Body::Ping { seq, to }, first, actions);
        }
    }

    /// Handles a datagram from another process that uses this node's name.
    fn handle_name_conflict(&mut self, source: SocketAddr, head: &Head, actions: &mut Vec<Action>) {
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
