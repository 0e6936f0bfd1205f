//! How a node builds its endpoint list from rows that others write.

use std::rc::Rc;
use std::sync::Arc;

use auburnspoke::catalog::registry::Entry;
use auburnspoke::catalog::{Catalog, Endpoint};
use auburnspoke::clock::{Clock, Time};
use auburnspoke::edge::learn::{Learner, Update};
use auburnspoke::snapshot::Cell;
use auburnspoke::table::{Change, Changes, Row, Snapshot};
use auburnspoke::wire::query::Query;
use bytes::Bytes;
use googletest::prelude::*;

/// Number of rows in the table.
const ROWS: usize = 700;
/// Index of the unreadable row.
const BAD_ROW: usize = 350;

struct Node {
    learner: Rc<Learner>,
    catalog: Arc<Cell<Catalog>>,
}

impl Node {
    fn new() -> Self {
        let catalog = Arc::new(Cell::new(Catalog::default()));
        let learner = Learner::new(Clock::start(), Arc::clone(&catalog));
        Self { learner, catalog }
    }

    fn endpoints(&self) -> usize {
        self.catalog.read().endpoints.len()
    }

    fn find(&self, id: &str) -> Option<Arc<Endpoint>> {
        self.catalog.read().endpoints.get(id).cloned()
    }

    fn change(&self, version: u64, key: &str, value: Option<Bytes>) {
        let change = Change {
            key: key.into(),
            version,
            value,
        };
        self.learner.endpoints(Update::Changes(Changes {
            changes: vec![change],
            version,
            ..Changes::default()
        }));
    }
}

fn value(port: usize, born: u64) -> Bytes {
    Bytes::from(format!(
        r#"{{"service":"s","address":"127.0.0.1:{port}","zone":"z1","slots":8,"state":"ready","born":{born}}}"#
    ))
}

fn key(at: usize) -> String {
    format!("i-{at:04}")
}

/// Returns all rows; the version of each is its index plus one.
fn snapshot(bad: Option<usize>) -> Snapshot {
    let row = |at| Row {
        key: key(at),
        version: at as u64 + 1,
        value: if bad == Some(at) {
            Bytes::from_static(b"{\"service\":7}")
        } else {
            value(1_000 + at, 5)
        },
    };
    Snapshot {
        rows: (0..ROWS).map(row).collect(),
        version: ROWS as u64,
        clock: 1,
        ..Snapshot::default()
    }
}

#[gtest]
fn endpoints_bad_row_in_snapshot() {
    // A node starts and reads the whole table, which contains one row that can't be parsed. If
    // it rejected the whole table, it would answer every caller that there is no endpoint.
    let node = Node::new();
    node.learner
        .endpoints(Update::Snapshot(snapshot(Some(BAD_ROW))));
    expect_that!(node.endpoints(), eq(ROWS - 1));
    expect_that!(node.find(&key(BAD_ROW)), none());
}

#[gtest]
fn endpoints_bad_row_in_changes() {
    // The row of a working endpoint is overwritten with unparsable bytes. What listens at its
    // address is now uncertain, so it is dropped; all other endpoints remain.
    let node = Node::new();
    node.learner.endpoints(Update::Snapshot(snapshot(None)));
    node.change(800, &key(BAD_ROW), Some(Bytes::from_static(b"\xff")));
    expect_that!(node.endpoints(), eq(ROWS - 1));
    node.change(801, &key(BAD_ROW), Some(value(1_000 + BAD_ROW, 5)));
    expect_that!(node.endpoints(), eq(ROWS));
}

#[gtest]
fn endpoints_bad_row_exported_to_peer() {
    // A node that is cut off from the store is updated by this one. The update must not restore
    // the endpoint whose row is unreadable.
    let node = Node::new();
    node.learner.endpoints(Update::Snapshot(snapshot(None)));
    node.change(800, &key(BAD_ROW), Some(Bytes::new()));
    let known = node.learner.export(0, 0).unwrap();
    let entries = known.endpoints.entries;
    let is_restored = |entry: &Entry| *entry.id == *key(BAD_ROW) && entry.endpoint.is_some();
    expect_false!(entries.iter().any(is_restored));
    let present = entries.iter().filter(|entry| entry.endpoint.is_some());
    expect_that!(present.count(), eq(ROWS - 1));
}

#[gtest]
fn endpoints_restarted_elsewhere() {
    // A replica restarts under its id at another address. Requests that still went to the old
    // address would fail or reach another service.
    let node = Node::new();
    node.learner.endpoints(Update::Snapshot(snapshot(None)));
    node.change(800, &key(1), Some(value(9_001, 6)));
    let endpoint = node.find(&key(1)).unwrap();
    expect_that!(endpoint.address.port(), eq(9_001));
    expect_that!(endpoint.incarnation, eq(6));
}

#[gtest]
fn endpoints_older_incarnation_after_newer() {
    // Entries of the earlier incarnation arrive after those of the later one: from a lagging
    // reader, and in a snapshot that was read before. They must not restore the old address.
    let node = Node::new();
    node.learner.endpoints(Update::Snapshot(snapshot(None)));
    node.change(800, &key(1), Some(value(9_001, 6)));
    node.change(799, &key(1), Some(value(1_001, 5)));
    expect_that!(node.find(&key(1)).unwrap().incarnation, eq(6));
    node.learner.endpoints(Update::Snapshot(snapshot(None)));
    expect_that!(node.find(&key(1)).unwrap().incarnation, eq(6));
    expect_that!(node.find(&key(1)).unwrap().address.port(), eq(9_001));
}

/// Guards against a starting node that refuses callers for seconds while it reads thousands of
/// endpoints: the first rows are used at once, but not taken for the whole table.
#[gtest]
fn endpoints_first_rows() {
    let node = Node::new();
    let mut part = snapshot(None);
    part.rows.truncate(500);
    node.learner.endpoints(Update::Part(part));
    expect_that!(node.endpoints(), eq(500));
    expect_that!(node.catalog.read().confirmed, eq(Time::ZERO));
    node.learner.endpoints(Update::Snapshot(snapshot(None)));
    expect_that!(node.endpoints(), eq(ROWS));
}

/// Guards against whole tables from several nodes to each that starts, while it waits for the one
/// that its reader sends.
#[gtest]
fn query_while_reading() {
    let peer = Node::new();
    peer.learner.endpoints(Update::Snapshot(snapshot(None)));
    let sent = |node: &Node| {
        let Query::Known {
            version,
            endpoints_version,
        } = node.learner.query()
        else {
            return None;
        };
        let update = peer.learner.export(version, endpoints_version)?;
        Some(update.endpoints.entries.len())
    };
    let node = Node::new();
    expect_that!(sent(&node), some(eq(ROWS)));
    let mut part = snapshot(None);
    part.rows.truncate(150);
    node.learner.endpoints(Update::Part(part));
    expect_that!(sent(&node), some(eq(0)));
    node.learner.endpoints(Update::Snapshot(snapshot(None)));
    expect_that!(sent(&node), some(eq(0)));
}
