//! Following the store through readers: which answers are accepted, and when the store is read
//! instead.

#[path = "support/member.rs"]
mod support;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::clock::Clock;
use auburnspoke::edge::count::Count;
use auburnspoke::feed::Answer;
use auburnspoke::feed::source::{Setup, Source, Transport};
use auburnspoke::member::{Member, View};
use auburnspoke::name::Name;
use auburnspoke::snapshot::Cell;
use auburnspoke::table::{Change, Changes, Fault, Feed, FeedError, Snapshot};
use auburnspoke::wire::query::{Query, Reply};
use googletest::prelude::*;

/// Number of members of the only zone.
const MEMBERS: usize = 30;
/// Version in the store's answer.
const STORE_VERSION: u64 = 500;

struct Store;

impl Feed for Store {
    async fn snapshot(&self, _: &str) -> std::result::Result<Snapshot, Fault> {
        Ok(Snapshot::default())
    }

    async fn changes(
        &self,
        _: &str,
        _: u64,
        _: Duration,
    ) -> std::result::Result<Changes, FeedError> {
        Ok(changes(&[], STORE_VERSION))
    }
}

/// Readers that give prepared answers in order.
#[derive(Clone, Default)]
struct Readers {
    answers: Rc<RefCell<VecDeque<Option<Reply>>>>,
    asked: Rc<RefCell<Vec<Name>>>,
}

impl Transport for Readers {
    async fn query(&self, link: &Name, _: Query, _: Duration) -> Option<Reply> {
        self.asked.borrow_mut().push(link.clone());
        self.answers.borrow_mut().pop_front().flatten()
    }
}

fn changes(versions: &[u64], version: u64) -> Changes {
    let change = |version: &u64| Change {
        key: "row".into(),
        version: *version,
        value: None,
    };
    Changes {
        changes: versions.iter().map(change).collect(),
        version,
        ..Changes::default()
    }
}

fn changes_reply(versions: &[u64], version: u64) -> Reply {
    Reply::Changes(Answer::Changes(changes(versions, version)))
}

fn member(at: usize, zone: &str) -> Member {
    Member {
        link: format!("127.0.0.1:{}", 1_000 + at).into(),
        zone: zone.into(),
        // The first ones are powerful.
        power: if at < 8 { 500 } else { 120 },
        ..support::member(&format!("node-{at:03}"))
    }
}

fn view(members: usize) -> Arc<Cell<View>> {
    let members: Vec<Member> = (0..members).map(|at| member(at, "z0")).collect();
    Arc::new(Cell::new(View::from(members)))
}

fn source(readers: &Readers, me: &str, members: usize) -> Source<Store, Readers> {
    let setup = Setup {
        me: me.into(),
        zone: "z0".into(),
        clock: Clock::start(),
        view: view(members),
        count: Count::default(),
    };
    Source::new(Store, readers.clone(), setup)
}

/// Queries the changes since version 100 once, with readers that give these answers.
fn query_once(answers: Vec<Option<Reply>>) -> (u64, Vec<Name>) {
    let readers = Readers::default();
    *readers.answers.borrow_mut() = answers.into();
    let source = source(&readers, "node-020", MEMBERS);
    let wait = Duration::from_millis(500);
    let changes = actix_rt::System::new().block_on(source.changes("job", 100, wait));
    let asked = readers.asked.borrow().clone();
    (changes.unwrap().version, asked)
}

#[gtest]
fn changes_from_reader() {
    let (version, asked) = query_once(vec![Some(changes_reply(&[101, 120], 130))]);
    expect_that!(version, eq(130));
    expect_that!(asked.len(), eq(1));
}

#[gtest]
fn changes_reader_silent() {
    // A reader is frozen or its node was killed. The next one answers after a short delay.
    let (version, asked) = query_once(vec![None, Some(changes_reply(&[101], 130))]);
    expect_that!(version, eq(130));
    expect_that!(asked.len(), eq(2));
    expect_that!(asked[0], not(eq(&asked[1])));
}

#[gtest]
fn changes_all_readers_fail() {
    // Both readers of a zone are lost at once: the store is read, as without readers.
    let stale = Some(Reply::Changes(Answer::Stale));
    let (version, asked) = query_once(vec![None, stale]);
    expect_that!(version, eq(STORE_VERSION));
    expect_that!(asked.len(), eq(2));
}

#[gtest]
fn changes_gap() {
    // A reader that has just started lacks some of the changes.
    let (version, _) = query_once(vec![Some(Reply::Changes(Answer::Gap))]);
    expect_that!(version, eq(STORE_VERSION));
}

#[gtest]
fn changes_wrong() {
    // Readers that return an older version, a change before the requested version, one after the
    // answer's own version, changes out of order, or an unrelated answer. Any of them would revert
    // a node to an older state, or make it miss a change permanently.
    let wrong = [
        changes_reply(&[], 99),
        changes_reply(&[100], 130),
        changes_reply(&[131], 130),
        changes_reply(&[120, 110], 130),
        Reply::Announced,
        Reply::Changes(Answer::Foreign),
    ];
    for wrong in wrong {
        let (version, asked) =
            query_once(vec![Some(wrong.clone()), Some(changes_reply(&[101], 130))]);
        expect_that!(version, eq(130), "after {wrong:?}");
        expect_that!(asked.len(), eq(2));
    }
}

#[gtest]
fn changes_readers_read() {
    // All members of the zone query one of two powerful ones. These two query themselves, because
    // they would otherwise follow each table twice.
    let mut shares: BTreeMap<Name, usize> = BTreeMap::new();
    let mut own = 0;
    for at in 0..MEMBERS {
        let fake = Readers::default();
        *fake.answers.borrow_mut() = VecDeque::from([Some(changes_reply(&[], 130))]);
        let source = source(&fake, &format!("node-{at:03}"), MEMBERS);
        let wait = Duration::ZERO;
        let answer = actix_rt::System::new().block_on(source.changes("job", 100, wait));
        expect_that!(answer.unwrap().version, eq(130));
        let asked = fake.asked.borrow()[0].clone();
        own += usize::from(*asked == *member(at, "z0").link);
        *shares.entry(asked).or_default() += 1;
    }
    let strong: Vec<Name> = (0..8).map(|at| member(at, "z0").link).collect();
    expect_that!(shares.len(), eq(2));
    expect_that!(own, eq(2));
    for (reader, share) in shares {
        expect_that!(strong.contains(&reader), eq(true));
        expect_that!(
            share,
            ge(8),
            "reader {reader} gets its share of the queries"
        );
    }
}

#[gtest]
fn changes_small_zone() {
    // In a zone of a few nodes each one reads the store.
    let readers = Readers::default();
    let source = source(&readers, "node-005", 8);
    let changes =
        actix_rt::System::new().block_on(source.changes("job", 100, Duration::from_millis(1)));
    expect_that!(changes.unwrap().version, eq(STORE_VERSION));
    expect_that!(readers.asked.borrow().len(), eq(0));
}
