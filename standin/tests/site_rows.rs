//! Tests that the rows of the stand-in store behave as the users' documentation describes.

use googletest::prelude::*;
use standin::site::rows::{Compacted, Id, Rows, Transaction};

fn id(key: &str) -> Id {
    ("t".into(), String::new(), key.into())
}

fn put(rows: &mut Rows, key: &str, expect: Option<u64>) -> bool {
    let transaction = Transaction {
        expect: expect
            .map(|version| (id(key), version))
            .into_iter()
            .collect(),
        set: vec![(id(key), "eA==".into())],
        remove: Vec::new(),
    };
    rows.transact(transaction).is_ok()
}

#[gtest]
fn transact_conditions() {
    let mut rows = Rows::default();
    expect_that!(put(&mut rows, "a", Some(0)), eq(true));
    expect_that!(put(&mut rows, "a", Some(0)), eq(false));
    expect_that!(put(&mut rows, "a", Some(1)), eq(true));
    expect_that!(rows.version(), eq(2));
}

#[gtest]
fn feed_changes_and_removals() {
    let mut rows = Rows::default();
    put(&mut rows, "a", None);
    put(&mut rows, "b", None);
    let transaction = Transaction {
        remove: vec![id("a")],
        ..Transaction::default()
    };
    rows.transact(transaction).unwrap();
    let changes = rows.feed("t", 1).unwrap();
    expect_that!(changes.len(), eq(2));
    expect_that!(changes[1].value, none());
}

#[gtest]
fn feed_dropped_history() {
    let mut rows = Rows::default();
    put(&mut rows, "a", None);
    put(&mut rows, "a", None);
    rows.compact();
    expect_that!(rows.feed("t", 1), err(eq(&Compacted)));
    expect_that!(rows.feed("t", 2), ok(is_empty()));
}

#[gtest]
fn get_pages() {
    let mut rows = Rows::default();
    for key in ["a", "b", "c"] {
        put(&mut rows, key, None);
    }
    let (page, more) = rows.get(("t", ""), "b", "", 1);
    expect_that!(page[0].id.2, eq("b"));
    expect_that!(more, eq(true));
}
