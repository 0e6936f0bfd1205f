//! Periodic tasks of the protocol.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;

use super::{Action, BASE_BYTES, Entry, Gossip};
use crate::clock::Time;
use crate::member::State;
use crate::member::tuning::Tuning;
use crate::name::Name;
use crate::wire::control::{Body, MAX_VALUE_BYTES, Update};

impl Gossip {
    /// Handles a pause of this process.
    ///
    /// After a pause, all answers are overdue, and the process would suspect many
    /// healthy members; users would see endpoints move between nodes without
    /// need. Everything that was outstanding is therefore restarted.
    pub(super) fn detect_pause(&mut self, now: Time, actions: &mut Vec<Action>) {
        let gap = now.since(self.last_step);
        self.last_step = now;
        self.refill(gap);
        if gap <= self.tuning.pause_threshold() {
            return;
        }
        self.prober.reset();
        self.broadcasts.drop_suspicions();
        self.last_contact = now;
        self.due.probe = now + self.tuning.probe_interval;
        for entry in self.entries.values_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline + gap);
        }
        actions.push(Action::Paused);
    }

    fn refill(&mut self, gap: Duration) {
        let refilled = |rate: u64| {
            let refilled = gap.as_micros() * u128::from(rate) / 1_000_000;
            u64::try_from(refilled).unwrap_or(u64::MAX)
        };
        let Tuning {
            byte_rate,
            burst,
            direct_rate,
            direct_burst,
            ..
        } = self.tuning;
        self.budget = self.budget.saturating_add(refilled(byte_rate)).min(burst);
        let left = self.direct_budget.saturating_add(refilled(direct_rate));
        self.direct_budget = left.min(direct_burst);
    }

    pub(super) fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.request_indirect_probes(now, actions);
        if now >= self.due.probe {
            self.due.probe = now + self.tuning.probe_interval;
            self.end_probe(now, actions);
            self.begin_probe(now, actions);
        }
        self.expire(now, actions);
        if now >= self.due.gossip {
            self.due.gossip = now + self.tuning.gossip_interval;
            self.disseminate(actions);
        }
        if now >= self.due.sync {
            self.due.sync = now + self.tuning.sync_interval;
            self.start_sync(actions);
        }
        self.send_introductions(now, actions);
        if now >= self.due.reconnect {
            self.reconnect(now, actions);
        }
    }

    fn begin_probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let names: Vec<Name> = self
            .peers()
            .map(|entry| entry.record.member.name.clone())
            .collect();
        let Some(name) = self.prober.next_target(&names, &mut self.rng) else {
            return;
        };
        let Some(to) = self.entries.get(&name).map(|entry| entry.control) else {
            return;
        };
        let seq = self.prober.start(now, name.clone());
        let first = self.suspicion_of(&name);
        self.send(to, Body::Ping { seq, to: name }, first, actions);
    }

    /// Has the member at `address` probed next, because it does not answer another part of this
    /// process. Only the probe decides whether it is suspected.
    pub(super) fn report_silent(&mut self, address: IpAddr) {
        let is_unsuspected = |entry: &&Entry| entry.record.member.state != State::Suspect;
        let reported: Vec<Name> = self
            .peers()
            .filter(|entry| entry.control.ip() == address)
            .filter(is_unsuspected)
            .map(|entry| entry.record.member.name.clone())
            .collect();
        for name in reported {
            self.prober.report(&name);
        }
    }

    /// Requests indirect probes of a member that did not answer in time.
    ///
    /// A single lost datagram, or a broken path between two nodes, must not make
    /// a healthy member look dead.
    fn request_indirect_probes(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(probe) = self.prober.escalate(now, self.tuning.probe_timeout) else {
            return;
        };
        let Some(entry) = self.entries.get(&probe.name) else {
            return;
        };
        let address = entry.record.member.control.clone();
        for (_, peer) in self.random_peers(self.tuning.indirect_probes, Some(&probe.name)) {
            let body = Body::Probe {
                seq: probe.seq,
                to: probe.name.clone(),
                address: address.clone(),
            };
            self.send(peer, body, Vec::new(), actions);
        }
    }

    fn end_probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(probe) = self.prober.finish() else {
            return;
        };
        // A node that receives nothing has lost its own network. Suspecting the
        // other members one by one would only force all of them to refute it.
        let isolation = self.tuning.isolation_timeout(self.live_members());
        let silent = self.last_contact < probe.sent_at;
        if silent && now.since(self.last_contact) < isolation {
            return;
        }
        self.suspect(now, &probe.name, actions);
    }

    /// Declares members dead whose suspicion timed out, and drops expired state.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired: Vec<Name> = self
            .entries
            .values()
            .filter(|entry| entry.deadline.is_some_and(|deadline| now >= deadline))
            .map(|entry| entry.record.member.name.clone())
            .collect();
        for name in expired {
            self.declare_dead(now, &name, actions);
        }
        let retention = self.tuning.dead_retention;
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            entry.record.member.state != State::Dead || now.since(entry.changed_at) < retention
        });
        if self.entries.len() != before {
            let entries = &self.entries;
            self.by_fingerprint
                .retain(|_, name| entries.contains_key(name));
            actions.push(Action::Publish);
        }
        self.prober.expire(now, self.tuning.probe_interval);
        let retention = self.tuning.note_retention;
        self.notes.retain(|_, (_, at)| now.since(*at) < retention);
    }

    /// Sends pending updates to a few random peers.
    pub(super) fn disseminate(&mut self, actions: &mut Vec<Action>) {
        if self.broadcasts.is_empty() || self.budget == 0 {
            return;
        }
        for (name, to) in self.random_peers(self.tuning.fanout, None) {
            if self.broadcasts.is_empty() || self.budget == 0 {
                return;
            }
            let first = self.suspicion_of(&name);
            self.send(to, Body::Gossip, first, actions);
        }
    }

    /// Sends a direct message to one member.
    ///
    /// Direct messages have a budget of their own. If they shared the gossip
    /// budget, a few hundred reports per second would use all of it, and dead
    /// nodes would keep getting requests.
    pub(super) fn direct(&mut self, to: &Name, topic: u8, value: Bytes, actions: &mut Vec<Action>) {
        let known = self.peers().find(|entry| entry.record.member.name == *to);
        let address = known.map(|entry| entry.control);
        let size = value.len() as u64 + BASE_BYTES;
        match address {
            Some(address) if value.len() <= MAX_VALUE_BYTES && size <= self.direct_budget => {
                self.direct_budget -= size;
                let body = Body::Direct { topic, value };
                actions.push(self.action(address, body, Vec::new()));
            }
            _ => actions.push(Action::Dropped),
        }
    }

    /// Announces immediately that this node is leaving; it keeps answering.
    pub(super) fn leave(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.me.member.state == State::Leaving {
            return;
        }
        self.me.member.state = State::Leaving;
        self.broadcasts.push(Update::Record(self.me.clone()));
        self.due.gossip = now + self.tuning.gossip_interval;
        self.disseminate(actions);
        actions.push(Action::Publish);
    }

    /// Announces the exit of this node, so that others need not detect it by
    /// probing.
    pub(super) fn exit(&mut self, actions: &mut Vec<Action>) {
        let mut last = self.me.clone();
        last.member.state = State::Dead;
        let peers = self.random_peers(self.tuning.fanout * 2, None);
        for (_, to) in peers {
            let updates = vec![Update::Record(last.clone())];
            self.send_exact(to, Body::Gossip, updates, actions);
        }
        self.replaced = true;
    }
}
