//! The endpoints of one pool, indexed by load and by cached prefix, so that finding the best one
//! takes the same time however many there are.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::candidate::{Candidate, zone_cost};
use super::message::{Class, Requirements};
use crate::catalog::Endpoint;
use crate::clock::Time;
use crate::name::Name;

/// Largest number of endpoints that are looked up by one prefix. A prefix shared by all requests
/// is soon cached everywhere, and any of a few tens of endpoints is as good as the others.
const MAX_HOLDERS: usize = 32;

/// Position of a ready endpoint in the order of load: its load as the bits of a number that is
/// not negative, which sort like the number, then its tie-break.
type Position = (u64, u64, Name);

/// Endpoints among which only load decides: their availability zone and the version of their
/// software.
type Group = (Name, Option<Name>);

/// The endpoints of one pool.
#[derive(Debug)]
pub(super) struct Candidates {
    /// Seed of the tie-break between endpoints with equal scores.
    salt: u64,
    by_id: BTreeMap<Name, Candidate>,
    /// The ready endpoints by group, in order of load.
    by_load: BTreeMap<Group, BTreeSet<Position>>,
    by_prefix: HashMap<u64, Vec<Name>>,
    /// Slots of the ready endpoints.
    slots: u32,
    /// The same by version of their software.
    slots_by_software: BTreeMap<Option<Name>, u32>,
    /// Those that are not in use, also where an endpoint is paused or on trial.
    unused: u32,
    /// Endpoints that may be paused or on trial.
    impaired: BTreeSet<Name>,
}

impl Candidates {
    pub(super) fn new(salt: u64) -> Self {
        Self {
            salt,
            by_id: BTreeMap::new(),
            by_load: BTreeMap::new(),
            by_prefix: HashMap::new(),
            slots: 0,
            slots_by_software: BTreeMap::new(),
            unused: 0,
            impaired: BTreeSet::new(),
        }
    }

    pub(super) fn get(&self, id: &Name) -> Option<&Candidate> {
        self.by_id.get(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, &Candidate)> {
        self.by_id.iter()
    }

    /// Slots of the ready endpoints.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Slots of the ready endpoints that a request may run at.
    pub(super) fn slots_for(&self, requirements: &Requirements) -> u32 {
        if requirements.software.is_none() {
            return self.slots;
        }
        let slots = self.slots_by_software.get(&requirements.software);
        slots.copied().unwrap_or_default()
    }

    /// True if some ready endpoint that a request may run at `is_allowed`.
    pub(super) fn any<A>(&self, requirements: &Requirements, is_allowed: A) -> bool
    where
        A: Fn(&Name) -> bool,
    {
        self.groups(requirements)
            .any(|(_, by_load)| by_load.iter().any(|(_, _, id)| is_allowed(id)))
    }

    /// Returns the zone and the ready endpoints of the groups that a request may run at.
    fn groups<'a>(
        &'a self,
        requirements: &'a Requirements,
    ) -> impl Iterator<Item = (&'a Name, &'a BTreeSet<Position>)> {
        self.by_load
            .iter()
            .filter(|((_, software), _)| requirements.accepts(software.as_ref()))
            .map(|((zone, _), by_load)| (zone, by_load))
    }

    /// Slots that can be granted now.
    pub(super) fn free(&self, now: Time) -> u32 {
        let impaired = self.impaired.iter().filter_map(|id| self.by_id.get(id));
        let withheld: u32 = impaired.map(|it| it.unused() - it.free(now)).sum();
        self.unused.saturating_sub(withheld)
    }

    /// Adds an endpoint, or updates it. Returns true when its process has restarted.
    pub(super) fn put(&mut self, endpoint: &Arc<Endpoint>) -> bool {
        let id = &endpoint.id;
        let Some(mut candidate) = self.take(id) else {
            self.insert(Candidate::new(Arc::clone(endpoint)));
            return false;
        };
        let restarted = candidate.incarnation_differs(endpoint);
        if restarted {
            self.forget_prefixes(&candidate);
        }
        candidate.update(endpoint);
        self.insert(candidate);
        restarted
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, id: &Name) {
        if let Some(candidate) = self.take(id) {
            self.forget_prefixes(&candidate);
        }
    }

    /// Changes the state of an endpoint. Returns what `change` returns; none if there is no such
    /// endpoint.
    pub(super) fn update<C, R>(&mut self, id: &Name, change: C) -> Option<R>
    where
        C: FnOnce(&mut Candidate) -> R,
    {
        let mut candidate = self.take(id)?;
        let result = change(&mut candidate);
        self.insert(candidate);
        Some(result)
    }

    /// Forgets which endpoints were paused, where the pause has ended.
    pub(super) fn expire_pauses(&mut self, now: Time) {
        let by_id = &self.by_id;
        self.impaired.retain(|id| {
            let candidate = by_id.get(id);
            candidate.is_some_and(|it| it.free(now) < it.unused())
        });
    }

