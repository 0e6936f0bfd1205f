//! Whose turn it is to be probed, and what became of the probe.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::clock::Time;
use crate::name::Name;

/// The probe under way.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Who is probed.
    pub name: Name,
    /// The number of the question.
    pub seq: u32,
    /// When it was sent.
    pub at: Time,
    /// True once others were asked to try.
    pub helped: bool,
}

/// A question asked for somebody else.
#[derive(Clone, Debug)]
struct Relay {
    asker: SocketAddr,
    seq: u32,
    of: Name,
    at: Time,
}

/// The order of probing: everyone once in a shuffled round, so that the time
/// until a dead member is probed is bounded, not only short on average.
#[derive(Debug, Default)]
pub struct Prober {
    round: Vec<Name>,
    urgent: VecDeque<Name>,
    current: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
    seq: u32,
}

/// Most questions asked for others at a time.
const MAX_RELAYS: usize = 64;

impl Prober {
    /// Whom to probe next, out of `members`.
    pub fn next<R>(&mut self, members: &[Name], rng: &mut R) -> Option<Name>
    where
        R: Rng,
    {
        while let Some(name) = self.urgent.pop_front() {
            if members.contains(&name) {
                return Some(name);
            }
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

    /// Puts a member at the head of the queue, because somebody says it's dead.
    pub fn hurry(&mut self, name: &Name) {
        if !self.urgent.contains(name) {
            self.urgent.push_back(name.clone());
        }
    }

    /// A number for a question.
    pub fn number(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Starts a probe and returns its number.
    pub fn begin(&mut self, now: Time, name: Name) -> u32 {
        let seq = self.number();
        self.current = Some(Probe {
            name,
            seq,
            at: now,
            helped: false,
        });
        seq
    }

    /// The probe that has waited for `answer` and got no help yet; it is marked
    /// as helped.
    pub fn needs_help(&mut self, now: Time, answer: Duration) -> Option<Probe> {
        let probe = self.current.as_mut()?;
        if probe.helped || now.since(probe.at) < answer {
            return None;
        }
        probe.helped = true;
        Some(probe.clone())
    }

    /// Ends the probe under way, unanswered.
    pub fn fail(&mut self) -> Option<Probe> {
        self.current.take()
    }

    /// Takes an answer; true when it ends the probe under way.
    pub fn answer(&mut self, seq: u32, of: &Name) -> bool {
        let ends = self
            .current
            .as_ref()
            .is_some_and(|probe| probe.seq == seq && probe.name == *of);
        if ends {
            self.current = None;
        }
        ends
    }

    /// Remembers a question to be asked for `asker`; none when there are too
    /// many, since the asker has other helpers.
    pub fn relay(&mut self, now: Time, asker: SocketAddr, seq: u32, of: Name) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let own = self.number();
        let relay = Relay {
            asker,
            seq,
            of,
            at: now,
        };
        self.relays.insert(own, relay);
        Some(own)
    }

    /// Who waits for this answer, and their number of the question.
    pub fn relayed(&mut self, seq: u32, of: &Name) -> Option<(SocketAddr, u32)> {
        if self.relays.get(&seq).is_none_or(|relay| relay.of != *of) {
            return None;
        }
        self.relays
            .remove(&seq)
            .map(|relay| (relay.asker, relay.seq))
    }

    /// Forgets questions for others that are older than `period`.
    pub fn expire(&mut self, now: Time, period: Duration) {
        self.relays.retain(|_, relay| now.since(relay.at) < period);
    }

    /// Forgets every question, because this process was paused and the answers
    /// may have been lost meanwhile.
    pub fn forget(&mut self) {
        self.current = None;
        self.relays.clear();
    }
}
