//! What of the quarantine is written to the platform's store, by which member, and for how long.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::quarantine::Fingerprint;
use auburnspoke::quarantine::evidence::{Condemnation, Crash, Ran, Stage};
use auburnspoke::quarantine::record::{self, Key, Record};
use auburnspoke::quarantine::storage::Storage;
use auburnspoke::table::{Transaction, Write};
use googletest::prelude::*;

const KILLER: Fingerprint = Fingerprint(0xabc);
/// The store's clock at the start, in milliseconds.
const CLOCK: u64 = 5_000_000;

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

fn crash(number: u64) -> Crash {
    Crash {
        endpoint: format!("e-{number}").into(),
        incarnation: number,
    }
}

fn crashes(count: u64) -> Vec<(Crash, Time, Ran)> {
    (0..count)
        .map(|it| (crash(it), at(0), Stage::Early.into()))
        .collect()
}

fn storage() -> Storage {
    let mut storage = Storage::default();
    storage.set_clock(at(0), CLOCK);
    storage
}

fn add(storage: &mut Storage, count: u64, rank: u32) {
    storage.add_crashes(at(0), KILLER, crashes(count).into_iter(), 2, |_| rank);
}

/// Decodes the rows that a transaction puts.
fn records(transaction: &Transaction) -> Vec<Record> {
    let writes = transaction.writes.iter();
    writes
        .filter_map(|write| match write {
            Write::Put { key, value } => {
                let key = key.strip_prefix("quarantine/").unwrap();
                Some(record::decode(key, value).unwrap())
            }
            Write::Delete { .. } => None,
        })
        .collect()
}

/// Guards against crashes that are forgotten when all nodes end before a verdict is due.
#[gtest]
fn add_crashes_second() {
    let mut storage = storage();
    add(&mut storage, 1, 0);
    expect_that!(storage.take_due(at(0)), none());
    add(&mut storage, 2, 0);
    let (keys, transaction) = storage.take_due(at(0)).unwrap();
    expect_that!(keys, len(eq(2)));
    let found = records(&transaction);
    expect_that!(
        found,
        each(matches_pattern!(Record::Crash(eq(&KILLER), _, _)))
    );
    storage.written(&keys);
    add(&mut storage, 3, 0);
    let (keys, _) = storage.take_due(at(10)).unwrap();
    // Without the row in the feed, the first two are not known to be stored.
    expect_that!(keys, contains(eq(&Key::Crash(KILLER, crash(2)))));
}

/// Guards against a first crash that is forgotten when all nodes end, though nothing will clear its
/// request: this node does not run it again.
#[gtest]
fn add_crashes_first_given_up() {
    let mut storage = storage();
    storage.add_crashes(at(0), KILLER, crashes(1).into_iter(), 1, |_| 0);
    let (keys, _) = storage.take_due(at(0)).unwrap();
    expect_that!(keys, elements_are![eq(&Key::Crash(KILLER, crash(0)))]);
}

/// Guards against crashes that all get the time at which they are stored: after a restart of all nodes
/// they count as one of a part of prompts.
#[gtest]
fn add_crashes_at_their_times() {
    let mut storage = storage();
    let crashes = [0, 2_000].map(|millis| (crash(millis), at(millis), Stage::Early.into()));
    storage.add_crashes(at(2_000), KILLER, crashes.into_iter(), 2, |_| 0);
    let (_, transaction) = storage.take_due(at(2_500)).unwrap();
    let until = |record: &Record| match record {
        Record::Crash(_, crash, row) => Some((crash.incarnation, row.until)),
        Record::Verdict(..) => None,
    };
    let mut ends: Vec<_> = records(&transaction).iter().filter_map(until).collect();
    ends.sort_unstable();
    expect_that!(ends, len(eq(2)));
    expect_that!(ends[1].1 - ends[0].1, eq(2_000));
}

/// A record that the store refused is written again, and by the next member if this one ends.
#[gtest]
fn take_due_failed() {
    let mut storage = storage();
    add(&mut storage, 2, 2);
    expect_that!(storage.take_due(at(599)), none());
    let (keys, _) = storage.take_due(at(600)).unwrap();
    expect_that!(storage.take_due(at(700)), none());
    storage.write_failed(&keys);
    expect_that!(storage.take_due(at(700)), some(anything()));
}

#[gtest]
fn take_due_row_seen() {
    let mut storage = storage();
    add(&mut storage, 2, 1);
    for (crash, _, _) in crashes(2) {
        storage.add_row(Key::Crash(KILLER, crash), CLOCK + 600_000);
    }
    expect_that!(storage.take_due(at(1_000)), none());
}

#[gtest]
fn take_due_store_never_answered() {
    let mut storage = Storage::default();
    add(&mut storage, 2, 0);
    expect_that!(storage.take_due(at(1_000)), none());
}

/// A request that completed is not to blame; its crashes must not outlive this node in the store.
#[gtest]
fn withdraw_crashes_completed() {
    let mut storage = storage();
    add(&mut storage, 2, 0);
    storage.add_row(Key::Crash(KILLER, crash(0)), CLOCK + 600_000);
    storage.withdraw(KILLER);
    expect_that!(storage.take_due(at(0)), none());
    expect_that!(storage.take_expired(at(0), |_| false), none());
    let delete = storage.take_expired(at(0), |_| true).unwrap();
    expect_that!(delete.writes, len(eq(1)));
    expect_that!(storage.take_expired(at(0), |_| true), none());
}

#[gtest]
fn take_expired_ends() {
    let mut storage = storage();
    storage.add_row(Key::Verdict(KILLER), CLOCK + 1_000);
    storage.add_row(Key::Crash(KILLER, crash(0)), CLOCK + 1_000);
    expect_that!(storage.take_expired(at(1_000), |_| true), none());
    let delete = storage.take_expired(at(1_001), |_| true).unwrap();
    expect_that!(delete.writes, len(eq(1)));
    // A verdict's row is kept for nodes that read late.
    expect_that!(storage.take_expired(at(900_000), |_| true), none());
    expect_that!(
        storage.take_expired(at(901_001), |_| true),
        some(anything())
    );
}

#[gtest]
fn add_verdict_round() {
    let mut storage = storage();
    let condemnation = Condemnation {
        others: 0,
        request: KILLER,
        crashes: vec![crash(1)],
        term: Duration::from_secs(900),
        times: 2,
        is_doubtful: false,
    };
    storage.add_verdict(at(0), condemnation, 0);
    let (_, transaction) = storage.take_due(at(1_000)).unwrap();
    let found = records(&transaction);
    let [Record::Verdict(request, row)] = &found[..] else {
        panic!("{found:?}");
    };
    expect_that!(*request, eq(KILLER));
    expect_that!((row.until, row.times), eq((CLOCK + 900_000, 2)));
}

#[gtest]
fn key_round() {
    for key in [Key::Verdict(KILLER), Key::Crash(KILLER, crash(7))] {
        expect_that!(key.to_string().parse::<Key>(), ok(eq(&key)));
    }
    for text in ["", "xyz", "abc-", "abc-7", "-7-e"] {
        expect_that!(text.parse::<Key>(), err(anything()), "{text}");
    }
}
