//! Admission control of a service's endpoints: grants, queueing, refusals and
//! preemption of batch runs.

#[path = "support/pool.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::Endpoint;
use auburnspoke::clock::Time;
use auburnspoke::name::Name;
use auburnspoke::pool::message::{Class, End, Renewal, Requirements};
use auburnspoke::pool::{Action, Pool, Transition};
use auburnspoke::quarantine::Fingerprint;
use googletest::prelude::*;
use support::{SLOTS, at, endpoint, key, needs, pool};

/// Requests a slot at `now` and returns the pool's actions.
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

/// Fills every slot available to batch work, and returns the last sequence number.
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
fn acquire_free_slot() {
    let mut pool = pool(1);
    expect_that!(
        granted(&decide(&mut pool, at(0), 1, needs(Class::Online, 5_000))),
        some(eq("e0"))
    );
}

/// A burst of online requests arrives while batch work holds the slots. Each of them
/// must start at once and not wait for a batch item, which runs for seconds.
#[gtest]
fn acquire_online_stops_batch() {
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
    // One slot is reserved for online requests.
    expect_that!(stopped, eq(usize::try_from(2 * SLOTS - 1).unwrap()));
}

/// The batch run that is due last is preempted first.
#[gtest]
fn stop_latest_due() {
    let mut pool = pool(1);
    let last = fill_with_batch(&mut pool) - 1;
    decide(&mut pool, at(510), 900, needs(Class::Online, 5_000));
    let actions = decide(&mut pool, at(510), 901, needs(Class::Online, 5_000));
    expect_that!(actions, contains(eq(&Action::Stop(key(last)))));
}

/// The datagram with a stop gets lost. If it were not resent, the batch run would keep
/// a slot that counts as free, and an online request would wait behind it at the endpoint.
#[gtest]
fn stop_repeated_until_ended() {
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

/// Every slot holds an online request, and more arrive than can start in time. Each
/// further one is refused at once, with retry delays that differ so that the retries
/// do not come all together.
#[gtest]
fn acquire_overload_refused_at_once() {
    let mut pool = pool(1);
    let mut refused = Vec::new();
    for seq in 0..60 {
        for action in decide(&mut pool, at(0), seq, needs(Class::Online, 5_000)) {
            if let Action::Refuse(_, after) = action {
                refused.push(after);
            }
        }
    }
    // Eight run; two or three more slots become free within 230 ms.
    expect_that!(refused.len(), ge(48));
    let mut distinct = refused.clone();
    distinct.sort();
    distinct.dedup();
    expect_that!(distinct.len(), ge(8));
    expect_that!(refused, each(le(&Duration::from_secs(2))));
}

/// A request that can't start within its maximum wait is refused as soon as this is
/// known, not when the time has passed.
#[gtest]
fn acquire_max_wait_exceeded() {
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

/// A gateway crashes while it holds permits. Their slots must become free again.
#[gtest]
fn expire_gateway_gone() {
    let mut pool = pool(1);
    for seq in 0..8 {
        decide(&mut pool, at(0), seq, needs(Class::Online, 5_000));
    }
    let actions = decide(&mut pool, at(1_800), 100, needs(Class::Online, 5_000));
    expect_that!(granted(&actions), some(eq("e0")));
}

/// The pool's node crashes and another one starts without the permits. It must receive
/// renewals from the gateways before it grants batch work, so that no endpoint gets
/// more requests than it has slots.
#[gtest]
fn renew_new_pool_learns() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    for seq in 0..8 {
        let renewal = Renewal {
            seq,
            endpoint: "e0".into(),
            class: Class::Batch,
            organisation: 0,
            request: Fingerprint(0),
            suspect: false,
            due: Duration::from_secs(9),
            answering: false,
        };
        pool.renew(at(0), key(seq), &renewal, &mut actions);
    }
    let actions = decide(&mut pool, at(450), 100, needs(Class::Batch, 5_000));
    expect_that!(granted(&actions), none());
}

#[gtest]
fn acquire_batch_while_learning() {
    let mut pool = pool(1);
    expect_that!(
        granted(&decide(&mut pool, at(0), 1, needs(Class::Batch, 5_000))),
        none()
    );
}

/// The datagram with a grant gets lost and the gateway repeats its request. It must get
/// the same slot and not a second one.
#[gtest]
fn acquire_grant_lost() {
    let mut pool = pool(1);
    decide(&mut pool, at(0), 1, needs(Class::Online, 5_000));
    decide(&mut pool, at(25), 1, needs(Class::Online, 5_000));
    expect_that!(pool.gauge().held, eq(1));
}

/// An endpoint crashed. While it is down each attempt delays a caller, so it is
/// ejected for a while and then tried with a single request.
#[gtest]
fn release_failed_endpoint_ejected() {
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

/// After a restart of all nodes, each node runs its own pool until they have discovered
/// each other. If all pools broke ties between endpoints alike, one endpoint would get a
/// request of each node, and callers would wait there while other endpoints are idle.
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

/// An endpoint that is leaving must not get further requests.
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

/// An endpoint crashes with all of its slots in use and is back a second later. All of
/// its runs fail at once, which must count as a single failure; otherwise it would stay
/// paused for seconds.
#[gtest]
fn release_errors_at_once() {
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

/// When a request is refused although an endpoint is idle, the log must show when and
/// why that endpoint was ejected, and when it was restored.
#[gtest]
fn health_changed_ejected_and_restored() {
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
        elements_are![matches_pattern!(Action::HealthChanged(matches_pattern!(
            Transition::Ejected {
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
    let expected = Action::HealthChanged(Transition::Restored {
        endpoint: "e0".into(),
    });
    expect_that!(trusted, contains(eq(&expected)));
}

/// Half of the batch items of a job fail on every endpoint. The items are at fault, so
/// no endpoint may be ejected; otherwise none would be left for online requests.
#[gtest]
fn release_errors_on_every_endpoint() {
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

/// Every endpoint of a small service has failed a request once. All must be tried again;
/// otherwise the request would wait until its deadline.
#[gtest]
fn acquire_every_endpoint_avoided() {
    let mut pool = pool(2);
    let mut avoided = needs(Class::Online, 5_000);
    avoided.avoid = vec!["e0".into(), "e1".into()];
    expect_that!(
        granted(&decide(&mut pool, at(0), 1, avoided)),
        some(anything())
    );
}

/// An endpoint fails with all slots in use, and its process restarts under the same id.
/// If the state of the previous process were kept, the endpoint would be idle for
/// seconds while callers wait for a slot.
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

/// One organisation submits many jobs, and shortly afterwards another one submits a
/// single job that is due after them. Served strictly by due time, the single job would
/// be late by the duration of all the others.
#[gtest]
fn acquire_batch_between_organisations() {
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
