//! The registry of endpoints, under late, lost and reordered changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use auburnspoke::catalog::Endpoint;
use auburnspoke::catalog::registry::{Entry, Export, Registry};
use auburnspoke::clock::Time;
use auburnspoke::wire;
use googletest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

fn entry(id: &str, version: u64, ready: bool) -> Entry {
    Entry {
        id: id.into(),
        version,
        endpoint: Some(Endpoint {
            id: id.into(),
            service: "s".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: "a".into(),
            slots: 8,
            ready,
            incarnation: 0,
            software: None,
        }),
    }
}

fn removed(id: &str, version: u64) -> Entry {
    Entry {
        id: id.into(),
        version,
        endpoint: None,
    }
}

fn ids(registry: &Registry) -> Vec<String> {
    registry
        .endpoints()
        .values()
        .map(|endpoint| endpoint.id.to_string())
        .collect()
}

#[gtest]
fn apply_new_and_removed() {
    let mut registry = Registry::default();
    expect_that!(registry.apply(at(0), entry("a", 3, true)), eq(true));
    expect_that!(registry.apply(at(1), removed("a", 4)), eq(true));
    expect_that!(ids(&registry), is_empty());
}

/// A lagging replica of the store returns an endpoint that has left. A request sent there would
/// be aborted or refused.
#[gtest]
fn apply_outdated() {
    let mut registry = Registry::default();
    registry.apply(at(0), entry("a", 3, true));
    registry.apply(at(1), entry("a", 5, false));
    expect_that!(registry.apply(at(2), entry("a", 3, true)), eq(false));
    expect_that!(registry.endpoints().get("a").unwrap().ready, eq(false));
    registry.apply(at(3), removed("a", 6));
    expect_that!(registry.apply(at(4), entry("a", 5, true)), eq(false));
    expect_that!(ids(&registry), is_empty());
}

/// The store is unavailable for longer than the TTL of endpoints' entries. After its recovery all
/// entries are missing for a moment; a node that removed the endpoints at once would refuse
/// every request although every endpoint works.
#[gtest]
fn replace_lapsed_while_store_away() {
    let mut registry = Registry::default();
    registry.apply(at(0), entry("a", 3, true));
    registry.apply(at(0), entry("b", 4, true));
    registry.store_failed(at(5_000));
    registry.replace(at(5_100), Vec::new(), 9);
    expect_that!(ids(&registry), elements_are![eq("a"), eq("b")]);
    registry.apply(at(6_000), entry("a", 10, true));
    expect_that!(registry.expire(at(7_001)), eq(true));
    expect_that!(ids(&registry), elements_are![eq("a")]);
}

/// An endpoint announces that it is leaving, and its entry is removed while the store is
/// unstable. It must not be kept as if it might register again.
#[gtest]
fn replace_leaving_while_store_away() {
    let mut registry = Registry::default();
    registry.apply(at(0), entry("a", 3, false));
    registry.store_failed(at(5_000));
    registry.replace(at(5_100), Vec::new(), 9);
    expect_that!(ids(&registry), is_empty());
}

/// While the store is available, a removed entry takes effect immediately.
#[gtest]
fn replace_removed_store_available() {
    let mut registry = Registry::default();
    registry.apply(at(0), entry("a", 3, true));
    registry.replace(at(100), Vec::new(), 9);
    expect_that!(ids(&registry), is_empty());
}

/// A complete list that was read before an endpoint registered must not remove it.
#[gtest]
fn replace_older_than_entry() {
    let mut registry = Registry::default();
    registry.apply(at(0), entry("a", 12, true));
    registry.replace(at(1), Vec::new(), 9);
    expect_that!(ids(&registry), elements_are![eq("a")]);
}

/// Entries from a peer are applied by version, in any order.
#[gtest]
fn entries_to_peer() {
    let mut registry = Registry::default();
    registry.apply(at(0), entry("a", 3, true));
    registry.apply(at(0), entry("b", 4, true));
    registry.apply(at(1), removed("b", 7));
    let mut peer = Registry::default();
    peer.apply(at(0), entry("b", 4, true));
    for entry in registry.entries() {
        peer.apply(at(2), entry);
    }
    expect_that!(ids(&peer), elements_are![eq("a")]);
}

