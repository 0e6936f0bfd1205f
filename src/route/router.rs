//! Selection of an endpoint at one gateway.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::outlier::{Cause, Health, Verdict};
use super::pack::{self, Packing};
use super::prefix::Index;
use crate::clock::Time;
use crate::dispatch::Load;
use crate::name::Name;

/// Time to the first token that is assumed without samples, in microseconds.
const DEFAULT_FIRST_TOKEN_US: f64 = 60_000.0;
/// Cost of an endpoint in another zone, in microseconds.
const CROSS_ZONE_COST_US: f64 = 4_000.0;
/// Gain for each cached prompt token, which needs no prefill, in microseconds.
const CACHED_TOKEN_GAIN_US: f64 = 80.0;
/// Number of tokens in a prompt block.
const BLOCK_TOKENS: f64 = 16.0;
/// Maximum fraction of a service's endpoints that may be ejected at the same time.
const MAX_EJECTED: f64 = 0.34;
/// Time after which a load that was not updated no longer counts.
const LOAD_TTL: Duration = Duration::from_secs(5);
/// Delay of the first token by each batch sequence, in microseconds.
const BATCH_SEQUENCE_COST_US: f64 = 300.0;
/// How much higher the expected time to the first token must be on packed endpoints
/// than on another one before a request spills to it, in microseconds.
const SPILL_COST_US: f64 = 60_000.0;
/// Minimum interval between reductions of the number of packed endpoints.
const SHRINK_INTERVAL: Duration = Duration::from_secs(2);
/// Fraction of the target load below which the number of packed endpoints shrinks.
const SHRINK_THRESHOLD: f64 = 0.7;
/// Number of random draws before a linear scan.
const MAX_DRAWS: u32 = 3;
/// Interval between comparisons of peers.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);

/// An endpoint that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The services it answers.
    pub services: Vec<Name>,
}

/// A request for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Hashes of the prompt's leading blocks; may be empty.
    pub blocks: &'a [u64],
    /// Endpoints that have already been tried.
    pub tried: &'a [Name],
    /// True when the request can be retried, so that it may be used to probe an ejected
    /// endpoint.
    pub repeatable: bool,
}

/// The endpoint that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its name.
    pub endpoint: Name,
    /// True when it was ejected and this request probes whether it has recovered.
    pub probe: bool,
}

/// The endpoints of a service.
#[derive(Debug, Default)]
struct Group {
    all: Vec<u32>,
    /// Those in this gateway's zone.
    local: Vec<u32>,
    /// All endpoints, in the order in which every gateway packs them.
    order: Vec<u32>,
    /// How densely online requests are packed; `None` to spread them over all.
    packing: Option<Packing>,
    /// Number of endpoints in `order` that are packed.
    packed: usize,
    /// When that number last changed.
    resized: Time,
}

impl Group {
    /// Endpoints that online requests go to unless they are crowded.
    fn packed(&self) -> &[u32] {
        match self.packing {
            Some(_) => &self.order[..self.packed],
            None => &self.all,
        }
    }
}

#[derive(Debug)]
struct Endpoint {
    target: Target,
    load: Load,
    load_at: Time,
    /// Number of requests sent since `load` was recorded.
    since_load: u32,
    health: Health,
    /// Requests without a first token, by the time they were sent.
    waiting: BTreeSet<(Time, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    endpoint: u32,
    sent: Time,
    first: bool,
}

/// Chooses endpoints by the loads and latencies of earlier answers. Each traffic
/// thread has its own router, so that no choice takes a lock.
#[derive(Debug)]
pub struct Router {
    zone: Name,
    random: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    index: HashMap<Name, u32>,
    services: HashMap<Name, Group>,
    medians: HashMap<Name, f64>,
    attempts: HashMap<u64, Attempt>,
    prefixes: Index,
    reviewed: Time,
    ejections: Vec<(Name, Cause)>,
}

impl Router {
    /// Creates a router without endpoints, for a gateway in `zone`.
    pub fn new(zone: Name, seed: u64) -> Self {
        Self {
            zone,
            random: ChaCha8Rng::seed_from_u64(seed),
            endpoints: Vec::new(),
            index: HashMap::new(),
            services: HashMap::new(),
            medians: HashMap::new(),
            attempts: HashMap::new(),
            prefixes: Index::default(),
            reviewed: Time::ZERO,
            ejections: Vec::new(),
        }
    }

