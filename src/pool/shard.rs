//! Which pools a service has.
//!
//! A small service has one pool, which sees every slot. A large one has a pool
//! in each availability zone with endpoints: one small VM can decide on some
//! thousand messages a second, and 500 slots of short requests need that many.
//! A request that one pool can't place in time is tried at another.

use std::collections::BTreeMap;

use crate::catalog::{Catalog, Endpoint};
use crate::name::Name;

/// Slots above which a service has a pool in each zone. With 168 slots a pool
/// still uses its slots nearly as well as one that sees all of them.
const ONE_POOL_SLOTS: u32 = 200;
/// Separates the service from the zone in a pool's name; no service has it.
const MARK: char = '@';

/// A pool and how much of the service it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The pool's name.
    pub pool: Name,
    /// The slots of its endpoints.
    pub slots: u32,
}

/// The pools of a service.
pub fn shards(catalog: &Catalog, service: &Name) -> Vec<Shard> {
    let mut zones: BTreeMap<&Name, u32> = BTreeMap::new();
    for endpoint in catalog.endpoints.values() {
        if endpoint.service == *service && endpoint.ready {
            *zones.entry(&endpoint.zone).or_default() += endpoint.slots;
        }
    }
    let slots = zones.values().sum();
    if slots <= ONE_POOL_SLOTS || zones.len() < 2 {
        let pool = service.clone();
        return vec![Shard { pool, slots }];
    }
    zones
        .into_iter()
        .map(|(zone, slots)| Shard {
            pool: format!("{service}{MARK}{zone}").into(),
            slots,
        })
        .collect()
}

/// True when `endpoint` belongs to the pool of that name.
pub fn has(pool: &str, endpoint: &Endpoint) -> bool {
    match pool.split_once(MARK) {
        Some((service, zone)) => *endpoint.service == *service && *endpoint.zone == *zone,
        None => *endpoint.service == *pool,
    }
}

/// The zone that a pool is confined to.
pub fn zone(pool: &str) -> Option<&str> {
    pool.split_once(MARK).map(|(_, zone)| zone)
}

/// The pool that a request of a zone asks first: its own zone's, so that answers
/// cross no zone while that has room. A zone that has lost most of its endpoints
/// is asked no more than its share.
pub fn prefer(shards: &[Shard], own: &str, point: u64) -> Option<Name> {
    let near = shards.iter().find(|shard| zone(&shard.pool) == Some(own));
    let all: u32 = shards.iter().map(|shard| shard.slots).sum();
    let many = |shard: &&Shard| shard.slots as usize * shards.len() * 2 >= all as usize;
    match near.filter(many) {
        Some(near) => Some(near.pool.clone()),
        None => choose(shards, point, None),
    }
}

/// The pool for a request: by chance, in proportion to slots, but not `not`.
pub fn choose(shards: &[Shard], point: u64, not: Option<&Name>) -> Option<Name> {
    let candidates = || shards.iter().filter(|shard| Some(&shard.pool) != not);
    let total: u64 = candidates()
        .map(|shard| u64::from(shard.slots.max(1)))
        .sum();
    let mut point = point.checked_rem(total)?;
    for shard in candidates() {
        let slots = u64::from(shard.slots.max(1));
        if point < slots {
            return Some(shard.pool.clone());
        }
        point -= slots;
    }
    None
}