/// An endpoint is lost while the store is unavailable. One node has removed it; another one, which
/// noticed the store's recovery later, still has it and sends its entry to the first one. If the
/// first node added it again, the endpoint would get requests until the node restarts.
#[gtest]
fn expire_not_readded() {
    let mut registry = Registry::default();
    registry.apply(at(0), entry("a", 3, true));
    registry.store_failed(at(5_000));
    registry.replace(at(5_100), Vec::new(), 9);
    let mut late = Registry::default();
    late.apply(at(0), entry("a", 3, true));
    expect_that!(registry.expire(at(7_001)), eq(true));
    for entry in late.entries() {
        registry.apply(at(7_100), entry);
    }
    expect_that!(ids(&registry), is_empty());
}

/// A node keeps an expired entry for the grace period, and sends it to a peer that the store
/// refuses. When that peer later reads the removal from the store, it must apply it.
#[gtest]
fn entries_lapsed_to_peer() {
    let mut registry = Registry::default();
    registry.apply(at(0), entry("a", 3, true));
    registry.store_failed(at(5_000));
    registry.replace(at(5_100), Vec::new(), 9);
    let mut peer = Registry::default();
    peer.apply(at(0), entry("a", 3, true));
    for entry in registry.entries() {
        peer.apply(at(5_200), entry);
    }
    expect_that!(ids(&peer), elements_are![eq("a")]);
    peer.apply(at(8_000), removed("a", 9));
    expect_that!(ids(&peer), is_empty());
}

/// Several nodes receive entries from the store, in order, late or not at all, and from each
/// other, while the store fails and recovers. Once it has answered all of them for a while, each
/// node must have exactly the store's endpoints; a leftover one would get requests although it
/// was removed.
#[gtest]
fn book_any_order() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut log: Vec<Entry> = Vec::new();
        let mut heard = [0; 3];
        let mut registries = [
            Registry::default(),
            Registry::default(),
            Registry::default(),
        ];
        let mut now = 0;
        for _ in 0..60 {
            now += random.random_range(1..700);
            let one = random.random_range(0..3);
            let version = log.len() as u64 + 1;
            let id = ["a", "b", "c", "d"][random.random_range(0..4)];
            match random.random_range(0..8) {
                0 => log.push(entry(id, version, true)),
                1 => log.push(entry(id, version, false)),
                2 => log.push(removed(id, version)),
                3 => registries[one].store_failed(at(now)),
                4 => {
                    registries[one].replace(at(now), present(&log), log.len() as u64);
                    heard[one] = log.len();
                }
                5 => {
                    for entry in log.iter().skip(heard[one]) {
                        registries[one].apply(at(now), entry.clone());
                    }
                    heard[one] = log.len();
                }
                6 => {
                    for entry in registries[(one + 1) % 3].entries() {
                        registries[one].apply(at(now), entry);
                    }
                }
                _ => {
                    registries[one].expire(at(now));
                }
            }
        }
        // The store has recovered, and nodes that it had refused still exchange their entries.
        let expected: Vec<String> = present(&log).iter().map(|it| it.id.to_string()).collect();
        for one in 0..3 {
            for entry in log.iter().skip(heard[one]) {
                registries[one].apply(at(now), entry.clone());
            }
        }
        now += 2_100;
        for one in 0..3 {
            registries[one].expire(at(now));
            let entries = registries[(one + 1) % 3].entries();
            for entry in entries {
                registries[one].apply(at(now), entry);
            }
            registries[one].expire(at(now));
        }
        for registry in &registries {
            expect_that!(ids(registry), eq(&expected), "seed {seed}");
        }
    }
}

/// Returns the store's entries after these changes.
fn present(log: &[Entry]) -> Vec<Entry> {
    let mut rows = BTreeMap::new();
    for entry in log {
        match entry.endpoint {
            Some(_) => rows.insert(entry.id.clone(), entry.clone()),
            None => rows.remove(&entry.id),
        };
    }
    rows.into_values().collect()
}

/// Endpoints restart all day, each time with a new id. The number of tombstones must be bounded.
#[gtest]
fn apply_many_removed() {
    let mut registry = Registry::default();
    for number in 0..5_000 {
        registry.apply(at(0), entry(&format!("e{number}"), number * 2 + 1, true));
        registry.apply(at(0), removed(&format!("e{number}"), number * 2 + 2));
    }
    expect_that!(registry.entries().len(), le(4_096));
    // A late entry of a recently removed endpoint is still detected as outdated.
    expect_that!(
        registry.apply(at(1), entry("e4999", 9_999, true)),
        eq(false)
    );
}

