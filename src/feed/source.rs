//! Member side: a feed that queries a reader, and falls back on the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Answer;
use super::selector::{Fault, Selector};
use crate::clock::{Clock, Uptime};
use crate::edge::count::Count;
use crate::event;
use crate::link::Pool;
use crate::member::View;
use crate::name::Name;
use crate::snapshot::Cell;
use crate::table::{self, Changes, Feed, FeedError, Snapshot};
use crate::wire::query::{Query, Reply};

/// Timeout of a query to a reader. A reader answers within 0.8 s, plus the link delay. Two frozen
/// readers cost twice this timeout, which still allows a configuration to be in force within 3 s.
const QUERY_TIMEOUT: Duration = Duration::from_millis(950);

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

    /// Returns the changes from a reader; none when the store has to be read.
    async fn query(&self, table: &str, version: u64) -> Option<Changes> {
        loop {
            let setup = &self.setup;
            let (name, link) = {
                let view = setup.view.read();
                let now = setup.clock.now();
                let selector = self.selector.borrow();
                let reader = selector.reader(now, &setup.me, &setup.zone, &view)?;
                (reader.name.clone(), reader.link.clone())
            };
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
            setup.count.feed(why);
            log::info!(
                "{} table={table} version={version} reader={name} why={why}",
                event::FEED_PASSED_OVER
            );
            let now = setup.clock.now();
            self.selector.borrow_mut().avoid(now, &name, fault);
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
        self.store.snapshot(table).await
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
