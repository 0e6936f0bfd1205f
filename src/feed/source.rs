//! Member side: a feed that queries a reader, and falls back on the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Answer;
use super::selector::{Fault, Selector};
use crate::clock::{Clock, Uptime};
use crate::edge::count::Count;
use crate::event;
use crate::link::Pool;
use crate::member::View;
use crate::name::Name;
use crate::snapshot::Cell;
use crate::table::{self, Changes, Feed, FeedError, FirstPage, Snapshot};
use crate::wire::query::{Query, Reply};

/// Timeout of a query to a reader. A reader answers within 0.8 s, plus the link delay. Two frozen
/// readers cost twice this timeout, which still allows a configuration to be in force within 3 s.
const QUERY_TIMEOUT: Duration = Duration::from_millis(950);

/// Timeout of a query for rows. The reader may have to read the table first.
const ROWS_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a node that has just started waits until it has met all members, before it reads a
/// large table. While nodes know different members they choose different readers, each of which
/// reads the whole table. A node serves with the table's first rows meanwhile.
const MEMBERS_WAIT: Duration = Duration::from_secs(10);
/// Interval between checks for the members.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sends queries to other members.
pub trait Transport {
    /// Returns the answer of the member whose link listens at `link`; none when there was no
    /// answer within `wait`.
    async fn query(&self, link: &Name, query: Query, wait: Duration) -> Option<Reply>;
}

impl Transport for Rc<Pool> {
    async fn query(&self, link: &Name, query: Query, wait: Duration) -> Option<Reply> {
        Pool::query(self, link, query, wait).await
    }
}

/// Dependencies of a [`Source`].
pub struct Setup {
    /// This process's name among the members.
    pub me: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The process's clock.
    pub clock: Clock,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// The counters.
    pub count: Count,
}

/// Follows tables by querying readers.
pub struct Source<F, A> {
    store: F,
    links: A,
    setup: Setup,
    selector: RefCell<Selector>,
}

impl<F, A> Source<F, A>
where
    F: Feed,
    A: Transport,
{
    /// Creates a source that falls back on `store`.
    pub fn new(store: F, links: A, setup: Setup) -> Self {
        Self {
            store,
            links,
            setup,
            selector: RefCell::default(),
        }
    }

    /// Returns the name and the link of the reader to query; none when the store has to be read.
    fn reader(&self) -> Option<(Name, Name)> {
        let setup = &self.setup;
        let view = setup.view.read();
        let now = setup.clock.now();
        let selector = self.selector.borrow();
        let reader = selector.reader(now, &setup.me, &setup.zone, &view)?;
        Some((reader.name.clone(), reader.link.clone()))
    }

    /// Skips a reader for a while.
    fn avoid(&self, table: &str, version: u64, reader: &Name, fault: Fault, why: &'static str) {
        self.setup.count.feed(why);
        log::info!(
            "{} table={table} version={version} reader={reader} why={why}",
            event::FEED_PASSED_OVER
        );
        let now = self.setup.clock.now();
        self.selector.borrow_mut().avoid(now, reader, fault);
    }

    /// Waits until this node has met the other members, for a bounded time.
    async fn await_members(&self) {
        let until = Instant::now() + MEMBERS_WAIT;
        while !self.setup.view.read().is_complete && Instant::now() < until {
            sleep(MEMBERS_POLL_INTERVAL).await;
        }
    }

    /// Returns all rows of a table from a reader; none when the store has to be read.
    async fn query_rows(&self, table: &str) -> Option<Snapshot> {
        loop {
            let (name, link) = self.reader()?;
            let (fault, why) = match self.read_rows(table, &link).await {
                Ok(snapshot) => {
                    self.setup.count.feed("told");
                    return Some(snapshot);
                }
                Err(fault @ Fault::Silent) => (fault, "silent"),
                Err(fault @ Fault::Stale) => (fault, "stale"),
                Err(fault @ Fault::Wrong) => (fault, "wrong"),
            };
            self.avoid(table, 0, &name, fault, why);
        }
    }

    /// Reads all pages of a table from one reader.
    async fn read_rows(&self, table: &str, link: &Name) -> Result<Snapshot, Fault> {
        let mut snapshot: Option<Snapshot> = None;
        let mut after = String::new();
        loop {
            let query = Query::Rows {
                table: table.into(),
                after: after.clone(),
            };
            let sent = Uptime::now();
            let page = match self.links.query(link, query, ROWS_TIMEOUT).await {
                Some(Reply::Rows(Some(page))) => page,
                Some(Reply::Rows(None)) => return Err(Fault::Stale),
                None | Some(Reply::Busy) => return Err(Fault::Silent),
                Some(_) => return Err(Fault::Wrong),
            };
            let snapshot = snapshot.get_or_insert_with(|| Snapshot {
                rows: Vec::new(),
                // Later pages may be newer. Following from the first page's version delivers
                // their changes again, which is harmless.
                version: page.version,
                clock: page.clock + u64::try_from(page.age.as_millis()).unwrap_or(0),
                asked: Some(sent - page.asked_ago),
            });
            for row in page.rows {
                if row.key <= after {
                    return Err(Fault::Wrong);
                }
                after.clone_from(&row.key);
                snapshot.rows.push(row);
            }
            if !page.has_more {
                return Ok(std::mem::take(snapshot));
            }
        }
    }

    /// Returns the changes from a reader; none when the store has to be read.
    async fn query(&self, table: &str, version: u64) -> Option<Changes> {
        loop {
            let setup = &self.setup;
            let (name, link) = self.reader()?;
            let query = Query::Changes {
                table: table.into(),
                after: version,
            };
            let sent = Uptime::now();
            let (fault, why) = match self.links.query(&link, query, QUERY_TIMEOUT).await {
                Some(Reply::Changes(Answer::Changes(mut changes))) => {
                    if is_continuation(version, &changes) {
                        changes.asked = changes.asked_ago.map(|ago| sent - ago);
                        setup.count.feed("told");
                        return Some(changes);
                    }
                    (Fault::Wrong, "wrong")
                }
                Some(Reply::Changes(Answer::Gap)) => {
                    setup.count.feed("gap");
                    return None;
                }
                Some(Reply::Changes(Answer::Stale)) => (Fault::Stale, "stale"),
                None | Some(Reply::Busy) => (Fault::Silent, "silent"),
                Some(_) => (Fault::Wrong, "foreign"),
            };
            self.avoid(table, version, &name, fault, why);
        }
    }
}

/// True when an answer is a possible continuation of `version`: no change in it is outdated, newer
/// than the answer's own version, or out of order. Otherwise a lagging or faulty reader could
/// revert this node to an older state, or make it miss a change permanently.
fn is_continuation(version: u64, changes: &Changes) -> bool {
    let mut last = version;
    let in_order = changes.changes.iter().all(|change| {
        let follows = change.version > version && change.version >= last;
        last = change.version;
        follows
    });
    in_order && last <= changes.version
}

impl<F, A> Feed for Source<F, A>
where
    F: Feed,
    A: Transport,
{
    async fn snapshot(&self, table: &str) -> Result<Snapshot, table::Fault> {
        self.await_members().await;
        match self.query_rows(table).await {
            Some(snapshot) => Ok(snapshot),
            None => self.store.snapshot(table).await,
        }
    }

    async fn first_page(&self, table: &str) -> Result<FirstPage, table::Fault> {
        self.store.first_page(table).await
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Changes, FeedError> {
        if let Some(changes) = self.query(table, version).await {
            return Ok(changes);
        }
        self.setup.count.feed("store");
        self.store.changes(table, version, wait).await
    }
}
