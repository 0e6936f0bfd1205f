//! Verdicts on parts of prompts that crash endpoints, whatever else the requests hold.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::quarantine::evidence::{Crash, Evidence, Ran, Stage, Status};
use auburnspoke::quarantine::record::{self, CrashRow, Key, Record};
use auburnspoke::quarantine::{Fingerprint, Subject};
use auburnspoke::wire;
use googletest::prelude::*;

/// The first part of all prompts.
const FIRST: Fingerprint = Fingerprint(0xf1);
/// A part that crashes endpoints.
const BAD: Fingerprint = Fingerprint(0xbad);
/// How long a request with it runs.
const RAN: Duration = Duration::from_millis(60);
/// Time after which verdicts are due.
const SETTLED_MS: u64 = 900;

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn crash(number: u64) -> Crash {
    Crash {
        endpoint: format!("e{number}").into(),
        incarnation: 0,
    }
}

fn subject(request: u64, parts: &[Fingerprint]) -> Subject {
    Subject {
        request: Fingerprint(request),
        parts: parts.into(),
    }
}

/// Records that a run of a request ended with its endpoint.
fn crashed(evidence: &mut Evidence, now: Time, number: u64, request: u64, parts: &[Fingerprint]) {
    let ran = Ran::new(RAN, 0, parts);
    evidence.add_crash(now, crash(number), Fingerprint(request), ran);
    evidence.update_blame();
}

/// Records that requests completed that share the first part only.
fn served(evidence: &mut Evidence, now: Time) {
    for _ in 0..20 {
        evidence.add_parts_completion(now, &[FIRST, Fingerprint(7)]);
    }
}

fn verdicts(evidence: &mut Evidence, now: Time) -> Vec<Fingerprint> {
    let reached = evidence.step(now);
    reached.into_iter().map(|it| it.request).collect()
}

/// Guards against requests that differ in all but one part and end endpoint after endpoint.
#[gtest]
fn step_requests_differ() {
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crashed(
            &mut evidence,
            at(number * 200),
            number,
            number,
            &[FIRST, BAD],
        );
    }
    served(&mut evidence, at(400));
    let next = subject(9, &[FIRST, BAD]);
    expect_that!(
        evidence.status_of(at(400), &next),
        matches_pattern!(Status::Held(_))
    );
    expect_that!(
        verdicts(&mut evidence, at(400 + SETTLED_MS)),
        elements_are![eq(&BAD)]
    );
    expect_that!(evidence.status_of(at(1_400), &next), eq(Status::Condemned));
}

/// Guards against a verdict on the part that sound requests share with those that crash endpoints,
/// also where none of them has completed yet.
#[gtest]
fn step_first_part_clear() {
    for completes in [false, true] {
        let mut evidence = Evidence::default();
        for number in 0..6 {
            let now = at(number * 200);
            crashed(&mut evidence, now, number, number, &[FIRST, BAD]);
            // The part's neighbours on the endpoint share the first part too.
            crashed(
                &mut evidence,
                now,
                number,
                100 + number,
                &[FIRST, Fingerprint(200 + number)],
            );
            if completes {
                evidence.add_part_completion(now, FIRST);
            }
            let sound = subject(50, &[FIRST, Fingerprint(7)]);
            expect_that!(evidence.status_of(now, &sound), eq(Status::Clear));
        }
        expect_that!(
            verdicts(&mut evidence, at(1_000 + SETTLED_MS)),
            elements_are![eq(&BAD)]
        );
        let sound = subject(50, &[FIRST, Fingerprint(7)]);
        expect_that!(evidence.status_of(at(2_000), &sound), eq(Status::Clear));
    }
}

/// Guards against a verdict on the part that sound requests share where it was at crashes of another
/// cause too, and so at more than the bad one, while hardly any endpoint is left to complete them.
#[gtest]
fn step_first_part_other_crash() {
    let mut evidence = Evidence::default();
    evidence.add_part_completion(at(0), FIRST);
    crashed(&mut evidence, at(5_000), 100, 100, &[FIRST]);
    let mut reached = Vec::new();
    for number in 0..5 {
        let now = at(6_000 + number * 1_000);
        crashed(&mut evidence, now, number, number, &[FIRST, BAD]);
        reached.extend(verdicts(
            &mut evidence,
            now + Duration::from_millis(SETTLED_MS),
        ));
        let sound = subject(50, &[FIRST, Fingerprint(7)]);
        expect_that!(evidence.status_of(now, &sound), eq(Status::Clear));
    }
    expect_that!(reached, elements_are![eq(&BAD)]);
}

