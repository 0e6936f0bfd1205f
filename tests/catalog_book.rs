//! Which endpoints a node takes for present, out of late and lost news.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use auburnspoke::catalog::Endpoint;
use auburnspoke::catalog::registry::{Entry, Registry};
use auburnspoke::clock::Time;
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

fn ids(book: &Registry) -> Vec<String> {
    book.endpoints().keys().map(ToString::to_string).collect()
}

#[gtest]
fn apply_new_and_removed() {
    let mut book = Registry::default();
    expect_that!(book.apply(at(0), entry("a", 3, true)), eq(true));
    expect_that!(book.apply(at(1), removed("a", 4)), eq(true));
    expect_that!(ids(&book), is_empty());
}

/// A copy of the store that is behind tells of an endpoint which has left. A
/// request sent there would be cut short or refused.
#[gtest]
fn apply_older_news() {
    let mut book = Registry::default();
    book.apply(at(0), entry("a", 3, true));
    book.apply(at(1), entry("a", 5, false));
    expect_that!(book.apply(at(2), entry("a", 3, true)), eq(false));
    expect_that!(book.endpoints()["a"].ready, eq(false));
    book.apply(at(3), removed("a", 6));
    expect_that!(book.apply(at(4), entry("a", 5, true)), eq(false));
    expect_that!(ids(&book), is_empty());
}

/// The store is away for longer than endpoints' entries live. When it is back
/// all entries are gone for a moment; a node that believed it would refuse every
/// request although every endpoint works.
#[gtest]
fn replace_lapsed_while_store_away() {
    let mut book = Registry::default();
    book.apply(at(0), entry("a", 3, true));
    book.apply(at(0), entry("b", 4, true));
    book.store_failed(at(5_000));
    book.replace(at(5_100), Vec::new(), 9);
    expect_that!(ids(&book), elements_are![eq("a"), eq("b")]);
    book.apply(at(6_000), entry("a", 10, true));
    expect_that!(book.expire(at(7_001)), eq(true));
    expect_that!(ids(&book), elements_are![eq("a")]);
}

/// An endpoint says that it leaves, and its entry goes while the store is
/// shaky. It must not be kept as if it might come back.
#[gtest]
fn replace_leaving_while_store_away() {
    let mut book = Registry::default();
    book.apply(at(0), entry("a", 3, false));
    book.store_failed(at(5_000));
    book.replace(at(5_100), Vec::new(), 9);
    expect_that!(ids(&book), is_empty());
}

/// Nothing was wrong with the store, so an entry that goes is gone at once.
#[gtest]
fn replace_removed_calm() {
    let mut book = Registry::default();
    book.apply(at(0), entry("a", 3, true));
    book.replace(at(100), Vec::new(), 9);
    expect_that!(ids(&book), is_empty());
}

/// A whole reading that began before an endpoint registered must not remove it.
#[gtest]
fn replace_older_than_entry() {
    let mut book = Registry::default();
    book.apply(at(0), entry("a", 12, true));
    book.replace(at(1), Vec::new(), 9);
    expect_that!(ids(&book), elements_are![eq("a")]);
}

/// What one node tells another that can't reach the store is taken by version,
/// whatever the order.
#[gtest]
fn entries_to_peer() {
    let mut book = Registry::default();
    book.apply(at(0), entry("a", 3, true));
    book.apply(at(0), entry("b", 4, true));
    book.apply(at(1), removed("b", 7));
    let mut peer = Registry::default();
    peer.apply(at(0), entry("b", 4, true));
    for entry in book.entries() {
        peer.apply(at(2), entry);
    }
    expect_that!(ids(&peer), elements_are![eq("a")]);
}

/// An endpoint is lost while the store is away. One node has given it up; another,
/// which heard the store's return later, still keeps it and tells the first one
/// of it. Taken back, it would get requests for as long as the node lives,
/// although its entry went long ago.
#[gtest]
fn expire_not_told_again() {
    let mut book = Registry::default();
    book.apply(at(0), entry("a", 3, true));
    book.store_failed(at(5_000));
    book.replace(at(5_100), Vec::new(), 9);
    let mut late = Registry::default();
    late.apply(at(0), entry("a", 3, true));
    expect_that!(book.expire(at(7_001)), eq(true));
    for entry in late.entries() {
        book.apply(at(7_100), entry);
    }
    expect_that!(ids(&book), is_empty());
}

