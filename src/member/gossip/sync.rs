//! Comparing members with a peer, and finding those one has lost.

use std::collections::HashSet;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::Xxh3;

use super::{Action, Gossip};
use crate::clock::Time;
use crate::member::State;
use crate::member::record::Record;
use crate::table::Vm;
use crate::wire::control::{Body, MAX_DATAGRAM_BYTES, MAX_HEAD_BYTES, Update};

/// Members are compared in this many buckets, so that one that differs costs
/// the sending of a few and not of all.
const BUCKETS: usize = 128;
/// Bytes of a bucket's digest.
const WIDTH: usize = 4;
/// A node that meets unknown peers asks one of them this often.
const ASK: Duration = Duration::from_millis(500);
/// While a comparison finds differences, the next one comes this soon.
const AGAIN: Duration = Duration::from_secs(1);
/// Addresses that a node without peers tries at a time.
const TRIES: usize = 3;
/// Addresses of the platform's list at which a node introduces itself in one
/// step: with a step each 50 ms, 330 in a second, at some 250 bytes each.
const HELLOS: usize = 16;

fn bucket(name: &str) -> usize {
    let mut hash = Xxh3::new();
    hash.write(name.as_bytes());
    usize::try_from(hash.finish() % BUCKETS as u64).unwrap_or_default()
}

impl Gossip {
    /// Compares members with one live peer.
    pub(super) fn compare(&mut self, actions: &mut Vec<Action>) {
        for (_, to) in self.some_peers(1, None) {
            self.offer(to, false, actions);
        }
    }

    fn offer(&mut self, to: SocketAddr, answer: bool, actions: &mut Vec<Action>) {
        let digests = self.digests();
        let first = vec![Update::Record(self.me.clone())];
        let digests = Bytes::from(digests);
        self.post(to, Body::Sync { digests, answer }, first, actions);
    }

    /// Asks a peer for what this node lacks.
    pub(super) fn ask(&mut self, now: Time, to: SocketAddr, actions: &mut Vec<Action>) {
        if now >= self.due.ask {
            self.due.ask = now + ASK;
            self.offer(to, false, actions);
        }
    }

    /// Tries addresses that should belong to a member and don't: those on the
    /// platform's list, those of members taken for dead, and the seeds.
    ///
    /// Without this, regions that were cut apart would stay apart for ever, as
    /// would nodes that all restart while the platform's list is down.
    pub(super) fn reconnect(&mut self, now: Time, actions: &mut Vec<Action>) {
        let alone = self.peers().next().is_none();
        let wait = if alone {
            self.tuning.join_interval
        } else {
            self.tuning.reconnect_interval
        };
        self.due.reconnect = now + wait;
        let living: Vec<SocketAddr> = self.peers().map(|entry| entry.control).collect();
        let own = self.me.member.control.parse().ok();
        let dead = self
            .entries
            .values()
            .filter(|entry| entry.record.member.state == State::Dead);
        let lost: Vec<SocketAddr> = dead
            .map(|entry| entry.control)
            .chain(self.roster.iter().copied())
            .chain(self.seeds.iter().copied())
            .filter(|address| !living.contains(address) && Some(*address) != own)
            .collect();
        let count = if alone { TRIES } else { 1 };
        let chosen: Vec<SocketAddr> = lost
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        for to in chosen {
            self.offer(to, false, actions);
        }
    }

    /// Takes the platform's list.
    pub(super) fn list(&mut self, vms: &[Vm]) {
        self.roster = vms
            .iter()
            .filter_map(|vm| vm.control.parse().ok())
            .collect();
        let own = self.me.member.control.parse().ok();
        let living: HashSet<SocketAddr> = self.peers().map(|entry| entry.control).collect();
        self.unmet = self
            .roster
            .iter()
            .copied()
            .filter(|address| !living.contains(address) && Some(*address) != own)
            .collect();
        // Not all at the same few at once.
        self.unmet.shuffle(&mut self.rng);
    }

    /// Introduces this node where the platform's list names a node that it does
    /// not know.
    ///
    /// When a whole fleet restarts, nobody has anything to tell but itself, and
    /// comparing tables of strangers takes many rounds; meanwhile each of them would
    /// keep pools of its own. Introductions are outside
    /// the budget of news and bounded by the list: two datagrams for each
    /// address and reading.
    pub(super) fn introduce(&mut self, actions: &mut Vec<Action>) {
        let count = HELLOS.min(self.unmet.len());
        for to in self.unmet.split_off(self.unmet.len() - count) {
            actions.push(self.hello(to, false));
        }
    }

    /// This node's record, for whoever listens at `to`.
    pub(super) fn hello(&self, to: SocketAddr, answer: bool) -> Action {
        let me = vec![Update::Record(self.me.clone())];
        self.action(to, Body::Hello { answer }, me)
    }

    /// Sends what differs and, unless this was the answer, asks back.
    pub(super) fn synchronise(
        &mut self,
        now: Time,
        to: SocketAddr,
        digests: &[u8],
        answer: bool,
        actions: &mut Vec<Action>,
    ) {
        let own = self.digests();
        if digests.len() != own.len() {
            actions.push(Action::Refused);
            return;
        }
        if own == digests {
            return;
        }
        // When many start at once, few have anything to tell. Comparing again
        // soon, and with anybody, spreads the work over all that know some.
        self.due.sync = self.due.sync.min(now + AGAIN);
        if !answer {
            self.offer(to, true, actions);
        }
        let start = self.rng.random_range(0..BUCKETS);
        let mut differing = [false; BUCKETS];
        let pairs = own.chunks(WIDTH).zip(digests.chunks(WIDTH));
        for (differs, (ours, theirs)) in differing.iter_mut().zip(pairs) {
            *differs = ours != theirs;
        }
        self.send_buckets(to, start, &differing, actions);
    }

    /// Sends the members of the buckets that differ, as far as the budget goes;
    /// what is left differs the next time again.
    fn send_buckets(
        &mut self,
        to: SocketAddr,
        start: usize,
        differing: &[bool; BUCKETS],
        actions: &mut Vec<Action>,
    ) {
        let mut records: Vec<(usize, Record)> = self
            .records()
            .map(|record| (bucket(&record.member.name), record))
            .filter(|(at, _)| differing[*at])
            .map(|(at, record)| ((at + BUCKETS - start) % BUCKETS, record.clone()))
            .collect();
        records.sort_by_key(|(at, _)| *at);
        let mut updates = Vec::new();
        let mut size = 0;
        for update in records.into_iter().map(|(_, r)| Update::Record(r)) {
            if size + update.size() > MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES {
                self.post(to, Body::Table, std::mem::take(&mut updates), actions);
                size = 0;
            }
            if self.budget == 0 {
                return;
            }
            size += update.size();
            updates.push(update);
        }
        if !updates.is_empty() {
            self.post(to, Body::Table, updates, actions);
        }
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries
            .values()
            .map(|entry| &entry.record)
            .chain(std::iter::once(&self.me))
    }

    fn digests(&self) -> Vec<u8> {
        let mut digests = vec![0_u8; BUCKETS * WIDTH];
        for record in self.records() {
            if record.member.state == State::Dead {
                continue;
            }
            let place = bucket(&record.member.name) * WIDTH;
            let digest = record.digest().to_be_bytes();
            for (sum, byte) in digests[place..place + WIDTH].iter_mut().zip(digest) {
                *sum ^= byte;
            }
        }
        digests
    }
}
