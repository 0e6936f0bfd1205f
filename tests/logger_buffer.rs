//! What becomes of log lines when there are too many, or nobody reads them.

use std::time::{Duration, Instant};

use auburnspoke::logger::buffer::Buffer;
use googletest::prelude::*;

const LINE: &[u8] = b"2026-01-01T00:00:00.000Z INFO  E520 request_done id=1\n";

fn text(buffer: &mut Buffer) -> String {
    String::from_utf8(buffer.take()).unwrap()
}

/// A caller sends rubbish as fast as it can, and each piece is worth a line. The
/// log must stay small enough to be collected, and say that lines are missing.
#[gtest]
fn admit_flood() {
    let start = Instant::now();
    let mut buffer = Buffer::new();
    for _ in 0..100_000 {
        buffer.admit(start, LINE);
    }
    expect_that!(text(&mut buffer).lines().count(), eq(400));
    buffer.admit(start + Duration::from_secs(1), LINE);
    expect_that!(
        text(&mut buffer),
        starts_with("log_lines_dropped count=99600\n")
    );
}

/// The collector stops reading for an hour while the node goes on. Its memory
/// must not grow, or the platform ends the process.
#[gtest]
fn admit_nobody_reads() {
    let start = Instant::now();
    let mut buffer = Buffer::new();
    for second in 0..3_600 {
        for _ in 0..300 {
            buffer.admit(start + Duration::from_secs(second), LINE);
        }
    }
    let waiting = text(&mut buffer);
    expect_that!(waiting.len(), le(256 * 1024));
    buffer.admit(start + Duration::from_secs(3_600), LINE);
    let told = waiting + &text(&mut buffer);
    let lines = told.lines().filter(|line| line.contains("E520")).count();
    let dropped: usize = told
        .lines()
        .filter_map(|line| line.strip_prefix("log_lines_dropped count="))
        .map(|count| count.parse::<usize>().unwrap())
        .sum();
    expect_that!(lines + dropped, eq(3_600 * 300 + 1));
}

#[gtest]
fn admit_calm() {
    let start = Instant::now();
    let mut buffer = Buffer::new();
    buffer.admit(start, LINE);
    buffer.admit(start, LINE);
    expect_that!(text(&mut buffer).lines().count(), eq(2));
    expect_that!(buffer.take(), is_empty());
}