/// A node keeps an entry that lapsed, in case it comes back, and tells it to a
/// node that the store turns away. That one later reads that the entry was
/// removed; it must believe it, however the news came.
#[gtest]
fn entries_lapsed_to_peer() {
    let mut book = Registry::default();
    book.apply(at(0), entry("a", 3, true));
    book.store_failed(at(5_000));
    book.replace(at(5_100), Vec::new(), 9);
    let mut peer = Registry::default();
    peer.apply(at(0), entry("a", 3, true));
    for entry in book.entries() {
        peer.apply(at(5_200), entry);
    }
    expect_that!(ids(&peer), elements_are![eq("a")]);
    peer.apply(at(8_000), removed("a", 9));
    expect_that!(ids(&peer), is_empty());
}

/// Several nodes hear of endpoints from the store, in order, late or not at all,
/// and from each other, while the store comes and goes. Once it has answered all
/// of them for a while, each knows exactly what the store has, whatever came
/// before. What is left over would get requests although it is gone.
#[gtest]
fn book_any_order() {
    for seed in 0..2_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut log: Vec<Entry> = Vec::new();
        let mut heard = [0; 3];
        let mut books = [
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
                3 => books[one].store_failed(at(now)),
                4 => {
                    books[one].replace(at(now), present(&log), log.len() as u64);
                    heard[one] = log.len();
                }
                5 => {
                    for entry in log.iter().skip(heard[one]) {
                        books[one].apply(at(now), entry.clone());
                    }
                    heard[one] = log.len();
                }
                6 => {
                    for entry in books[(one + 1) % 3].entries() {
                        books[one].apply(at(now), entry);
                    }
                }
                _ => {
                    books[one].expire(at(now));
                }
            }
        }
        // The store is back for good, and nodes that it had turned away go on
        // telling each other what they know.
        let expected: Vec<String> = present(&log).iter().map(|it| it.id.to_string()).collect();
        for one in 0..3 {
            for entry in log.iter().skip(heard[one]) {
                books[one].apply(at(now), entry.clone());
            }
        }
        now += 2_100;
        for one in 0..3 {
            books[one].expire(at(now));
            let told = books[(one + 1) % 3].entries();
            for entry in told {
                books[one].apply(at(now), entry);
            }
            books[one].expire(at(now));
        }
        for book in &books {
            expect_that!(ids(book), eq(&expected), "seed {seed}");
        }
    }
}

/// What the store has after these changes.
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

/// Endpoints restart all day, each time with a new identity. What is remembered
/// of the gone ones must not grow without end.
#[gtest]
fn apply_many_removed() {
    let mut book = Registry::default();
    for number in 0..5_000 {
        book.apply(at(0), entry(&format!("e{number}"), number * 2 + 1, true));
        book.apply(at(0), removed(&format!("e{number}"), number * 2 + 2));
    }
    expect_that!(book.entries().len(), le(4_096));
    // Late news of a recent one is still known for late.
    expect_that!(book.apply(at(1), entry("e4999", 9_999, true)), eq(false));
}

#[gtest]
fn refuse_unreadable_entry() {
    // An entry that named a live endpoint is overwritten by something that can't
    // be read, just after the store was away. Nobody knows what listens there
    // now; requests that still went there would fail, or reach another service.
    let mut book = Registry::default();
    let ids = |book: &Registry| book.endpoints().len();
    book.replace(at(0), vec![entry("a", 1, true), entry("b", 2, true)], 2);
    book.store_failed(at(100));
    book.refuse(&"a".into(), 5);
    expect_that!(ids(&book), eq(1));
    // Older news of it, which a peer still tells, do not bring it back.
    book.apply(at(200), entry("a", 4, true));
    expect_that!(ids(&book), eq(1));
    // Its own newer entry does.
    book.apply(at(300), entry("a", 6, true));
    expect_that!(ids(&book), eq(2));
    // What can't be read and is older than what is known says nothing.
    book.refuse(&"a".into(), 5);
    expect_that!(ids(&book), eq(2));
}
