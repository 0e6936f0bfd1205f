//! A reader's buffer of the changes of a table.

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

fn expect_changes(buffer: &Buffer, millis: u64, version: u64) -> Changes {
    match buffer.since(at(millis), version) {
        Some(Answer::Changes(changes)) => changes,
        other => panic!("no changes: {other:?}"),
    }
}

#[gtest]
fn since_no_answer() {
    let buffer = Buffer::new(10);
    expect_that!(buffer.since(at(0), 10), none());
}

#[gtest]
fn since_part() {
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11, 13], 14));
    buffer.add(at(50), changes(&[16], 16));
    let answer = expect_changes(&buffer, 250, 13);
    expect_that!(answer.changes, eq(&vec![change(16)]));
    expect_that!(answer.version, eq(16));
    expect_that!(answer.age, eq(Duration::from_millis(200)));
    expect_that!(answer.clock, eq(7_000));
}

#[gtest]
fn since_before_buffer() {
    // A reader that has just started lacks earlier changes. If it returned what it has, the
    // member would miss a change permanently: a route that never comes into force, or an
    // endpoint that is used after it left.
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11], 11));
    expect_that!(buffer.since(at(0), 9), some(eq(&Answer::Gap)));
}

#[gtest]
fn since_after_buffer() {
    // A lagging reader must not revert the member to an older version.
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11], 11));
    expect_that!(buffer.since(at(0), 12), some(eq(&Answer::Gap)));
}

#[gtest]
fn since_trimmed() {
    // Many changes arrive while a member is suspended. The buffer must report that it dropped
    // some of them.
    let mut buffer = Buffer::new(0);
    for version in 1..=5_000 {
        buffer.add(at(version), changes(&[version], version));
    }
    expect_that!(buffer.since(at(5_000), 999), some(eq(&Answer::Gap)));
    expect_that!(
        expect_changes(&buffer, 5_000, 1_000).changes.len(),
        eq(4_000)
    );
}

#[gtest]
fn since_store_fails_reader() {
    // The store refuses the reader and serves others. The reader must not answer that nothing
    // has changed.
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11], 11));
    buffer.fail(at(100));
    expect_that!(buffer.since(at(100), 10), some(eq(&Answer::Stale)));
    buffer.add(at(300), changes(&[], 12));
    expect_that!(
        expect_changes(&buffer, 300, 10).failed_ago,
        some(eq(Duration::from_millis(200)))
    );
    expect_that!(expect_changes(&buffer, 3_200, 10).failed_ago, none());
}

#[gtest]
fn add_older_answer() {
    // A lagging replica of the store answers the reader.
    let mut buffer = Buffer::new(10);
    buffer.add(at(0), changes(&[11, 12], 12));
    buffer.add(at(50), changes(&[11], 11));
    expect_that!(expect_changes(&buffer, 50, 10).changes.len(), eq(2));
    expect_that!(buffer.version(), eq(12));
}
