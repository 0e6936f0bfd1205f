//! Verdicts on requests that crash endpoints, their duration, and the placement of suspects.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::connect::Reachability;
use auburnspoke::pool::message::{Class, End, Requirements};
use auburnspoke::pool::{Action, Key, Pool};
use auburnspoke::quarantine::Fingerprint;
use auburnspoke::quarantine::backlog::Backlog;
use auburnspoke::quarantine::evidence::{Crash, Evidence, Ran, Stage, Status, Verdict};
use auburnspoke::quarantine::loss::{
    Entry, Finding, classify, classify_later, has_ended, probe_after_failure,
};
use auburnspoke::quarantine::record::Observation;
use googletest::prelude::*;

#[path = "support/pool.rs"]
mod support;

use support::{at, key, needs, pool};

const KILLER: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
/// Term of a first verdict.
const TERM_MS: u64 = 900_000;

fn crash(number: u64) -> Crash {
    Crash {
        endpoint: format!("e{number}").into(),
        incarnation: number,
    }
}

fn crashed(evidence: &mut Evidence, now: Time, number: u64, requests: &[Fingerprint]) {
    for request in requests {
        evidence.add_crash(now, crash(number), *request, Stage::Early);
    }
    evidence.update_blame();
}

fn verdicts(evidence: &mut Evidence, now: Time) -> Vec<Fingerprint> {
    let reached = evidence.step(now);
    reached.into_iter().map(|it| it.request).collect()
}

#[gtest]
fn step_three_crashes() {
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crashed(&mut evidence, at(number), number, &[KILLER]);
    }
    expect_that!(
        evidence.status(at(2), KILLER),
        matches_pattern!(Status::Held(_))
    );
    expect_that!(verdicts(&mut evidence, at(2)), is_empty());
    expect_that!(verdicts(&mut evidence, at(900)), elements_are![eq(&KILLER)]);
    expect_that!(evidence.status(at(900), KILLER), eq(Status::Condemned));
}

/// A batch item runs for seconds and is retried after each crash. Where endpoints crash for
/// other reasons it runs into several of these crashes; three must not condemn it.
#[gtest]
fn step_long_runs() {
    let mut evidence = Evidence::default();
    for number in 0..6 {
        expect_that!(verdicts(&mut evidence, at(1_000 * number)), is_empty());
        evidence.add_crash(at(1_000 * number), crash(number), OTHER, Stage::Late);
    }
    expect_that!(
        verdicts(&mut evidence, at(7_000)),
        elements_are![eq(&OTHER)]
    );
}

/// A crash that several nodes observe and report repeatedly counts once.
#[gtest]
fn add_same_crash() {
    let mut evidence = Evidence::default();
    for _ in 0..5 {
        crashed(&mut evidence, at(0), 1, &[KILLER]);
    }
    expect_that!(verdicts(&mut evidence, at(1_000)), is_empty());
    expect_that!(evidence.status(at(1_000), KILLER), eq(Status::Suspect));
}

/// Another request ran beside the killer at each endpoint but one: it is not to blame.
#[gtest]
fn step_neighbour_clear() {
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crashed(&mut evidence, at(0), number, &[KILLER, OTHER]);
    }
    crashed(&mut evidence, at(0), 3, &[KILLER]);
    expect_that!(verdicts(&mut evidence, at(900)), elements_are![eq(&KILLER)]);
    expect_that!(evidence.status(at(900), OTHER), eq(Status::Clear));
}

/// Two requests that ran together at each crash can't be told apart: both may still run, one
/// at a time, until a further crash shows which one is to blame.
#[gtest]
fn step_tied() {
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crashed(&mut evidence, at(0), number, &[KILLER, OTHER]);
    }
    expect_that!(verdicts(&mut evidence, at(900)), is_empty());
    expect_that!(evidence.status(at(900), KILLER), eq(Status::Suspect));
    crashed(&mut evidence, at(1_000), 3, &[KILLER]);
    expect_that!(
        verdicts(&mut evidence, at(1_900)),
        elements_are![eq(&KILLER)]
    );
    expect_that!(evidence.status(at(1_900), OTHER), eq(Status::Clear));
}