/// Guards against a verdict on the part that sound requests share where two bad ones and other causes
/// end all endpoints before any request has completed: it was at more crashes than each of them.
#[gtest]
fn step_two_bad_parts() {
    let mut evidence = Evidence::default();
    let bad = [BAD, Fingerprint(0xbae)];
    let mut reached = Vec::new();
    for number in 0..14 {
        let now = at(number * 100);
        let part = bad[usize::try_from(number % 2).unwrap()];
        let next = subject(number, &[FIRST, part]);
        if evidence.status_of(now, &next) <= Status::Suspect {
            crashed(&mut evidence, now, number, number, &[FIRST, part]);
        }
        reached.extend(verdicts(&mut evidence, now));
    }
    reached.extend(verdicts(&mut evidence, at(1_300 + SETTLED_MS)));
    expect_that!(reached, unordered_elements_are![eq(&bad[0]), eq(&bad[1])]);
}

/// Guards against a verdict on the part that all requests share while all endpoints are down, so
/// that none completes; and against none on one that is bad while requests without it complete.
#[gtest]
fn step_first_part_bad() {
    for completes in [false, true] {
        let mut evidence = Evidence::default();
        let mut reached = Vec::new();
        for number in 0..6 {
            let now = at(number * 100);
            // The second part of some of the requests is the same.
            let second = Fingerprint(1_000 + number / 2);
            crashed(&mut evidence, now, number, number, &[BAD, second]);
            if completes {
                served(&mut evidence, now);
            }
            reached.extend(verdicts(&mut evidence, now));
        }
        reached.extend(verdicts(&mut evidence, at(600 + SETTLED_MS)));
        let expected: &[Fingerprint] = if completes { &[BAD] } else { &[] };
        expect_that!(reached, eq(expected));
    }
}

/// Guards against a verdict by chance on a part that some sound requests share, where other causes
/// end all endpoints again and again and nothing completes; and against none on a bad one then.
#[gtest]
fn step_nothing_completes() {
    let mut evidence = Evidence::default();
    for number in 0..5 {
        let now = at(number * 2_000);
        let settled = now + Duration::from_millis(SETTLED_MS);
        crashed(&mut evidence, now, number, number, &[FIRST, BAD]);
        let expected = if number < 4 { vec![] } else { vec![BAD] };
        expect_that!(verdicts(&mut evidence, settled), eq(&expected), "{number}");
    }
}

/// Guards against a verdict on the part of requests that ran beside others which crash endpoints by
/// themselves and are condemned for it.
#[gtest]
fn step_beside_killers() {
    let mut evidence = Evidence::default();
    let mut reached = Vec::new();
    for number in 0..12 {
        let now = at(number * 500);
        let killer = 1_000 + number / 3;
        crashed(&mut evidence, now, number, killer, &[]);
        // A sound request that has just begun.
        crashed(&mut evidence, now, number, number, &[FIRST]);
        reached.extend(verdicts(&mut evidence, now));
        reached.extend(verdicts(
            &mut evidence,
            now + Duration::from_millis(SETTLED_MS),
        ));
    }
    expect_that!(reached, not(contains(eq(&FIRST))));
}

/// Guards against a verdict on the parts of one request that crashes endpoints by itself.
#[gtest]
fn step_same_request() {
    let mut evidence = Evidence::default();
    for number in 0..4 {
        crashed(&mut evidence, at(number * 200), number, 1, &[FIRST, BAD]);
    }
    expect_that!(
        verdicts(&mut evidence, at(600 + SETTLED_MS)),
        elements_are![eq(&Fingerprint(1))]
    );
    let other = subject(2, &[FIRST, BAD]);
    expect_that!(evidence.status_of(at(1_600), &other), eq(Status::Clear));
}

