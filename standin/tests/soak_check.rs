//! Tests which gaps in the nodes' logs the soak's checks report, and which they excuse.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use standin::site::replica::{History, Run};
use standin::soak::check::stop::{Ledger, Target};
use standin::soak::check::{Attempt, End, Outage, Report};

/// Duration of a request.
const LENGTH: Duration = Duration::from_millis(300);

fn attempt(end: End, at: Instant) -> Attempt {
    Attempt {
        id: "a1".into(),
        repeatable: true,
        end,
        is_answered: end != End::Broken,
        node: 0,
        began: at.checked_sub(LENGTH).unwrap(),
        ended: at,
    }
}

fn count_violations(end: End, killed_at: &[Instant], at: Instant, log: &str) -> usize {
    let outage = |at: &Instant| Outage { node: 0, at: *at };
    let outages: Vec<Outage> = killed_at.iter().map(outage).collect();
    count_violations_of(&outages, end, at, log)
}

fn count_violations_of(outages: &[Outage], end: End, at: Instant, log: &str) -> usize {
    let mut report = Report::default();
    report.check_logs(&[attempt(end, at)], outages, &[log.to_owned()]);
    report.violations.len()
}

const GRANTED: &str = "t INFO  E521 request_granted id=a1 endpoint=e\n";
const DONE: &str = "t INFO  E520 request_done id=a1 route=q\n";
const AWAY: &str = "t INFO  E524 request_turned_away id=a1 path=/q/ why=not_ready\n";

/// Guards against a response without its line in the node's log: an operator could not find out
/// whether the request was ever received.
#[gtest]
fn check_logs_gap() {
    let at = Instant::now();
    expect_that!(count_violations(End::Whole, &[], at, GRANTED), eq(1));
    expect_that!(count_violations(End::Whole, &[], at, DONE), eq(1));
    expect_that!(count_violations(End::Refused, &[], at, GRANTED), eq(1));
    expect_that!(
        count_violations(End::Refused, &[], at, &AWAY.replace("a1", "a2")),
        eq(1)
    );
}

#[gtest]
fn check_logs_whole() {
    let at = Instant::now();
    let whole = format!("{GRANTED}{DONE}");
    expect_that!(count_violations(End::Whole, &[], at, &whole), eq(0));
    expect_that!(count_violations(End::Refused, &[], at, AWAY), eq(0));
}

/// A node that is killed right after a response loses its last log lines. The check must excuse
/// this, but not lines of requests that ended well before.
#[gtest]
fn check_logs_killed() {
    let at = Instant::now();
    let soon = at + Duration::from_millis(200);
    let later = at + Duration::from_millis(900);
    expect_that!(count_violations(End::Whole, &[soon], at, ""), eq(0));
    expect_that!(count_violations(End::Whole, &[later], at, ""), eq(1));
}

/// All nodes are killed between the last bytes of a response and its log line, and the caller reads
/// these bytes after the kill. The check must excuse the missing line.
#[gtest]
fn check_logs_killed_before_read() {
    let at = Instant::now();
    let before = at.checked_sub(Duration::from_millis(20)).unwrap();
    expect_that!(count_violations(End::Whole, &[before], at, GRANTED), eq(0));
    // A node that was killed before the request had been restarted by then.
    let long_before = at.checked_sub(LENGTH * 2).unwrap();
    expect_that!(
        count_violations(End::Whole, &[long_before], at, GRANTED),
        eq(1)
    );
}

/// Another node is killed at the same time. This does not excuse a missing line of the node that
/// responded.
#[gtest]
fn check_logs_other_node_killed() {
    let at = Instant::now();
    let other = Outage { node: 1, at };
    expect_that!(
        count_violations_of(&[other], End::Whole, at, GRANTED),
        eq(1)
    );
}

/// Guards against a node that logs a caller's key, sends it to an endpoint, or passes on the
/// organisation that the caller claims. With the key, anyone who reads the logs could act for the
/// organisation; with a false claim, another organisation would be charged.
#[gtest]
fn check_keys_shown() {
    let run = |organisation: &str, has_caller_key| Run {
        replica: "i-1".into(),
        path: "/q/1".into(),
        prompt: String::new(),
        organisation: organisation.into(),
        has_caller_key,
        began: Instant::now(),
        ended: None,
    };
    let count_violations = |run: Run, log: &str| {
        let history = History::default();
        history.borrow_mut().insert("a1".into(), vec![run]);
        let mut report = Report::default();
        report.check_keys("secret", "mine", &history, &[log.to_owned()]);
        report.violations.len()
    };
    expect_that!(count_violations(run("mine", false), "a line"), eq(0));
    expect_that!(count_violations(run("mine", true), "a line"), eq(1));
    expect_that!(count_violations(run("other", false), "a line"), eq(1));
    expect_that!(count_violations(run("mine", false), "key=secret"), eq(1));
}

