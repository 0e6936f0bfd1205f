//! Reader side: follows tables on behalf of the members that query them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

use super::Answer;
use super::buffer::Buffer;
use crate::clock::{Clock, Time, Uptime};
use crate::event;
use crate::table::{Fault, Feed, FeedError};

/// How long a call to the store waits for a change. Short, because members treat a silent reader
/// as lost, and data that is 1 s old as uncertain.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum time that an answer waits for the store.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(800);
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
    buffer: RefCell<Buffer>,
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
        let followed = self.followed(*topic, version);
        followed.last_query.set(self.clock.now());
        let until = Instant::now() + MAX_ANSWER_WAIT;
        loop {
            let updated = followed.updated.notified();
            tokio::pin!(updated);
            updated.as_mut().enable();
            let answer = followed.buffer.borrow().since(self.clock.now(), version);
            let waits = match &answer {
                None => true,
                Some(Answer::Changes(_)) => !followed.buffer.borrow().has_changes_after(version),
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
            if let Some(answer) = followed.buffer.borrow().since(self.clock.now(), version) {
                return answer;
            }
        }
    }

    /// True while a table is followed.
    pub fn is_following(&self, table: &str) -> bool {
        self.followed.borrow().contains_key(table)
    }

    fn followed(self: &Rc<Self>, topic: Topic, version: u64) -> Rc<Followed> {
        if let Some(followed) = self.followed.borrow().get(topic.table) {
            return Rc::clone(followed);
        }
        let followed = Rc::new(Followed {
            buffer: RefCell::new(Buffer::new(version)),
            updated: Notify::new(),
            last_query: Cell::new(self.clock.now()),
        });
        let mut all = self.followed.borrow_mut();
        all.insert(topic.table, Rc::clone(&followed));
        log::info!(
            "{} table={} version={version}",
            event::FEED_STARTED,
            topic.table
        );
        actix_rt::spawn(Rc::clone(self).follow(topic, Rc::clone(&followed)));
        followed
    }

    async fn follow(self: Rc<Self>, topic: Topic, followed: Rc<Followed>) {
        let why = loop {
            if self.clock.now().since(followed.last_query.get()) > IDLE_TIMEOUT {
                break "unused";
            }
            let version = followed.buffer.borrow().version();
            let pause = match self.feed.changes(topic.table, version, READ_WAIT).await {
                Ok(changes) => {
                    let now = self.clock.now();
                    followed.buffer.borrow_mut().add(now, changes);
                    topic.gap
                }
                Err(FeedError::Gone) => break "history_dropped",
                Err(FeedError::Fault(fault)) => {
                    followed.buffer.borrow_mut().fail(self.clock.now());
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
        followed.buffer.borrow_mut().fail(self.clock.now());
        followed.updated.notify_waiters();
    }
}