/// Guards against a part that gets three crashes anew with each request, because a verdict on the
/// request explains them.
#[gtest]
fn step_second_request() {
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crashed(&mut evidence, at(number * 200), number, 1, &[FIRST, BAD]);
    }
    verdicts(&mut evidence, at(400 + SETTLED_MS));
    crashed(&mut evidence, at(2_000), 3, 2, &[FIRST, BAD]);
    served(&mut evidence, at(2_010));
    expect_that!(
        verdicts(&mut evidence, at(2_000 + SETTLED_MS)),
        elements_are![eq(&BAD)]
    );
}

/// Guards against a verdict by chance: many endpoints are lost at once, as with a zone, and nothing
/// completes for a while.
#[gtest]
fn step_zone_lost() {
    let mut evidence = Evidence::default();
    for number in 0..12 {
        // Their loss is noticed one after the other, within less than a run has lasted.
        let ran = Ran::new(Duration::from_millis(800), 0, &[FIRST, BAD]);
        evidence.add_crash(at(number * 50), crash(number), Fingerprint(number), ran);
    }
    expect_that!(verdicts(&mut evidence, at(5_000)), is_empty());
    let sound = subject(50, &[FIRST, BAD]);
    expect_that!(evidence.status_of(at(5_000), &sound), eq(Status::Clear));
}

/// Guards against a verdict by chance: endpoints crash one after the other for other reasons, and
/// requests with the part complete in between.
#[gtest]
fn step_completed_between() {
    let mut evidence = Evidence::default();
    for number in 0..30 {
        let now = at(number * 10_000);
        crashed(&mut evidence, now, number, number, &[FIRST]);
        expect_that!(evidence.add_part_completion(now + RAN, FIRST), eq(true));
        expect_that!(
            verdicts(&mut evidence, now + Duration::from_secs(2)),
            is_empty()
        );
    }
}

/// Guards against a part that crashes endpoints only from some moment on, and stays clear because
/// requests with it completed before.
#[gtest]
fn step_completed_before() {
    let mut evidence = Evidence::default();
    evidence.add_part_completion(at(0), BAD);
    evidence.add_part_completion(at(0), FIRST);
    let mut reached = Vec::new();
    for number in 0..20 {
        let now = at(number * 200);
        served(&mut evidence, now);
        let next = subject(number, &[FIRST, BAD]);
        if evidence.status_of(now, &next) <= Status::Suspect {
            crashed(&mut evidence, now, number, number, &[FIRST, BAD]);
        }
        reached.extend(verdicts(&mut evidence, now));
    }
    expect_that!(reached, elements_are![eq(&BAD)]);
}

/// Guards against a verdict on a part of requests that ran well until their endpoint crashed.
#[gtest]
fn new_has_written() {
    expect_that!(Ran::new(RAN, 7, &[BAD]).parts, elements_are![eq(&BAD)]);
    expect_that!(Ran::new(RAN, 8, &[BAD]).parts, is_empty());
}

/// Guards against a verdict on a part of requests that reached endpoints which had just crashed.
#[gtest]
fn new_not_begun() {
    let ran = Duration::from_millis(2);
    expect_that!(Ran::new(ran, 0, &[BAD]).parts, is_empty());
    expect_that!(Ran::new(ran, 1, &[BAD]).parts, elements_are![eq(&BAD)]);
    expect_that!(Ran::new(RAN, 0, &[BAD]).parts, elements_are![eq(&BAD)]);
}

/// Guards against a part whose quarantine has ended and that crashes three more endpoints.
#[gtest]
fn step_crashes_again() {
    const TERM_MS: u64 = 120_000;
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crashed(
            &mut evidence,
            at(number * 200),
            number,
            number,
            &[FIRST, BAD],
        );
    }
    served(&mut evidence, at(500));
    verdicts(&mut evidence, at(1_400));
    let later = 1_400 + TERM_MS + 1;
    let next = subject(9, &[FIRST, BAD]);
    verdicts(&mut evidence, at(later));
    expect_that!(evidence.status_of(at(later), &next), eq(Status::Suspect));
    expect_that!(evidence.admitted_as(at(later), &next), eq(BAD));
    crashed(&mut evidence, at(later), 9, 9, &[FIRST, BAD]);
    expect_that!(
        verdicts(&mut evidence, at(later + SETTLED_MS)),
        elements_are![eq(&BAD)]
    );
}

