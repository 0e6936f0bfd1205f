//! Replays the load of payment runs against the pool: peaks of online requests, batch
//! work that always waits, and endpoints that fail.

#[path = "support/pool.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use auburnspoke::catalog::Endpoint;
use auburnspoke::name::Name;
use auburnspoke::pool::message::{Class, End, Renewal, Requirements};
use auburnspoke::pool::{Action, Key};
use auburnspoke::quarantine::Fingerprint;
use googletest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use support::{at, key, needs, pool};

/// Result of a replay.
#[derive(Debug, Default)]
struct Served {
    online: u32,
    /// Online requests that arrived in peaks.
    peak: u32,
    in_goal: u32,
    /// Slot-seconds used by batch work.
    batch: f64,
    /// Online requests and batch items that an endpoint answered with an error.
    errors: u32,
}

/// A fault of endpoints that pass health checks but fail requests.
#[derive(Clone, Copy, Debug, Default)]
struct Fault {
    /// Number of affected endpoints.
    endpoints: usize,
    /// Start of the fault in milliseconds.
    from_ms: u64,
    /// Fraction of their requests that fail.
    error_rate: f64,
    /// Time to the failure in milliseconds.
    delay: u64,
}

impl Fault {
    fn fails(&self, random: &mut ChaCha8Rng, now: u64, endpoint: &Endpoint) -> bool {
        let affected = (0..self.endpoints).any(|at| *endpoint.id == *format!("e{at}"));
        affected && now >= self.from_ms && random.random_bool(self.error_rate)
    }
}

/// Replays the load profile of payment runs, peaks of 1.85 times the mean for 2.2 s and
/// valleys of 0.38 times for 3 s, with batch work always waiting, on 9 endpoints of
/// 8 slots. Online requests take 0.7 s and batch items 4.8 s. A stopped run frees its
/// slot after 4 ms.
fn replay(seed: u64, mean_per_s: f64, fault: Fault) -> Served {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut pool = pool(9);
    let mut served = Served::default();
    let mut ends: BTreeMap<(u64, u64), (u64, End)> = BTreeMap::new();
    let mut running: BTreeMap<u64, (Class, u64, Name)> = BTreeMap::new();
    let mut asked: BTreeMap<u64, (Class, u64)> = BTreeMap::new();
    let mut failing: BTreeSet<u64> = BTreeSet::new();
    let mut seq = 0;
    for now in 0..30_000_u64 {
        let mut actions = Vec::new();
        let rate = if now % 5_200 < 3_000 { 0.378 } else { 1.85 } * mean_per_s;
        if random.random_bool(rate / 1_000.0) {
            seq += 1;
            served.online += 1;
            served.peak += u32::from(now % 5_200 >= 3_000);
            asked.insert(seq, (Class::Online, now));
            pool.acquire(at(now), key(seq), needs(Class::Online, 5_000), &mut actions);
        }
        let waiting = asked
            .values()
            .filter(|(class, _)| *class == Class::Batch)
            .count();
        for _ in waiting..24 {
            seq += 1;
            asked.insert(seq, (Class::Batch, now));
            let patient = Requirements {
                max_wait: Duration::from_secs(60),
                ..needs(Class::Batch, 18_000)
            };
            pool.acquire(at(now), key(seq), patient, &mut actions);
        }
        while let Some((&(when, id), &(seq, end))) = ends.iter().next()
            && when <= now
        {
            ends.remove(&(when, id));
            if let Some((class, began, _)) = running.remove(&seq) {
                if class == Class::Batch {
                    let ran = u32::try_from(now - began).unwrap();
                    served.batch += f64::from(ran) / 1_000.0;
                }
                pool.release(at(now), key(seq), end);
            }
        }
        if now % 200 == 0 {
            for (seq, (class, began, endpoint)) in &running {
                let renewal = Renewal {
                    seq: *seq,
                    endpoint: endpoint.clone(),
                    class: *class,
                    due: Duration::from_secs(18),
                    organisation: 0,
                    request: Fingerprint(0),
                    suspect: false,
                    answering: now >= began + 40 && !failing.contains(seq),
                };
                pool.renew(at(now), key(*seq), &renewal, &mut actions);
            }
            for (seq, (class, _)) in &asked {
                pool.acquire(at(now), key(*seq), needs(*class, 5_000), &mut actions);
            }
        }
        pool.step(at(now), &mut actions);
        for action in actions {
            match action {
                Action::Grant(Key { seq, .. }, endpoint) => {
                    let Some((class, since)) = asked.remove(&seq) else {
                        continue;
                    };
                    let (takes, end) = match class {
                        _ if fault.fails(&mut random, now, &endpoint) => (fault.delay, End::Error),
                        Class::Online => (700, End::Done),
                        Class::Batch => (4_800, End::Done),
                    };
                    served.errors += u32::from(end == End::Error);
                    if class == Class::Online && end == End::Done && now - since <= 230 {
                        served.in_goal += 1;
                    }
                    if end != End::Done {
                        failing.insert(seq);
                    }
                    running.insert(seq, (class, now, endpoint.id.clone()));
                    ends.insert((now + takes, seq), (seq, end));
                }
                Action::Stop(Key { seq, .. }) => {
                    ends.insert((now + 4, seq), (seq, End::Stopped));
                }
                Action::Refuse(Key { seq, .. }, _) => {
                    asked.remove(&seq);
                }
                Action::Queued(_) | Action::HealthChanged(_) => {}
            }
        }
    }
    served
}

