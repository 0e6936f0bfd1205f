//! Admission to the endpoints of a service: who gets a place, who waits, who is
//! told to come back, and which batch run gives way.

#[path = "support/pool.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::Endpoint;
use auburnspoke::clock::Time;
use auburnspoke::name::Name;
use auburnspoke::pool::message::{Class, End, Hold, Requirements};
use auburnspoke::pool::{Action, Judgement, Pool};
use auburnspoke::quarantine::Fingerprint;
use googletest::prelude::*;
use support::{SLOTS, at, endpoint, key, needs, pool};

/// Asks at `now` and returns what the pool does.
fn decide(pool: &mut Pool, now: Time, seq: u64, requirements: Requirements) -> Vec<Action> {
    let mut actions = Vec::new();
    pool.acquire(now, key(seq), requirements, &mut actions);
    pool.step(now, &mut actions);
    actions
}

fn granted(actions: &[Action]) -> Option<String> {
    actions.iter().find_map(|action| match action {
        Action::Grant(_, endpoint) => Some(endpoint.id.to_string()),
        _ => None,
    })
}

/// Fills every slot that batch work may take, as it does in a valley.
fn fill_with_batch(pool: &mut Pool) -> u64 {
    decide(pool, at(0), 1, needs(Class::Batch, 1_000));
    let mut seq = 2;
    while granted(&decide(
        pool,
        at(500),
        seq,
        needs(Class::Batch, 1_000 + seq),
    ))
    .is_some()
    {
        seq += 1;
    }
    seq
}

#[gtest]
fn ask_free_slot() {
    let mut pool = pool(1);
    expect_that!(
        granted(&decide(&mut pool, at(0), 1, needs(Class::Online, 5_000))),
        some(eq("e0"))
    );
}

/// A burst of questions arrives while batch work holds the slots. Each question
/// must start at once and not behind a batch item, which runs for seconds.
#[gtest]
fn ask_online_stops_batch() {
    let mut pool = pool(2);
    let next = fill_with_batch(&mut pool) + 1;
    let mut stopped = 0;
    for seq in next..next + u64::from(2 * SLOTS) {
        let actions = decide(&mut pool, at(510), seq, needs(Class::Online, 5_000));
        expect_that!(granted(&actions), some(anything()));
        stopped += actions
            .iter()
            .filter(|action| matches!(action, Action::Stop(_)))
            .count();
    }
    // One slot was kept free of batch work.
    expect_that!(stopped, eq(usize::try_from(2 * SLOTS - 1).unwrap()));
}

/// The run that is due last can wait longest, so it gives way first.
#[gtest]
fn stop_latest_due() {
    let mut pool = pool(1);
    let last = fill_with_batch(&mut pool) - 1;
    decide(&mut pool, at(510), 900, needs(Class::Online, 5_000));
    let actions = decide(&mut pool, at(510), 901, needs(Class::Online, 5_000));
    expect_that!(actions, contains(eq(&Action::Stop(key(last)))));
}

/// The datagram with a stop gets lost. The batch run would hold a slot that is
/// counted as free, and a question would wait at the endpoint behind it.
#[gtest]
fn stop_repeated_until_obeyed() {
    let mut pool = pool(1);
    let last = fill_with_batch(&mut pool) - 1;
    decide(&mut pool, at(510), 900, needs(Class::Online, 5_000));
    decide(&mut pool, at(510), 901, needs(Class::Online, 5_000));
    let mut actions = Vec::new();
    pool.step(at(700), &mut actions);
    expect_that!(actions, contains(eq(&Action::Stop(key(last)))));
    pool.release(at(701), key(last), End::Stopped);
    let mut actions = Vec::new();
    pool.step(at(900), &mut actions);
    expect_that!(actions, not(contains(eq(&Action::Stop(key(last))))));
}

/// Every slot holds a question and more come than can start in their time. Each
/// further one is told at once when to come back, spread over time, so that they
/// don't return together.
#[gtest]
fn ask_overload_refused_at_once() {
    let mut pool = pool(1);
    let mut refused = Vec::new();
    for seq in 0..60 {
        for action in decide(&mut pool, at(0), seq, needs(Class::Online, 5_000)) {
            if let Action::Refuse(_, after) = action {
                refused.push(after);
            }
        }
    }
    // Eight run; in 230 ms two or three more slots get free.
    expect_that!(refused.len(), ge(48));
    let mut distinct = refused.clone();
    distinct.sort();
    distinct.dedup();
    expect_that!(distinct.len(), ge(8));
    expect_that!(refused, each(le(&Duration::from_secs(2))));
}

/// A request that can't start in its time is refused when that becomes known,
/// not when its time has passed.
#[gtest]
fn ask_patience_over() {
    let mut pool = pool(1);
    for seq in 0..9 {
        decide(&mut pool, at(0), seq, needs(Class::Online, 5_000));
    }
    let mut actions = Vec::new();
    pool.step(at(150), &mut actions);
    expect_that!(
        actions,
        contains(matches_pattern!(Action::Refuse(eq(&key(8)), anything())))
    );
}

