//! Reading a job's results and items at any node, and ending a job.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};

use super::item::{Item, Outcome};
use super::ledger::Entry;
use super::record::{self, Record};
use super::shell::Jobs;
use crate::event;
use crate::name::{self, Name};
use crate::platform::call;
use crate::platform::job::{self, Listed};
use crate::table::{Expect, Fault, Table as _, Transaction};

/// Bytes of outputs in one answer, below the 1 MB that callers allow.
const PAGE_BYTES: usize = 700 * 1024;
/// Results in one reading of the store.
const PAGE_ROWS: usize = 60;
/// Bytes of outputs that are kept for further readers.
const CACHE_BYTES: usize = 12 * 1024 * 1024;
/// Jobs whose items are kept for further readers.
const CACHE_JOBS: usize = 8;
/// A node that has not heard the store for so long can't be sure that nothing
/// has come since: readers elsewhere may have seen it a second ago.
const SURE: Duration = Duration::from_millis(900);
/// When to come back while the store can't be read.
const RETRY: Duration = Duration::from_millis(300);
/// Longest time that ending a job is tried.
const END_LIMIT: Duration = Duration::from_secs(3);
/// Pause between two tries of it.
const END_PAUSE: Duration = Duration::from_millis(100);

/// Results and items that were read before; they never change.
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

/// Why a job can't be read.
enum Unread {
    /// There is none of that name.
    Absent,
    /// The store can't be asked.
    Unsure,
}

/// Who asks about a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reader {
    /// Callers need no key, so that nobody is told apart.
    Unrestricted,
    /// A caller of this organisation, or of none.
    Organisation(Option<Name>),
}

impl Reader {
    /// An organisation's jobs are nobody else's to see, to read or to end. To others
    /// they look as if they were not there.
    fn may_see(&self, record: &Record) -> bool {
        match self {
            Self::Unrestricted => true,
            Self::Organisation(organisation) => *organisation == record.organisation,
        }
    }
}

impl Unread {
    fn answer(&self) -> Response<Bytes> {
        match self {
            Self::Absent => call::error(
                StatusCode::NOT_FOUND,
                "there is no such job or item; check its id",
            ),
            Self::Unsure => call::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "the job can't be read now; come back",
                RETRY,
            ),
        }
    }
}

