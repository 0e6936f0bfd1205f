//! Reader side: follows tables on behalf of the members that query them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use super::buffer::Buffer;
use super::table::Table;
use super::{Answer, Page};
use crate::clock::{Clock, Time, Uptime};
use crate::event;
use crate::table::{Changes, Fault, Feed, FeedError, Snapshot};

/// How long a call to the store waits for a change. Short, because members treat a silent reader
/// as lost, and data that is 1 s old as uncertain.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum time that an answer waits for the store.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(800);
/// Maximum time that rows are waited for while the table is read.
const MAX_ROWS_WAIT: Duration = Duration::from_millis(2_500);
/// Time without queries after which a table is no longer followed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// A table that may be queried, with the minimum interval between two reads of its changes.
#[derive(Clone, Copy, Debug)]
pub struct Topic {
    /// The table's name.
    pub table: &'static str,
    /// The minimum interval between two reads.
    pub gap: Duration,
}

/// Follows tables on behalf of other nodes.
pub struct Reader<F> {
    clock: Clock,
    feed: F,
    tables: &'static [Topic],
    followed: RefCell<HashMap<&'static str, Rc<Followed>>>,
}

struct Followed {
    /// `None` until the version is known from which the table is followed.
    buffer: RefCell<Option<Buffer>>,
    /// True once a member has queried the rows.
    wants_rows: Cell<bool>,
    /// The rows, once they were read.
    rows: RefCell<Option<Table>>,
    /// Notified whenever the store answered or failed.
    updated: Notify,
    last_query: Cell<Time>,
}

impl<F> Reader<F>
where
    F: Feed + Clone + 'static,
{
    /// Creates a reader that follows no table yet.
    pub fn new(clock: Clock, feed: F, tables: &'static [Topic]) -> Rc<Self> {
        Rc::new(Self {
            clock,
            feed,
            tables,
            followed: RefCell::default(),
        })
    }

    /// Returns the changes of a table since `version`. Waits for the store when there is nothing
    /// to return yet.
    pub async fn answer(self: &Rc<Self>, table: &str, version: u64) -> Answer {
        let answer = self.find(table, version).await;
        answer.with_age(Uptime::now())
    }

    async fn find(self: &Rc<Self>, table: &str, version: u64) -> Answer {
        let Some(topic) = self.tables.iter().find(|topic| topic.table == table) else {
            log::warn!("{} table={table}", event::FEED_REFUSED);
            return Answer::Foreign;
        };
        let followed = self.followed(*topic, Some(version));
        followed.last_query.set(self.clock.now());
        let until = Instant::now() + MAX_ANSWER_WAIT;
        loop {
            let updated = followed.updated.notified();
            tokio::pin!(updated);
            updated.as_mut().enable();
            let answer = followed.since(self.clock.now(), version);
            let waits = match &answer {
                None => true,
                Some(Answer::Changes(_)) => !followed.has_changes_after(version),
                Some(_) => false,
            };
            if !waits {
                return answer.unwrap_or(Answer::Stale);
            }
            if timeout_at(until, updated).await.is_err() {
                return Answer::Stale;
            }
            // An answer of the store without changes counts too: it confirms that the table is
            // unchanged.
            if let Some(answer) = followed.since(self.clock.now(), version) {
                return answer;
            }
        }
    }

    /// Returns the rows of a table that follow the key `after`; `None` if the table is not
    /// relayed, or the store does not answer. The first query reads the table, while the others
    /// wait.
    pub async fn rows(self: &Rc<Self>, table: &str, after: &str) -> Option<Page> {
        let topic = self.tables.iter().find(|topic| topic.table == table)?;
        let followed = self.followed(*topic, None);
        followed.last_query.set(self.clock.now());
        followed.wants_rows.set(true);
        let until = Instant::now() + MAX_ROWS_WAIT;
        loop {
            let updated = followed.updated.notified();
            tokio::pin!(updated);
            updated.as_mut().enable();
            if let Some(page) = followed.page(self.clock.now(), after) {
                return Some(page);
            }
            timeout_at(until, updated).await.ok()?;
        }
    }

    /// True while a table is followed.
    pub fn is_following(&self, table: &str) -> bool {
        self.followed.borrow().contains_key(table)
    }

    fn followed(self: &Rc<Self>, topic: Topic, version: Option<u64>) -> Rc<Followed> {
        if let Some(followed) = self.followed.borrow().get(topic.table) {
            if let (Some(version), buffer @ None) = (version, &mut *followed.buffer.borrow_mut()) {
                *buffer = Some(Buffer::new(version));
            }
            return Rc::clone(followed);
        }
        let followed = Rc::new(Followed {
            buffer: RefCell::new(version.map(Buffer::new)),
            wants_rows: Cell::new(false),
            rows: RefCell::default(),
            updated: Notify::new(),
            last_query: Cell::new(self.clock.now()),
        });
        let mut all = self.followed.borrow_mut();
        all.insert(topic.table, Rc::clone(&followed));
        log::info!(
            "{} table={} version={}",
            event::FEED_STARTED,
            topic.table,
            version.unwrap_or(0),
        );
        actix_rt::spawn(Rc::clone(self).follow(topic, Rc::clone(&followed)));
        followed
    }

    async fn follow(self: Rc<Self>, topic: Topic, followed: Rc<Followed>) {
        let why = loop {
            if self.clock.now().since(followed.last_query.get()) > IDLE_TIMEOUT {
                break "unused";
            }
            let pause = match self.read(topic, &followed).await {
                Ok(()) => topic.gap,
                Err(FeedError::Gone) => break "history_dropped",
                Err(FeedError::Fault(fault)) => {
                    followed.fail(self.clock.now());
                    match fault {
                        Fault::Refused { retry_after } => retry_after,
                        Fault::Conflict { .. } | Fault::Unknown => RETRY_DELAY,
                    }
                }
            };
            followed.updated.notify_waiters();
            sleep(pause).await;
        };
        log::info!("{} table={} why={why}", event::FEED_ENDED, topic.table);
        self.followed.borrow_mut().remove(topic.table);
        // Members that wait for an answer read the store instead.
        followed.fail(self.clock.now());
        followed.updated.notify_waiters();
    }

    /// Reads the whole table if members have queried its rows, else its changes.
    async fn read(&self, topic: Topic, followed: &Followed) -> Result<(), FeedError> {
        let is_missing = followed.wants_rows.get() && followed.rows.borrow().is_none();
        if is_missing {
            let snapshot = self.feed.snapshot(topic.table).await;
            let snapshot = snapshot.map_err(FeedError::Fault)?;
            followed.set_rows(self.clock.now(), snapshot);
        } else if let Some(version) = followed.version() {
            let changes = self.feed.changes(topic.table, version, READ_WAIT).await?;
            followed.add(self.clock.now(), changes);
        }
        Ok(())
    }
}