/// Two killers that never run together are both found, in one step.
#[gtest]
fn step_two_killers() {
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crashed(&mut evidence, at(0), number, &[KILLER]);
        crashed(&mut evidence, at(0), 10 + number, &[OTHER]);
    }
    let mut found = verdicts(&mut evidence, at(900));
    found.sort();
    expect_that!(found, elements_are![eq(&KILLER), eq(&OTHER)]);
}

/// Guards against two killers that once ran on the same endpoint, take turns afterwards, and
/// excuse each other for ever because they crash equally many endpoints.
#[gtest]
fn step_killers_take_turns() {
    let mut evidence = Evidence::default();
    crashed(&mut evidence, at(0), 0, &[KILLER, OTHER]);
    let mut found = Vec::new();
    for turn in 1..=4 {
        let now = 1_000 * turn;
        crashed(&mut evidence, at(now), 2 * turn, &[KILLER]);
        crashed(&mut evidence, at(now + 130), 2 * turn + 1, &[OTHER]);
        found.extend(verdicts(&mut evidence, at(now + 990)));
    }
    expect_that!(found, unordered_elements_are![eq(&KILLER), eq(&OTHER)]);
}

/// A request with as many crashes as a killer, all of them beside it, is not to blame for them
/// once the killer has crashed endpoints by itself.
#[gtest]
fn step_neighbour_of_killer() {
    let mut evidence = Evidence::default();
    for number in 0..2 {
        crashed(&mut evidence, at(0), number, &[KILLER, OTHER]);
    }
    for number in 2..5 {
        crashed(&mut evidence, at(0), number, &[KILLER]);
    }
    crashed(&mut evidence, at(0), 5, &[OTHER]);
    expect_that!(verdicts(&mut evidence, at(900)), elements_are![eq(&KILLER)]);
    expect_that!(evidence.status(at(900), OTHER), eq(Status::Suspect));
}

/// A completed run clears a request: otherwise endpoints that crash for other reasons would
/// condemn a request that is sent often.
#[gtest]
fn add_completion_clears() {
    let mut evidence = Evidence::default();
    crashed(&mut evidence, at(0), 1, &[OTHER]);
    crashed(&mut evidence, at(0), 2, &[OTHER]);
    evidence.add_completion(at(10), OTHER);
    expect_that!(evidence.status(at(10), OTHER), eq(Status::Clear));
    crashed(&mut evidence, at(20), 3, &[OTHER]);
    expect_that!(verdicts(&mut evidence, at(1_000)), is_empty());
}

/// The fault in the model may have been fixed, so a verdict ends; a single further crash
/// renews it with a longer term.
#[gtest]
fn step_verdict_ends() {
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crashed(&mut evidence, at(0), number, &[KILLER]);
    }
    evidence.step(at(900));
    let ended = 900 + TERM_MS;
    evidence.step(at(ended));
    expect_that!(evidence.status(at(ended), KILLER), eq(Status::Suspect));
    crashed(&mut evidence, at(ended + 10), 9, &[KILLER, OTHER]);
    let again = evidence.step(at(ended + 900));
    expect_that!(again, len(eq(1)));
    expect_that!(again[0].request, eq(KILLER));
    expect_that!(again[0].term, eq(Duration::from_millis(2 * TERM_MS)));
}

/// A node that has just started has seen no crash and relies on the stored verdicts.
#[gtest]
fn condemn_from_store() {
    let mut evidence = Evidence::default();
    let verdict = Verdict {
        until: at(5_000),
        times: 1,
        is_doubtful: false,
    };
    evidence.condemn(KILLER, verdict);
    expect_that!(evidence.status(at(0), KILLER), eq(Status::Condemned));
    expect_that!(evidence.status(at(5_000), KILLER), eq(Status::Suspect));
}

/// Guards against a node that has just started and knows neither the verdicts nor the crashes
/// that lead to one.
#[gtest]
fn import_from_peer() {
    let mut peer = Evidence::default();
    for number in 0..3 {
        crashed(&mut peer, at(0), number, &[KILLER]);
    }
    peer.step(at(900));
    for number in 3..5 {
        crashed(&mut peer, at(900), number, &[OTHER]);
    }
    let mut evidence = Evidence::default();
    evidence.import(at(1_000), peer.export(at(1_000)));
    expect_that!(evidence.status(at(1_000), KILLER), eq(Status::Condemned));
    expect_that!(evidence.status(at(1_000), OTHER), eq(Status::Suspect));
    crashed(&mut evidence, at(1_100), 5, &[OTHER]);
    expect_that!(
        verdicts(&mut evidence, at(2_000)),
        elements_are![eq(&OTHER)]
    );
    expect_that!(evidence.export(at(2_000)).verdicts, len(eq(2)));
    // A second import of the same crashes changes nothing.
    evidence.import(at(2_000), peer.export(at(2_000)));
    expect_that!(verdicts(&mut evidence, at(3_000)), is_empty());
}

