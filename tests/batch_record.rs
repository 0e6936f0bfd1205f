//! A batch job's row, and how a node handles rows that arrive out of order.

use std::time::Duration;

use auburnspoke::batch::absence::Absence;
use auburnspoke::batch::quota::Quota;
use auburnspoke::batch::record::{self, Record};
use auburnspoke::batch::registry::Registry;
use auburnspoke::clock::Time;
use googletest::prelude::*;

fn record(done: &[u16], ended: bool) -> Record {
    Record {
        host: "h".into(),
        prefix: "/n/".into(),
        organisation: None,
        accepted: 1_000,
        owner: Some("n1.0".into()),
        epoch: 1,
        tokens: vec![10, 20, 30],
        done: done.to_vec(),
        ended,
        failures: Vec::new(),
    }
}

#[gtest]
fn encode_round_trip() {
    let whole = record(&[2, 0], false);
    expect_that!(Record::decode(&whole.encode()), ok(eq(&whole)));
    expect_that!(Record::decode(b"rubbish"), err(anything()));
}

/// The quota counts tokens of items without a result. A job ended by its caller counts nothing.
#[gtest]
fn waiting_tokens_left() {
    expect_that!(record(&[], false).waiting_tokens(), eq(60));
    expect_that!(record(&[2], false).waiting_tokens(), eq(30));
    expect_that!(record(&[0, 1, 2], false).waiting_tokens(), eq(0));
    expect_that!(record(&[], true).waiting_tokens(), eq(0));
}

/// A feed may deliver a node's own change, or an older one, after a newer one. Results that were
/// readable must not disappear.
#[gtest]
fn apply_older_row() {
    let mut registry = Registry::default();
    expect_that!(
        registry.apply(&"j".into(), 7, record(&[1, 2], false)),
        eq(true)
    );
    expect_that!(
        registry.apply(&"j".into(), 6, record(&[1], false)),
        eq(false)
    );
    expect_that!(registry.get("j").unwrap().record.done.len(), eq(2));
    registry.remove("j", 6);
    expect_that!(registry.get("j").is_some(), eq(true));
}

#[gtest]
fn waiting_tokens_by_route() {
    let mut registry = Registry::default();
    registry.apply(&"a".into(), 1, record(&[], false));
    registry.apply(&"b".into(), 2, record(&[0], false));
    expect_that!(registry.waiting_tokens("h", "/n/", None), eq(110));
    expect_that!(registry.waiting_tokens("h", "/other/", None), eq(0));
}

/// Clocks of nodes differ, so a job's age is computed from the store's clock.
#[gtest]
fn store_now_advances() {
    let mut registry = Registry::default();
    let at = Time::from_millis(50_000);
    expect_that!(registry.store_now(at), none());
    registry.synced(at, 3, 9_000);
    expect_that!(
        registry.store_now(at + Duration::from_millis(250)),
        some(eq(9_250))
    );
}

#[gtest]
fn keys_sort_by_position() {
    let keys: Vec<String> = [0, 9, 10, 199].map(|at| record::result("j", at)).into();
    expect_that!(keys.is_sorted(), eq(true));
    expect_that!(keys, each(starts_with(record::results("j"))));
}

/// With a quota so small that three jobs reach it, several nodes are asked at the same time and
/// none has seen the others' acceptances. If each accepted on its own, several times the quota
/// would wait.
#[gtest]
fn must_order_small_bound() {
    let quota = Quota {
        limit: Some(20_000),
        waiting: 0,
    };
    expect_that!(quota.fits(7_000), eq(true));
    expect_that!(quota.must_order(7_000), eq(true));
}

/// Nodes accept on data that is up to a second old. For any quota and job size, 32 acceptances that
/// no node has seen yet must stay within the quota unless they were ordered.
#[gtest]
fn must_order_any_bound() {
    const UNSEEN: u64 = 32;
    for limit in [1, 100, 20_000, 1_500_000] {
        for tokens in [1, 350, 7_000, 60_000] {
            for waiting in [0, limit / 4, limit / 2, limit] {
                let quota = Quota {
                    limit: Some(limit),
                    waiting,
                };
                if !quota.must_order(tokens) {
                    expect_that!(waiting + UNSEEN * tokens, le(limit + tokens));
                }
            }
        }
    }
}

#[gtest]
fn fits_without_bound() {
    let quota = Quota {
        limit: None,
        waiting: u64::MAX,
    };
    expect_that!(quota.fits(1), eq(true));
    expect_that!(quota.must_order(1), eq(false));
}

/// A node takes over a job whose route was added a moment ago, while its own configuration is still
/// the previous one. Without the grace period it would list items as failed that can be completed.
#[gtest]
fn update_route_not_seen_yet() {
    const GRACE: Duration = Duration::from_secs(8);
    let at = Time::from_millis;
    let mut absence = Absence::default();
    expect_that!(absence.update(at(1_000), false, GRACE), eq(false));
    expect_that!(absence.update(at(8_900), false, GRACE), eq(false));
    expect_that!(absence.update(at(8_950), true, GRACE), eq(false));
    expect_that!(absence.update(at(9_100), false, GRACE), eq(false));
    expect_that!(absence.update(at(17_100), false, GRACE), eq(true));
}