impl Followed {
    fn version(&self) -> Option<u64> {
        self.buffer.borrow().as_ref().map(Buffer::version)
    }

    fn since(&self, now: Time, version: u64) -> Option<Answer> {
        self.buffer.borrow().as_ref()?.since(now, version)
    }

    fn has_changes_after(&self, version: u64) -> bool {
        let buffer = self.buffer.borrow();
        buffer
            .as_ref()
            .is_some_and(|it| it.has_changes_after(version))
    }

    fn add(&self, now: Time, changes: Changes) {
        let Some(buffer) = &mut *self.buffer.borrow_mut() else {
            return;
        };
        if let Some(rows) = &mut *self.rows.borrow_mut() {
            for change in &changes.changes {
                rows.apply(change);
            }
        }
        buffer.add(now, changes);
    }

    /// Sets the rows. Without a buffer, the changes are followed from here on.
    fn set_rows(&self, now: Time, snapshot: Snapshot) {
        self.buffer.borrow_mut().get_or_insert_with(|| {
            let mut buffer = Buffer::new(snapshot.version);
            buffer.add(
                now,
                Changes {
                    version: snapshot.version,
                    clock: snapshot.clock,
                    asked: snapshot.asked,
                    ..Changes::default()
                },
            );
            buffer
        });
        *self.rows.borrow_mut() = Some(Table::from(snapshot));
    }

    fn fail(&self, now: Time) {
        if let Some(buffer) = &mut *self.buffer.borrow_mut() {
            buffer.fail(now);
        }
    }

    /// Returns the rows after a key; `None` until the table was read, and while the store does
    /// not answer.
    fn page(&self, now: Time, after: &str) -> Option<Page> {
        let rows = self.rows.borrow();
        let rows = rows.as_ref()?;
        let buffer = self.buffer.borrow();
        let buffer = buffer.as_ref()?;
        let (answered, clock, queried) = buffer.answered()?;
        let queried = queried?;
        let (rows, has_more) = rows.page(after);
        Some(Page {
            rows,
            has_more,
            version: buffer.version(),
            clock,
            age: now.since(answered),
            asked_ago: Uptime::now().since(queried),
        })
    }
}