/// Guards against a process that was paused and runs a request before it has applied what other
/// nodes observed meanwhile.
#[gtest]
fn wait_after_pause() {
    let mut backlog = Backlog::default();
    for step in 0..=10 {
        backlog.step(at(100 * step));
    }
    expect_that!(backlog.wait(at(1_090)), none());
    // It has not taken a step since the pause.
    expect_that!(backlog.wait(at(2_000)), some(anything()));
    backlog.step(at(2_001));
    expect_that!(
        backlog.wait(at(2_001)),
        some(eq(Duration::from_millis(100)))
    );
    backlog.step(at(2_101));
    expect_that!(backlog.wait(at(2_101)), none());
}

/// A flood of distinct requests that each crash an endpoint must neither exhaust memory nor
/// evict the newest crashes.
#[gtest]
fn add_flood() {
    let mut evidence = Evidence::default();
    for number in 0..2_000 {
        crashed(
            &mut evidence,
            at(number),
            number,
            &[Fingerprint(100 + number)],
        );
    }
    let known = (0..2_000).filter(|it| evidence.is_known(Fingerprint(100 + it)));
    expect_that!(known.count(), le(256));
    expect_that!(evidence.is_known(Fingerprint(100 + 1_999)), eq(true));
}

/// Guards against an answer that counts as whole, although a leaving endpoint has cut it off: its
/// connection closes as at the end of a whole one.
#[gtest]
fn has_ended_each_entry() {
    for entry in [Entry::Ready, Entry::Draining, Entry::Gone, Entry::Replaced] {
        expect_that!(
            has_ended(entry, Reachability::Refused),
            eq(true),
            "{entry:?}"
        );
        let is_other = entry == Entry::Replaced;
        expect_that!(
            has_ended(entry, Reachability::Open),
            eq(is_other),
            "{entry:?}"
        );
    }
    // A listener that is merely overloaded is silent, too.
    expect_that!(has_ended(Entry::Ready, Reachability::Silent), eq(false));
    expect_that!(has_ended(Entry::Draining, Reachability::Silent), eq(true));
    expect_that!(has_ended(Entry::Gone, Reachability::Silent), eq(true));
}

/// A lost answer, a reset or cut connection, and an endpoint that leaves as planned are no
/// crash.
#[gtest]
fn classify_causes() {
    use Finding::{Crashed, NotCrashed, Undecided};
    let now = [
        (Entry::Ready, Reachability::Refused, Crashed),
        (Entry::Replaced, Reachability::Open, Crashed),
        (Entry::Ready, Reachability::Open, Undecided),
        (Entry::Ready, Reachability::Silent, Undecided),
        (Entry::Draining, Reachability::Refused, NotCrashed),
        (Entry::Gone, Reachability::Refused, NotCrashed),
    ];
    for (entry, listener, finding) in now {
        expect_that!(
            classify(entry, listener),
            eq(finding),
            "{entry:?} {listener:?}"
        );
    }
    let later = [
        (Entry::Ready, Reachability::Open, Undecided),
        (Entry::Replaced, Reachability::Open, Crashed),
        (Entry::Gone, Reachability::Silent, Crashed),
        (Entry::Gone, Reachability::Open, NotCrashed),
        (Entry::Draining, Reachability::Refused, NotCrashed),
    ];
    for (entry, listener, finding) in later {
        expect_that!(
            classify_later(entry, listener),
            eq(finding),
            "{entry:?} {listener:?}"
        );
    }
}

