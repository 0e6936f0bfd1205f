//! What the soak's check of the nodes' logs finds, and what it passes over.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use standin::soak::check::{Asked, End, Report};

fn asked(end: End, at: Instant) -> Asked {
    Asked {
        id: "a1".into(),
        repeatable: true,
        end,
        at,
    }
}

fn broken(end: End, struck: &[Instant], at: Instant, log: &str) -> usize {
    let mut report = Report::default();
    report.check_logs(&[asked(end, at)], struck, &[log.to_owned()]);
    report.broken.len()
}

const GRANTED: &str = "t INFO  E521 request_granted id=a1 endpoint=e\n";
const DONE: &str = "t INFO  E520 request_done id=a1 route=q\n";
const AWAY: &str = "t INFO  E524 request_turned_away id=a1 path=/q/ why=not_ready\n";

/// A clerk's question was answered, and a node's log lacks the line that says
/// so. On the phone nobody could tell whether it ever came.
#[gtest]
fn check_logs_gap() {
    let at = Instant::now();
    expect_that!(broken(End::Whole, &[], at, GRANTED), eq(1));
    expect_that!(broken(End::Whole, &[], at, DONE), eq(1));
    expect_that!(broken(End::Refused, &[], at, GRANTED), eq(1));
    expect_that!(
        broken(End::Refused, &[], at, &AWAY.replace("a1", "a2")),
        eq(1)
    );
}

#[gtest]
fn check_logs_whole() {
    let at = Instant::now();
    let whole = format!("{GRANTED}{DONE}");
    expect_that!(broken(End::Whole, &[], at, &whole), eq(0));
    expect_that!(broken(End::Refused, &[], at, AWAY), eq(0));
}

/// A node was killed right after it had answered; its last lines are lost with
/// it, which is no fault of theirs.
#[gtest]
fn check_logs_killed() {
    let at = Instant::now();
    let soon = at + Duration::from_millis(200);
    let later = at + Duration::from_millis(900);
    expect_that!(broken(End::Whole, &[soon], at, ""), eq(0));
    expect_that!(broken(End::Whole, &[later], at, ""), eq(1));
}
