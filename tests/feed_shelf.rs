//! What a reader keeps of a table for those who ask.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::feed::Answer;
use auburnspoke::feed::buffer::Buffer;
use auburnspoke::table::{Change, Changes};
use bytes::Bytes;
use googletest::prelude::*;

fn change(version: u64) -> Change {
    Change {
        key: format!("row-{version}"),
        version,
        value: Some(Bytes::from_static(b"x")),
    }
}

fn changes(versions: &[u64], version: u64) -> Changes {
    Changes {
        changes: versions.iter().copied().map(change).collect(),
        version,
        clock: 7_000,
        ..Changes::default()
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn told(buffer: &Buffer, millis: u64, version: u64) -> Changes {
    match buffer.since(at(millis), version) {
        Some(Answer::Changes(changes)) => changes,
        other => panic!("no changes: {other:?}"),
    }
}

#[gtest]
fn since_nothing_heard() {
    let buffer = Buffer::new(10);
    expect_that!(buffer.since(at(0), 10), none());
}

#[gtest]
fn since_part() {
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11, 13], 14));
    buffer.add(at(50), changes(&[16], 16));
    let told = told(&buffer, 250, 13);
    expect_that!(told.changes, eq(&vec![change(16)]));
    expect_that!(told.version, eq(16));
    expect_that!(told.age, eq(Duration::from_millis(200)));
    expect_that!(told.clock, eq(7_000));
}

#[gtest]
fn since_older_than_kept() {
    // A reader that has just begun does not know what came before. Were it to
    // tell what it has, the asker would miss a change for good: a route that
    // never comes into force, an endpoint that is used after it left.
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11], 11));
    expect_that!(buffer.since(at(0), 9), some(eq(&Answer::Gap)));
}

#[gtest]
fn since_newer_than_known() {
    // A reader that lags must not take the asker a step back.
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11], 11));
    expect_that!(buffer.since(at(0), 12), some(eq(&Answer::Gap)));
}

#[gtest]
fn since_trimmed() {
    // Many changes come while one who asks was paused. What was dropped for
    // room is not passed over in silence.
    let mut buffer = Buffer::new(0);
    for version in 1..=5_000 {
        buffer.add(at(version), changes(&[version], version));
    }
    expect_that!(buffer.since(at(5_000), 999), some(eq(&Answer::Gap)));
    expect_that!(told(&buffer, 5_000, 1_000).changes.len(), eq(4_000));
}

#[gtest]
fn since_store_fails_reader() {
    // The store refuses the reader and serves others. Those who ask it must not
    // hear that nothing has changed.
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11], 11));
    buffer.fail(at(100));
    expect_that!(buffer.since(at(100), 10), some(eq(&Answer::Stale)));
    buffer.add(at(300), changes(&[], 12));
    expect_that!(
        told(&buffer, 300, 10).failed_ago,
        some(eq(Duration::from_millis(200)))
    );
    expect_that!(told(&buffer, 3_200, 10).failed_ago, none());
}

#[gtest]
fn add_older_answer() {
    // A copy of the store that is behind answers the reader.
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11, 12], 12));
    buffer.add(at(50), changes(&[11], 11));
    expect_that!(told(&buffer, 50, 10).changes.len(), eq(2));
    expect_that!(buffer.version(), eq(12));
}
