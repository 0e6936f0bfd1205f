//! The bounds of the log buffer under a flood of lines and with a stalled collector.

use std::time::{Duration, Instant};

use auburnspoke::logger::buffer::Buffer;
use googletest::prelude::*;

const LINE: &[u8] = b"2026-01-01T00:00:00.000Z INFO  E520 request_done id=1\n";

fn text(buffer: &mut Buffer) -> String {
    String::from_utf8(buffer.take()).unwrap()
}

/// A caller sends invalid requests as fast as it can, and each one is logged. The log must stay
/// small enough to be collected, and report how many lines were dropped.
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

/// The collector stops reading for an hour while the node keeps running. The buffer must not grow,
/// or the platform kills the process for its memory use.
#[gtest]
fn admit_nobody_reads() {
    let start = Instant::now();
    let mut buffer = Buffer::new();
    for second in 0..3_600 {
        for _ in 0..300 {
            buffer.admit(start + Duration::from_secs(second), LINE);
        }
    }
    let buffered = text(&mut buffer);
    expect_that!(buffered.len(), le(256 * 1024));
    buffer.admit(start + Duration::from_secs(3_600), LINE);
    let written = buffered + &text(&mut buffer);
    let lines = written.lines().filter(|line| line.contains("E520")).count();
    let dropped: usize = written
        .lines()
        .filter_map(|line| line.strip_prefix("log_lines_dropped count="))
        .map(|count| count.parse::<usize>().unwrap())
        .sum();
    expect_that!(lines + dropped, eq(3_600 * 300 + 1));
}

#[gtest]
fn admit_within_bounds() {
    let start = Instant::now();
    let mut buffer = Buffer::new();
    buffer.admit(start, LINE);
    buffer.admit(start, LINE);
    expect_that!(text(&mut buffer).lines().count(), eq(2));
    expect_that!(buffer.take(), is_empty());
}
