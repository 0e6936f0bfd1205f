//! Sharding of a service into pools.
//!
//! A small service has one pool with all of its slots. A large one has a pool per
//! availability zone with endpoints: a small VM can handle about a thousand messages
//! per second, and 500 slots of short requests generate that many. A request that one
//! pool can't serve in time is tried at another.

use crate::catalog::{Catalog, Endpoint};
use crate::name::Name;

/// Number of slots above which a service has a pool per zone. A pool of 168 slots uses
/// them nearly as efficiently as a single pool of all slots would.
const MAX_SINGLE_POOL_SLOTS: u32 = 200;
/// Separator between the service and the zone in a pool's name. Names of services do
/// not contain it.
const ZONE_SEPARATOR: char = '@';

/// A pool and its size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The pool's name.
    pub pool: Name,
    /// The slots of its endpoints.
    pub slots: u32,
}

/// Returns the pools of a service.
pub fn shards(catalog: &Catalog, service: &Name) -> Vec<Shard> {
    let single = |slots| {
        let pool = service.clone();
        vec![Shard { pool, slots }]
    };
    let Some(zones) = catalog.endpoints.slots(service) else {
        return single(0);
    };
    let slots = zones.values().sum();
    if slots <= MAX_SINGLE_POOL_SLOTS || zones.len() < 2 {
        return single(slots);
    }
    zones
        .iter()
        .map(|(zone, slots)| Shard {
            pool: format!("{service}{ZONE_SEPARATOR}{zone}").into(),
            slots: *slots,
        })
        .collect()
}

/// Returns those of a service's pools that have endpoints with this software, with their slots.
pub fn with_software(catalog: &Catalog, service: &Name, software: &Name) -> Vec<Shard> {
    let Some(zones) = catalog.endpoints.slots_of(service, software) else {
        return Vec::new();
    };
    let slots = |shard: &Shard| match zone(&shard.pool) {
        Some(zone) => zones.get(zone).copied().unwrap_or_default(),
        None => zones.values().sum(),
    };
    let shards = shards(catalog, service).into_iter();
    let shards = shards.map(|shard| Shard {
        slots: slots(&shard),
        ..shard
    });
    shards.filter(|shard| shard.slots > 0).collect()
}

/// True when `endpoint` belongs to `pool`.
pub fn contains(pool: &str, endpoint: &Endpoint) -> bool {
    match pool.split_once(ZONE_SEPARATOR) {
        Some((service, zone)) => *endpoint.service == *service && *endpoint.zone == *zone,
        None => *endpoint.service == *pool,
    }
}

/// Returns the zone that a pool is restricted to, if any.
pub fn zone(pool: &str) -> Option<&str> {
    pool.split_once(ZONE_SEPARATOR).map(|(_, zone)| zone)
}

/// Returns the pool that a request from a zone tries first: the one of its own zone, so
/// that answers do not cross zones while it has free slots. A pool that has lost most of
/// its endpoints gets no more than its proportional share.
pub fn choose_near(shards: &[Shard], own: &str, point: u64) -> Option<Name> {
    let near = shards.iter().find(|shard| zone(&shard.pool) == Some(own));
    let all: u32 = shards.iter().map(|shard| shard.slots).sum();
    let is_large = |shard: &&Shard| shard.slots as usize * shards.len() * 2 >= all as usize;
    match near.filter(is_large) {
        Some(near) => Some(near.pool.clone()),
        None => choose(shards, point, None),
    }
}

/// Returns a pool other than `excluded`, drawn by `point` in proportion to slots.
pub fn choose(shards: &[Shard], point: u64, excluded: Option<&Name>) -> Option<Name> {
    let candidates = || shards.iter().filter(|shard| Some(&shard.pool) != excluded);
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
