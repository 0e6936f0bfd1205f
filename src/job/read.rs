//! Reads jobs and their results.
//!
//! Results are read only from committed chunks, under the epoch in the commit, so a result that was
//! readable once never changes.

use super::accept::{self, Jobs};
use super::change;
use super::key::Id;
use super::lane::{Committed, Lane};
use super::record::{self, Counts, Item, Job, State};
use super::{End, Reply};
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::table::{Fault, Page, Store, Table};

/// Rows of a page, which costs one read.
const PAGE_ROWS: usize = 100;
/// Default and largest number of results on a page.
const DEFAULT_LIMIT: usize = 100;
const MAX_LIMIT: usize = 1_000;

/// A job with its counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Identity of the job.
    pub id: Id,
    /// Content of its row.
    pub job: Job,
    /// Items with readable results, by how they ended.
    pub counts: Counts,
}

/// A page of results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Results {
    /// Results in item order. While the job is active, items of chunks that are not committed yet
    /// are missing.
    pub replies: Vec<Reply>,
    /// First item of the next page; `None` if nothing follows yet.
    pub next: Option<u32>,
    /// The job's state.
    pub state: State,
}

/// A page of jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The jobs.
    pub jobs: Vec<Status>,
    /// Start of the next page; empty if nothing follows.
    pub next: String,
}