#[gtest]
fn note_round() {
    for observation in [
        Observation::Crashed(KILLER, crash(7), Stage::Early.into()),
        Observation::Crashed(KILLER, crash(7), Stage::Late.into()),
        Observation::Crashed(
            KILLER,
            crash(7),
            Ran::new(Duration::from_millis(70), 0, &[OTHER, KILLER]),
        ),
        Observation::Crashed(
            KILLER,
            crash(7),
            Ran::new(Duration::from_secs(70), 0, &[OTHER]),
        ),
        Observation::PartCompleted(OTHER),
        Observation::Completed(OTHER),
    ] {
        let note = observation.note(1);
        expect_that!(Observation::read(&note), some(eq(&observation)));
    }
}

#[gtest]
fn fingerprint_parts() {
    let one = Fingerprint::of("h", Some("a"), "/q/", b"body");
    expect_that!(Fingerprint::of("h", Some("a"), "/q/", b"body"), eq(one));
    for other in [
        Fingerprint::of("i", Some("a"), "/q/", b"body"),
        Fingerprint::of("h", Some("b"), "/q/", b"body"),
        Fingerprint::of("h", None, "/q/", b"body"),
        Fingerprint::of("h", Some("a"), "/q/b", b"ody"),
        Fingerprint::of("h", Some("a"), "/q/", b"bodies"),
    ] {
        expect_that!(other, not(eq(one)));
    }
}

fn suspect(request: u64) -> Requirements {
    Requirements {
        request: Fingerprint(request),
        suspect: true,
        ..needs(Class::Online, 5_000)
    }
}

/// Returns the endpoints granted at `now`, by request.
fn granted(pool: &mut Pool, now: Time) -> Vec<(Key, String)> {
    let mut actions = Vec::new();
    pool.step(now, &mut actions);
    let grants = actions.into_iter().filter_map(|action| match action {
        Action::Grant(key, endpoint) => Some((key, endpoint.id.to_string())),
        _ => None,
    });
    grants.collect()
}

/// Copies of a suspect at several gateways must not crash several endpoints at once.
#[gtest]
fn ask_suspect_twice() {
    let mut pool = pool(4);
    let mut actions = Vec::new();
    for seq in 0..3 {
        pool.acquire(at(0), key(seq), suspect(7), &mut actions);
    }
    let first = granted(&mut pool, at(0));
    expect_that!(first, len(eq(1)));
    pool.release(at(50), first[0].0, End::Error);
    expect_that!(granted(&mut pool, at(50)), len(eq(1)));
}

/// Two suspects at the same endpoint could not be told apart after a crash.
#[gtest]
fn ask_suspects_apart() {
    let mut pool = pool(3);
    let mut actions = Vec::new();
    for seq in 0..3 {
        pool.acquire(at(0), key(seq), suspect(seq + 1), &mut actions);
    }
    let mut places: Vec<String> = granted(&mut pool, at(0))
        .into_iter()
        .map(|(_, endpoint)| endpoint)
        .collect();
    places.sort();
    expect_that!(places, elements_are![eq("e0"), eq("e1"), eq("e2")]);
}

/// Each endpoint that a killer crashes before all nodes have its verdict is lost to other
/// requests: from the second crash on, the request is held back, longer after each crash.
#[gtest]
fn release_crashed_backoff() {
    let mut pool = pool(4);
    let mut actions = Vec::new();
    let mut now = 0;
    for (seq, rest) in [(0, 0), (1, 500), (2, 1_000)] {
        pool.acquire(at(now), key(seq), suspect(7), &mut actions);
        let granted = granted(&mut pool, at(now));
        expect_that!(granted, len(eq(1)), "{seq}");
        pool.release(at(now), key(seq), End::Crashed);
        now += rest;
        if rest > 0 {
            let early = key(10 + seq);
            pool.acquire(at(now - 100), early, suspect(7), &mut actions);
            expect_that!(self::granted(&mut pool, at(now - 100)), is_empty());
            pool.release(at(now - 100), early, End::Left);
        }
    }
}

/// Returns a pool that has learned all permits, so that it grants batch work from `at(500)` on.
fn settled_pool(endpoints: usize) -> Pool {
    let mut pool = pool(endpoints);
    let mut actions = Vec::new();
    pool.acquire(at(0), key(1_000), needs(Class::Online, 5_000), &mut actions);
    granted(&mut pool, at(0));
    pool.release(at(0), key(1_000), End::Left);
    pool
}