/// At normal load no online request waits behind batch work, and batch work uses most of
/// the remaining capacity: 72 slots for 30 s less 42 x 0.7 s x 30 s.
#[gtest]
fn replay_peaks_usual() {
    for seed in 0..5 {
        let served = replay(seed, 42.0, Fault::default());
        expect_that!(served.in_goal, ge(served.online * 99 / 100), "{served:?}");
        let left = 72.0 * 30.0 - f64::from(served.online) * 0.7;
        expect_that!(served.batch / left, ge(0.85), "{served:?}");
    }
}

/// An endpoint answers everything with an error within a few milliseconds, but passes
/// its health check. Its slots are always free, so balancing by load alone would send it
/// most online requests while eight healthy endpoints have free slots.
#[gtest]
fn replay_endpoint_answers_errors() {
    let fault = Fault {
        endpoints: 1,
        from_ms: 5_000,
        error_rate: 1.0,
        delay: 3,
    };
    for seed in 0..5 {
        let served = replay(seed, 42.0, fault);
        expect_that!(served.errors, le(40), "{served:?}");
        expect_that!(served.in_goal, ge(served.online * 98 / 100), "{served:?}");
    }
}

/// A third of the endpoints fail 40% of their requests. One good answer must not restore
/// such an endpoint to all of its slots.
#[gtest]
fn replay_endpoints_answer_some_errors() {
    let fault = Fault {
        endpoints: 3,
        from_ms: 5_000,
        error_rate: 0.4,
        delay: 3,
    };
    for seed in 0..5 {
        let served = replay(seed, 42.0, fault);
        expect_that!(served.errors, le(80), "{served:?}");
        expect_that!(served.in_goal, ge(served.online * 9 / 10), "{served:?}");
    }
}

/// Most endpoints truncate 6% of their answers, as when a switch drops connections. None
/// of them may be ejected: they would have served more than what is lost, and half of
/// the slots would be missing at the next peak.
#[gtest]
fn replay_answers_broken_off() {
    let fault = Fault {
        endpoints: 7,
        from_ms: 2_000,
        error_rate: 0.06,
        delay: 200,
    };
    for seed in 0..5 {
        let served = replay(seed, 42.0, fault);
        expect_that!(served.in_goal, ge(served.online * 94 / 100), "{served:?}");
        let left = 72.0 * 30.0 - f64::from(served.online) * 0.7;
        expect_that!(served.batch / left, ge(0.90), "{served:?}");
    }
}

/// At twice the normal load the peaks exceed the capacity. The maximum that can be served
/// within the goal is what 72 slots start within a peak and the following 230 ms, plus
/// all requests in valleys. At least 95% of that must be served.
#[gtest]
fn replay_peaks_double() {
    for seed in 0..5 {
        let served = replay(seed, 84.0, Fault::default());
        let peaks = 30.0 / 5.2;
        let most = f64::from(served.peak).min(72.0 * 2.43 / 0.7 * peaks);
        let bound = most + f64::from(served.online - served.peak);
        expect_that!(f64::from(served.in_goal), ge(0.95 * bound), "{served:?}");
    }
}