#[gtest]
fn refuse_unreadable_entry() {
    // The entry of a live endpoint is overwritten by one that can't be decoded, just after the
    // store was unavailable. What listens there now is unknown; requests that were still sent
    // there would fail, or reach another service.
    let mut registry = Registry::default();
    let ids = |registry: &Registry| registry.endpoints().len();
    registry.replace(at(0), vec![entry("a", 1, true), entry("b", 2, true)], 2);
    registry.store_failed(at(100));
    registry.refuse(&"a".into(), 5);
    expect_that!(ids(&registry), eq(1));
    // Its older entry, which a peer still sends, does not add it again.
    registry.apply(at(200), entry("a", 4, true));
    expect_that!(ids(&registry), eq(1));
    // A newer entry of its own does.
    registry.apply(at(300), entry("a", 6, true));
    expect_that!(ids(&registry), eq(2));
    // An undecodable entry that is outdated has no effect.
    registry.refuse(&"a".into(), 5);
    expect_that!(ids(&registry), eq(2));
}

/// Guards against sending all endpoints, megabytes of a large fleet, to each node that the store
/// turns away, several times per second.
#[gtest]
fn export_to_current_peer() {
    let mut registry = Registry::default();
    let entries = (0..10_000).map(|at| entry(&format!("e{at}"), at + 1, true));
    registry.replace(at(0), entries.collect(), 10_000);
    registry.apply(at(1), entry("new", 10_001, true));
    registry.apply(at(1), removed("e1", 10_002));
    registry.advance(10_002);
    let export = registry.export(10_000);
    expect_false!(export.is_whole);
    expect_that!(export.entries.len(), eq(2));
    let mut peer = Registry::default();
    peer.import(at(2), registry.export(0));
    expect_that!(ids(&peer), eq(&ids(&registry)));
}

/// Guards against endpoints that a peer keeps forever, because the tombstones of a release of the
/// whole fleet were dropped before it asked.
#[gtest]
fn export_after_large_release() {
    let mut registry = Registry::default();
    let entries = |from: u64| (from..from + 9_000).map(|at| entry(&format!("e{at}"), at + 1, true));
    registry.replace(at(0), entries(0).collect(), 9_000);
    let mut peer = Registry::default();
    peer.import(at(0), registry.export(0));
    for number in 0..9_000 {
        registry.apply(at(1), removed(&format!("e{number}"), 20_000 + number));
    }
    for released in entries(30_000) {
        registry.apply(at(1), released);
    }
    registry.advance(40_000);
    peer.import(at(2), registry.export(peer.table_version()));
    expect_that!(ids(&peer), eq(&ids(&registry)));
}

/// Guards against endpoints that come back: an entry that is older than the changes already
/// applied belongs to an endpoint that was removed since.
#[gtest]
fn apply_older_than_changes() {
    let mut registry = Registry::default();
    registry.advance(50);
    expect_that!(registry.apply(at(0), entry("a", 40, true)), eq(false));
    expect_that!(registry.apply(at(0), entry("b", 51, true)), eq(true));
}

/// Guards against a table that outgrows a frame, so that nodes which the store turns away get none:
/// twice the endpoints of the largest fleet have to fit.
#[gtest]
fn export_fits_frame() {
    let mut registry = Registry::default();
    let whole = (0..20_000).map(|number| {
        let mut entry = entry(&format!("i-{number:010}"), number + 1, true);
        if let Some(endpoint) = &mut entry.endpoint {
            endpoint.service = "a-language-model".into();
            endpoint.zone = "availability-zone".into();
            endpoint.incarnation = 1_800_000_000_000;
        }
        entry
    });
    registry.replace(at(0), whole.collect(), 20_000);
    let export = registry.export(0);
    let bytes = wire::encode(&export).unwrap();
    expect_that!(bytes.len(), lt(wire::MAX_FRAME_BYTES / 2));
    let decoded: Export = wire::decode(&bytes).unwrap();
    expect_that!(decoded, eq(&export));
}
