//! Next actions after an endpoint failed a request.

use std::time::Duration;

use auburnspoke::attempt::{Attempt, Failure, Next, Repeat};
use auburnspoke::clock::Time;
use googletest::prelude::*;
use proptest::prelude::*;

const START: Time = Time::from_millis(10_000);

fn attempt(repeat: Repeat, max_runs: u32) -> Attempt {
    Attempt::new(repeat, max_runs, START + Duration::from_secs(5), None)
}

/// An endpoint crashes after sending events without numbers. The next endpoint has no position
/// to resume from, so its whole answer would be appended to the first events, which would give
/// the caller a corrupt answer.
#[gtest]
fn failed_events_without_numbers() {
    let mut attempt = attempt(Repeat::Resume, 2);
    attempt.start_run();
    attempt.start_answer();
    attempt.forwarded(None, Some(&"v1".into()));
    expect_that!(attempt.can_fail_over(), eq(false));
    expect_that!(attempt.failed(START, Failure::Lost), eq(Next::Break));
}

/// An endpoint crashes midway through a stream whose events have numbers.
#[gtest]
fn failed_events_with_numbers() {
    let mut attempt = attempt(Repeat::Resume, 2);
    attempt.start_run();
    attempt.start_answer();
    attempt.forwarded(Some(4), Some(&"v1".into()));
    expect_that!(attempt.failed(START, Failure::Lost), eq(Next::Again));
    expect_that!(attempt.last(), some(eq(4)));
    attempt.start_run();
    expect_that!(attempt.failed(START, Failure::Lost), eq(Next::Break));
}

/// Guards against a stream that goes on at another software version than the one that began it:
/// the version of its first event stays, whichever endpoint sends the later ones.
#[gtest]
fn software_first_event() {
    let mut attempt = attempt(Repeat::Resume, 3);
    expect_that!(attempt.software(), none());
    attempt.start_run();
    expect_that!(attempt.failed(START, Failure::Lost), eq(Next::Again));
    expect_that!(attempt.software(), none());
    attempt.start_run();
    attempt.start_answer();
    attempt.forwarded(Some(1), Some(&"v1".into()));
    attempt.forwarded(Some(2), Some(&"v2".into()));
    expect_that!(attempt.failed(START, Failure::Lost), eq(Next::Again));
    expect_that!(attempt.software(), some(eq(&"v1".into())));
}

/// Guards against a resumption by guess: the endpoint's entry names no version.
#[gtest]
fn failed_software_unknown() {
    let mut attempt = attempt(Repeat::Resume, 3);
    attempt.start_run();
    attempt.start_answer();
    attempt.forwarded(Some(4), None);
    expect_that!(attempt.can_fail_over(), eq(false));
    expect_that!(attempt.failed(START, Failure::Lost), eq(Next::Break));
}

/// A request that must not be repeated reached an endpoint, which then broke the connection.
/// Reporting it as "not run", or running it again, could run it twice.
#[gtest]
fn failed_once_lost() {
    let mut attempt = attempt(Repeat::Never, 3);
    attempt.start_run();
    expect_that!(attempt.failed(START, Failure::Lost), eq(Next::Fail));
}

#[gtest]
fn failed_once_not_run() {
    let mut attempt = attempt(Repeat::Never, 1);
    attempt.start_run();
    expect_that!(attempt.failed(START, Failure::NotRun), eq(Next::Again));
    expect_that!(attempt.is_not_run(), eq(true));
}

/// One endpoint after another is full; the caller must soon be told that the request has not
/// run.
#[gtest]
fn failed_not_run_everywhere() {
    let mut attempt = attempt(Repeat::Whole, 2);
    let mut next = Next::Again;
    let mut tries = 0;
    while next == Next::Again {
        attempt.start_run();
        next = attempt.failed(START, Failure::NotRun);
        tries += 1;
    }
    expect_that!(next, eq(Next::Refuse));
    expect_that!(tries, le(6));
}

#[gtest]
fn failed_no_time_left() {
    let mut attempt = attempt(Repeat::Whole, 3);
    attempt.start_run();
    let late = START + Duration::from_millis(4_990);
    expect_that!(attempt.failed(late, Failure::Lost), eq(Next::Fail));
}

#[gtest]
fn failed_own_error_forwarded() {
    let mut attempt = attempt(Repeat::Whole, 1);
    attempt.start_run();
    expect_that!(attempt.failed(START, Failure::Answered), eq(Next::Pass));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    NotRun,
    Lost,
    Answered,
    Events(Option<u64>),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::NotRun),
        Just(Step::Lost),
        Just(Step::Answered),
        proptest::option::of(1_u64..9).prop_map(Step::Events),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any order of failures: "not run" is reported only if every endpoint that got the
    /// request reported it, the limit on runs holds, and an answer that has begun is resumed
    /// only after a numbered event.
    #[test]
    fn failed_any_order(
        kind in 0..3_usize,
        max_runs in 1_u32..4,
        steps in proptest::collection::vec(step(), 1..12),
    ) {
        let repeat = [Repeat::Never, Repeat::Whole, Repeat::Resume][kind];
        let mut attempt = attempt(repeat, max_runs);
        let mut ran = 0;
        let mut begun = false;
        let mut numbered = true;
        attempt.start_run();
        ran += 1;
        for step in steps {
            let failure = match step {
                Step::Events(last) => {
                    begun = true;
                    numbered = last.is_some();
                    attempt.start_answer();
                    attempt.forwarded(last, Some(&"v1".into()));
                    continue;
                }
                Step::NotRun if begun => Failure::Lost,
                Step::NotRun => Failure::NotRun,
                Step::Lost => Failure::Lost,
                Step::Answered => Failure::Answered,
            };
            if failure == Failure::NotRun {
                ran -= 1;
            }
            match attempt.failed(START, failure) {
                Next::Again => {
                    prop_assert!(ran == 0 || repeat != Repeat::Never);
                    prop_assert!(!begun || (repeat == Repeat::Resume && numbered));
                    attempt.start_run();
                    ran += 1;
                    prop_assert!(ran <= max_runs);
                }
                Next::Refuse => {
                    prop_assert_eq!(ran, 0);
                    prop_assert!(!begun);
                    break;
                }
                Next::Break => {
                    prop_assert!(begun);
                    break;
                }
                Next::Fail | Next::Pass => {
                    prop_assert!(!begun);
                    break;
                }
            }
        }
    }
}