/// A gateway dies with what it holds. Its slots must not stay taken for good.
#[gtest]
fn expire_gateway_gone() {
    let mut pool = pool(1);
    for seq in 0..8 {
        decide(&mut pool, at(0), seq, needs(Class::Online, 5_000));
    }
    let actions = decide(&mut pool, at(1_800), 100, needs(Class::Online, 5_000));
    expect_that!(granted(&actions), some(eq("e0")));
}

/// The pool's node dies and another one begins without knowing who holds what.
/// It learns that from the gateways before it gives batch work anything, so that
/// no endpoint gets more requests than it has slots.
#[gtest]
fn hold_new_pool_learns() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    for seq in 0..8 {
        let hold = Hold {
            seq,
            endpoint: "e0".into(),
            class: Class::Batch,
            organisation: 0,
            request: Fingerprint(0),
            suspect: false,
            due: Duration::from_secs(9),
            answering: false,
        };
        pool.hold(at(0), key(seq), &hold, &mut actions);
    }
    let actions = decide(&mut pool, at(450), 100, needs(Class::Batch, 5_000));
    expect_that!(granted(&actions), none());
}

#[gtest]
fn ask_batch_while_learning() {
    let mut pool = pool(1);
    expect_that!(
        granted(&decide(&mut pool, at(0), 1, needs(Class::Batch, 5_000))),
        none()
    );
}

/// The datagram with a grant gets lost and the gateway asks again; it must get
/// the same place and not a second one.
#[gtest]
fn ask_grant_lost() {
    let mut pool = pool(1);
    decide(&mut pool, at(0), 1, needs(Class::Online, 5_000));
    decide(&mut pool, at(25), 1, needs(Class::Online, 5_000));
    expect_that!(pool.gauge().held, eq(1));
}

/// An endpoint crashed. While it is down each try costs a caller time, so it is
/// left out for a while and then tried with one request.
#[gtest]
fn release_failed_endpoint_left_out() {
    let mut pool = pool(2);
    let mut avoided = needs(Class::Online, 5_000);
    avoided.avoid = vec!["e1".into()];
    decide(&mut pool, at(0), 1, avoided);
    pool.release(at(1), key(1), End::Failed);
    for seq in 2..10 {
        let actions = decide(&mut pool, at(2), seq, needs(Class::Online, 5_000));
        expect_that!(granted(&actions), some(eq("e1")));
    }
    let actions = decide(&mut pool, at(600), 10, needs(Class::Online, 5_000));
    expect_that!(granted(&actions), some(eq("e0")));
    let actions = decide(&mut pool, at(600), 11, needs(Class::Online, 5_000));
    expect_that!(granted(&actions), none());
}

/// All nodes were killed and are back, and callers return at once. Until the
/// nodes have found each other each admits by a pool of its own. If these agreed
/// on which endpoint is the best of equals, it would get a request of each node,
/// and callers would wait there while other endpoints have nothing to do.
#[gtest]
fn grant_many_pools() {
    let mut held: BTreeMap<String, u32> = BTreeMap::new();
    let all: Vec<_> = (0..18).map(endpoint).collect();
    for salt in 0..10 {
        let mut pool = Pool::new(salt);
        pool.set_endpoints(all.iter());
        for seq in 0..9 {
            let mut anywhere = needs(Class::Online, 5_000);
            anywhere.zone = "elsewhere".into();
            let id = granted(&decide(&mut pool, at(0), seq, anywhere)).unwrap();
            *held.entry(id).or_default() += 1;
        }
    }
    let waiting: u32 = held.values().map(|held| held.saturating_sub(SLOTS)).sum();
    expect_that!(waiting, le(3), "{held:?}");
}

/// An endpoint that is leaving must get nothing more.
#[gtest]
fn set_endpoints_leaving() {
    let mut pool = pool(1);
    let leaving = Arc::new(Endpoint {
        ready: false,
        ..Endpoint::clone(&endpoint(0))
    });
    pool.set_endpoints([leaving].iter());
    expect_that!(
        granted(&decide(&mut pool, at(0), 1, needs(Class::Online, 5_000))),
        none()
    );
}

/// An endpoint crashes with all of its slots in use, and answers again a second
/// later. Every run on it breaks off at once; together they tell no more than
/// one of them, and it must not stay closed for seconds because there were many.
#[gtest]
fn release_errors_together() {
    let mut pool = pool(3);
    let mut first = BTreeSet::new();
    for seq in 0..u64::from(3 * SLOTS) {
        let actions = decide(&mut pool, at(0), seq, needs(Class::Online, 5_000));
        if granted(&actions).as_deref() == Some("e0") {
            first.insert(seq);
        }
    }
    let mut again = 100;
    let mut broken = 0;
    for seq in 0..u64::from(3 * SLOTS) {
        if first.contains(&seq) {
            pool.release(at(10), key(seq), End::Error);
            broken += 1;
        }
    }
    expect_that!(broken, eq(u64::from(SLOTS)));
    let closed = decide(&mut pool, at(20), again, needs(Class::Online, 5_000));
    expect_that!(granted(&closed), none());
    pool.release(at(21), key(again), End::Left);
    again += 1;
    let open = decide(&mut pool, at(700), again, needs(Class::Online, 5_000));
    expect_that!(granted(&open), some(eq("e0")));
}

