//! Anti-entropy with peers, and rediscovery of lost members.

use std::collections::HashSet;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use xxhash_rust::xxh3::Xxh3;

use super::{Action, Completeness, Gossip};
use crate::clock::Time;
use crate::member::State;
use crate::member::record::Record;
use crate::table::Vm;
use crate::wire::control::{Body, MAX_DATAGRAM_BYTES, MAX_HEAD_BYTES, Update};

/// Number of hash buckets that are compared, so that one differing member costs
/// sending a few records instead of all.
const BUCKETS: usize = 128;
/// Bytes of a bucket's digest.
const DIGEST_BYTES: usize = 4;
/// Minimum interval between sync requests to unknown peers.
const SYNC_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before the next sync after one that found differences.
const RESYNC_DELAY: Duration = Duration::from_secs(1);
/// Number of addresses that a node without peers contacts at a time.
const JOIN_FANOUT: usize = 3;
/// Time within which a node introduces itself to all nodes on the platform's list,
/// however many there are: until then it knows only some of them. An introduction
/// takes about 250 bytes.
const INTRODUCTION_TIME: Duration = Duration::from_secs(1);
/// Minimum number of introductions per step.
const MIN_INTRODUCTIONS_PER_STEP: usize = 16;
/// Time after the last introduction until its answer counts as lost.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(1);

fn bucket(name: &str) -> usize {
    let mut hash = Xxh3::new();
    hash.write(name.as_bytes());
    usize::try_from(hash.finish() % BUCKETS as u64).unwrap_or_default()
}

impl Gossip {
    /// Starts a sync with one live peer.
    pub(super) fn start_sync(&mut self, actions: &mut Vec<Action>) {
        for (_, to) in self.random_peers(1, None) {
            self.send_digests(to, false, actions);
        }
    }

    fn send_digests(&mut self, to: SocketAddr, answer: bool, actions: &mut Vec<Action>) {
        let digests = self.digests();
        let first = vec![Update::Record(self.me.clone())];
        let digests = Bytes::from(digests);
        self.send_exact(to, Body::Sync { digests, answer }, first, actions);
    }

    /// Requests a sync from a peer.
    pub(super) fn request_sync(&mut self, now: Time, to: SocketAddr, actions: &mut Vec<Action>) {
        if now >= self.due.sync_request {
            self.due.sync_request = now + SYNC_REQUEST_INTERVAL;
            self.send_digests(to, false, actions);
        }
    }

    /// Contacts addresses that should belong to a live member but do not: those
    /// on the platform's list, those of dead members, and the seeds.
    ///
    /// Without this, partitioned regions would never reconnect, nor would nodes
    /// that all restart while the platform's list is unavailable.
    pub(super) fn reconnect(&mut self, now: Time, actions: &mut Vec<Action>) {
        let alone = self.peers().next().is_none();
        let wait = if alone {
            self.tuning.join_interval
        } else {
            self.tuning.reconnect_interval
        };
        self.due.reconnect = now + wait;
        let live: HashSet<SocketAddr> = self.peers().map(|entry| entry.control).collect();
        let own = self.me.member.control.parse().ok();
        let dead = self
            .entries
            .values()
            .filter(|entry| entry.record.member.state == State::Dead);
        let lost: Vec<SocketAddr> = dead
            .map(|entry| entry.control)
            .chain(self.roster.iter().copied())
            .chain(self.seeds.iter().copied())
            .filter(|address| !live.contains(address) && Some(*address) != own)
            .collect();
        let count = if alone { JOIN_FANOUT } else { 1 };
        let chosen: Vec<SocketAddr> = lost
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect();
        for to in chosen {
            self.send_digests(to, false, actions);
        }
    }

    /// Stores the platform's list of VMs, and plans the introductions to those that are
    /// not known yet.
    pub(super) fn set_roster(&mut self, now: Time, vms: &[Vm]) {
        let known: HashSet<SocketAddr> = self.roster.iter().copied().collect();
        self.roster = vms
            .iter()
            .filter_map(|vm| vm.control.parse().ok())
            .collect();
        let is_growing = self.roster.iter().any(|address| !known.contains(address));
        let own = self.me.member.control.parse().ok();
        let live: HashSet<SocketAddr> = self.peers().map(|entry| entry.control).collect();
        self.uncontacted = self
            .roster
            .iter()
            .copied()
            .filter(|address| !live.contains(address) && Some(*address) != own)
            .collect();
        // Shuffled, so that nodes do not all contact the same few at once.
        self.uncontacted.shuffle(&mut self.rng);
        let steps = INTRODUCTION_TIME.as_micros() / self.tuning.tick.as_micros().max(1);
        let steps = usize::try_from(steps).unwrap_or(usize::MAX).max(1);
        self.introductions_per_step = self
            .uncontacted
            .len()
            .div_ceil(steps)
            .max(MIN_INTRODUCTIONS_PER_STEP);
        if self.completeness == Completeness::Growing && !is_growing {
            self.completeness = Completeness::Introducing(now);
        }
    }