/// Guards against items of batch jobs that wait one for the other, because endpoints crashed under
/// them: an item is never the cause.
#[gtest]
fn release_crashed_items() {
    let item = |request| Requirements {
        request: Fingerprint(request),
        avoid: vec!["e1".into()],
        ..needs(Class::Batch, 5_000)
    };
    let mut pool = settled_pool(2);
    let mut actions = Vec::new();
    let mut next = 0;
    for round in 0..3 {
        let now = at(500 + round);
        for request in 0..4 {
            pool.acquire(now, key(next + request), item(request), &mut actions);
        }
        expect_that!(granted(&mut pool, now), len(eq(4)), "{round}");
        for request in 0..4 {
            pool.release(now, key(next + request), End::Crashed);
        }
        next += 4;
        // The endpoint's next process.
        pool.remove_endpoint(&"e0".into());
        pool.put_endpoint(&support::endpoint(0));
    }
}

/// Guards against an item that waits for a suspect online request of the same content, and against a
/// suspect that is cleared by such an item.
#[gtest]
fn release_item_beside_equal_suspect() {
    let item = Requirements {
        request: Fingerprint(7),
        ..needs(Class::Batch, 5_000)
    };
    let mut pool = settled_pool(4);
    let mut actions = Vec::new();
    pool.acquire(at(500), key(0), suspect(7), &mut actions);
    expect_that!(granted(&mut pool, at(500)), len(eq(1)));
    pool.acquire(at(500), key(1), item, &mut actions);
    expect_that!(granted(&mut pool, at(500)), len(eq(1)));
    pool.release(at(510), key(1), End::Done);
    let copy = Requirements {
        suspect: false,
        ..suspect(7)
    };
    pool.acquire(at(510), key(2), copy, &mut actions);
    expect_that!(granted(&mut pool, at(510)), is_empty());
}

/// Guards against a request that crashes endpoints and is not suspected, because only items saw the
/// crash.
#[gtest]
fn release_crashed_item_beside_request() {
    let mut pool = settled_pool(2);
    let mut actions = Vec::new();
    let request = |suspect| Requirements {
        request: OTHER,
        suspect,
        avoid: vec!["e1".into()],
        ..needs(Class::Online, 5_000)
    };
    let item = Requirements {
        avoid: vec!["e1".into()],
        ..needs(Class::Batch, 5_000)
    };
    pool.acquire(at(500), key(0), request(false), &mut actions);
    pool.acquire(at(500), key(1), item, &mut actions);
    expect_that!(granted(&mut pool, at(500)), len(eq(2)));
    pool.release(at(550), key(1), End::Crashed);
    // The first run has not ended, so a second one of a suspect has to wait.
    pool.acquire(at(560), key(2), request(false), &mut actions);
    expect_that!(granted(&mut pool, at(560)), is_empty());
}

/// A request that ran beside a killer is granted again immediately, although no gateway has
/// identified the killer yet.
#[gtest]
fn release_crashed_neighbours() {
    let mut pool = pool(2);
    let mut actions = Vec::new();
    let neighbour = Requirements {
        request: OTHER,
        avoid: vec!["e1".into()],
        ..needs(Class::Online, 5_000)
    };
    let killer = Requirements {
        avoid: vec!["e1".into()],
        ..suspect(1)
    };
    pool.acquire(at(0), key(0), killer, &mut actions);
    pool.acquire(at(0), key(1), neighbour.clone(), &mut actions);
    expect_that!(granted(&mut pool, at(0)), len(eq(2)));
    pool.release(at(50), key(0), End::Crashed);
    pool.release(at(50), key(1), End::Crashed);
    let again = Requirements {
        avoid: vec!["e0".into()],
        ..neighbour
    };
    pool.acquire(at(50), key(2), again, &mut actions);
    expect_that!(granted(&mut pool, at(50)), len(eq(1)));
}

/// Guards against a crash that is taken for a lost answer, because the endpoint's process closes
/// its listener after its connections.
#[gtest]
fn probe_listener_closes_late() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let found = actix_rt::System::new().block_on(async {
        let close = async move {
            actix_rt::time::sleep(Duration::from_millis(3)).await;
            drop(listener);
        };
        // Closing is polled first, so a pause of this process can't put it after the second probe.
        futures_util::join!(close, probe_after_failure(address)).1
    });
    expect_that!(found, eq(Reachability::Refused));
}