impl Jobs {
    /// Answers a reader of the results from the position `after` on, who will
    /// wait for one.
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
            let entry = match self.find_for(reader, job).await {
                Ok(entry) => entry,
                Err(unread) => return unread.answer(),
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
                        Unread::Unsure.answer()
                    }
                };
            }
            if !self.is_sure(&entry.record) {
                return Unread::Unsure.answer();
            }
            if entry.record.is_over() || timeout_at(until, changed).await.is_err() {
                return page(total, after, &[]);
            }
        }
    }

    /// True when this node would know of a newer result.
    fn is_sure(&self, record: &Record) -> bool {
        let heard = self.ledger.borrow().heard_at();
        self.is_mine(record) || heard.is_some_and(|at| self.now().since(at) < SURE)
    }

    /// The job, if it is there for that reader.
    async fn find_for(self: &Rc<Self>, reader: &Reader, job: &Name) -> Result<Entry, Unread> {
        let entry = self.find(job).await?;
        if reader.may_see(&entry.record) {
            Ok(entry)
        } else {
            Err(Unread::Absent)
        }
    }

    /// The job, from memory or else from the store.
    async fn find(self: &Rc<Self>, job: &Name) -> Result<Entry, Unread> {
        if let Some(entry) = self.ledger.borrow().get(job) {
            return Ok(entry.clone());
        }
        if !name::is_valid(job) {
            return Err(Unread::Absent);
        }
        match self.reload(job).await {
            Ok(Some(entry)) => Ok(entry),
            Ok(None) => Err(Unread::Absent),
            Err(_) => Err(Unread::Unsure),
        }
    }

    /// Reads the job's row afresh.
    pub(super) async fn reload(self: &Rc<Self>, job: &Name) -> Result<Option<Entry>, Fault> {
        let Some(row) = self.setup.store.get_row(&record::key(job)).await? else {
            return Ok(None);
        };
        let record = Record::decode(&row.value).map_err(|why| {
            log::warn!("{} job={job} why=\"{why}\"", event::ROW_UNREADABLE);
            Fault::Unknown
        })?;
        self.apply(job, row.version, record);
        Ok(self.ledger.borrow().get(job).cloned())
    }

    /// Stored results from the position `after` on, at least one.
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

    /// Reads stored results from `position` on into the cache.
    async fn load_outcomes(&self, job: &Name, position: usize) -> Result<(), Fault> {
        let prefix = record::results(job);
        let behind = match position.checked_sub(1) {
            Some(before) => record::result(job, before),
            None => String::new(),
        };
        let page = self.setup.store.scan(&prefix, &behind, PAGE_ROWS).await?;
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
                outcome.output = String::from_utf8_lossy(&output).into_owned();
            }
            let mut cache = self.cache.borrow_mut();
            cache.put(job, number, Rc::new(outcome));
        }
        Ok(())
    }

    /// Answers a reader of an item's body.
    pub async fn body(
        self: &Rc<Self>,
        reader: &Reader,
        job: &Name,
        item: &Name,
    ) -> Response<Bytes> {
        match self.item_body(reader, job, item).await {
            Ok(body) => Response::new(body),
            Err(unread) => unread.answer(),
        }
    }

    async fn item_body(
        self: &Rc<Self>,
        reader: &Reader,
        job: &Name,
        item: &Name,
    ) -> Result<Bytes, Unread> {
        self.find_for(reader, job).await?;
        let find = |items: &[Item]| {
            let found = items.iter().find(|other| other.id == *item);
            found.map(|item| item.body.clone()).ok_or(Unread::Absent)
        };
        if let Some(work) = self.works.borrow().get(job) {
            return find(&work.items);
        }
        if let Some(items) = self.cache.borrow().items(job) {
            return find(&items);
        }
        let items = self.load_items(job).await.map_err(|_| Unread::Unsure)?;
        let items = Rc::new(items);
        self.cache.borrow_mut().put_items(job, Rc::clone(&items));
        find(&items)
    }

    /// Reads a job's items out of the store.
    pub(super) async fn load_items(&self, job: &Name) -> Result<Vec<Item>, Fault> {
        let object = self.setup.store.get_object(&record::object(job)).await?;
        let object = object.ok_or(Fault::Unknown)?;
        job::decode(&object).map_err(|why| {
            log::warn!("{} job={job} why=\"{why}\"", event::ROW_UNREADABLE);
            Fault::Unknown
        })
    }

    /// Ends a job; nothing more of it is started anywhere.
    pub async fn end(self: &Rc<Self>, reader: &Reader, job: &Name) -> Response<Bytes> {
        let until = Instant::now() + END_LIMIT;
        while Instant::now() < until {
            match self.try_end(reader, job).await {
                Ok(true) => {
                    log::info!("{} job={job} by=caller", event::JOB_ENDED);
                    self.setup.count.job("ended_by_caller");
                    return Response::new(Bytes::new());
                }
                Ok(false) => {}
                Err(unread @ Unread::Absent) => return unread.answer(),
                Err(Unread::Unsure) => sleep(END_PAUSE).await,
            }
        }
        Unread::Unsure.answer()
    }

    /// One try; false when the row had changed meanwhile.
    async fn try_end(self: &Rc<Self>, reader: &Reader, job: &Name) -> Result<bool, Unread> {
        let Entry { version, record } = self.find_for(reader, job).await?;
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
                // Lost answers and changes by the owner look alike until the row
                // is read again.
                self.reload(job).await.map_err(|_| Unread::Unsure)?;
                Ok(false)
            }
            Err(Fault::Refused { .. }) => Err(Unread::Unsure),
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