    /// Sends introductions to nodes on the platform's list that are not known
    /// yet.
    ///
    /// When a whole fleet restarts, each node has only its own record, and
    /// converging by syncs takes many rounds, during which each node would
    /// maintain pools of its own. Introductions are exempt from the gossip budget
    /// and limited by the list: two datagrams for each address and reading. Nodes
    /// whose own introduction came first know this node from the answer.
    pub(super) fn send_introductions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut count = 0;
        while count < self.introductions_per_step
            && let Some(to) = self.uncontacted.pop()
        {
            if self.introduced.contains(&to) {
                continue;
            }
            count += 1;
            actions.push(self.introduction(to, false));
        }
        if self.uncontacted.is_empty() {
            self.introduced.clear();
        }
        self.update_completeness(now, count, actions);
    }

    /// Updates whether the view is complete: the list was read, and every node on it has
    /// had time to answer this node's introduction.
    fn update_completeness(&mut self, now: Time, sent: usize, actions: &mut Vec<Action>) {
        let Completeness::Introducing(since) = self.completeness else {
            return;
        };
        if sent > 0 || !self.uncontacted.is_empty() {
            self.completeness = Completeness::Introducing(now);
        } else if now.since(since) >= INTRODUCTION_TIMEOUT {
            self.completeness = Completeness::Complete;
            actions.push(Action::Publish);
        }
    }

    /// Answers an introduction; no introduction of this node's own is needed any more.
    pub(super) fn answer_introduction(&mut self, to: SocketAddr, actions: &mut Vec<Action>) {
        if !self.uncontacted.is_empty() {
            self.introduced.insert(to);
        }
        actions.push(self.introduction(to, true));
    }

    /// Returns an introduction with this node's record for the node at `to`.
    pub(super) fn introduction(&self, to: SocketAddr, answer: bool) -> Action {
        let me = vec![Update::Record(self.me.clone())];
        self.action(to, Body::Hello { answer }, me)
    }

    /// Sends the records that differ and, unless this is already the answer,
    /// requests those of the peer.
    pub(super) fn answer_sync(
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
        // When many nodes start at once, only few have records to share. Another
        // sync soon, with any peer, spreads the load over all nodes that know
        // some.
        self.due.sync = self.due.sync.min(now + RESYNC_DELAY);
        if !answer {
            self.send_digests(to, true, actions);
        }
        let start = self.rng.random_range(0..BUCKETS);
        let mut differing = [false; BUCKETS];
        let pairs = own.chunks(DIGEST_BYTES).zip(digests.chunks(DIGEST_BYTES));
        for (differs, (ours, theirs)) in differing.iter_mut().zip(pairs) {
            *differs = ours != theirs;
        }
        self.send_buckets(to, start, &differing, actions);
    }

    /// Sends the records of the buckets that differ, as far as the budget
    /// permits; the rest is sent by a later sync.
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
                self.send_exact(to, Body::Table, std::mem::take(&mut updates), actions);
                size = 0;
            }
            if self.budget == 0 {
                return;
            }
            size += update.size();
            updates.push(update);
        }
        if !updates.is_empty() {
            self.send_exact(to, Body::Table, updates, actions);
        }
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries
            .values()
            .map(|entry| &entry.record)
            .chain(std::iter::once(&self.me))
    }

    fn digests(&self) -> Vec<u8> {
        let mut digests = vec![0_u8; BUCKETS * DIGEST_BYTES];
        for record in self.records() {
            if record.member.state == State::Dead {
                continue;
            }
            let offset = bucket(&record.member.name) * DIGEST_BYTES;
            let digest = record.digest().to_be_bytes();
            for (sum, byte) in digests[offset..offset + DIGEST_BYTES]
                .iter_mut()
                .zip(digest)
            {
                *sum ^= byte;
            }
        }
        digests
    }
}
