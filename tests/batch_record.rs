//! A batch job's row, and what a node makes of rows that come late.

use std::time::Duration;

use auburnspoke::batch::ledger::Ledger;
use auburnspoke::batch::record::{self, Record};
use auburnspoke::clock::Time;
use googletest::prelude::*;

fn record(done: &[u16], ended: bool) -> Record {
    Record {
        host: "h".into(),
        prefix: "/n/".into(),
        accepted: 1_000,
        owner: Some("n1.0".into()),
        epoch: 1,
        tokens: vec![10, 20, 30],
        done: done.to_vec(),
        ended,
    }
}

#[gtest]
fn encode_round() {
    let whole = record(&[2, 0], false);
    expect_that!(Record::decode(&whole.encode()), ok(eq(&whole)));
    expect_that!(Record::decode(b"rubbish"), err(anything()));
}

/// What counts against the bound on waiting work is what no endpoint has
/// finished; a job that its caller ended waits for nothing.
#[gtest]
fn waiting_tokens_left() {
    expect_that!(record(&[], false).waiting_tokens(), eq(60));
    expect_that!(record(&[2], false).waiting_tokens(), eq(30));
    expect_that!(record(&[0, 1, 2], false).waiting_tokens(), eq(0));
    expect_that!(record(&[], true).waiting_tokens(), eq(0));
}

/// A feed tells a change that this node has made itself, or an older one, after
/// the newer: results that were shown must not vanish again.
#[gtest]
fn apply_older_row() {
    let mut ledger = Ledger::default();
    expect_that!(
        ledger.apply(&"j".into(), 7, record(&[1, 2], false)),
        eq(true)
    );
    expect_that!(ledger.apply(&"j".into(), 6, record(&[1], false)), eq(false));
    expect_that!(ledger.get("j").unwrap().record.done.len(), eq(2));
    ledger.remove("j", 6);
    expect_that!(ledger.get("j").is_some(), eq(true));
}

#[gtest]
fn waiting_tokens_by_route() {
    let mut ledger = Ledger::default();
    ledger.apply(&"a".into(), 1, record(&[], false));
    ledger.apply(&"b".into(), 2, record(&[0], false));
    expect_that!(ledger.waiting_tokens("h", "/n/"), eq(110));
    expect_that!(ledger.waiting_tokens("h", "/other/"), eq(0));
}

/// Nodes' clocks differ; a job's age follows the store's clock on all of them.
#[gtest]
fn store_now_moves_on() {
    let mut ledger = Ledger::default();
    let at = Time::from_millis(50_000);
    expect_that!(ledger.store_now(at), none());
    ledger.heard(at, 3, 9_000);
    expect_that!(
        ledger.store_now(at + Duration::from_millis(250)),
        some(eq(9_250))
    );
}

#[gtest]
fn keys_sort_by_position() {
    let keys: Vec<String> = [0, 9, 10, 199].map(|at| record::result("j", at)).into();
    expect_that!(keys.is_sorted(), eq(true));
    expect_that!(keys, each(starts_with(record::results("j"))));
}