/// A clerk was refused although one endpoint had nothing to do. Whoever looks
/// into it needs to see when it was left out, why, and when it was trusted again.
#[gtest]
fn judged_left_out_and_trusted() {
    let mut pool = pool(2);
    let mut actions = Vec::new();
    for seq in 0..3 {
        let mut to_first = needs(Class::Online, 5_000);
        to_first.avoid = vec!["e1".into()];
        decide(&mut pool, at(seq), seq, to_first);
        pool.release(at(seq), key(seq), End::Error);
    }
    pool.step(at(10), &mut actions);
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Judged(matches_pattern!(
            Judgement::LeftOut {
                endpoint: eq(&Name::from("e0")),
                strikes: eq(&1),
                errors_online: eq(&488),
                ..
            }
        )))]
    );
    let mut trusted = Vec::new();
    for seq in 10..16 {
        let mut to_first = needs(Class::Online, 5_000);
        to_first.avoid = vec!["e1".into()];
        decide(&mut pool, at(600 + seq), seq, to_first);
        pool.release(at(600 + seq), key(seq), End::Done);
        pool.step(at(600 + seq), &mut trusted);
    }
    let expected = Action::Judged(Judgement::Trusted {
        endpoint: "e0".into(),
    });
    expect_that!(trusted, contains(eq(&expected)));
}

/// Half of the batch items of a job can never be done, and every endpoint says
/// so. That is the items' fault; no endpoint may be left out for it, or
/// questions would find none.
#[gtest]
fn release_errors_everywhere() {
    let mut pool = pool(3);
    decide(&mut pool, at(0), 1, needs(Class::Batch, 5_000));
    pool.release(at(0), key(1), End::Left);
    let mut seq = 1;
    for round in 0..40 {
        let now = at(500 + round * 20);
        let held: Vec<u64> = (seq + 1..=seq + 3).collect();
        for seq in &held {
            let actions = decide(&mut pool, now, *seq, needs(Class::Batch, 5_000));
            expect_that!(granted(&actions), some(anything()));
        }
        for seq in &held {
            let end = [End::Error, End::Done][usize::try_from(round % 2).unwrap()];
            pool.release(now, key(*seq), end);
        }
        seq += 3;
    }
    for _ in 0..3 * SLOTS {
        seq += 1;
        let actions = decide(&mut pool, at(1_400), seq, needs(Class::Online, 5_000));
        expect_that!(granted(&actions), some(anything()));
    }
}

/// Every endpoint of a small service has failed a question once. There is no
/// other left to go to, and one of them may well answer it now; without a place
/// the clerk would wait until the deadline.
#[gtest]
fn ask_every_endpoint_avoided() {
    let mut pool = pool(2);
    let mut avoided = needs(Class::Online, 5_000);
    avoided.avoid = vec!["e0".into(), "e1".into()];
    expect_that!(
        granted(&decide(&mut pool, at(0), 1, avoided)),
        some(anything())
    );
}

/// An endpoint failed, full of requests, and its process starts again under the
/// same id. Were what is remembered of the earlier process kept, it would stand
/// idle for seconds while callers wait for a place.
#[gtest]
fn set_endpoints_restarted() {
    let mut pool = pool(1);
    for seq in 0..u64::from(SLOTS) {
        decide(&mut pool, at(0), seq, needs(Class::Online, 5_000));
    }
    pool.release(at(1), key(0), End::Failed);
    let restarted = Arc::new(Endpoint {
        incarnation: 5,
        ..Endpoint::clone(&endpoint(0))
    });
    pool.set_endpoints([restarted].iter());
    for seq in 100..100 + u64::from(SLOTS) {
        let actions = decide(&mut pool, at(2), seq, needs(Class::Online, 5_000));
        expect_that!(granted(&actions), some(eq("e0")));
    }
}

/// One organisation hands in a thousand jobs, and a moment later another one its
/// single job. All of the first one's are due before it; served in that order the
/// single job would be late by all of their time, and its planner without a sheet.
#[gtest]
fn ask_batch_between_organisations() {
    let of = |organisation, due_ms| Requirements {
        organisation,
        request: Fingerprint(0),
        suspect: false,
        ..needs(Class::Batch, due_ms)
    };
    let mut pool = pool(2);
    decide(&mut pool, at(0), 1, of(1, 5_000));
    for seq in 2..100 {
        decide(&mut pool, at(500), seq, of(1, 5_000 + seq));
    }
    expect_that!(
        granted(&decide(&mut pool, at(600), 100, of(2, 18_000))),
        none()
    );
    pool.release(at(700), key(3), End::Done);
    let mut actions = Vec::new();
    pool.step(at(700), &mut actions);
    let first = actions.iter().find_map(|action| match action {
        Action::Grant(key, _) => Some(key.seq),
        _ => None,
    });
    expect_that!(first, some(eq(100)));
}
