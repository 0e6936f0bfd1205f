//! Whole tables over readers: the store is read once for all members of a zone.

#[path = "support/member.rs"]
mod support;

use std::cell::{Cell as StdCell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::clock::{Clock, Uptime};
use auburnspoke::edge::count::Count;
use auburnspoke::feed::Page;
use auburnspoke::feed::reader::{Reader, Topic};
use auburnspoke::feed::source::{Setup, Source, Transport};
use auburnspoke::feed::table::Table;
use auburnspoke::member::{Member, View};
use auburnspoke::name::Name;
use auburnspoke::snapshot::Cell;
use auburnspoke::table::{Change, Changes, Fault, Feed, FeedError, Row, Snapshot};
use auburnspoke::wire::query::{Query, Reply};
use bytes::Bytes;
use futures_util::future::join_all;
use googletest::prelude::*;
use tokio::time::sleep;

const TABLE: &str = "servers";
const TOPICS: &[Topic] = &[Topic {
    table: TABLE,
    gap: Duration::from_millis(10),
}];
const ROWS: usize = 10_000;
/// Size of a row's value.
const VALUE_BYTES: usize = 300;
const MEMBERS: usize = 30;

fn key(at: usize) -> String {
    format!("i-{at:05}")
}

fn snapshot() -> Snapshot {
    let row = |at| Row {
        key: key(at),
        version: at as u64 + 1,
        value: Bytes::from(vec![b'x'; VALUE_BYTES]),
    };
    Snapshot {
        rows: (0..ROWS).map(row).collect(),
        version: ROWS as u64,
        clock: 1,
        asked: Some(Uptime::now()),
    }
}

/// The store, which counts how often the whole table is read.
#[derive(Clone, Default)]
struct Store {
    snapshots: Rc<StdCell<usize>>,
    fails: Rc<StdCell<bool>>,
}

impl Feed for Store {
    async fn snapshot(&self, _: &str) -> std::result::Result<Snapshot, Fault> {
        if self.fails.get() {
            return Err(Fault::Unknown);
        }
        self.snapshots.set(self.snapshots.get() + 1);
        sleep(Duration::from_millis(50)).await;
        Ok(snapshot())
    }

    async fn changes(
        &self,
        _: &str,
        version: u64,
        wait: Duration,
    ) -> std::result::Result<Changes, FeedError> {
        sleep(wait).await;
        Ok(Changes {
            version,
            asked: Some(Uptime::now()),
            ..Changes::default()
        })
    }
}

/// Returns all rows by reading page after page.
async fn read_all(reader: &Rc<Reader<Store>>) -> Option<Vec<Row>> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or_else(String::new, |row| row.key.clone());
        let page = reader.rows(TABLE, &after).await?;
        rows.extend(page.rows);
        if !page.has_more {
            return Some(rows);
        }
    }
}

/// Guards against a start of all nodes at which each reads megabytes from the store.
#[gtest]
fn rows_many_members() {
    let store = Store::default();
    let reader = Reader::new(Clock::start(), store.clone(), TOPICS);
    let all = actix_rt::System::new()
        .block_on(async { join_all((0..20).map(|_| read_all(&reader))).await });
    for rows in all {
        expect_that!(rows.unwrap(), eq(&snapshot().rows));
    }
    expect_that!(store.snapshots.get(), eq(1));
}

/// The members read the store themselves if the reader can't.
#[gtest]
fn rows_store_fails() {
    let store = Store::default();
    store.fails.set(true);
    let reader = Reader::new(Clock::start(), store.clone(), TOPICS);
    let page = actix_rt::System::new().block_on(reader.rows(TABLE, ""));
    expect_that!(page, none());
}

#[gtest]
fn apply_changes() {
    let mut table = Table::from(snapshot());
    let change = |at, version, value| Change {
        key: key(at),
        version,
        value,
    };
    table.apply(&change(1, 20_000, None));
    // It was made before the snapshot was read.
    table.apply(&change(5, 2, None));
    table.apply(&change(ROWS, 20_001, Some(Bytes::from_static(b"new"))));
    let (first, has_more) = table.page("");
    expect_true!(has_more);
    expect_that!(&*first[1].key, eq("i-00002"));
    expect_that!(&*first[4].key, eq("i-00005"));
    let (last, has_more) = table.page(&key(ROWS - 1));
    expect_false!(has_more);
    expect_that!(last.len(), eq(1));
}

/// Readers that give prepared answers in order.
#[derive(Clone, Default)]
struct Readers {
    answers: Rc<RefCell<VecDeque<Option<Reply>>>>,
}

impl Transport for Readers {
    async fn query(&self, _: &Name, _: Query, _: Duration) -> Option<Reply> {
        self.answers.borrow_mut().pop_front().flatten()
    }
}

/// Reads the table over readers with these answers; returns the number of rows, and how often the
/// store was read.
fn read_over(answers: Vec<Option<Reply>>) -> (usize, usize) {
    let member = |at: usize| Member {
        link: format!("127.0.0.1:{}", 1_000 + at).into(),
        ..support::member(&format!("node-{at:03}"))
    };
    let members: Vec<Member> = (0..MEMBERS).map(member).collect();
    let view = View {
        is_complete: true,
        ..View::from(members)
    };
    let setup = Setup {
        me: "node-020".into(),
        zone: "z0".into(),
        clock: Clock::start(),
        view: Arc::new(Cell::new(view)),
        count: Count::default(),
    };
    let readers = Readers::default();
    *readers.answers.borrow_mut() = answers.into();
    let store = Store::default();
    let source = Source::new(store.clone(), readers, setup);
    let read = actix_rt::System::new().block_on(source.snapshot(TABLE));
    (read.unwrap().rows.len(), store.snapshots.get())
}

fn page(rows: std::ops::Range<usize>, has_more: bool) -> Reply {
    Reply::Rows(Some(Page {
        rows: snapshot().rows.drain(rows).collect(),
        has_more,
        version: 7,
        ..Page::default()
    }))
}

#[gtest]
fn snapshot_from_reader() {
    let read = read_over(vec![Some(page(0..40, true)), Some(page(40..60, false))]);
    expect_that!(read, eq((60, 0)));
}

/// A reader is lost between two pages; the next one is read from the start.
#[gtest]
fn snapshot_reader_lost() {
    let read = read_over(vec![
        Some(page(0..40, true)),
        None,
        Some(page(0..60, false)),
    ]);
    expect_that!(read, eq((60, 0)));
}

/// Guards against a reader whose pages repeat, which could be read without end.
#[gtest]
fn snapshot_repeated_page() {
    let answers = vec![Some(page(0..40, true)), Some(page(0..40, false))];
    expect_that!(read_over(answers), eq((ROWS, 1)));
}
