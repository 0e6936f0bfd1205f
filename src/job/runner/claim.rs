//! Finds chunks and claims them.

use std::cell::RefCell;
use std::hash::Hasher;
use std::rc::Rc;

use xxhash_rust::xxh3::Xxh3;

use super::work::{Phase, Work};
use super::{Event, Platform, Runner};
use crate::clock::Time;
use crate::event;
use crate::job::change::{self, Resolution, Target};
use crate::job::chunk::Chunk;
use crate::job::index::{Open, PAGE_ROWS};
use crate::job::lane::{Decision, Held, Lane};
use crate::job::order::Candidate;
use crate::job::record::{self, Item, Job, State};
use crate::job::segment::{self, Entry};
use crate::job::watch::Verdict;
use crate::job::{Execute, key};
use crate::name::Name;
use crate::table::{Check, Fault, Page, Store, Table};

/// Fraction of the polling interval (1/8) after which a failed claim is retried.
const RETRY_DIVISOR: u32 = 8;

/// Result of reading a page of the index.
pub(super) struct Scanned {
    service: Name,
    page: Result<Page, Fault>,
}

/// Result of a claim.
pub(super) struct Claimed {
    service: Name,
    row: String,
    items: u32,
    work: Option<Work>,
    kind: Kind,
}

/// Reason for which a chunk may be claimed.
#[derive(Clone, Debug)]
enum Kind {
    /// The chunk has no holder.
    Free,
    /// Its holder is presumed lost; the check must still hold at the claim.
    Expired(u32, Check),
    /// This node holds it by a claim whose answer was lost.
    Own(u32),
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Looks for work if the service has capacity for more items than wait on this node.
    pub(super) fn find_work(&mut self, now: Time, service: &Name) {
        let mut works = self
            .works
            .values()
            .filter(|work| work.target.job.service == *service);
        let waiting: usize = works.by_ref().map(|work| work.chunk.waiting()).sum();
        let claiming: usize = self.services.values().map(|s| s.claiming.len()).sum();
        let full = self.works.len() + claiming >= self.setting.max_chunks;
        let Some(backlog) = self.services.get_mut(service) else {
            return;
        };
        if full || !backlog.claiming.is_empty() || waiting >= self.execute.capacity(service).max(1)
        {
            return;
        }
        if self.execute.capacity(service) == 0 {
            return;
        }
        // A claim is based on the page just read. With a page read before the current chunk began,
        // a small urgent job would stay unseen until all lanes known at that time were used up.
        if !self.scan(now, service) && self.lease.acquired {
            self.claim(now, service);
        }
    }

