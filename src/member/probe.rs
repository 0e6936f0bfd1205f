//! Selects the member to probe and tracks the outstanding probe.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::clock::Time;
use crate::name::Name;

/// An outstanding probe.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Target of the probe.
    pub name: Name,
    /// Sequence number.
    pub seq: u32,
    /// Time at which it was sent.
    pub sent_at: Time,
    /// True once indirect probes were requested.
    pub escalated: bool,
}

/// A probe sent on behalf of another node.
#[derive(Clone, Debug)]
struct Relay {
    requester: SocketAddr,
    seq: u32,
    of: Name,
    at: Time,
}

/// Probes every member once per shuffled round, which bounds the time until a
/// dead member is probed instead of only keeping the average short.
#[derive(Debug, Default)]
pub struct Prober {
    round: Vec<Name>,
    urgent: VecDeque<Name>,
    /// Members that do not answer another part of this process.
    reported: Vec<Name>,
    /// True if the last target was a reported one.
    was_reported: bool,
    current: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
    seq: u32,
}

/// Maximum number of concurrent probes on behalf of other nodes.
const MAX_RELAYS: usize = 64;

impl Prober {
    /// Returns the next target out of `members`.
    pub fn next_target<R>(&mut self, members: &[Name], rng: &mut R) -> Option<Name>
    where
        R: Rng,
    {
        while let Some(name) = self.urgent.pop_front() {
            if members.contains(&name) {
                return Some(name);
            }
        }
        if let Some(name) = self.next_reported(members, rng) {
            return Some(name);
        }
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if members.contains(&name) {
                    return Some(name);
                }
            }
            self.round = members.to_vec();
            self.round.shuffle(rng);
        }
        None
    }

    /// Schedules a member for immediate probing, because another node reported it
    /// as failed.
    pub fn prioritise(&mut self, name: &Name) {
        if !self.urgent.contains(name) {
            self.urgent.push_back(name.clone());
        }
    }

    /// Schedules a member for a probe before those of the round, because it does not answer
    /// another part of this process.
    pub fn report(&mut self, name: &Name) {
        let is_probed = self.current.as_ref().is_some_and(|it| it.name == *name);
        if !is_probed && !self.reported.contains(name) {
            self.reported.push(name.clone());
        }
    }

    /// Returns a reported member at every other call, so that members which are reported again
    /// and again do not keep the others from being probed. The choice is random, because all
    /// nodes report the members of a lost zone at the same time.
    fn next_reported<R>(&mut self, members: &[Name], rng: &mut R) -> Option<Name>
    where
        R: Rng,
    {
        self.reported.retain(|name| members.contains(name));
        self.was_reported = !self.was_reported && !self.reported.is_empty();
        if !self.was_reported {
            return None;
        }
        let at = rng.random_range(..self.reported.len());
        Some(self.reported.swap_remove(at))
    }

    /// Returns a new sequence number.
    pub fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Starts a probe and returns its sequence number.
    pub fn start(&mut self, now: Time, name: Name) -> u32 {
        let seq = self.next_seq();
        self.current = Some(Probe {
            name,
            seq,
            sent_at: now,
            escalated: false,
        });
        seq
    }

    /// Returns the probe that has been outstanding for `timeout` without indirect
    /// probes, and marks it as having requested them.
    pub fn escalate(&mut self, now: Time, timeout: Duration) -> Option<Probe> {
        let probe = self.current.as_mut()?;
        if probe.escalated || now.since(probe.sent_at) < timeout {
            return None;
        }
        probe.escalated = true;
        Some(probe.clone())
    }

    /// Ends the outstanding probe without an answer.
    pub fn finish(&mut self) -> Option<Probe> {
        self.current.take()
    }

    /// Handles an acknowledgement; returns true if it ends the outstanding probe.
    pub fn acknowledge(&mut self, seq: u32, of: &Name) -> bool {
        let ends = self
            .current
            .as_ref()
            .is_some_and(|probe| probe.seq == seq && probe.name == *of);
        if ends {
            self.current = None;
        }
        ends
    }

    /// Registers a probe on behalf of `requester` and returns its sequence
    /// number; `None` if there are too many, since the requester also asks other
    /// peers.
    pub fn add_relay(
        &mut self,
        now: Time,
        requester: SocketAddr,
        seq: u32,
        of: Name,
    ) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let own = self.next_seq();
        let relay = Relay {
            requester,
            seq,
            of,
            at: now,
        };
        self.relays.insert(own, relay);
        Some(own)
    }

    /// Returns the requester of the probe that this acknowledgement answers, with
    /// the requester's sequence number.
    pub fn take_relay(&mut self, seq: u32, of: &Name) -> Option<(SocketAddr, u32)> {
        if self.relays.get(&seq).is_none_or(|relay| relay.of != *of) {
            return None;
        }
        self.relays
            .remove(&seq)
            .map(|relay| (relay.requester, relay.seq))
    }

    /// Drops probes on behalf of others that are older than `period`.
    pub fn expire(&mut self, now: Time, period: Duration) {
        self.relays.retain(|_, relay| now.since(relay.at) < period);
    }

    /// Drops all outstanding probes, because this process was paused and answers
    /// may have been lost.
    pub fn reset(&mut self) {
        self.current = None;
        self.relays.clear();
    }
}
