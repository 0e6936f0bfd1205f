//! Reads a job's results and items at any node, and ends a job.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};

use super::item::{Item, Outcome};
use super::record::{self, Record};
use super::registry::Entry;
use super::shell::Jobs;
use crate::event;
use crate::name::{self, Name};
use crate::platform::call;
use crate::platform::job::{self, Listed};
use crate::table::{Expect, Fault, Table as _, Transaction};

/// Bytes of output in one response, below the 1 MB that callers accept.
const PAGE_BYTES: usize = 700 * 1024;
/// Results fetched by one scan of the store.
const PAGE_ROWS: usize = 60;
/// Bytes of output cached for further readers.
const CACHE_BYTES: usize = 12 * 1024 * 1024;
/// Jobs whose items are cached for further readers.
const CACHE_JOBS: usize = 8;
/// Oldest copy of the store's rows from which "no further results" may be answered. Readers at
/// other nodes may have seen a newer result a second ago.
const MAX_STALENESS: Duration = Duration::from_millis(900);
/// Retry delay sent to the caller while the store cannot be read.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest time for which ending a job is retried.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between attempts to end a job.
const END_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Cache of results and items, which never change once stored.
#[derive(Debug, Default)]
pub struct Cache {
    outcomes: HashMap<(Name, usize), Rc<Outcome>>,
    order: VecDeque<(Name, usize)>,
    bytes: usize,
    items: VecDeque<(Name, Rc<Vec<Item>>)>,
}

impl Cache {
    pub(super) fn put(&mut self, job: &Name, position: usize, outcome: Rc<Outcome>) {
        let key = (job.clone(), position);
        if self.outcomes.contains_key(&key) {
            return;
        }
        self.bytes += outcome.output.len();
        self.outcomes.insert(key.clone(), outcome);
        self.order.push_back(key);
        while self.bytes > CACHE_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(outcome) = self.outcomes.remove(&oldest) {
                self.bytes -= outcome.output.len();
            }
        }
    }

    fn get(&self, job: &Name, position: usize) -> Option<Rc<Outcome>> {
        self.outcomes.get(&(job.clone(), position)).cloned()
    }

    fn items(&self, job: &Name) -> Option<Rc<Vec<Item>>> {
        let found = self.items.iter().find(|(other, _)| other == job)?;
        Some(Rc::clone(&found.1))
    }

    fn put_items(&mut self, job: &Name, items: Rc<Vec<Item>>) {
        if self.items.len() >= CACHE_JOBS {
            self.items.pop_front();
        }
        self.items.push_back((job.clone(), items));
    }
}

/// Why a job cannot be read.
enum Error {
    /// No such job or item.
    NotFound,
    /// The store cannot be read.
    Unavailable,
}

/// The caller that reads a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reader {
    /// Any caller: the route requires no key, so callers cannot be distinguished.
    Unrestricted,
    /// A caller of this organisation, or of none.
    Organisation(Option<Name>),
}

impl Reader {
    /// Only the organisation that submitted a job may see, read or end it. To others the job looks
    /// as if it did not exist.
    fn can_read(&self, record: &Record) -> bool {
        match self {
            Self::Unrestricted => true,
            Self::Organisation(organisation) => *organisation == record.organisation,
        }
    }
}

impl Error {
    fn response(&self) -> Response<Bytes> {
        match self {
            Self::NotFound => {
                call::error(StatusCode::NOT_FOUND, "no such job or item; check its id")
            }
            Self::Unavailable => call::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "the job cannot be read now; retry later",
                RETRY_AFTER,
            ),
        }
    }
}

