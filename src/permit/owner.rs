//! Selection of the member that owns a pool, from one node's view.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{Hash as _, Hasher as _};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Time;
use crate::member::{Member, View};
use crate::name::Name;
use crate::pool::shard;
use crate::snapshot::Cell;

/// Maximum number of members that are tried as the owner of a pool, in order of rank.
const MAX_OWNERS: usize = 4;
/// Interval between probes of a silent member. No request waits for the probe, and all
/// gateways return to the member within this interval. While only some have returned,
/// two members own the same pool or coordinate the same limit.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a silent member that does not answer probes is dropped, as it may
/// have left.
const SILENT_TTL: Duration = Duration::from_secs(10);

/// Maximum number of members of the ring that are looked at for one choice.
const MAX_STEPS: usize = 24;

#[derive(Clone, Copy, Debug)]
struct Silent {
    since: Time,
    probed: Time,
}

/// A member that may own a pool.
#[derive(Clone, Debug)]
struct Candidate {
    address: SocketAddr,
    zone: Name,
    is_strong: bool,
}

/// The owner that a node uses for a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The owner.
    pub owner: SocketAddr,
    /// True if it replaces members of higher rank, which do not answer.
    pub passed_over: bool,
    /// True if no other candidate answers.
    pub others_silent: bool,
}

/// The members that may own each pool, and those that do not answer.
#[derive(Debug)]
pub struct Owners {
    view: Arc<Cell<View>>,
    /// The port that pools listen on, the same on every node.
    port: u16,
    /// The view that `candidates` and `ranked` were computed from.
    ranked_view: Option<Arc<View>>,
    /// The members that may own a pool.
    candidates: Vec<Candidate>,
    /// All members by the hash of their address, in order.
    ring: Vec<(u64, Candidate)>,
    /// Owners by pool, in order of rank.
    ranked: HashMap<Name, Vec<SocketAddr>>,
    /// Members that do not answer and are skipped.
    silent: HashMap<SocketAddr, Silent>,
}

impl Owners {
    /// Creates an instance without silent members.
    pub fn new(view: Arc<Cell<View>>, port: u16) -> Self {
        Self {
            view,
            port,
            ranked_view: None,
            candidates: Vec::new(),
            ring: Vec::new(),
            ranked: HashMap::new(),
            silent: HashMap::new(),
        }
    }

    /// Records an answer of a member; returns true if it was silent before.
    pub fn mark_alive(&mut self, owner: SocketAddr) -> bool {
        self.silent.remove(&owner).is_some()
    }

    /// Records that a member did not answer. Membership is told of it once, as it may be lost.
    pub fn mark_silent(&mut self, now: Time, owner: SocketAddr) {
        let silent = Silent {
            since: now,
            probed: now,
        };
        if let Entry::Vacant(entry) = self.silent.entry(owner) {
            entry.insert(silent);
            self.view.read().reporter.silent(owner.ip());
        }
    }

    /// Returns the silent members that are due for a probe.
    pub fn probes(&mut self, now: Time) -> Vec<SocketAddr> {
        self.silent
            .retain(|_, silent| now.since(silent.since) < SILENT_TTL);
        let mut due = Vec::new();
        for (owner, silent) in &mut self.silent {
            if now.since(silent.probed) >= PROBE_INTERVAL {
                silent.probed = now;
                due.push(*owner);
            }
        }
        due
    }

    /// Returns when the next probe is due, if any member is silent.
    pub fn next_probe(&self) -> Option<Time> {
        let silent = self.silent.values();
        silent.map(|it| it.probed + PROBE_INTERVAL).min()
    }

    /// Returns the owner of a pool in this node's view.
    pub fn owner(&mut self, pool: &Name) -> Option<SocketAddr> {
        self.choose(pool).map(|choice| choice.owner)
    }

    /// Returns the owner of a pool in this node's view, and whether silent members were passed
    /// over for it.
    pub fn choose(&mut self, pool: &Name) -> Option<Choice> {
        self.rank(pool);
        let owners = self.ranked.get(pool)?;
        let first = owners.first()?;
        let is_silent = |owner: &SocketAddr| self.silent.contains_key(owner);
        let owner = owners.iter().find(|owner| !is_silent(owner));
        let owner = *owner.unwrap_or(first);
        let others = owners.iter().filter(|other| **other != owner);
        let silent = others.filter(|other| is_silent(other)).count();
        Some(Choice {
            owner,
            passed_over: owner != *first,
            others_silent: silent + 1 >= MAX_OWNERS,
        })
    }