/// What is known of a request that was cut without an answer.
struct Cut {
    began: Instant,
    ended: Instant,
    run_ended: Option<Instant>,
    log: &'static str,
    ledger: Ledger,
}

impl Cut {
    /// A request that reached replica `i-1`, was sent `sent_ms` after the SIGTERM of its node and
    /// was cut 20 ms later.
    fn new(sent_ms: u64) -> Self {
        let stopped = Instant::now();
        let began = stopped + Duration::from_millis(sent_ms);
        let ended = began + Duration::from_millis(20);
        let mut ledger = Ledger::default();
        ledger.record_stop(0, stopped);
        Self {
            began,
            ended,
            run_ended: Some(ended),
            log: GRANTED,
            ledger,
        }
    }

    fn disrupt(&mut self, target: Target, before: Duration) {
        let at = self.began.checked_sub(before).unwrap();
        let index = self.ledger.begin(target, at);
        self.ledger.end(index, at);
    }

    fn count_violations(&self, is_answered: bool) -> usize {
        let request = Attempt {
            is_answered,
            began: self.began,
            ..attempt(End::Broken, self.ended)
        };
        let run = Run {
            replica: "i-1".into(),
            path: "/q/1".into(),
            prompt: String::new(),
            organisation: String::new(),
            has_caller_key: false,
            began: self.began,
            ended: self.run_ended,
        };
        let history = History::default();
        if !self.log.is_empty() {
            history.borrow_mut().insert("a1".into(), vec![run]);
        }
        let mut report = Report::default();
        report.check_stops(&[request], &self.ledger, &history, &[self.log.to_owned()]);
        report.violations.len()
    }
}

/// Guards against a request that is read in a planned stop and whose connection closes without an
/// answer, unnoticed.
#[gtest]
fn check_stops_cut() {
    expect_that!(Cut::new(6_297).count_violations(false), eq(1));
    expect_that!(Cut::new(6_297).count_violations(true), eq(0));
    // Outside the stop a cut may have any cause.
    expect_that!(Cut::new(9_100).count_violations(false), eq(0));
}

/// A request that a node refused for itself was read, although no replica knows of it.
#[gtest]
fn check_stops_unread() {
    let mut cut = Cut::new(6_297);
    cut.log = "";
    expect_that!(cut.count_violations(false), eq(0));
    let stopped = cut.began.checked_sub(Duration::from_millis(6_297)).unwrap();
    let mut ledger = Ledger::default();
    ledger.record_stop(0, stopped);
    let request = Attempt {
        began: cut.began,
        ..attempt(End::Broken, cut.ended)
    };
    let mut report = Report::default();
    report.check_stops(&[request], &ledger, &History::default(), &[AWAY.to_owned()]);
    expect_that!(report.violations.len(), eq(1));
}

/// A disruption excuses requests of its node or replica for 3 s, and no others.
#[gtest]
fn check_stops_disrupted() {
    let count = |target, before_ms| {
        let mut cut = Cut::new(5_000);
        cut.disrupt(target, Duration::from_millis(before_ms));
        cut.count_violations(false)
    };
    expect_that!(count(Target::Node(0), 2_900), eq(0));
    expect_that!(count(Target::Node(0), 3_100), eq(1));
    expect_that!(count(Target::Node(1), 100), eq(1));
    expect_that!(count(Target::Replica("i-1".into()), 100), eq(0));
    expect_that!(count(Target::Replica("i-2".into()), 100), eq(1));
}

/// A request that was sent early and is still run near the end of the grace period may be cut, and
/// one whose deadline has passed; a later one must be refused instead.
#[gtest]
fn check_stops_long() {
    let count = |sent_ms: u64, ended_ms: u64| {
        let mut cut = Cut::new(sent_ms);
        cut.ended = cut.began + Duration::from_millis(ended_ms - sent_ms);
        cut.run_ended = Some(cut.ended);
        cut.count_violations(false)
    };
    expect_that!(count(2_900, 7_500), eq(0));
    expect_that!(count(2_900, 6_600), eq(1));
    expect_that!(count(3_100, 7_500), eq(1));
    expect_that!(count(3_100, 8_050), eq(0));
}

/// A signal to another node does not make a request one of a planned stop.
#[gtest]
fn check_stops_other_node() {
    let mut cut = Cut::new(1_000);
    let mut ledger = Ledger::default();
    ledger.record_stop(1, cut.began);
    cut.ledger = ledger;
    expect_that!(cut.count_violations(false), eq(0));
}
