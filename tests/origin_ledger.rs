//! What is kept of the streams that other nodes began.

use auburnspoke::clock::Time;
use auburnspoke::origin::{Key, Ledger, Origin};
use googletest::prelude::*;

fn at(seconds: u64) -> Time {
    Time::from_millis(10_000 + seconds * 1_000)
}

fn origin(software: &str) -> Origin {
    Origin {
        service: "s".into(),
        software: software.into(),
    }
}

/// Guards against a stream that can't be resumed a minute after it began.
#[gtest]
fn find_after_a_minute() {
    let mut ledger = Ledger::default();
    ledger.record(at(0), Key(1), origin("v1"));
    expect_that!(ledger.find(at(60), Key(1)), some(eq(&origin("v1"))));
    expect_that!(ledger.find(at(60), Key(2)), none());
}

/// Guards against memory that grows with the streams of a day.
#[gtest]
fn record_expired() {
    let mut ledger = Ledger::default();
    for second in 0..3_600 {
        ledger.record(at(second), Key(second), origin("v1"));
    }
    expect_that!(ledger.len(), le(300));
    expect_that!(ledger.find(at(4_000), Key(3_599)), none());
    expect_that!(ledger.len(), eq(0));
}

/// Guards against memory that grows under a flood, and against one that drops the newest streams.
#[gtest]
fn record_flood() {
    const FLOOD: u64 = 200_000;
    let mut ledger = Ledger::default();
    for key in 0..FLOOD {
        ledger.record(at(0), Key(key), origin("v1"));
    }
    expect_that!(ledger.len(), le(32_768));
    expect_that!(ledger.find(at(1), Key(FLOOD - 1)), some(eq(&origin("v1"))));
    expect_that!(ledger.find(at(1), Key(0)), none());
}

/// Guards against a guess: two streams have one id, and either may be meant.
#[gtest]
fn find_ambiguous() {
    let mut ledger = Ledger::default();
    ledger.record(at(0), Key(1), origin("v1"));
    ledger.record(at(0), Key(1), origin("v1"));
    expect_that!(ledger.find(at(1), Key(1)), some(eq(&origin("v1"))));
    ledger.record(at(1), Key(1), origin("v2"));
    ledger.record(at(2), Key(1), origin("v1"));
    expect_that!(ledger.find(at(2), Key(1)), none());
}

/// Guards against a caller that learns of, or hinders, the stream of another organisation that uses
/// the same id.
#[gtest]
fn key_other_organisation() {
    let key = Key::of("h", Some("kitchens"), "1");
    expect_that!(key, eq(Key::of("h", Some("kitchens"), "1")));
    expect_that!(key, not(eq(Key::of("h", Some("payments"), "1"))));
    expect_that!(key, not(eq(Key::of("h", None, "1"))));
    expect_that!(key, not(eq(Key::of("i", Some("kitchens"), "1"))));
    expect_that!(key, not(eq(Key::of("h", Some("kitchens"), "2"))));
    expect_that!(key, not(eq(Key::of("hk", Some("itchens"), "1"))));
}
