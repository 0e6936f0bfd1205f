//! The choice of an endpoint at one gateway.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::outlier::{Cause, Record, Verdict};
use super::pack::{self, Packing};
use super::prefix::Index;
use crate::clock::Time;
use crate::dispatch::Load;
use crate::name::Name;

/// First-token time that is assumed before anything is known, in microseconds.
const DEFAULT_FIRST_TOKEN_US: f64 = 60_000.0;
/// What the longer way to another zone counts, in microseconds.
const ZONE_US: f64 = 4_000.0;
/// What each token that need not be computed again counts, in microseconds.
const CACHED_TOKEN_US: f64 = 80.0;
/// Tokens of one block of a prompt.
const BLOCK_TOKENS: f64 = 16.0;
/// Share of a service's endpoints that may be ejected at the same time.
const MAX_EJECTED: f64 = 0.34;
/// After this time without news a load is taken to have gone back to normal.
const LOAD_FADES: Duration = Duration::from_secs(5);
/// What each batch sequence adds until the first token, in microseconds.
const BATCH_US: f64 = 300.0;
/// How much later a first token must seem on packed endpoints than on another
/// one before a question spills, in microseconds.
const SPILL_US: f64 = 60_000.0;
/// How often the number of packed endpoints may shrink.
const SHRINK_EVERY: Duration = Duration::from_secs(2);
/// Part of the target below which the number of packed endpoints shrinks.
const SHRINK_BELOW: f64 = 0.7;
/// Draws before the endpoints are gone through one by one.
const DRAWS: u32 = 3;
/// How often peers are compared.
const REVIEW: Duration = Duration::from_millis(200);

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

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Hashes of the prompt's leading blocks; may be empty.
    pub blocks: &'a [u64],
    /// Endpoints that were tried already.
    pub tried: &'a [Name],
    /// True when the request may be sent again, so that it may also serve to
    /// probe an ejected endpoint.
    pub repeatable: bool,
}

/// The endpoint that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its name.
    pub endpoint: Name,
    /// True when it was ejected and this request shows whether it recovered.
    pub probe: bool,
}

/// The endpoints of a service.
#[derive(Debug, Default)]
struct Pool {
    all: Vec<u32>,
    /// Those in this gateway's zone.
    local: Vec<u32>,
    /// All, in the order in which every gateway packs questions.
    order: Vec<u32>,
    /// How closely questions are packed; none to spread them over all.
    packing: Option<Packing>,
    /// How many of `order` are packed now.
    packed: usize,
    /// When that was last changed.
    resized: Time,
}

impl Pool {
    /// Those that questions go to unless they are crowded.
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
    /// Sent since `load` was taken.
    since_load: u32,
    health: Record,
    /// Questions without a first token, by when they were sent.
    waiting: BTreeSet<(Time, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    endpoint: u32,
    sent: Time,
    first: bool,
}

/// Chooses endpoints by what earlier answers told. One for each traffic
/// thread, so that no choice takes a lock.
#[derive(Debug)]
pub struct Router {
    zone: Name,
    random: ChaCha8Rng,
    endpoints: Vec<Endpoint>,
    index: HashMap<Name, u32>,
    services: HashMap<Name, Pool>,
    medians: HashMap<Name, f64>,
    flights: HashMap<u64, Flight>,
    prefixes: Index,
    reviewed: Time,
    ejections: Vec<(Name, Cause)>,
}

impl Router {
    /// A router of a gateway in `zone` that knows no endpoint yet.
    pub fn new(zone: Name, seed: u64) -> Self {
        Self {
            zone,
            random: ChaCha8Rng::seed_from_u64(seed),
            endpoints: Vec::new(),
            index: HashMap::new(),
            services: HashMap::new(),
            medians: HashMap::new(),
            flights: HashMap::new(),
            prefixes: Index::default(),
            reviewed: Time::ZERO,
            ejections: Vec::new(),
        }
    }

    /// Takes the endpoints of a new configuration; what is known of those that
    /// stay is kept, as is the place of those that go.
    pub fn update<T>(&mut self, targets: T)
    where
        T: IntoIterator<Item = Target>,
    {
        let before = std::mem::take(&mut self.services);
        for target in targets {
            let next = u32::try_from(self.endpoints.len()).unwrap_or(u32::MAX);
            let at = *self.index.entry(Name::clone(&target.name)).or_insert(next);
            for service in &target.services {
                let pool = self.services.entry(Name::clone(service)).or_default();
                pool.all.push(at);
                if target.zone == self.zone {
                    pool.local.push(at);
                }
            }
            match self.endpoints.get_mut(at as usize) {
                Some(endpoint) => endpoint.target = target,
                None => self.endpoints.push(Endpoint::new(target)),
            }
        }
        for (service, pool) in &mut self.services {
            pool.order = pack::order(service, &pool.all, |at| {
                let target = &self.endpoints[at as usize].target;
                (&target.name, &target.zone)
            });
            if let Some(old) = before.get(service) {
                (pool.packing, pool.packed, pool.resized) = (old.packing, old.packed, old.resized);
            }
            pool.packed = pool.packed.clamp(1, pool.order.len().max(1));
        }
    }

