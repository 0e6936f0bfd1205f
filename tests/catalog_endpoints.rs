//! The immutable map of endpoints: what a change costs, and the slots by zone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use auburnspoke::catalog::Endpoint;
use auburnspoke::catalog::endpoints::{Difference, Endpoints};
use googletest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ENDPOINTS: usize = 20_000;

fn endpoint(at: usize, ready: bool) -> Endpoint {
    Endpoint {
        id: format!("i-{at:05}").into(),
        service: ["s", "t"][at % 2].into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: format!("z{}", at % 5).into(),
        slots: 7,
        ready,
        incarnation: 0,
        software: None,
    }
}

/// Guards against work for every endpoint whenever one of them changes: while a fleet is
/// released, each node is told of changes several times per second.
#[gtest]
fn changes_since_few() {
    let old: Endpoints = (0..ENDPOINTS).map(|at| endpoint(at, true)).collect();
    let mut new = old.clone();
    expect_true!(new.is_same(&old));
    new.put(Arc::new(endpoint(7, false)));
    new.remove("i-00008");
    expect_false!(new.is_same(&old));
    let changes: Vec<Difference<'_>> = new.changes_since(&old).collect();
    expect_that!(
        changes,
        eq(&[
            Difference::Put(&Arc::new(endpoint(7, false))),
            Difference::Removed(&"i-00008".into()),
        ])
    );
    expect_that!(old.len(), eq(ENDPOINTS));
}

/// Guards against slots that drift from those of the endpoints, so that requests are sent to
/// pools without endpoints.
#[gtest]
fn slots_after_changes() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut endpoints = Endpoints::default();
    for _ in 0..5_000 {
        let at = rng.random_range(0..50);
        if rng.random_bool(0.3) {
            endpoints.remove(&endpoint(at, true).id);
        } else {
            endpoints.put(Arc::new(endpoint(at, rng.random_bool(0.7))));
        }
        for service in ["s", "t"] {
            let mut counted = BTreeMap::new();
            let ready = endpoints.values().filter(|it| it.ready);
            for it in ready.filter(|it| *it.service == *service) {
                *counted.entry(it.zone.clone()).or_insert(0) += it.slots;
            }
            let kept = endpoints.slots(service).cloned().unwrap_or_default();
            assert_eq!(kept, counted);
        }
    }
}