/// Guards against gossip that grows with traffic: a completion is reported only while the part is
/// blamed somewhere, and once a second.
#[gtest]
fn report_completions() {
    let mut evidence = Evidence::default();
    expect_that!(evidence.add_part_completion(at(0), FIRST), eq(false));
    // Another node blames it.
    let reported = evidence.take_part_reports(at(500), &[FIRST, BAD]);
    expect_that!(reported, elements_are![eq(&FIRST)]);
    expect_that!(evidence.take_part_reports(at(900), &[FIRST]), is_empty());
    expect_that!(evidence.take_part_reports(at(3_000), &[FIRST]), is_empty());
    crashed(&mut evidence, at(4_000), 1, 1, &[FIRST]);
    expect_that!(evidence.add_part_completion(at(4_100), FIRST), eq(true));
    expect_that!(evidence.add_part_completion(at(4_200), FIRST), eq(false));
}

/// Guards against memory that grows under a flood of parts that are all new.
#[gtest]
fn add_flood() {
    let mut evidence = Evidence::default();
    for number in 0..5_000 {
        let parts: Vec<_> = (0..8).map(|at| Fingerprint(number * 8 + at + 1)).collect();
        for part in &parts {
            evidence.add_part_completion(at(number), Fingerprint(part.0 | 1 << 60));
        }
        let ran = Ran::new(RAN, 0, &parts);
        evidence.add_crash(at(number), crash(number % 600), Fingerprint(number), ran);
    }
    let export = evidence.export(at(5_000));
    expect_that!(export.incidents.len(), le(256));
    for incident in export.incidents {
        expect_that!(incident.parts.len(), le(64));
    }
}

/// Guards against a flood of parts that all complete once, after which those of later requests are
/// blamed for crashes although they complete.
#[gtest]
fn add_completion_flood() {
    let mut evidence = Evidence::default();
    for number in 0..20_000 {
        evidence.add_part_completion(at(number), Fingerprint(1_000 + number));
    }
    evidence.add_part_completion(at(25_000), FIRST);
    crashed(&mut evidence, at(25_100), 1, 1, &[FIRST, BAD]);
    let incidents = evidence.export(at(25_200)).incidents;
    let parts = incidents[0]
        .parts
        .iter()
        .map(|it| it.part)
        .collect::<Vec<_>>();
    expect_that!(parts, elements_are![eq(&BAD)]);
}

/// Guards against evidence that is lost with a node: another one takes over what it exports.
#[gtest]
fn import_parts() {
    let mut evidence = Evidence::default();
    for number in 0..2 {
        crashed(
            &mut evidence,
            at(number * 200),
            number,
            number,
            &[FIRST, BAD],
        );
    }
    let mut other = Evidence::default();
    other.import(at(300), evidence.export(at(300)));
    crashed(&mut other, at(400), 2, 2, &[FIRST, BAD]);
    served(&mut other, at(410));
    expect_that!(
        verdicts(&mut other, at(400 + SETTLED_MS)),
        elements_are![eq(&BAD)]
    );
}

/// Guards against evidence that is lost when all nodes end: rows keep the parts.
#[gtest]
fn decode_crash_row() {
    let ran = Ran::new(RAN, 0, &[FIRST, BAD]);
    let row = CrashRow {
        until: 5,
        stage: ran.stage,
        ran: ran.ran,
        parts: ran.parts,
    };
    let key = Key::Crash(Fingerprint(1), crash(1));
    let decoded = record::decode(&key.to_string(), &wire::encode(&row).unwrap());
    expect_that!(
        decoded,
        ok(eq(&Record::Crash(Fingerprint(1), crash(1), row)))
    );
    expect_that!(Stage::of(RAN), eq(Stage::Early));
}

/// Guards against an organisation, or a service, whose requests are refused because of another's.
#[gtest]
fn new_other_organisation() {
    let request = Fingerprint(1);
    let parts = |service, organisation| {
        let ids = ["a", "b"].into_iter();
        Subject::new(request, service, organisation, ids).parts
    };
    let own = parts("s", Some("kitchens"));
    expect_that!(own.len(), eq(2));
    expect_that!(parts("s", Some("kitchens")), eq(&own));
    for other in [
        parts("s", Some("payments")),
        parts("s", None),
        parts("t", Some("kitchens")),
    ] {
        expect_that!(other.iter().any(|part| own.contains(part)), eq(false));
    }
}
