//! Requests that resume a stream and may run at one software version only.

#[path = "support/pool.rs"]
mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnspoke::catalog::endpoints::Endpoints;
use auburnspoke::catalog::{Catalog, Endpoint};
use auburnspoke::name::Name;
use auburnspoke::pool::message::{Class, Requirements};
use auburnspoke::pool::{Action, Pool, shard};
use googletest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use support::{SLOTS, at, key, needs};

/// Returns an endpoint with this software.
fn endpoint(at: usize, software: Option<&str>) -> Endpoint {
    Endpoint {
        software: software.map(Name::from),
        ..(*support::endpoint(at)).clone()
    }
}

/// Returns a pool in which every third endpoint has the version v2 and the others v1.
fn pool(endpoints: usize) -> Pool {
    let mut pool = support::pool(endpoints);
    for at in 0..endpoints {
        let software = ["v1", "v1", "v2"][at % 3];
        pool.put_endpoint(&Arc::new(endpoint(at, Some(software))));
    }
    pool
}

fn resume(class: Class, software: &str) -> Requirements {
    Requirements {
        software: Some(software.into()),
        ..needs(class, 5_000)
    }
}

fn acquire(pool: &mut Pool, millis: u64, seq: u64, requirements: Requirements) -> Vec<Action> {
    let mut actions = Vec::new();
    pool.acquire(at(millis), key(seq), requirements, &mut actions);
    pool.step(at(millis), &mut actions);
    actions
}

/// Returns the software of the endpoint that the request is granted.
fn granted(actions: &[Action], seq: u64) -> Option<Name> {
    actions.iter().find_map(|action| match action {
        Action::Grant(granted, endpoint) if *granted == key(seq) => endpoint.software.clone(),
        _ => None,
    })
}

fn is_refused(actions: &[Action], seq: u64) -> bool {
    let refuses = |it: &Action| matches!(it, Action::Refuse(refused, _) if *refused == key(seq));
    actions.iter().any(refuses)
}

/// Guards against a pool that grants a stream an endpoint of another version, also where the best
/// one, the one that has cached its prompt, or the only free one has that version.
#[gtest]
fn grant_own_version() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut pool = pool(9);
        for seq in 1..200 {
            let software = ["v1", "v2"][rng.random_range(0..2)];
            let requirements = Requirements {
                prefix: rng.random_range(0..4),
                ..resume(Class::Online, software)
            };
            let actions = acquire(&mut pool, 1, seq, requirements);
            let granted = granted(&actions, seq);
            expect_true!(granted.is_none_or(|it| *it == *software), "seed {seed}");
        }
        expect_that!(pool.gauge().held, eq(9 * usize::try_from(SLOTS).unwrap()));
    }
}

/// Guards against a caller that waits for a version that no endpoint has.
#[gtest]
fn refuse_version_gone() {
    let mut pool = pool(9);
    let actions = acquire(&mut pool, 1, 1, resume(Class::Online, "v3"));
    expect_true!(is_refused(&actions, 1));
    for id in [2, 5, 8] {
        pool.put_endpoint(&Arc::new(Endpoint {
            ready: false,
            ..endpoint(id, Some("v2"))
        }));
    }
    let actions = acquire(&mut pool, 2, 2, resume(Class::Online, "v2"));
    expect_true!(is_refused(&actions, 2));
    let actions = acquire(&mut pool, 3, 3, resume(Class::Online, "v1"));
    expect_that!(granted(&actions, 3), some(eq(&Name::from("v1"))));
}

/// Guards against a stream that gets no slot although batch work holds those of its version.
#[gtest]
fn preempt_own_version() {
    let mut pool = pool(9);
    let slots = 9 * u64::from(SLOTS);
    // A pool grants no batch work at first.
    acquire(&mut pool, 0, 999, needs(Class::Online, 5_000));
    for seq in 1..=slots {
        acquire(&mut pool, 1_000, seq, needs(Class::Batch, 5_000 + seq));
    }
    for seq in slots + 1..slots + 20 {
        acquire(&mut pool, 1_001, seq, needs(Class::Online, 5_000));
    }
    let actions = acquire(&mut pool, 1_002, 2_000, resume(Class::Online, "v2"));
    expect_that!(granted(&actions, 2_000), some(eq(&Name::from("v2"))));
}

/// Guards against an endpoint whose entry changes its version and that is still granted as the old
/// one.
#[gtest]
fn put_other_version() {
    let mut pool = Pool::default();
    pool.put_endpoint(&Arc::new(endpoint(0, Some("v1"))));
    pool.put_endpoint(&Arc::new(endpoint(0, Some("v2"))));
    let actions = acquire(&mut pool, 1, 1, resume(Class::Online, "v1"));
    expect_true!(is_refused(&actions, 1));
    let actions = acquire(&mut pool, 2, 2, resume(Class::Online, "v2"));
    expect_that!(granted(&actions, 2), some(eq(&Name::from("v2"))));
}

/// Guards against an endpoint without a version that counts as one of any.
#[gtest]
fn grant_version_missing() {
    let mut pool = Pool::default();
    pool.put_endpoint(&Arc::new(endpoint(0, None)));
    let actions = acquire(&mut pool, 1, 1, resume(Class::Online, "v1"));
    expect_true!(is_refused(&actions, 1));
}

/// Guards against a stream that is sent to a pool without endpoints of its version.
#[gtest]
fn with_software_one_zone() {
    let endpoints = (0..72).map(|at| {
        let software = if at % 3 == 1 { "v2" } else { "v1" };
        endpoint(at, Some(software))
    });
    let catalog = Catalog {
        endpoints: endpoints.collect(),
        ..Catalog::default()
    };
    let service = Name::from("s");
    let of = |software: &str| shard::with_software(&catalog, &service, &software.into());
    let pools: Vec<Name> = of("v2").into_iter().map(|shard| shard.pool).collect();
    expect_that!(pools, eq(&[Name::from("s@b")]));
    expect_that!(of("v1").len(), eq(2));
    expect_that!(of("v3"), is_empty());
}

/// Guards against slots by version that drift from those of the endpoints.
#[gtest]
fn slots_of_after_changes() {
    const VERSIONS: [Option<&str>; 3] = [Some("v1"), Some("v2"), None];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut endpoints = Endpoints::default();
    for _ in 0..3_000 {
        let at = rng.random_range(0..8);
        if rng.random_bool(0.4) {
            endpoints.remove(&support::endpoint(at).id);
        } else {
            endpoints.put(Arc::new(Endpoint {
                ready: rng.random_bool(0.6),
                ..endpoint(at, VERSIONS[rng.random_range(0..3)])
            }));
        }
        let mut counted: BTreeMap<Name, u32> = BTreeMap::new();
        for it in endpoints.values().filter(|it| it.ready) {
            if it.software.as_deref() == Some("v1") {
                *counted.entry(it.zone.clone()).or_default() += it.slots;
            }
        }
        let kept = endpoints.slots_of("s", &"v1".into()).cloned();
        assert_eq!(kept.unwrap_or_default(), counted);
        let mut versions: Vec<_> = endpoints.values().map(|it| it.software.clone()).collect();
        versions.sort();
        versions.dedup();
        let only = match &versions[..] {
            [Some(only)] => Some(only),
            _ => None,
        };
        assert_eq!(endpoints.only_software("s"), only);
    }
}
