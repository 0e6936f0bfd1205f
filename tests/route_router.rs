//! Selection of an endpoint at a gateway.

use std::collections::BTreeMap;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::Load;
use auburnspoke::name::Name;
use auburnspoke::route::{Cause, Query, Router, Target, Verdict};
use googletest::prelude::*;

const SERVICE: &str = "notes";

fn router(endpoints: usize) -> Router {
    let mut router = Router::new("a".into(), 3);
    router.update((0..endpoints).map(|at| Target {
        name: format!("e{at}").into(),
        zone: ["a", "b", "c"][at % 3].into(),
        services: vec![SERVICE.into()],
    }));
    router
}

fn query<'a>() -> Query<'a> {
    Query {
        service: SERVICE,
        blocks: &[],
        tried: &[],
        repeatable: true,
    }
}

/// Sends a request every 10 ms. `millis` returns an endpoint's time to the first token,
/// or `None` for never. Returns how often each endpoint was chosen.
fn drive<F>(router: &mut Router, from: u64, count: u64, millis: F) -> BTreeMap<Name, u32>
where
    F: Fn(&str) -> Option<u64>,
{
    let mut chosen = BTreeMap::new();
    let mut due: Vec<(u64, u64)> = Vec::new();
    for at in (0..count).map(|n| from + n * 10) {
        due.sort_unstable();
        let late = due.split_off(due.partition_point(|(end, _)| *end <= at));
        for (end, id) in std::mem::replace(&mut due, late) {
            router.ended(Time::from_millis(end), id, Verdict::Good, None);
        }
        let now = Time::from_millis(at);
        let choice = router.pick(now, &query()).unwrap();
        router.sent(now, at, &choice.endpoint, &[]);
        if let Some(took) = millis(&choice.endpoint) {
            due.push((at + took, at));
        }
        *chosen.entry(choice.endpoint).or_default() += 1;
    }
    chosen
}

#[gtest]
fn pick_spreads() {
    let chosen = drive(&mut router(9), 1_000, 900, |_| Some(50));
    expect_that!(chosen.len(), eq(9));
    expect_that!(chosen.values().max(), some(le(&300)));
}

#[gtest]
fn pick_prefers_zone() {
    let chosen = drive(&mut router(9), 1_000, 900, |_| Some(50));
    let local: u32 = ["e0", "e3", "e6"].iter().map(|name| chosen[*name]).sum();
    expect_that!(local, gt(300));
}

#[gtest]
fn pick_avoids_loaded() {
    let mut router = router(2);
    let now = Time::from_millis(1_000);
    router.sent(now, 1, "e0", &[]);
    let load = Load {
        online: 30,
        slots: 32,
        first_token_us: 60_000,
        ..Load::default()
    };
    router.ended(now, 1, Verdict::Good, Some(load));
    expect_that!(&*router.pick(now, &query()).unwrap().endpoint, eq("e1"));
}

#[gtest]
fn pick_skips_tried() {
    let mut router = router(2);
    let tried: [Name; 1] = ["e0".into()];
    let query = Query {
        tried: &tried,
        ..query()
    };
    for n in 0..20 {
        let choice = router.pick(Time::from_millis(n), &query).unwrap();
        expect_that!(&*choice.endpoint, eq("e1"));
    }
    let both: [Name; 2] = ["e0".into(), "e1".into()];
    let none_left = Query {
        tried: &both,
        ..query
    };
    expect_that!(router.pick(Time::ZERO, &none_left), none());
}

#[gtest]
fn pick_follows_prefix() {
    // Cache events are late and some are lost. Here the one for the second block is
    // missing, and another endpoint holds the first block. The endpoint with the longest
    // prefix must still be found.
    let mut router = router(9);
    let blocks: Vec<u64> = (100..140).collect();
    for block in blocks.iter().filter(|block| **block != 101) {
        router.record_cache_event("e4", *block, true);
    }
    router.record_cache_event("e2", 100, true);
    let query = Query {
        blocks: &blocks,
        ..query()
    };
    let choice = router.pick(Time::ZERO, &query).unwrap();
    expect_that!(&*choice.endpoint, eq("e4"));
}

#[gtest]
fn eject_slow() {
    // One endpoint takes ten times as long as its peers but passes every health check.
    // Without ejection, all requests sent there would be late.
    let mut router = router(9);
    let slow = |name: &str| Some(if name == "e2" { 600 } else { 60 });
    drive(&mut router, 1_000, 2_000, slow);
    expect_that!(
        router.take_ejections(),
        contains(eq(&("e2".into(), Cause::Slow)))
    );
    let after = drive(&mut router, 21_000, 500, slow);
    expect_that!(after.get("e2").copied().unwrap_or(0), le(5));
}

#[gtest]
fn eject_stalled() {
    // One endpoint accepts requests and never answers, but passes its health check.
    // Without ejection, callers would wait until their deadline.
    let mut router = router(9);
    let stalled = |name: &str| (name != "e5").then_some(60);
    drive(&mut router, 1_000, 600, stalled);
    expect_that!(
        router.take_ejections(),
        contains(eq(&("e5".into(), Cause::Stuck)))
    );
    expect_false!(router.is_healthy("e5"));
}

#[gtest]
fn eject_bounded() {
    // All endpoints become unhealthy at once, as in a network fault. Ejecting all of
    // them would leave none to answer.
    let mut router = router(9);
    drive(&mut router, 1_000, 1_000, |_| None);
    let healthy = (0..9).filter(|at| router.is_healthy(&format!("e{at}")));
    expect_that!(healthy.count(), eq(6));
}

#[gtest]
fn eject_then_restore() {
    // An endpoint fails three times, is ejected, and has recovered when a request probes
    // it.
    let mut router = router(9);
    let mut now = Time::from_millis(1_000);
    for id in 0..3 {
        router.sent(now, id, "e1", &[]);
        router.ended(now, id, Verdict::Failed, None);
    }
    now = Time::from_millis(2_000);
    router.pick(now, &query());
    expect_false!(router.is_healthy("e1"));
    let chosen = drive(&mut router, 6_000, 300, |_| Some(60));
    expect_true!(router.is_healthy("e1"));
    expect_that!(chosen["e1"], gt(5));
}

#[gtest]
fn pack_leaves_endpoints_free() {
    // With few online requests, spreading them over all endpoints would slow down both
    // them and the batch work of every endpoint.
    let mut router = router(9);
    router.set_latency_weight(SERVICE, 80);
    for at in 0..9 {
        let load = Load {
            slots: 64,
            ..Load::default()
        };
        router.record_load(Time::from_millis(900), &format!("e{at}"), load);
    }
    let chosen = drive(&mut router, 1_000, 900, |_| Some(50));
    expect_that!(router.packed(SERVICE), le(3));
    expect_that!(chosen.len(), le(4));
}

#[gtest]
fn pack_grows_at_once() {
    // A burst crowds the packed endpoints. A load that arrives with a first token must
    // increase their number at the next review.
    let mut router = router(9);
    router.set_latency_weight(SERVICE, 80);
    let now = Time::from_millis(1_000);
    router.pick(now, &query());
    let load = Load {
        online: 30,
        slots: 64,
        ..Load::default()
    };
    router.record_load(now, "e3", load);
    router.pick(Time::from_millis(1_300), &query());
    expect_that!(router.packed(SERVICE), ge(5));
}

#[gtest]
fn pack_spread_at_full_weight() {
    let mut router = router(9);
    router.set_latency_weight(SERVICE, 100);
    expect_that!(router.packed(SERVICE), eq(9));
}
