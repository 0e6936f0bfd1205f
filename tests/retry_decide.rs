//! Retry decisions and the assembly of a streamed answer.

use std::time::Duration;

use auburnspoke::outcome::{Reason, Refusal};
use auburnspoke::request::Piece;
use auburnspoke::retry::{Assembly, Attempt, Budget, Decision, Failure, Hedge, Push, decide};
use googletest::prelude::*;

fn attempt() -> Attempt {
    Attempt {
        count: 1,
        once: false,
        time_left: Duration::from_secs(5),
        has_alternative: true,
    }
}

fn not_run() -> Failure {
    Failure::NotRun(Refusal::new(Reason::Overloaded))
}

fn may_have_run() -> Failure {
    Failure::MayHaveRun(Refusal::new(Reason::EndpointFailed))
}

fn is_retry(decision: &Decision) -> bool {
    matches!(decision, Decision::Retry { .. })
}

fn piece(offset: u32, text: &str) -> Piece {
    Piece {
        offset,
        tokens: u32::try_from(text.len()).unwrap(),
        text: text.into(),
    }
}

#[gtest]
fn decide_once() {
    // The endpoint of a request that must run at most once broke the connection after it got
    // the request. A retry might run it twice.
    let once = Attempt {
        once: true,
        ..attempt()
    };
    let mut budget = Budget::default();
    let decision = decide(may_have_run(), &once, &mut budget);
    expect_that!(decision, eq(&Decision::GiveUp(may_have_run())));
    expect_true!(is_retry(&decide(not_run(), &once, &mut budget)));
    expect_true!(is_retry(&decide(may_have_run(), &attempt(), &mut budget)));
}

#[gtest]
fn decide_not_useful() {
    let mut budget = Budget::default();
    let cases = [
        Attempt {
            count: 4,
            ..attempt()
        },
        Attempt {
            has_alternative: false,
            ..attempt()
        },
        Attempt {
            time_left: Duration::from_millis(10),
            ..attempt()
        },
    ];
    for attempt in cases {
        expect_false!(is_retry(&decide(not_run(), &attempt, &mut budget)));
    }
    let limited = Failure::NotRun(Refusal::new(Reason::Limited));
    expect_false!(is_retry(&decide(limited, &attempt(), &mut budget)));
}

#[gtest]
fn budget_brown_out() {
    // Every endpoint fails for a while. Four attempts at each request would quadruple a load
    // that is already too high; the budget limits the extra load to its capacity.
    let mut budget = Budget::default();
    let requests = 1_000;
    let mut sent = 0;
    for _ in 0..requests {
        sent += 1;
        for count in 1.. {
            let attempt = Attempt { count, ..attempt() };
            if !is_retry(&decide(may_have_run(), &attempt, &mut budget)) {
                break;
            }
            sent += 1;
        }
    }
    expect_that!(sent, le(requests + 20));
    // Each success adds a tenth of a retry.
    (0..100).for_each(|_| budget.deposit());
    expect_that!(budget.left(), all!(ge(9.0), le(11.0)));
}

#[gtest]
fn assembly_late_doubled_reordered() {
    // A stream broke and was resumed at another endpoint. Pieces of the first path arrive late,
    // twice or out of order. The caller gets each piece once and in order.
    let mut assembly = Assembly::default();
    let mut read = String::new();
    for (offset, text) in [
        (0, "ab"),
        (4, "ef"),
        (0, "ab"),
        (2, "cd"),
        (2, "cd"),
        (4, "ef"),
        (7, "h"),
        (6, "g"),
    ] {
        if let Push::Next(pieces) = assembly.push(piece(offset, text)) {
            read.extend(pieces.iter().map(|piece| &*piece.text));
        }
    }
    expect_that!(read, eq("abcdefgh"));
    expect_that!(assembly.text(), eq("abcdefgh"));
    expect_true!(assembly.is_complete(8));
}

#[gtest]
fn assembly_gap_incomplete() {
    let mut assembly = Assembly::default();
    assembly.push(piece(0, "ab"));
    assembly.push(piece(4, "ef"));
    expect_false!(assembly.is_complete(6));
    expect_that!(assembly.tokens(), eq(2));
}

#[gtest]
fn assembly_overlap_broken() {
    let mut assembly = Assembly::resumed(3, "abc");
    expect_that!(assembly.push(piece(2, "cd")), eq(&Push::Broken));
    expect_that!(
        assembly.push(piece(3, "de")),
        eq(&Push::Next(vec![piece(3, "de")]))
    );
}

#[gtest]
fn hedge_late_estimate() {
    let mut hedge = Hedge::default();
    for n in 0..2_000 {
        hedge.first_token(Duration::from_millis(if n % 100 < 3 { 400 } else { 50 }));
    }
    expect_that!(
        hedge.wait(),
        all!(
            ge(Duration::from_millis(40)),
            le(Duration::from_millis(120))
        )
    );
    let allowed = (0..100).filter(|_| hedge.withdraw());
    expect_that!(allowed.count(), eq(10));
}