    /// Starts to read a page if the last one is old. Returns true while a read is in progress.
    fn scan(&mut self, now: Time, service: &Name) -> bool {
        let poll = self.setting.poll_interval;
        let Some(backlog) = self.services.get_mut(service) else {
            return true;
        };
        if backlog.scanning || now.since(backlog.scanned) < poll {
            return backlog.scanning;
        }
        backlog.scanning = true;
        backlog.scanned = now;
        let after = backlog.index.cursor().to_owned();
        let service = service.clone();
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let prefix = key::service_prefix(&service);
            let page = platform.table.scan(&prefix, &after, PAGE_ROWS).await;
            Event::Scanned(Scanned { service, page })
        });
        true
    }

    pub(super) fn scanned(&mut self, scanned: Scanned) {
        let Some(backlog) = self.services.get_mut(&scanned.service) else {
            return;
        };
        backlog.scanning = false;
        if let Ok(page) = scanned.page {
            backlog.index.add_page(page);
        }
    }

    /// Starts the next claim, if there is one.
    fn claim(&mut self, now: Time, service: &Name) {
        let Some((open, kind)) = self.choose(now, service) else {
            return;
        };
        let Some(backlog) = self.services.get_mut(service) else {
            return;
        };
        backlog.claiming.insert(open.row.key.clone());
        let attempt = Attempt {
            open,
            kind,
            session: self.lease.session.clone(),
            from: self.flush.next(),
            attempts: self.setting.max_attempts,
        };
        let service = service.clone();
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let row = attempt.open.row.key.clone();
            let kind = attempt.kind.clone();
            let work = attempt.run(&platform).await;
            let items = work.as_ref().map_or(0, |work| {
                let numbers = work.target.job.item_range(work.held.chunk);
                numbers.end - numbers.start
            });
            Event::Claimed(Box::new(Claimed {
                service,
                row,
                items,
                work,
                kind,
            }))
        });
    }

    /// Chooses chunks of lost holders first, since they have waited longest, and then by fairness
    /// and due time.
    fn choose(&mut self, now: Time, service: &Name) -> Option<(Open, Kind)> {
        let backlog = self.services.get_mut(service)?;
        let lost = backlog.index.held().find_map(|(open, held)| {
            let kind = kind(
                now,
                &self.lease.session,
                held,
                &self.works,
                &self.watch,
                open,
            )?;
            Some((open.clone(), kind))
        });
        if lost.is_some() {
            return lost;
        }
        let free: Vec<&Open> = backlog.index.free().collect();
        let session = &self.lease.session;
        let candidates: Vec<Candidate> = free.iter().map(|open| candidate(session, open)).collect();
        let at = backlog.scheduler.pick(&candidates)?;
        Some((free[at].clone(), Kind::Free))
    }

    pub(super) fn claimed(&mut self, claimed: Claimed) {
        let now = self.now();
        let poll = self.setting.poll_interval;
        let Some(backlog) = self.services.get_mut(&claimed.service) else {
            return;
        };
        backlog.claiming.remove(&claimed.row);
        backlog.index.remove(&claimed.row);
        let Some(work) = claimed.work else {
            // Retry soon, but not at once: the platform may be unreachable.
            backlog.scanned = (now + poll / RETRY_DIVISOR) - poll;
            self.count(|stats| stats.collided += 1);
            return;
        };
        // Read the index again at once, because the row has changed.
        backlog.scanned = Time::ZERO;
        backlog
            .scheduler
            .charge(&work.id.organisation, claimed.items);
        let taken_over = matches!(claimed.kind, Kind::Expired(..));
        self.count(|stats| {
            stats.claimed += 1;
            stats.taken_over += u64::from(taken_over);
        });
        let event = if taken_over {
            event::CHUNK_TAKEN_OVER
        } else {
            event::CHUNK_CLAIMED
        };
        log::info!(
            "{event} job={} chunk={} epoch={}",
            work.id,
            work.held.chunk,
            work.held.epoch
        );
        let number = self.next_work;
        self.next_work += 1;
        let finished = work.chunk.is_finished();
        self.works.insert(number, work);
        if finished {
            self.commit(number);
        }
    }
}

/// Returns the reason for which a held chunk may be claimed, if there is one.
fn kind(
    now: Time,
    session: &Name,
    held: &Held,
    works: &std::collections::BTreeMap<u64, Work>,
    watch: &crate::job::watch::Watch,
    open: &Open,
) -> Option<Kind> {
    if held.session == *session {
        let known = works.values().any(|work| {
            work.id == open.id && work.target.lane == open.number && work.held.epoch == held.epoch
        });
        return (!known).then_some(Kind::Own(held.epoch));
    }
    let version = match watch.verdict(now, &held.session) {
        Verdict::Alive => return None,
        Verdict::Expired(version) => Some(version),
        Verdict::Gone => None,
    };
    Some(Kind::Expired(
        held.epoch,
        change::guard(&held.session, version),
    ))
}

fn candidate(session: &Name, open: &Open) -> Candidate {
    let mut hash = Xxh3::new();
    hash.update(session.as_bytes());
    hash.update(open.row.key.as_bytes());
    Candidate {
        organisation: open.id.organisation.clone(),
        due_at_ms: open.due_at_ms,
        rank: hash.finish(),
    }
}