impl Jobs {
    /// Returns results from position `after` on, waiting up to `wait` for the first one.
    pub async fn read(
        self: &Rc<Self>,
        reader: &Reader,
        job: &Name,
        after: usize,
        wait: Duration,
    ) -> Response<Bytes> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let entry = match self.find_visible(reader, job).await {
                Ok(entry) => entry,
                Err(error) => return error.response(),
            };
            let total = entry.record.tokens.len();
            if after < entry.record.done.len() {
                return match self.outcomes(job, &entry.record, after).await {
                    Ok(outcomes) => page(total, after, &outcomes),
                    Err(fault) => {
                        log::info!(
                            "{} job={job} after={after} why=\"{fault}\"",
                            event::STORE_CALL_LOST
                        );
                        Error::Unavailable.response()
                    }
                };
            }
            if !self.is_current(&entry.record) {
                return Error::Unavailable.response();
            }
            if entry.record.is_finished() || timeout_at(until, changed).await.is_err() {
                return page(total, after, &[]);
            }
        }
    }

    /// Returns true if this node would have seen a newer result.
    fn is_current(&self, record: &Record) -> bool {
        let synced_at = self.registry.borrow().synced_at();
        self.is_mine(record) || synced_at.is_some_and(|at| self.now().since(at) < MAX_STALENESS)
    }

    /// Finds a job that `reader` may see.
    async fn find_visible(self: &Rc<Self>, reader: &Reader, job: &Name) -> Result<Entry, Error> {
        let entry = self.find(job).await?;
        if reader.can_read(&entry.record) {
            Ok(entry)
        } else {
            Err(Error::NotFound)
        }
    }

    /// Finds a job in memory, or else in the store.
    async fn find(self: &Rc<Self>, job: &Name) -> Result<Entry, Error> {
        if let Some(entry) = self.registry.borrow().get(job) {
            return Ok(entry.clone());
        }
        if !name::is_valid(job) {
            return Err(Error::NotFound);
        }
        match self.reload(job).await {
            Ok(Some(entry)) => Ok(entry),
            Ok(None) => Err(Error::NotFound),
            Err(_) => Err(Error::Unavailable),
        }
    }

    /// Reads the job's row from the store.
    pub(super) async fn reload(self: &Rc<Self>, job: &Name) -> Result<Option<Entry>, Fault> {
        let Some(row) = self.setup.store.get_row(&record::key(job)).await? else {
            return Ok(None);
        };
        let record = Record::decode(&row.value).map_err(|why| {
            log::warn!("{} job={job} why=\"{why}\"", event::ROW_UNREADABLE);
            Fault::Unknown
        })?;
        self.apply(job, row.version, record);
        Ok(self.registry.borrow().get(job).cloned())
    }

    /// Returns at least one stored result, from position `after` on.
    async fn outcomes(
        &self,
        job: &Name,
        record: &Record,
        after: usize,
    ) -> Result<Vec<Rc<Outcome>>, Fault> {
        let mut outcomes = Vec::new();
        let mut bytes = 0;
        let mut position = after;
        while position < record.done.len() && bytes < PAGE_BYTES {
            let known = self.cache.borrow().get(job, position);
            let Some(outcome) = known else {
                if !outcomes.is_empty() {
                    break;
                }
                self.load_outcomes(job, position).await?;
                if self.cache.borrow().get(job, position).is_none() {
                    return Err(Fault::Unknown);
                }
                continue;
            };
            bytes += outcome.output.len();
            if !outcomes.is_empty() && bytes > PAGE_BYTES {
                break;
            }
            outcomes.push(outcome);
            position += 1;
        }
        Ok(outcomes)
    }

    /// Loads stored results from `position` on into the cache.
    async fn load_outcomes(&self, job: &Name, position: usize) -> Result<(), Fault> {
        let prefix = record::results(job);
        let after_key = match position.checked_sub(1) {
            Some(before) => record::result(job, before),
            None => String::new(),
        };
        let page = self
            .setup
            .store
            .scan(&prefix, &after_key, PAGE_ROWS)
            .await?;
        for row in page.rows {
            let number = row.key[prefix.len()..].parse();
            let outcome: Result<Outcome, _> = ciborium::from_reader(&row.value[..]);
            let (Ok(number), Ok(mut outcome)) = (number, outcome) else {
                log::warn!("{} key={}", event::ROW_UNREADABLE, row.key);
                return Err(Fault::Unknown);
            };
            if let Some(object) = &outcome.object {
                let output = self.setup.store.get_object(object).await?;
                let output = output.ok_or(Fault::Unknown)?;
                let length = outcome.object_length;
                if let Some(length) = length.filter(|length| *length != output.len()) {
                    log::warn!(
                        "{} path={object} why=\"the object has {} bytes instead of {length}\"",
                        event::STORE_ANSWER_UNREADABLE,
                        output.len(),
                    );
                    return Err(Fault::Unknown);
                }
                outcome.output = String::from_utf8_lossy(&output).into_owned();
            }
            let mut cache = self.cache.borrow_mut();
            cache.put(job, number, Rc::new(outcome));
        }
        Ok(())
    }

    /// Returns the body of an item.
    pub async fn body(
        self: &Rc<Self>,
        reader: &Reader,
        job: &Name,
        item: &Name,
    ) -> Response<Bytes> {
        match self.item_body(reader, job, item).await {
            Ok(body) => Response::new(body),
            Err(error) => error.response(),
        }
    }

    async fn item_body(
        self: &Rc<Self>,
        reader: &Reader,
        job: &Name,
        item: &Name,
    ) -> Result<Bytes, Error> {
        self.find_visible(reader, job).await?;
        let find = |items: &[Item]| {
            let found = items.iter().find(|other| other.id == *item);
            found.map(|item| item.body.clone()).ok_or(Error::NotFound)
        };
        if let Some(work) = self.works.borrow().get(job) {
            return find(&work.items);
        }
        if let Some(items) = self.cache.borrow().items(job) {
            return find(&items);
        }
        let items = self.load_items(job).await.map_err(|_| Error::Unavailable)?;
        let items = Rc::new(items);
        self.cache.borrow_mut().put_items(job, Rc::clone(&items));
        find(&items)
    }

    /// Loads a job's items from the store.
    pub(super) async fn load_items(&self, job: &Name) -> Result<Vec<Item>, Fault> {
        let object = self.setup.store.get_object(&record::object(job)).await?;
        let object = object.ok_or(Fault::Unknown)?;
        job::decode(&object).map_err(|why| {
            log::warn!("{} job={job} why=\"{why}\"", event::ROW_UNREADABLE);
            Fault::Unknown
        })
    }

    /// Ends a job: no node starts another of its items.
    pub async fn end(self: &Rc<Self>, reader: &Reader, job: &Name) -> Response<Bytes> {
        let until = Instant::now() + END_TIMEOUT;
        while Instant::now() < until {
            match self.try_end(reader, job).await {
                Ok(true) => {
                    log::info!("{} job={job} by=caller", event::JOB_ENDED);
                    self.setup.count.job("ended_by_caller");
                    return Response::new(Bytes::new());
                }
                Ok(false) => {}
                Err(error @ Error::NotFound) => return error.response(),
                Err(Error::Unavailable) => sleep(END_RETRY_DELAY).await,
            }
        }
        Error::Unavailable.response()
    }

    /// Tries once; returns false if the row had changed in the meantime.
    async fn try_end(self: &Rc<Self>, reader: &Reader, job: &Name) -> Result<bool, Error> {
        let Entry { version, record } = self.find_visible(reader, job).await?;
        if record.ended {
            return Ok(true);
        }
        let ended = Record {
            ended: true,
            ..record
        };
        let key = record::key(job);
        let transaction = Transaction::default()
            .check(key.clone(), Expect::Version(version))
            .put(key, ended.encode());
        match self.setup.store.transact(transaction).await {
            Ok(version) => {
                self.apply(job, version, ended);
                self.changed.notify_waiters();
                Ok(true)
            }
            Err(Fault::Conflict { .. } | Fault::Unknown) => {
                // Only reading the row again distinguishes a lost answer from a change by the
                // owner.
                self.reload(job).await.map_err(|_| Error::Unavailable)?;
                Ok(false)
            }
            Err(Fault::Refused { .. }) => Err(Error::Unavailable),
        }
    }
}

fn page(total: usize, after: usize, outcomes: &[Rc<Outcome>]) -> Response<Bytes> {
    let listed: Vec<Listed<'_>> = outcomes
        .iter()
        .map(|outcome| Listed {
            id: &outcome.id,
            state: outcome.state,
            output: &outcome.output,
        })
        .collect();
    job::page(total, after, &listed)
}
