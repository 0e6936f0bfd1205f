//! The choice of an endpoint in a pool of thousands, compared with a search through all of them.

#[path = "support/pool.rs"]
mod support;

use std::collections::BTreeMap;

use auburnspoke::name::Name;
use auburnspoke::pool::message::{Class, End, Requirements};
use auburnspoke::pool::{Action, Pool};
use googletest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use support::{SLOTS, at, key, needs, pool};

/// Endpoints of a zone at twice the size of the largest fleet.
const MANY: usize = 4_000;
/// Cost of an endpoint in another zone, in shares of its slots.
const ZONE_COST: f64 = 0.05;

fn grant(pool: &mut Pool, millis: u64, seq: u64, requirements: Requirements) -> Option<Name> {
    let mut actions = Vec::new();
    pool.acquire(at(millis), key(seq), requirements, &mut actions);
    pool.step(at(millis), &mut actions);
    actions.iter().find_map(|action| match action {
        Action::Grant(granted, endpoint) if *granted == key(seq) => Some(endpoint.id.clone()),
        _ => None,
    })
}

fn zone(id: &str) -> &'static str {
    let at: usize = id[1..].parse().unwrap();
    ["a", "b", "c"][at % 3]
}

/// Guards against an order of endpoints that no longer agrees with their loads.
#[gtest]
fn grant_least_loaded() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut pool = pool(9);
        let mut used: BTreeMap<Name, u32> = (0..9)
            .map(|at| (support::endpoint(at).id.clone(), 0))
            .collect();
        let mut held: Vec<(u64, Name)> = Vec::new();
        for seq in 1..600 {
            if !held.is_empty() && rng.random_bool(0.45) {
                let (seq, id) = held.swap_remove(rng.random_range(0..held.len()));
                pool.release(at(1), key(seq), End::Left);
                *used.get_mut(&id).unwrap() -= 1;
                continue;
            }
            let from = ["a", "b", "elsewhere"][rng.random_range(0..3)];
            let requirements = Requirements {
                zone: from.into(),
                ..needs(Class::Online, 5_000)
            };
            let score = |id: &Name, used: u32| {
                let cost = if zone(id) == from { 0.0 } else { ZONE_COST };
                f64::from(used) / f64::from(SLOTS) + cost
            };
            let free = used.iter().filter(|(_, used)| **used < SLOTS);
            let lowest = free
                .map(|(id, used)| score(id, *used))
                .min_by(f64::total_cmp);
            // All steps fall within one interval between sweeps, so no count is corrected.
            let id = grant(&mut pool, 1, seq, requirements);
            expect_that!(
                id.as_ref().map(|id| score(id, used[id])),
                eq(lowest),
                "seed {seed}"
            );
            match id {
                Some(id) => {
                    *used.get_mut(&id).unwrap() += 1;
                    held.push((seq, id));
                }
                None => pool.release(at(1), key(seq), End::Left),
            }
        }
    }
}

/// Guards against endpoints that never get work, or get more than they have slots.
#[gtest]
fn grant_all_slots_of_many() {
    let mut pool = pool(MANY);
    let slots = MANY as u64 * u64::from(SLOTS);
    let mut granted: BTreeMap<Name, u32> = BTreeMap::new();
    for seq in 1..=slots {
        let requirements = needs(Class::Online, 5_000);
        let id = grant(&mut pool, 1, seq, requirements).unwrap();
        *granted.entry(id).or_default() += 1;
    }
    expect_that!(granted.len(), eq(MANY));
    expect_true!(granted.values().all(|count| *count == SLOTS));
    expect_that!(
        grant(&mut pool, 1, slots + 1, needs(Class::Online, 5_000)),
        none()
    );
}

/// Requests that share a prefix go to the endpoints that have cached it.
#[gtest]
fn grant_cached_prefix() {
    let mut pool = pool(MANY);
    let requirements = |prefix| Requirements {
        prefix,
        ..needs(Class::Online, 5_000)
    };
    let first = grant(&mut pool, 1, 1, requirements(7)).unwrap();
    let other = grant(&mut pool, 1, 2, requirements(8)).unwrap();
    let again = grant(&mut pool, 1, 3, requirements(7)).unwrap();
    expect_that!(again, eq(&first));
    expect_that!(other, not(eq(&first)));
    pool.remove_endpoint(&first);
    let elsewhere = grant(&mut pool, 1, 4, requirements(7)).unwrap();
    expect_that!(elsewhere, not(eq(&first)));
}