/// An attempt to claim a chunk.
struct Attempt {
    open: Open,
    kind: Kind,
    session: Name,
    from: u64,
    attempts: u32,
}

impl Attempt {
    async fn run<T, S>(&self, platform: &Rc<Platform<T, S>>) -> Option<Work>
    where
        T: Table,
        S: Store,
    {
        let row = platform.table.get(&self.open.id.row()).await.ok()??;
        let job: Job = record::decode(&row.value)?;
        let target = Target {
            job,
            version: row.version,
            lane: self.open.number,
        };
        if target.job.state != State::Active {
            change::close(&platform.table, &target).await;
            return None;
        }
        let guard = match &self.kind {
            Kind::Expired(_, guard) => Some(guard),
            Kind::Free | Kind::Own(_) => None,
        };
        let proposed = RefCell::new(None);
        let known = Some(self.open.row.clone());
        let decide = |lane: &Lane| self.decide(lane, &mut proposed.borrow_mut());
        match change::apply(&platform.table, &target, known, guard, decide).await {
            Resolution::Applied => {
                let held = proposed.take()?;
                Some(self.load(platform, target, held).await)
            }
            // If only the answer was lost, the next read of the index finds this node's own session
            // in the row and resumes the chunk.
            Resolution::Superseded | Resolution::Inactive | Resolution::Unknown(_) => None,
        }
    }

    /// Decides on the current row which chunk is claimed, so that a conflict costs another attempt
    /// but no further read of the index. `proposed` is the claim of the previous attempt: if it is
    /// in the row, that attempt has taken effect.
    fn decide(&self, lane: &Lane, proposed: &mut Option<Held>) -> Decision {
        let is_own = |held: &Held| {
            let found = lane.find_held(held.epoch);
            found.is_some_and(|found| found.session == held.session)
        };
        if proposed.as_ref().is_some_and(is_own) {
            return Decision::Applied;
        }
        let change = match self.kind {
            Kind::Free => lane.claim(&self.session, self.from),
            Kind::Expired(epoch, _) => lane.take_over(epoch, &self.session, self.from),
            Kind::Own(epoch) => lane.resume(epoch, &self.session, self.from),
        };
        let Some((next, held)) = change else {
            return Decision::Superseded;
        };
        *proposed = Some(held);
        Decision::Write(next)
    }

    /// Loads the items and the logs of earlier holders. The chunk is claimed already, so this
    /// retries until the store answers.
    async fn load<T, S>(&self, platform: &Platform<T, S>, target: Target, held: Held) -> Work
    where
        T: Table,
        S: Store,
    {
        let id = self.open.id.clone();
        let (items, entries) = loop {
            match read(&platform.store, &target.job, &held).await {
                Ok(found) => break found,
                Err(fault) => tokio::time::sleep(change::retry_after(&fault)).await,
            }
        };
        let first = target.job.item_range(held.chunk).start;
        let chunk = Chunk::new(
            &held,
            first,
            items,
            target.job.once,
            self.attempts,
            &entries,
        );
        Work {
            id,
            target,
            held,
            chunk,
            phase: Phase::Idle,
            running: std::collections::BTreeMap::new(),
        }
    }
}

async fn read<S>(store: &S, job: &Job, held: &Held) -> Result<(Vec<Item>, Vec<Entry>), Fault>
where
    S: Store,
{
    let id = job.id();
    let object = store.get(&id.items(&job.digest, held.chunk)).await?;
    // The items were stored before the job was accepted, so a missing object is a failed read.
    let items = object
        .and_then(|bytes| record::decode(&bytes))
        .ok_or(Fault::Unknown)?;
    let mut entries = Vec::new();
    for range in &held.trails {
        entries.extend(segment::read(store, range, &id.hash, held.chunk).await?);
    }
    Ok((items, entries))
}