    /// Returns the first candidate for a pool's owner that is not at `own` and not silent.
    pub fn witness(&mut self, pool: &Name, own: IpAddr) -> Option<SocketAddr> {
        self.rank(pool);
        let mut owners = self.ranked.get(pool)?.iter();
        owners
            .find(|owner| owner.ip() != own && !self.silent.contains_key(*owner))
            .copied()
    }

    /// Returns the address at which the member with this IP address receives messages.
    pub fn at(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port)
    }

    /// Returns the `count` members that follow `point` on the ring, at first one of each
    /// availability zone, so that the loss of a zone leaves the others.
    pub fn nearest(&mut self, point: u64, count: usize) -> Vec<SocketAddr> {
        self.refresh();
        let first = self.ring.partition_point(|(hash, _)| *hash < point);
        let (before, after) = self.ring.split_at(first);
        let mut nearest = Vec::with_capacity(count);
        let mut passed_over = Vec::new();
        let mut zones: Vec<&Name> = Vec::new();
        for (_, member) in after.iter().chain(before).take(MAX_STEPS) {
            if nearest.len() == count {
                break;
            }
            if zones.contains(&&member.zone) {
                passed_over.push(member.address);
            } else {
                zones.push(&member.zone);
                nearest.push(member.address);
            }
        }
        nearest.extend(passed_over);
        nearest.truncate(count);
        nearest
    }

    /// Takes over the members of the current view.
    fn refresh(&mut self) {
        let view = self.view.load();
        let is_current = |ranked: &Arc<View>| Arc::ptr_eq(ranked, &view);
        if self.ranked_view.as_ref().is_some_and(is_current) {
            return;
        }
        self.ranked.clear();
        self.candidates = candidates(&view, self.port);
        self.ring = ring(&view, self.port);
        self.ranked_view = Some(view);
    }

    /// Ranks a pool's candidates, unless this is done for the current view.
    fn rank(&mut self, pool: &Name) {
        self.refresh();
        let candidates = &self.candidates;
        if !self.ranked.contains_key(pool) {
            let owners = rank_all(candidates, pool);
            self.ranked.insert(pool.clone(), owners);
        }
    }
}

/// Returns the members that may own a pool: those with at least half the power of the strongest
/// one, or all if these are too few to replace each other.
fn candidates(view: &View, port: u16) -> Vec<Candidate> {
    let strongest = view.usable().map(|member| member.power).max().unwrap_or(0);
    let is_strong = |member: &Member| u32::from(member.power) * 2 >= u32::from(strongest);
    let has_enough = view.usable().filter(|member| is_strong(member)).count() >= MAX_OWNERS;
    view.usable()
        .filter(|member| !has_enough || is_strong(member))
        .filter_map(|member| candidate(member, port, is_strong(member)))
        .collect()
}

fn candidate(member: &Member, port: u16, is_strong: bool) -> Option<Candidate> {
    let control: SocketAddr = member.control.parse().ok()?;
    Some(Candidate {
        address: SocketAddr::new(control.ip(), port),
        zone: member.zone.clone(),
        is_strong,
    })
}

/// Returns all members in the order of the hash of their address. Keeping what began a stream
/// takes little of a weak member.
fn ring(view: &View, port: u16) -> Vec<(u64, Candidate)> {
    let candidates = view
        .usable()
        .filter_map(|member| candidate(member, port, true));
    let mut ring: Vec<_> = candidates
        .map(|candidate| {
            let mut hasher = Xxh3::new();
            candidate.address.hash(&mut hasher);
            (hasher.finish(), candidate)
        })
        .collect();
    ring.sort_unstable_by_key(|(hash, candidate)| (*hash, candidate.address));
    ring.dedup_by_key(|(_, candidate)| candidate.address);
    ring
}

/// Returns the members that may own a pool, in order of rank. Members with at least half
/// the power of the strongest one come first, and among them those in the pool's zone.
fn rank_all(candidates: &[Candidate], pool: &Name) -> Vec<SocketAddr> {
    let zone = shard::zone(pool);
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|candidate| {
            let near = zone.is_none_or(|zone| *candidate.zone == *zone);
            let owner = candidate.address;
            (candidate.is_strong, near, rank(pool, &owner), owner)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup_by_key(|(_, _, _, owner)| *owner);
    ranked.truncate(MAX_OWNERS);
    ranked.into_iter().map(|(_, _, _, owner)| owner).collect()
}

/// Rendezvous hash of `owner` for `pool`; the highest wins.
fn rank(pool: &Name, owner: &SocketAddr) -> u64 {
    let mut hasher = Xxh3::new();
    pool.hash(&mut hasher);
    owner.hash(&mut hasher);
    hasher.finish()
}
