//! The in-memory platform: transactions, scans, limits, the lagging list and the
//! weight store.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::table::fault::Command;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Expect, Fault, Roster as _, Store, Table, Transaction, Vm, Weight as _};
use bytes::Bytes;
use futures_util::FutureExt as _;
use googletest::prelude::*;

const START: Time = Time::from_millis(1_000);

fn platform() -> Platform {
    Platform::in_virtual_time(START, 7)
}

/// Polls an operation once; in virtual time every operation completes at once.
fn now<F>(future: F) -> F::Output
where
    F: Future,
{
    future
        .now_or_never()
        .expect("the operation did not complete at once")
}

fn put(platform: &Platform, key: &str) -> std::result::Result<u64, Fault> {
    now(platform.transact(Transaction::default().put(key, "x")))
}

#[gtest]
fn transact_all_or_nothing() {
    let platform = platform();
    let version = put(&platform, "a").unwrap();
    let racing = Transaction::default()
        .check("a", Expect::Version(version + 1))
        .put("a", "y")
        .put("b", "y");
    let conflict = Fault::Conflict {
        key: "a".into(),
        version,
    };
    expect_that!(now(platform.transact(racing)), eq(&Err(conflict)));
    expect_that!(now(Table::get(&platform, "b")), eq(&Ok(None)));
}

#[gtest]
fn transact_reinserted() {
    // A row is removed and inserted again while a slow writer still has its first
    // version. If versions restarted, that writer would overwrite the new row.
    let platform = platform();
    let first = put(&platform, "a").unwrap();
    now(platform.transact(Transaction::default().delete("a"))).unwrap();
    let second = put(&platform, "a").unwrap();
    expect_that!(second, gt(first));
    let slow = Transaction::default()
        .check("a", Expect::Version(first))
        .put("a", "old");
    expect_that!(now(platform.transact(slow)), err(anything()));
}

#[gtest]
fn scan_pages() {
    let platform = platform();
    for key in ["a/1", "b/1", "b/2", "b/3", "c/1"] {
        put(&platform, key).unwrap();
    }
    let first = now(platform.scan("b/", "", 2)).unwrap();
    let keys: Vec<&str> = first.rows.iter().map(|row| row.key.as_str()).collect();
    expect_that!(keys, elements_are![eq(&"b/1"), eq(&"b/2")]);
    expect_that!(first.more, eq(true));
    let rest = now(platform.scan("b/", "b/2", 2)).unwrap();
    let keys: Vec<&str> = rest.rows.iter().map(|row| row.key.as_str()).collect();
    expect_that!(keys, elements_are![eq(&"b/3")]);
    expect_that!(rest.more, eq(false));
}

#[gtest]
fn scan_counts_reads() {
    let platform = platform();
    for n in 0..250 {
        put(&platform, &format!("a/{n:03}")).unwrap();
    }
    now(platform.scan("a/", "", 250)).unwrap();
    expect_that!(platform.counts().reads, eq(3));
    expect_that!(platform.counts().by_prefix["a"].writes, eq(250));
}

#[gtest]
fn limit_writes() {
    let platform = platform();
    platform.command(&Command::Limit {
        writes: 100,
        reads: 0,
    });
    let mut done = 0;
    for milli in 0..10_000 {
        platform.set_time(START + Duration::from_millis(milli));
        done += u64::from(put(&platform, "a").is_ok());
    }
    // Ten seconds at 100 per second and the quarter second of tokens in the
    // bucket.
    expect_that!(done, all![ge(1_000), le(1_026)]);
    expect_that!(platform.counts().writes, eq(done));
}

#[gtest]
fn lose_after_effect() {
    let platform = platform();
    platform.command(&Command::Lose {
        prefix: "a".into(),
        count: 1,
        before: false,
    });
    expect_that!(put(&platform, "b"), ok(anything()));
    expect_that!(put(&platform, "a"), eq(&Err(Fault::Unknown)));
    expect_that!(now(Table::get(&platform, "a")), ok(some(anything())));
    expect_that!(put(&platform, "a"), ok(anything()));
}

#[gtest]
fn lose_before_effect() {
    let platform = platform();
    platform.command(&Command::Lose {
        prefix: String::new(),
        count: 1,
        before: true,
    });
    let lost = now(Store::put(&platform, "a", Bytes::from_static(b"x")));
    expect_that!(lost, eq(&Err(Fault::Unknown)));
    expect_that!(now(Store::get(&platform, "a")), eq(&Ok(None)));
}

#[gtest]
fn lose_some_same_seed() {
    let fates = |seed| {
        let platform = Platform::in_virtual_time(START, seed);
        platform.command(&Command::LoseSome {
            probability: 0.3,
            before: 0.5,
        });
        (0..200)
            .map(|_| put(&platform, "a").is_ok())
            .collect::<Vec<_>>()
    };
    expect_that!(fates(1), eq(&fates(1)));
    expect_that!(fates(1), not(eq(&fates(2))));
}

#[gtest]
fn outage_ends() {
    let platform = platform();
    platform.command(&Command::Outage {
        ms: Some(500),
        silent: false,
    });
    expect_that!(put(&platform, "a"), err(pat!(Fault::Refused { .. })));
    platform.set_time(START + Duration::from_millis(500));
    expect_that!(put(&platform, "a"), ok(anything()));
}

#[gtest]
fn list_lags() {
    let platform = platform();
    platform.command(&Command::Lag { ms: 2_000 });
    platform.register(Vm {
        name: "n1".into(),
        link: "127.0.0.1:1".into(),
        control: "127.0.0.1:2".into(),
        address: "127.0.0.1:3".into(),
        zone: "a".into(),
        leaving: false,
    });
    expect_that!(now(platform.list()).unwrap().len(), eq(0));
    platform.set_time(START + Duration::from_secs(1));
    platform.command(&Command::Leaving { name: "n1".into() });
    platform.set_time(START + Duration::from_secs(2));
    expect_that!(now(platform.list()).unwrap()[0].leaving, eq(false));
    platform.set_time(START + Duration::from_secs(3));
    expect_that!(now(platform.list()).unwrap()[0].leaving, eq(true));
}

#[gtest]
fn weight_limited() {
    let platform = platform();
    platform.command(&Command::Weight {
        per_minute: 60,
        burst: 2,
    });
    expect_that!(now(platform.admit("m")), ok(anything()));
    expect_that!(now(platform.admit("m")), ok(anything()));
    let refused = Fault::Refused {
        retry_after: Duration::from_secs(1),
    };
    expect_that!(now(platform.admit("m")), eq(&Err(refused)));
    platform.set_time(START + Duration::from_secs(1));
    expect_that!(now(platform.admit("m")), ok(anything()));
}
