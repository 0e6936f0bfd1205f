//! What is due as time passes.

use std::time::Duration;

use bytes::Bytes;

use super::{Action, Gossip, HEAD};
use crate::clock::Time;
use crate::member::State;
use crate::member::tuning::Tuning;
use crate::name::Name;
use crate::wire::control::{Body, MAX_VALUE_BYTES, Update};

impl Gossip {
    /// Deals with a pause of this very process.
    ///
    /// A process that was stopped for a while finds every answer missing and
    /// would accuse healthy members by the dozen; users would see endpoints
    /// change hands for nothing. So whatever ran during the pause starts anew.
    pub(super) fn notice_pause(&mut self, now: Time, actions: &mut Vec<Action>) {
        let gap = now.since(self.last_step);
        self.last_step = now;
        self.refill(gap);
        if gap <= self.tuning.pause_threshold() {
            return;
        }
        self.prober.forget();
        self.rumours.drop_accusations();
        self.last_heard = now;
        self.due.probe = now + self.tuning.probe_interval;
        for entry in self.entries.values_mut() {
            entry.deadline = entry.deadline.map(|deadline| deadline + gap);
        }
        actions.push(Action::Paused);
    }

    fn refill(&mut self, gap: Duration) {
        let earned = |rate: u64| {
            let earned = gap.as_micros() * u128::from(rate) / 1_000_000;
            u64::try_from(earned).unwrap_or(u64::MAX)
        };
        let Tuning {
            byte_rate,
            burst,
            direct_rate,
            direct_burst,
            ..
        } = self.tuning;
        self.budget = self.budget.saturating_add(earned(byte_rate)).min(burst);
        let left = self.direct_budget.saturating_add(earned(direct_rate));
        self.direct_budget = left.min(direct_burst);
    }

    pub(super) fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.ask_for_help(now, actions);
        if now >= self.due.probe {
            self.due.probe = now + self.tuning.probe_interval;
            self.end_probe(now, actions);
            self.begin_probe(now, actions);
        }
        self.expire(now, actions);
        if now >= self.due.gossip {
            self.due.gossip = now + self.tuning.gossip_interval;
            self.spread(actions);
        }
        if now >= self.due.sync {
            self.due.sync = now + self.tuning.sync_interval;
            self.compare(actions);
        }
        self.introduce(actions);
        if now >= self.due.reconnect {
            self.reconnect(now, actions);
        }
    }

    fn begin_probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let names: Vec<Name> = self
            .peers()
            .map(|entry| entry.record.member.name.clone())
            .collect();
        let Some(name) = self.prober.next(&names, &mut self.rng) else {
            return;
        };
        let Some(to) = self.entries.get(&name).map(|entry| entry.control) else {
            return;
        };
        let seq = self.prober.begin(now, name.clone());
        let first = self.accusation(&name);
        self.send(to, Body::Ping { seq, to: name }, first, actions);
    }

    /// Asks others to try a member that did not answer in time.
    ///
    /// One lost datagram, or a path that is cut between just two nodes, must
    /// not make a healthy member look dead.
    fn ask_for_help(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(probe) = self.prober.needs_help(now, self.tuning.probe_timeout) else {
            return;
        };
        let Some(entry) = self.entries.get(&probe.name) else {
            return;
        };
        let address = entry.record.member.control.clone();
        for (_, helper) in self.some_peers(self.tuning.indirect_probes, Some(&probe.name)) {
            let body = Body::Probe {
                seq: probe.seq,
                to: probe.name.clone(),
                address: address.clone(),
            };
            self.send(helper, body, Vec::new(), actions);
        }
    }

    fn end_probe(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(probe) = self.prober.fail() else {
            return;
        };
        // Whoever hears nothing at all has lost its own network. Accusing the
        // others one by one would make them all object for nothing.
        let isolation = self.tuning.isolation_timeout(self.living());
        let silent = self.last_heard < probe.at;
        if silent && now.since(self.last_heard) < isolation {
            return;
        }
        self.suspect(now, &probe.name, actions);
    }

    /// Ends suspicions that ran out, and forgets what is too old.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late: Vec<Name> = self
            .entries
            .values()
            .filter(|entry| entry.deadline.is_some_and(|deadline| now >= deadline))
            .map(|entry| entry.record.member.name.clone())
            .collect();
        for name in late {
            self.bury(now, &name, actions);
        }
        let memory = self.tuning.dead_retention;
        let before = self.entries.len();
        self.entries.retain(|_, entry| {
            entry.record.member.state != State::Dead || now.since(entry.since) < memory
        });
        if self.entries.len() != before {
            let entries = &self.entries;
            self.prints.retain(|_, name| entries.contains_key(name));
            actions.push(Action::Publish);
        }
        self.prober.expire(now, self.tuning.probe_interval);
        let kept = self.tuning.note_retention;
        self.notes.retain(|_, (_, at)| now.since(*at) < kept);
    }

    /// Sends news to a few peers, while there is any.
    pub(super) fn spread(&mut self, actions: &mut Vec<Action>) {
        for (name, to) in self.some_peers(self.tuning.fanout, None) {
            if self.rumours.is_empty() || self.budget == 0 {
                return;
            }
            let first = self.accusation(&name);
            self.send(to, Body::Gossip, first, actions);
        }
    }

    /// Sends one member a message.
    ///
    /// Messages have a budget of their own. On that of news, a few hundred
    /// reports a second would leave nothing for it, and one would notice by a
    /// dead node that goes on getting requests.
    pub(super) fn direct(&mut self, to: &Name, topic: u8, value: Bytes, actions: &mut Vec<Action>) {
        let known = self.peers().find(|entry| entry.record.member.name == *to);
        let address = known.map(|entry| entry.control);
        let size = value.len() as u64 + HEAD;
        match address {
            Some(address) if value.len() <= MAX_VALUE_BYTES && size <= self.direct_budget => {
                self.direct_budget -= size;
                let body = Body::Direct { topic, value };
                actions.push(self.action(address, body, Vec::new()));
            }
            _ => actions.push(Action::Dropped),
        }
    }

    /// Says at once that this node is leaving, and goes on answering.
    pub(super) fn leave(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.me.member.state == State::Leaving {
            return;
        }
        self.me.member.state = State::Leaving;
        self.rumours.push(Update::Record(self.me.clone()));
        self.due.gossip = now + self.tuning.gossip_interval;
        self.spread(actions);
        actions.push(Action::Publish);
    }

    /// Says goodbye, so that nobody has to find out by probing.
    pub(super) fn exit(&mut self, actions: &mut Vec<Action>) {
        let mut last = self.me.clone();
        last.member.state = State::Dead;
        let peers = self.some_peers(self.tuning.fanout * 2, None);
        for (_, to) in peers {
            let updates = vec![Update::Record(last.clone())];
            self.post(to, Body::Gossip, updates, actions);
        }
        self.replaced = true;
    }
}