/// Records that endpoints which ran nothing in common crashed at this time.
fn crash_others(evidence: &mut Evidence, now: Time, burst: u64) {
    for other in 0..4 {
        let number = 1_000 + burst * 10 + other;
        evidence.add_crash(now, crash(number), Fingerprint(number), Stage::Early);
    }
}

/// Guards against a request that is refused for a quarter of an hour, because endpoints crashed in
/// bursts while it ran; and against one that its completion doesn't free.
#[gtest]
fn step_bursts() {
    let mut evidence = Evidence::default();
    for burst in 0..3 {
        let now = at(burst * 400);
        crash_others(&mut evidence, now, burst);
        evidence.add_crash(now, crash(burst), KILLER, Stage::Early);
    }
    let reached = evidence.step(at(2_000));
    expect_that!(reached.len(), eq(1));
    expect_that!(reached[0].request, eq(KILLER));
    expect_that!(reached[0].term, le(Duration::from_secs(2)));
    expect_that!(evidence.status(at(2_100), KILLER), eq(Status::Condemned));
    // No crash has followed, so it may run, and is not condemned again for the same crashes.
    expect_that!(evidence.step(at(4_100)), is_empty());
    expect_that!(evidence.status(at(4_100), KILLER), eq(Status::Suspect));
    expect_that!(evidence.add_completion(at(4_500), KILLER), eq(true));
    expect_that!(evidence.status(at(4_600), KILLER), eq(Status::Clear));
}

/// Guards against a request that crashes endpoints again and again, because others crashed beside the
/// first ones: it is refused for long after two that it crashed alone.
#[gtest]
fn step_bursts_then_alone() {
    let mut evidence = Evidence::default();
    let mut now = at(0);
    let mut ended = 0;
    let mut term = Duration::ZERO;
    while term < Duration::from_secs(900) {
        if ended < 3 {
            crash_others(&mut evidence, now, ended);
        }
        evidence.add_crash(now, crash(ended), KILLER, Stage::Early);
        ended += 1;
        expect_that!(ended, le(5));
        let settled = now + Duration::from_millis(900);
        let reached = evidence.step(settled);
        term = reached.first().map_or(Duration::ZERO, |it| it.term);
        now = settled + term + Duration::from_millis(200);
    }
    expect_that!(ended, eq(5));
}

/// Guards against a request that runs more than three times later than 3 s after its third crash,
/// because each of these runs ends beside other endpoints and the next verdict is short again.
#[gtest]
fn step_crashes_beside_others_throughout() {
    let mut evidence = Evidence::default();
    let mut late = 0;
    let mut next_run = 0;
    let mut crashes = 0;
    for now in (0..600_000).step_by(100) {
        evidence.step(at(now));
        let may_run = matches!(
            evidence.status(at(now), KILLER),
            Status::Clear | Status::Suspect
        );
        if !may_run || now < next_run {
            continue;
        }
        let third_crash_at = 800;
        late += usize::from(crashes >= 3 && now > third_crash_at + 3_000);
        crash_others(&mut evidence, at(now), crashes);
        evidence.add_crash(at(now), crash(crashes), KILLER, Stage::Early);
        crashes += 1;
        next_run = now + 400;
    }
    expect_that!(crashes, ge(3));
    expect_that!(late, le(3));
}

/// Guards against a request that crashes endpoint after endpoint, because a node that has just started
/// takes the end of an earlier verdict for the time of its start, and the crashes since for explained.
#[gtest]
fn import_ended_verdict() {
    let mut evidence = Evidence::default();
    for number in 0..3 {
        crash_others(&mut evidence, at(number), number);
        evidence.add_crash(at(number), crash(number), KILLER, Stage::Early);
    }
    expect_that!(evidence.step(at(1_000)).len(), eq(1));
    evidence.add_crash(at(4_000), crash(3), KILLER, Stage::Early);
    let mut other = Evidence::default();
    other.import(at(4_100), evidence.export(at(4_100)));
    expect_that!(
        other.status(at(4_100), KILLER),
        matches_pattern!(Status::Held(_))
    );
    expect_that!(other.step(at(5_000)).len(), eq(1));
}
