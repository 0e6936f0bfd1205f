//! Limits of organisations over all nodes.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::limit::{Admission, Bound, Demand, Limiter, Owner};
use auburnspoke::name::Name;
use auburnspoke::outcome::Reason;
use auburnspoke::request::Class;
use googletest::prelude::*;

const NODES: u32 = 6;

/// Sends `rates[node]` requests per second to each node for `seconds`, and returns the number
/// admitted in each second.
fn drive(bound: Bound, rates: &[u64], seconds: u64, owner_alive: bool) -> Vec<u32> {
    let organisation: Name = "sohar".into();
    let mut owner = Owner::default();
    let mut limiters: Vec<Limiter> = rates.iter().map(|_| Limiter::new(NODES)).collect();
    for limiter in &mut limiters {
        limiter.update([(Name::clone(&organisation), bound)]);
    }
    let mut admitted = vec![0; usize::try_from(seconds).unwrap()];
    for millis in 0..seconds * 1_000 {
        let now = Time::from_millis(1_000 + millis);
        for (node, limiter) in limiters.iter_mut().enumerate() {
            let every = 1_000 / rates[node].max(1);
            if rates[node] > 0 && millis % every == 0 && limiter.admit(now, &organisation).is_ok() {
                limiter.release(&organisation);
                admitted[usize::try_from(millis / 1_000).unwrap()] += 1;
            }
            let name: Name = format!("n{node}").into();
            for (organisation, demand) in limiter.reports(now) {
                if owner_alive {
                    let grant = owner.report(now, &name, &organisation, bound, demand);
                    limiter.grant(now, &organisation, grant);
                }
            }
        }
    }
    admitted
}

#[gtest]
fn rate_follows_demand() {
    // All of an organisation's callers use the same node. With equal parts they would get a
    // sixth of the organisation's rate.
    let bound = Bound {
        rate: 60,
        concurrency: 0,
    };
    let admitted = drive(bound, &[200, 0, 0, 0, 0, 0], 10, true);
    expect_that!(admitted[9], all!(ge(57), le(63)));
}

#[gtest]
fn rate_never_above() {
    // Every node receives more than the whole limit.
    let bound = Bound {
        rate: 60,
        concurrency: 0,
    };
    let admitted = drive(bound, &[100, 100, 100, 100, 100, 100], 10, true);
    for second in &admitted[2..] {
        expect_that!(*second, le(66));
    }
    expect_that!(admitted[9], ge(48));
}

#[gtest]
fn rate_owner_gone() {
    // The organisation's owner can't be reached. Gateways fall back on equal parts: less than
    // the limit where demand is uneven, never more.
    let bound = Bound {
        rate: 60,
        concurrency: 0,
    };
    let admitted = drive(bound, &[100, 100, 100, 100, 100, 100], 10, false);
    expect_that!(admitted[9], all!(ge(50), le(66)));
}

#[gtest]
fn grant_crossing_reports() {
    // The demand moves between two gateways and their reports cross. Their shares must never
    // add up to more than the limit.
    let bound = Bound {
        rate: 0,
        concurrency: 10,
    };
    let (organisation, mut owner): (Name, _) = ("sohar".into(), Owner::default());
    let mut held = [0, 0];
    for round in 0..20_u64 {
        for node in 0..2 {
            let much = (round / 3 + node as u64).is_multiple_of(2);
            let demand = Demand {
                rate: 0.0,
                concurrency: if much { 30 } else { 1 },
            };
            let now = Time::from_millis(1_000 * (round + 1));
            let name: Name = format!("n{node}").into();
            let grant = owner.report(now, &name, &organisation, bound, demand);
            held[node] = grant.concurrency;
            expect_that!(held[0] + held[1], le(10));
        }
    }
    expect_that!(held[0] + held[1], ge(9));
}

#[gtest]
fn admit_concurrency() {
    let organisation: Name = "nizwa".into();
    let mut limiter = Limiter::new(1);
    let bound = Bound {
        rate: 0,
        concurrency: 2,
    };
    limiter.update([(Name::clone(&organisation), bound)]);
    let now = Time::from_millis(1_000);
    expect_that!(limiter.admit(now, &organisation), ok(()));
    expect_that!(limiter.admit(now, &organisation), ok(()));
    let refusal = limiter.admit(now, &organisation).unwrap_err();
    expect_that!(refusal.reason, eq(Reason::Limited));
    expect_that!(refusal.retry_after, some(gt(Duration::ZERO)));
    limiter.release(&organisation);
    expect_that!(limiter.admit(now, &organisation), ok(()));
}

#[gtest]
fn admission_batch_first() {
    let organisation: Name = "trust".into();
    let mut admission = Admission::new(10);
    for _ in 0..7 {
        expect_that!(admission.admit(Class::Batch, &organisation), ok(()));
    }
    expect_that!(
        admission.admit(Class::Batch, &organisation),
        err(anything())
    );
    expect_that!(admission.admit(Class::Online, &organisation), ok(()));
}

#[gtest]
fn admission_fair_when_full() {
    // One organisation fills a gateway; a request of another one is still admitted.
    let (noisy, quiet): (Name, Name) = ("noisy".into(), "quiet".into());
    let mut admission = Admission::new(10);
    let admitted = (0..20).filter(|_| admission.admit(Class::Online, &noisy).is_ok());
    expect_that!(admitted.count(), eq(8));
    expect_that!(admission.admit(Class::Online, &quiet), ok(()));
    expect_that!(admission.admit(Class::Online, &noisy), err(anything()));
}