impl<T, S> Jobs<T, S>
where
    T: Table,
    S: Store,
{
    /// Returns a job with the counts of its items.
    pub async fn status(&self, id: &Id) -> Outcome<Status> {
        match self.load(id).await {
            Ok(Some((job, committed))) => Outcome::Done(status(job, &committed)),
            Ok(None) => Outcome::NotRun(Refusal::new(Reason::UnknownJob)),
            Err(fault) => Outcome::NotRun(accept::platform_refusal(&fault)),
        }
    }

    /// Returns at most `limit` results from item `from` on; 0 means 100.
    pub async fn results(&self, id: &Id, from: u32, limit: usize) -> Outcome<Results> {
        let limit = match limit {
            0 => DEFAULT_LIMIT,
            limit => limit.min(MAX_LIMIT),
        };
        match self.load(id).await {
            Ok(Some((job, committed))) => match self.page(&job, &committed, from, limit).await {
                Ok(results) => Outcome::Done(results),
                Err(fault) => Outcome::NotRun(accept::platform_refusal(&fault)),
            },
            Ok(None) => Outcome::NotRun(Refusal::new(Reason::UnknownJob)),
            Err(fault) => Outcome::NotRun(accept::platform_refusal(&fault)),
        }
    }

    /// Returns the result of the item with the key `item`, or with that number if items have no
    /// keys. Returns `None` while the item has no result.
    pub async fn result(&self, id: &Id, item: &str) -> Outcome<Option<Reply>> {
        let found = match self.load(id).await {
            Ok(Some((job, committed))) => self.find(&job, &committed, item).await,
            Ok(None) => return Outcome::NotRun(Refusal::new(Reason::UnknownJob)),
            Err(fault) => Err(fault),
        };
        match found {
            Ok(Some(reply)) => Outcome::Done(reply),
            Ok(None) => {
                let message = format!("the job has no item {item:?}");
                Outcome::NotRun(Refusal::new(Reason::Invalid).with_message(message))
            }
            Err(fault) => Outcome::NotRun(accept::platform_refusal(&fault)),
        }
    }

    /// Returns a page of an organisation's jobs. `after` is empty or `next` of the page before.
    pub async fn list(&self, organisation: &str, after: &str, limit: usize) -> Outcome<Listing> {
        let limit = if limit == 0 { 20 } else { limit.min(PAGE_ROWS) };
        let prefix = format!("job/{organisation}/");
        let after = if after.is_empty() {
            String::new()
        } else {
            prefix.clone() + after
        };
        match self.list_page(&prefix, &after, limit).await {
            Ok(listing) => Outcome::Done(listing),
            Err(fault) => Outcome::NotRun(accept::platform_refusal(&fault)),
        }
    }

    async fn list_page(&self, prefix: &str, after: &str, limit: usize) -> Result<Listing, Fault> {
        let page = self.table.scan(prefix, after, limit).await?;
        let mut jobs = Vec::new();
        for row in &page.rows {
            let Some(job) = record::decode::<Job>(&row.value) else {
                continue;
            };
            let (job, committed) = self.load_lanes(job, row.version).await?;
            jobs.push(status(job, &committed));
        }
        let last = page.rows.last().and_then(|row| row.key.rsplit('/').next());
        let next = match last {
            Some(last) if page.more => last.to_owned(),
            _ => String::new(),
        };
        Ok(Listing { jobs, next })
    }

    async fn load(&self, id: &Id) -> Result<Option<(Job, Vec<Committed>)>, Fault> {
        match self.load_job(id).await? {
            Some((job, version)) => Ok(Some(self.load_lanes(job, version).await?)),
            None => Ok(None),
        }
    }

    /// Reads a job's lanes, and ends the job if its last holder was lost before it could.
    async fn load_lanes(&self, job: Job, version: u64) -> Result<(Job, Vec<Committed>), Fault> {
        let mut lanes = Vec::new();
        let mut open = false;
        // Open lanes are read first: a lane that moves between the two reads is found by the second
        // one.
        if job.state != State::Ended {
            let page = self.table.scan(&job.open_lanes(), "", PAGE_ROWS).await?;
            open = !page.rows.is_empty();
            lanes.extend(decode(&page));
        }
        let page = self
            .table
            .scan(&job.id().closed_prefix(), "", PAGE_ROWS)
            .await?;
        lanes.extend(decode(&page));
        let mut committed: Vec<Committed> = lanes.into_iter().flat_map(|l| l.committed).collect();
        committed.sort_unstable_by_key(|chunk| chunk.chunk);
        committed.dedup_by_key(|chunk| chunk.chunk);
        let state = if job.state == State::Active && !open {
            change::end_if_complete(&self.table, &job, version).await?
        } else {
            job.state
        };
        Ok((Job { state, ..job }, committed))
    }

    async fn page(
        &self,
        job: &Job,
        committed: &[Committed],
        from: u32,
        limit: usize,
    ) -> Result<Results, Fault> {
        let mut replies = Vec::new();
        let mut next = None;
        for chunk in from / job.chunk..job.chunks() {
            let found = self.chunk(job, committed, chunk).await?;
            replies.extend(found.into_iter().filter(|reply| reply.number >= from));
            if replies.len() >= limit {
                replies.truncate(limit);
                next = replies.last().map(|reply| reply.number + 1);
                break;
            }
        }
        Ok(Results {
            replies,
            next: next.filter(|next| *next < job.items),
            state: job.state,
        })
    }

    /// Returns the results of one chunk, or none if it is not committed.
    async fn chunk(
        &self,
        job: &Job,
        committed: &[Committed],
        chunk: u32,
    ) -> Result<Vec<Reply>, Fault> {
        let Ok(at) = committed.binary_search_by_key(&chunk, |c| c.chunk) else {
            let cancelled = job.state == State::Cancelled;
            let numbers = job.item_range(chunk).filter(|_| cancelled);
            return Ok(numbers.map(cancelled_reply).collect());
        };
        let name = job.id().replies(chunk, committed[at].epoch);
        let object = self.store.get(&name).await?;
        // The object was stored before the commit that names it, so a missing object is a failed
        // read.
        object
            .and_then(|bytes| record::decode(&bytes))
            .ok_or(Fault::Unknown)
    }

    async fn find(
        &self,
        job: &Job,
        committed: &[Committed],
        item: &str,
    ) -> Result<Option<Option<Reply>>, Fault> {
        let Some(number) = self.number(job, item).await? else {
            return Ok(None);
        };
        let replies = self.chunk(job, committed, number / job.chunk).await?;
        Ok(Some(replies.into_iter().find(|r| r.number == number)))
    }

    /// Returns the number of the item with the key `item`.
    async fn number(&self, job: &Job, item: &str) -> Result<Option<u32>, Fault> {
        if let Some(number) = item.parse().ok().filter(|number| *number < job.items)
            && self.key(job, number).await?.is_empty()
        {
            return Ok(Some(number));
        }
        for chunk in 0..job.chunks() {
            let items = self.items(job, chunk).await?;
            if let Some(at) = items.iter().position(|found| &*found.key == item) {
                return Ok(job.item_range(chunk).nth(at));
            }
        }
        Ok(None)
    }

    async fn key(&self, job: &Job, number: u32) -> Result<Name, Fault> {
        let items = self.items(job, number / job.chunk).await?;
        let at = (number % job.chunk) as usize;
        Ok(items
            .get(at)
            .map_or_else(|| "".into(), |item| item.key.clone()))
    }

    async fn items(&self, job: &Job, chunk: u32) -> Result<Vec<Item>, Fault> {
        let name = job.id().items(&job.digest, chunk);
        let object = self.store.get(&name).await?;
        object
            .and_then(|bytes| record::decode(&bytes))
            .ok_or(Fault::Unknown)
    }
}

fn decode(page: &Page) -> impl Iterator<Item = Lane> {
    let rows = page.rows.iter();
    rows.filter_map(|row| record::decode(&row.value))
}

fn status(job: Job, committed: &[Committed]) -> Status {
    let counts = committed.iter().map(|chunk| chunk.counts);
    Status {
        id: job.id(),
        counts: counts.fold(Counts::default(), Counts::plus),
        job,
    }
}

fn cancelled_reply(number: u32) -> Reply {
    Reply {
        number,
        key: "".into(),
        end: End::Cancelled,
        text: "its job was cancelled before it had a result".to_owned(),
        tokens: 0,
        attempts: 0,
    }
}