    /// Packs the questions of a service onto as few endpoints as its
    /// `latency_weight` bears, so that the others are all for batch work.
    pub fn set_latency_weight(&mut self, service: &str, latency_weight: u32) {
        if let Some(pool) = self.services.get_mut(service) {
            pool.packing = Packing::new(latency_weight);
        }
    }

    /// How many endpoints the questions of a service are packed onto.
    pub fn packed(&self, service: &str) -> usize {
        let pool = self.services.get(service);
        pool.map_or(0, |pool| pool.packed().len())
    }

    /// Chooses an endpoint, or none when the service has none left to try.
    pub fn pick(&mut self, now: Time, query: &Query<'_>) -> Option<Choice> {
        self.review(now);
        let (near, far) = (self.random.random(), self.random.random());
        let pool = self.services.get(query.service)?;
        if query.repeatable
            && let Some(at) = self.probe(now, &pool.all, query)
        {
            self.endpoints[at as usize].health.probe(now);
            return Some(self.choice(at, true));
        }
        let guess = self.prefixes.longest(query.blocks).map(|(at, _)| at);
        let guess = guess.filter(|at| pool.packed().contains(at) && self.may_take(*at, query));
        let first = match pool.packing {
            Some(_) => self.sample(pool.packed(), near, query, None),
            None => self.sample(&pool.local, near, query, None),
        };
        let second = self.sample(pool.packed(), far, query, first);
        let spill = match pool.packing {
            Some(_) => self.sample(&pool.all, near ^ far, query, first),
            None => None,
        };
        let best = [(guess, 0.0), (first, 0.0), (second, 0.0), (spill, SPILL_US)]
            .into_iter()
            .filter_map(|(at, extra)| at.map(|at| (self.cost(now, at, query) + extra, at)))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, at)| at);
        // Every endpoint ejected and tried is still better than no answer.
        let rest = || pool.all.iter().copied().find(|at| !self.tried(*at, query));
        let best = best.or_else(rest)?;
        Some(self.choice(best, false))
    }

    /// A request was sent. `id` is the caller's choice and names the flight.
    pub fn sent(&mut self, now: Time, id: u64, endpoint: &str, blocks: &[u64]) {
        let Some(&at) = self.index.get(endpoint) else {
            return;
        };
        let record = &mut self.endpoints[at as usize];
        record.since_load += 1;
        record.waiting.insert((now, id));
        let flight = Flight {
            endpoint: at,
            sent: now,
            first: true,
        };
        self.flights.insert(id, flight);
        for block in blocks {
            self.prefixes.store(*block, at);
        }
    }

    /// Its first token came.
    pub fn first_token(&mut self, now: Time, id: u64) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if !flight.first {
            return;
        }
        flight.first = false;
        let flight = *flight;
        let endpoint = &mut self.endpoints[flight.endpoint as usize];
        endpoint.waiting.remove(&(flight.sent, id));
        let peers = peers(&self.medians, &endpoint.target);
        let took = now.since(flight.sent);
        endpoint.health.first_token(now, took, peers);
    }

    /// It ended; `load` came back with the answer.
    pub fn ended(&mut self, now: Time, id: u64, verdict: Verdict, load: Option<Load>) {
        if verdict == Verdict::Good {
            self.first_token(now, id);
        }
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let endpoint = &mut self.endpoints[flight.endpoint as usize];
        endpoint.waiting.remove(&(flight.sent, id));
        match verdict {
            Verdict::Failed => endpoint.health.fail(now),
            Verdict::Full | Verdict::Withdrawn if flight.first => endpoint.health.unclear(now),
            _ => {}
        }
        match load {
            Some(load) => endpoint.take(now, load),
            None => endpoint.since_load = endpoint.since_load.saturating_sub(1),
        }
    }

    /// A load came back with a first token or on its own.
    pub fn record_load(&mut self, now: Time, endpoint: &str, load: Load) {
        if let Some(&at) = self.index.get(endpoint) {
            self.endpoints[at as usize].take(now, load);
        }
    }

    /// A cache event of an endpoint arrived.
    pub fn record_cache_event(&mut self, endpoint: &str, block: u64, stored: bool) {
        match self.index.get(endpoint) {
            Some(&at) if stored => self.prefixes.store(block, at),
            Some(&at) => self.prefixes.evict(block, at),
            None => {}
        }
    }

    /// True when the endpoint gets its share of traffic.
    pub fn is_healthy(&self, endpoint: &str) -> bool {
        let found = self.index.get(endpoint);
        found.is_some_and(|at| self.endpoints[*at as usize].health.is_healthy())
    }

    /// Endpoints ejected since the last call, for the log.
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

    fn may_take(&self, at: u32, query: &Query<'_>) -> bool {
        self.endpoints[at as usize].health.is_healthy() && !self.tried(at, query)
    }

    fn probe(&self, now: Time, all: &[u32], query: &Query<'_>) -> Option<u32> {
        let wants = |at: &u32| self.endpoints[*at as usize].health.wants_probe(now);
        all.iter()
            .copied()
            .find(|at| wants(at) && !self.tried(*at, query))
    }

    /// One of `all` that may be taken, drawn at random.
    fn sample(&self, all: &[u32], random: u64, query: &Query<'_>, not: Option<u32>) -> Option<u32> {
        let may = |at: &u32| Some(*at) != not && self.may_take(*at, query);
        let len = all.len() as u64;
        if len == 0 {
            return None;
        }
        // Drawing again keeps the share of one that can't be taken from going
        // to its neighbour alone; the scan after that always finds one.
        let place = |draw: u32| {
            let mixed = random.rotate_left(draw * 16) % len;
            usize::try_from(mixed).unwrap_or(0)
        };
        let drawn = (0..DRAWS).map(|draw| all[place(draw)]).find(may);
        drawn.or_else(|| {
            let (before, after) = all.split_at(place(0));
            after.iter().chain(before).copied().find(may)
        })
    }

    /// The median first-token time of a service, in microseconds.
    fn usual_us(&self, query: &Query<'_>) -> f64 {
        let median = self.medians.get(query.service).copied();
        median.unwrap_or(DEFAULT_FIRST_TOKEN_US)
    }

    /// Expected time to the first token, in microseconds.
    fn cost(&self, now: Time, at: u32, query: &Query<'_>) -> f64 {
        let endpoint = &self.endpoints[at as usize];
        let ahead = endpoint.ahead(now);
        // An old figure would keep an endpoint from ever getting a newer one.
        let fresh = now.since(endpoint.load_at) < LOAD_FADES;
        let base = match endpoint.load.first_token_us {
            micros if fresh && micros > 0 => f64::from(micros),
            _ => self.usual_us(query),
        };
        let slots = f64::from(endpoint.load.slots.max(1));
        let zone = if endpoint.target.zone == self.zone {
            0.0
        } else {
            ZONE_US
        };
        let held = self.prefixes.held(query.blocks, at) as f64;
        let batch = f64::from(endpoint.load.batch) * BATCH_US;
        let cached = held * BLOCK_TOKENS * CACHED_TOKEN_US;
        base * (1.0 + 4.0 * ahead / slots.max(8.0)) + zone + batch - cached
    }

    /// Packs onto more endpoints at once when they get crowded, and onto fewer
    /// slowly, so that a burst finds the room that the last one made.
    fn resize(&mut self, now: Time) {
        for pool in self.services.values_mut() {
            let Some(packing) = pool.packing else {
                continue;
            };
            let ahead: f64 = pool
                .all
                .iter()
                .map(|at| self.endpoints[*at as usize].ahead(now))
                .sum();
            let wanted = packing.wanted(ahead, pool.order.len());
            if wanted > pool.packed {
                pool.packed = wanted;
                pool.resized = now;
            } else if now.since(pool.resized) >= SHRINK_EVERY
                && ahead < packing.target * SHRINK_BELOW * (pool.packed - 1) as f64
            {
                pool.packed -= 1;
                pool.resized = now;
            }
        }
    }

    /// Compares the endpoints of each service and ejects the worst, up to the
    /// bound: when many look ill the fault is elsewhere, and ejecting them all
    /// would put their load on the few that are left.
    fn review(&mut self, now: Time) {
        if now.since(self.reviewed) < REVIEW {
            return;
        }
        self.reviewed = now;
        self.resize(now);
        for (service, Pool { all, .. }) in &self.services {
            let mut means: Vec<f64> = all
                .iter()
                .filter_map(|at| self.endpoints[*at as usize].health.mean_us())
                .collect();
            means.sort_by(f64::total_cmp);
            let median = means.get(means.len() / 2).copied();
            if let Some(median) = median {
                self.medians.insert(Name::clone(service), median);
            }
            let ill = |at: &u32| !self.endpoints[*at as usize].health.is_healthy();
            let ejected = all.iter().filter(|at| ill(at)).count();
            let mut left = bound(all.len()).saturating_sub(ejected);
            for at in all {
                let endpoint = &mut self.endpoints[*at as usize];
                if left == 0 || !endpoint.health.is_healthy() {
                    continue;
                }
                let oldest = endpoint.waiting.first().map(|(sent, _)| *sent);
                if let Some(cause) = endpoint.health.fault(now, median, oldest) {
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
            health: Record::default(),
            waiting: BTreeSet::new(),
        }
    }

    fn take(&mut self, now: Time, load: Load) {
        self.load = load;
        self.load_at = now;
        self.since_load = 0;
    }

    /// Questions there, as far as is known.
    fn ahead(&self, now: Time) -> f64 {
        let fresh = now.since(self.load_at) < LOAD_FADES;
        let told = if fresh {
            self.load.online + 2 * self.load.queued
        } else {
            0
        };
        f64::from(told + self.since_load)
    }
}

/// How many of `count` endpoints may be ejected at the same time.
fn bound(count: usize) -> usize {
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
