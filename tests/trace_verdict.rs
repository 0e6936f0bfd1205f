//! Traces a request from its id to the cause of its outcome, from logs alone.

use auburnspoke::cli::trace::{gather, verdict};
use googletest::prelude::*;

const FIRST: &str = "\
2026-01-01T00:00:01.000Z INFO  E521 request_granted id=a1 endpoint=e1 waited_ms=2 behind=None known_ms=40 config=3
2026-01-01T00:00:01.210Z INFO  E302 request_retried id=a1 endpoint=e1 why=silent_before_head next=Again last=None left_ms=4980
2026-01-01T00:00:01.215Z INFO  E521 request_granted id=a1 endpoint=e2 waited_ms=214 behind=None known_ms=80 config=3
2026-01-01T00:00:02.000Z INFO  E520 request_done id=a1 route=q endpoint=e2 took_ms=1002 last=Some(34)
2026-01-01T00:00:02.500Z INFO  E301 request_refused id=a2 route=q why=busy answer=Refuse waited_ms=3 retry_after_ms=400
";
const SECOND: &str = "\
2026-01-01T00:00:03.000Z INFO  E530 job_accepted id=j1 route=n why=accepted
2026-01-01T00:00:04.000Z INFO  E536 item_stopped job=j1 id=t1 why=endpoint_error last=None
2026-01-01T00:00:05.000Z INFO  E538 item_failed job=j1 id=t1 why=attempts_used
2026-01-01T00:00:06.000Z INFO  E537 item_done job=j1 id=t2 why=done
";

fn files() -> Vec<(String, String)> {
    // Log files may be given in any order.
    vec![
        ("n2.log".into(), SECOND.into()),
        ("n1.log".into(), FIRST.into()),
    ]
}

/// A slow answer: the trace shows the endpoint that was silent, where the request was sent
/// next, and that it was answered completely.
#[gtest]
fn gather_resumed_request() {
    let lines = gather("a1", &files());
    expect_that!(lines.len(), eq(4));
    expect_that!(
        verdict(&lines),
        contains_substring("answered whole by endpoint e2")
    );
}

/// A retry and its refusal are logged within the same millisecond; sorted by text, the refusal
/// would come before its cause.
#[gtest]
fn gather_same_millisecond() {
    let log = "T1 INFO  E302 request_retried id=a why=broken next=Refuse\n\
               T1 INFO  E301 request_refused id=a why=broken answer=Refuse\n";
    let lines = gather("a", &[("n.log".into(), log.into())]);
    expect_that!(lines[0].text, contains_substring("E302"));
}

#[gtest]
fn gather_refused_request() {
    let lines = gather("a2", &files());
    expect_that!(
        verdict(&lines),
        contains_substring("refused as not run, because of busy")
    );
}

/// A missing result: its item leads to the job that it belongs to, and to the reason why it
/// was given up.
#[gtest]
fn gather_failed_item() {
    let lines = gather("t1", &files());
    expect_that!(lines.len(), eq(3));
    expect_that!(
        verdict(&lines),
        contains_substring("given up: attempts_used")
    );
}

#[gtest]
fn gather_unknown() {
    expect_that!(gather("zz", &files()), is_empty());
}