    /// Replaces the endpoints by those of a new configuration. The state of remaining
    /// endpoints is kept, and the indices of removed ones are not reused.
    pub fn update<T>(&mut self, targets: T)
    where
        T: IntoIterator<Item = Target>,
    {
        let before = std::mem::take(&mut self.services);
        for target in targets {
            let next = u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX);
            let at = *self.index.entry(Name::clone(&target.name)).or_insert(next);
            for service in &target.services {
                let group = self.services.entry(Name::clone(service)).or_default();
                group.all.push(at);
                if target.zone == self.zone {
                    group.local.push(at);
                }
            }
            match self.endpoints.get_mut(at as usize) {
                Some(endpoint) => endpoint.target = target,
                None => self.endpoints.push(Endpoint::new(target)),
            }
        }
        for (service, group) in &mut self.services {
            group.order = pack::order(service, &group.all, |at| {
                let target = &self.endpoints[at as usize].target;
                (&target.name, &target.zone)
            });
            if let Some(old) = before.get(service) {
                (group.packing, group.packed, group.resized) =
                    (old.packing, old.packed, old.resized);
            }
            group.packed = group.packed.clamp(1, group.order.len().max(1));
        }
    }

    /// Packs the online requests of a service onto as few endpoints as its
    /// `latency_weight` allows, which leaves the others to batch work.
    pub fn set_latency_weight(&mut self, service: &str, latency_weight: u32) {
        if let Some(group) = self.services.get_mut(service) {
            group.packing = Packing::new(latency_weight);
        }
    }

    /// Number of endpoints that the online requests of a service are packed onto.
    pub fn packed(&self, service: &str) -> usize {
        let group = self.services.get(service);
        group.map_or(0, |group| group.packed().len())
    }

