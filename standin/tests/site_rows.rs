//! The stand-in store's rows behave as the users' pages say.

use googletest::prelude::*;
use standin::site::rows::{Change, Gone, Id, Rows};

fn id(key: &str) -> Id {
    ("t".into(), String::new(), key.into())
}

fn put(rows: &mut Rows, key: &str, expect: Option<u64>) -> bool {
    let change = Change {
        expect: expect
            .map(|version| (id(key), version))
            .into_iter()
            .collect(),
        set: vec![(id(key), "eA==".into())],
        remove: Vec::new(),
    };
    rows.transact(change).is_ok()
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
    let change = Change {
        remove: vec![id("a")],
        ..Change::default()
    };
    rows.transact(change).unwrap();
    let news = rows.feed("t", 1).unwrap();
    expect_that!(news.len(), eq(2));
    expect_that!(news[1].value, none());
}

#[gtest]
fn feed_dropped_history() {
    let mut rows = Rows::default();
    put(&mut rows, "a", None);
    put(&mut rows, "a", None);
    rows.compact();
    expect_that!(rows.feed("t", 1), err(eq(&Gone)));
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