    /// Sets the slots in use: online and batch by endpoint, none where an endpoint is missing.
    pub(super) fn set_used(&mut self, used: &BTreeMap<Name, (u32, u32)>) {
        let count = |id: &Name| used.get(id).copied().unwrap_or_default();
        let differing = self
            .by_id
            .iter()
            .filter(|(id, candidate)| (candidate.online, candidate.batch) != count(id))
            .map(|(id, _)| id.clone());
        for id in differing.collect::<Vec<_>>() {
            let (online, batch) = count(&id);
            self.update(&id, |candidate| {
                candidate.online = online;
                candidate.batch = batch;
            });
        }
    }

    /// Records that an endpoint has cached the prefix of a prompt.
    pub(super) fn remember_prefix(&mut self, id: &Name, prefix: u64) {
        let Some(candidate) = self.by_id.get_mut(id) else {
            return;
        };
        if prefix == 0 || candidate.has_prefix(prefix) {
            return;
        }
        let holders = self.by_prefix.entry(prefix).or_default();
        if holders.len() >= MAX_HOLDERS {
            return;
        }
        holders.push(id.clone());
        if let Some(dropped) = candidate.remember_prefix(prefix) {
            self.forget_prefix(dropped, id);
        }
    }

    /// Returns the endpoint with the lowest score for a request, and then the lowest tie-break,
    /// among those with a free slot that `is_allowed`. `extra_cost` is added to the scores.
    pub(super) fn best<A, C>(
        &self,
        now: Time,
        requirements: &Requirements,
        is_allowed: A,
        extra_cost: C,
    ) -> Option<Name>
    where
        A: Fn(&Name) -> bool,
        C: Fn(&Name) -> f64,
    {
        let mut best: Option<(f64, u64, &Name)> = None;
        let mut consider = |id| {
            let Some(candidate) = self.by_id.get(id) else {
                return best;
            };
            let is_accepted = requirements.accepts(candidate.endpoint.software.as_ref());
            if candidate.free(now) == 0 || !is_accepted || !is_allowed(id) {
                return best;
            }
            let score = candidate.score(requirements) + extra_cost(id);
            let tie = self.tie_break(id);
            if best.is_none_or(|(lowest, lowest_tie, _)| (score, tie) < (lowest, lowest_tie)) {
                best = Some((score, tie, id));
            }
            best
        };
        if requirements.class == Class::Online {
            let holders = self.by_prefix.get(&requirements.prefix);
            for id in holders.into_iter().flatten() {
                consider(id);
            }
        }
        for (zone, by_load) in self.groups(requirements) {
            let cost = zone_cost(zone, requirements);
            for (load, tie, id) in by_load {
                let best = consider(id);
                // No later endpoint has a lower score, except those with the prefix.
                let least = f64::from_bits(*load) + cost;
                if best.is_some_and(|(score, best_tie, _)| (least, *tie) >= (score, best_tie)) {
                    break;
                }
            }
        }
        best.map(|(_, _, id)| id.clone())
    }

    /// Returns a pseudo-random number that is stable for each endpoint.
    pub(super) fn tie_break(&self, id: &Name) -> u64 {
        xxh3_64_with_seed(id.as_bytes(), self.salt)
    }

    fn position(&self, candidate: &Candidate) -> Position {
        let id = candidate.endpoint.id.clone();
        (candidate.load().to_bits(), self.tie_break(&id), id)
    }

    /// Takes an endpoint out of the map and of the order of load.
    fn take(&mut self, id: &Name) -> Option<Candidate> {
        let candidate = self.by_id.remove(id)?;
        self.impaired.remove(id);
        if candidate.slots() > 0 {
            self.slots -= candidate.slots();
            self.unused -= candidate.unused();
            let position = self.position(&candidate);
            let group = group(&candidate);
            if let Some(by_load) = self.by_load.get_mut(&group) {
                by_load.remove(&position);
                if by_load.is_empty() {
                    self.by_load.remove(&group);
                }
            }
            let (_, software) = group;
            if let Some(slots) = self.slots_by_software.get_mut(&software) {
                *slots -= candidate.slots();
                if *slots == 0 {
                    self.slots_by_software.remove(&software);
                }
            }
        }
        Some(candidate)
    }

    fn insert(&mut self, candidate: Candidate) {
        let id = candidate.endpoint.id.clone();
        if candidate.is_impaired() {
            self.impaired.insert(id.clone());
        }
        if candidate.slots() > 0 {
            self.slots += candidate.slots();
            self.unused += candidate.unused();
            let position = self.position(&candidate);
            let group = group(&candidate);
            let slots = self.slots_by_software.entry(group.1.clone()).or_default();
            *slots += candidate.slots();
            self.by_load.entry(group).or_default().insert(position);
        }
        self.by_id.insert(id, candidate);
    }

    fn forget_prefixes(&mut self, candidate: &Candidate) {
        for prefix in candidate.prefixes() {
            self.forget_prefix(prefix, &candidate.endpoint.id);
        }
    }

    fn forget_prefix(&mut self, prefix: u64, id: &Name) {
        if let Some(holders) = self.by_prefix.get_mut(&prefix) {
            holders.retain(|holder| holder != id);
            if holders.is_empty() {
                self.by_prefix.remove(&prefix);
            }
        }
    }
}

fn group(candidate: &Candidate) -> Group {
    let endpoint = &candidate.endpoint;
    (endpoint.zone.clone(), endpoint.software.clone())
}