    /// Chooses an endpoint, or returns `None` when the service has none left to try.
    pub fn pick(&mut self, now: Time, query: &Query<'_>) -> Option<Choice> {
        self.review(now);
        let (first_draw, second_draw) = (self.random.random(), self.random.random());
        let group = self.services.get(query.service)?;
        if query.repeatable
            && let Some(at) = self.probe(now, &group.all, query)
        {
            self.endpoints[at as usize].health.start_probe(now);
            return Some(self.choice(at, true));
        }
        let cached_choice = self.prefixes.longest(query.blocks).map(|(at, _)| at);
        let cached_choice =
            cached_choice.filter(|at| group.packed().contains(at) && self.is_eligible(*at, query));
        let first = match group.packing {
            Some(_) => self.sample(group.packed(), first_draw, query, None),
            None => self.sample(&group.local, first_draw, query, None),
        };
        let second = self.sample(group.packed(), second_draw, query, first);
        let spill = match group.packing {
            Some(_) => self.sample(&group.all, first_draw ^ second_draw, query, first),
            None => None,
        };
        let best = [
            (cached_choice, 0.0),
            (first, 0.0),
            (second, 0.0),
            (spill, SPILL_COST_US),
        ]
        .into_iter()
        .filter_map(|(at, extra)| at.map(|at| (self.cost(now, at, query) + extra, at)))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, at)| at);
        // If all eligible endpoints have been tried, an ejected one is better than none.
        let rest = || group.all.iter().copied().find(|at| !self.tried(*at, query));
        let best = best.or_else(rest)?;
        Some(self.choice(best, false))
    }

    /// Records that a request was sent. `id` is chosen by the caller and identifies the
    /// attempt.
    pub fn sent(&mut self, now: Time, id: u64, endpoint: &str, blocks: &[u64]) {
        let Some(&at) = self.index.get(endpoint) else {
            return;
        };
        let record = &mut self.endpoints[at as usize];
        record.since_load += 1;
        record.waiting.insert((now, id));
        let attempt = Attempt {
            endpoint: at,
            sent: now,
            first: true,
        };
        self.attempts.insert(id, attempt);
        for block in blocks {
            self.prefixes.store(*block, at);
        }
    }

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, now: Time, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if !attempt.first {
            return;
        }
        attempt.first = false;
        let attempt = *attempt;
        let endpoint = &mut self.endpoints[attempt.endpoint as usize];
        endpoint.waiting.remove(&(attempt.sent, id));
        let peers = peers(&self.medians, &endpoint.target);
        let took = now.since(attempt.sent);
        endpoint.health.record_first_token(now, took, peers);
    }

    /// Records the end of an attempt, with the `load` that the answer carried.
    pub fn ended(&mut self, now: Time, id: u64, verdict: Verdict, load: Option<Load>) {
        if verdict == Verdict::Good {
            self.first_token(now, id);
        }
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let endpoint = &mut self.endpoints[attempt.endpoint as usize];
        endpoint.waiting.remove(&(attempt.sent, id));
        match verdict {
            Verdict::Failed => endpoint.health.record_failure(now),
            Verdict::Full | Verdict::Withdrawn if attempt.first => endpoint.health.reprobe(now),
            _ => {}
        }
        match load {
            Some(load) => endpoint.set_load(now, load),
            None => endpoint.since_load = endpoint.since_load.saturating_sub(1),
        }
    }

    /// Records a load that arrived with a first token or on its own.
    pub fn record_load(&mut self, now: Time, endpoint: &str, load: Load) {
        if let Some(&at) = self.index.get(endpoint) {
            self.endpoints[at as usize].set_load(now, load);
        }
    }

    /// Records a cache event of an endpoint.
    pub fn record_cache_event(&mut self, endpoint: &str, block: u64, stored: bool) {
        match self.index.get(endpoint) {
            Some(&at) if stored => self.prefixes.store(block, at),
            Some(&at) => self.prefixes.evict(block, at),
            None => {}
        }
    }

    /// True when the endpoint is known and not ejected.
    pub fn is_healthy(&self, endpoint: &str) -> bool {
        let found = self.index.get(endpoint);
        found.is_some_and(|at| self.endpoints[*at as usize].health.is_healthy())
    }

    /// Returns the endpoints ejected since the last call, for the log.
    pub fn take_ejections(&mut self) -> Vec<(Name, Cause)> {
        std::mem::take(&mut self.ejections)
    }

    fn choice(&self, at: u32, probe: bool) -> Choice {
        Choice {
            endpoint: Name::clone(&self.endpoints[at as usize].target.name),
            probe,
        }
    }

    fn tried(&self, at: u32, query: &Query<'_>) -> bool {
        query
            .tried
            .contains(&self.endpoints[at as usize].target.name)
    }

    fn is_eligible(&self, at: u32, query: &Query<'_>) -> bool {
        self.endpoints[at as usize].health.is_healthy() && !self.tried(at, query)
    }

    fn probe(&self, now: Time, all: &[u32], query: &Query<'_>) -> Option<u32> {
        let is_due = |at: &u32| self.endpoints[*at as usize].health.wants_probe(now);
        all.iter()
            .copied()
            .find(|at| is_due(at) && !self.tried(*at, query))
    }

    /// Returns a random eligible endpoint out of `all`.
    fn sample(
        &self,
        all: &[u32],
        random: u64,
        query: &Query<'_>,
        excluded: Option<u32>,
    ) -> Option<u32> {
        let eligible = |at: &u32| Some(*at) != excluded && self.is_eligible(*at, query);
        let len = all.len() as u64;
        if len == 0 {
            return None;
        }
        // Repeated draws keep the share of an ineligible endpoint from going to its
        // neighbour alone. The linear scan finds an eligible one if there is any.
        let position = |draw: u32| {
            let mixed = random.rotate_left(draw * 16) % len;
            usize::try_from(mixed).unwrap_or(0)
        };
        let drawn = (0..MAX_DRAWS)
            .map(|draw| all[position(draw)])
            .find(eligible);
        drawn.or_else(|| {
            let (before, after) = all.split_at(position(0));
            after.iter().chain(before).copied().find(eligible)
        })
    }

    /// Median time to the first token of a service, in microseconds.
    fn median_us(&self, query: &Query<'_>) -> f64 {
        let median = self.medians.get(query.service).copied();
        median.unwrap_or(DEFAULT_FIRST_TOKEN_US)
    }

    /// Expected time to the first token, in microseconds.
    fn cost(&self, now: Time, at: u32, query: &Query<'_>) -> f64 {
        let endpoint = &self.endpoints[at as usize];
        let pending = endpoint.pending(now);
        // A stale high value would keep the endpoint from being chosen and so from ever
        // getting a newer one.
        let fresh = now.since(endpoint.load_at) < LOAD_TTL;
        let base = match endpoint.load.first_token_us {
            micros if fresh && micros > 0 => f64::from(micros),
            _ => self.median_us(query),
        };
        let slots = f64::from(endpoint.load.slots.max(1));
        let zone = if endpoint.target.zone == self.zone {
            0.0
        } else {
            CROSS_ZONE_COST_US
        };
        let cached_blocks = self.prefixes.cached_blocks(query.blocks, at) as f64;
        let batch = f64::from(endpoint.load.batch) * BATCH_SEQUENCE_COST_US;
        let cached = cached_blocks * BLOCK_TOKENS * CACHED_TOKEN_GAIN_US;
        base * (1.0 + 4.0 * pending / slots.max(8.0)) + zone + batch - cached
    }

    /// Adapts the number of packed endpoints: increases it at once when they get crowded
    /// and reduces it slowly, so that the next burst finds enough of them.
    fn resize(&mut self, now: Time) {
        for group in self.services.values_mut() {
            let Some(packing) = group.packing else {
                continue;
            };
            let pending: f64 = group
                .all
                .iter()
                .map(|at| self.endpoints[*at as usize].pending(now))
                .sum();
            let needed = packing.endpoints_needed(pending, group.order.len());
            if needed > group.packed {
                group.packed = needed;
                group.resized = now;
            } else if now.since(group.resized) >= SHRINK_INTERVAL
                && pending < packing.target * SHRINK_THRESHOLD * (group.packed - 1) as f64
            {
                group.packed -= 1;
                group.resized = now;
            }
        }
    }

    /// Compares the endpoints of each service and ejects outliers, up to a limit. When
    /// many endpoints look unhealthy the fault is elsewhere, and ejecting all of them
    /// would put their load on the few that are left.
    fn review(&mut self, now: Time) {
        if now.since(self.reviewed) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed = now;
        self.resize(now);
        for (service, Group { all, .. }) in &self.services {
            let mut means: Vec<f64> = all
                .iter()
                .filter_map(|at| self.endpoints[*at as usize].health.mean_us())
                .collect();
            means.sort_by(f64::total_cmp);
            let median = means.get(means.len() / 2).copied();
            if let Some(median) = median {
                self.medians.insert(Name::clone(service), median);
            }
            let is_unhealthy = |at: &u32| !self.endpoints[*at as usize].health.is_healthy();
            let ejected = all.iter().filter(|at| is_unhealthy(at)).count();
            let mut left = max_ejected(all.len()).saturating_sub(ejected);
            for at in all {
                let endpoint = &mut self.endpoints[*at as usize];
                if left == 0 || !endpoint.health.is_healthy() {
                    continue;
                }
                let oldest = endpoint.waiting.first().map(|(sent, _)| *sent);
                if let Some(cause) = endpoint.health.detect_fault(now, median, oldest) {
                    endpoint.health.eject(now);
                    left -= 1;
                    let name = Name::clone(&endpoint.target.name);
                    self.ejections.push((name, cause));
                }
            }
        }
    }
}

impl Endpoint {
    fn new(target: Target) -> Self {
        Self {
            target,
            load: Load::default(),
            load_at: Time::ZERO,
            since_load: 0,
            health: Health::default(),
            waiting: BTreeSet::new(),
        }
    }

    fn set_load(&mut self, now: Time, load: Load) {
        self.load = load;
        self.load_at = now;
        self.since_load = 0;
    }

    /// Estimated number of online requests at the endpoint, weighing queued ones double.
    fn pending(&self, now: Time) -> f64 {
        let fresh = now.since(self.load_at) < LOAD_TTL;
        let reported = if fresh {
            self.load.online + 2 * self.load.queued
        } else {
            0
        };
        f64::from(reported + self.since_load)
    }
}

/// Maximum number of `count` endpoints that may be ejected at the same time.
fn max_ejected(count: usize) -> usize {
    if count < 2 {
        return 0;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // A small share.
    let share = (count as f64 * MAX_EJECTED) as usize;
    share.max(1)
}

fn peers(medians: &HashMap<Name, f64>, target: &Target) -> Option<f64> {
    let service = target.services.first()?;
    medians.get(service).copied()
}
