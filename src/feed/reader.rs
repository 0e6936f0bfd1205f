//! The reader's side: follows tables for those who ask about them.

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

/// How long a call to the store waits for a change. Short, because those who
/// ask take a silent reader for lost, and 1 s old knowledge for doubtful.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// Longest time that an answer waits for news of the store.
const ANSWER_WAIT: Duration = Duration::from_millis(800);
/// A table that nobody asked about for so long is followed no more.
const UNUSED: Duration = Duration::from_secs(6);

/// A table that may be asked about, and the least time between two readings of
/// its changes.
#[derive(Clone, Copy, Debug)]
pub struct Topic {
    /// The table's name.
    pub table: &'static str,
    /// The least time between two readings.
    pub gap: Duration,
}

/// The tables that this node follows for others.
pub struct Reader<F> {
    clock: Clock,
    feed: F,
    tables: &'static [Topic],
    followed: RefCell<HashMap<&'static str, Rc<Followed>>>,
}

struct Followed {
    buffer: RefCell<Buffer>,
    /// Told whenever the store answered or failed.
    news: Notify,
    asked: Cell<Time>,
}

impl<F> Reader<F>
where
    F: Feed + Clone + 'static,
{
    /// Follows nothing yet.
    pub fn new(clock: Clock, feed: F, tables: &'static [Topic]) -> Rc<Self> {
        Rc::new(Self {
            clock,
            feed,
            tables,
            followed: RefCell::default(),
        })
    }

    /// What followed on `version` of a table. Waits for the next news of the
    /// store when nothing is known yet.
    pub async fn answer(self: &Rc<Self>, table: &str, version: u64) -> Answer {
        let told = self.find(table, version).await;
        told.with_age(Uptime::now())
    }

    async fn find(self: &Rc<Self>, table: &str, version: u64) -> Answer {
        let Some(topic) = self.tables.iter().find(|topic| topic.table == table) else {
            log::warn!("{} table={table}", event::FEED_REFUSED);
            return Answer::Foreign;
        };
        let followed = self.followed(*topic, version);
        followed.asked.set(self.clock.now());
        let until = Instant::now() + ANSWER_WAIT;
        loop {
            let news = followed.news.notified();
            tokio::pin!(news);
            news.as_mut().enable();
            let told = followed.buffer.borrow().since(self.clock.now(), version);
            let waits = match &told {
                None => true,
                Some(Answer::Changes(_)) => !followed.buffer.borrow().is_behind(version),
                Some(_) => false,
            };
            if !waits {
                return told.unwrap_or(Answer::Stale);
            }
            if timeout_at(until, news).await.is_err() {
                return Answer::Stale;
            }
            // Also news without a change are news: they tell that the table is
            // still as it was.
            if let Some(told) = followed.buffer.borrow().since(self.clock.now(), version) {
                return told;
            }
        }
    }

    /// True while a table is followed for others.
    pub fn is_following(&self, table: &str) -> bool {
        self.followed.borrow().contains_key(table)
    }

    fn followed(self: &Rc<Self>, topic: Topic, version: u64) -> Rc<Followed> {
        if let Some(followed) = self.followed.borrow().get(topic.table) {
            return Rc::clone(followed);
        }
        let followed = Rc::new(Followed {
            buffer: RefCell::new(Buffer::new(version)),
            news: Notify::new(),
            asked: Cell::new(self.clock.now()),
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
            if self.clock.now().since(followed.asked.get()) > UNUSED {
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
                        Fault::Conflict { .. } | Fault::Unknown => FAILED_PAUSE,
                    }
                }
            };
            followed.news.notify_waiters();
            sleep(pause).await;
        };
        log::info!("{} table={} why={why}", event::FEED_ENDED, topic.table);
        self.followed.borrow_mut().remove(topic.table);
        // Whoever waits asks the store.
        followed.buffer.borrow_mut().fail(self.clock.now());
        followed.news.notify_waiters();
    }
}
