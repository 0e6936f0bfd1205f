//! Finds chunks and claims them.

use std::cell::RefCell;
use std::hash::Hasher;
use std::rc::Rc;

use xxhash_rust::xxh3::Xxh3;

use super::work::{Phase, Work};
use super::{Event, Platform, Runner};
use crate::clock::Time;
use crate::event;
use crate::job::change::{self, Change, Place};
use crate::job::chunk::Chunk;
use crate::job::index::{Open, PAGE};
use crate::job::lane::{Held, Lane, Step};
use crate::job::order::Candidate;
use crate::job::record::{self, Item, Job, State};
use crate::job::segment::{self, Entry};
use crate::job::watch::Verdict;
use crate::job::{Execute, key};
use crate::name::Name;
use crate::table::{Check, Fault, Page, Store, Table};

/// Part of the polling period after which a failed claim is tried again.
const RETRY_PART: u32 = 8;

/// A page of the index.
pub(super) struct Scanned {
    service: Name,
    page: Result<Page, Fault>,
}

/// What a claim came to.
pub(super) struct Claimed {
    service: Name,
    row: String,
    items: u32,
    got: Option<Work>,
    kind: Kind,
}

/// Why a chunk is claimed.
#[derive(Clone, Debug)]
enum Kind {
    /// Nobody has it.
    Free,
    /// Its holder is taken for lost, by the check that must still hold.
    Lost(u32, Check),
    /// This node has it, by a claim whose answer was lost.
    Mine(u32),
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Looks for work when the service has more room than items wait here.
    pub(super) fn seek(&mut self, now: Time, service: &Name) {
        let mut works = self
            .works
            .values()
            .filter(|work| work.place.job.service == *service);
        let waiting: usize = works.by_ref().map(|work| work.chunk.waiting()).sum();
        let claiming: usize = self.services.values().map(|s| s.claiming.len()).sum();
        let full = self.works.len() + claiming >= self.setting.max_chunks;
        let Some(search) = self.services.get_mut(service) else {
            return;
        };
        if full || !search.claiming.is_empty() || waiting >= self.execute.capacity(service).max(1) {
            return;
        }
        if self.execute.capacity(service) == 0 {
            return;
        }
        // A claim is made on what was read just now. From what was read before
        // the last chunk began, a small urgent job would not be seen until all
        // lanes known then are used up.
        if !self.scan(now, service) && self.lease.taken {
            self.claim(now, service);
        }
    }

    /// Starts to read a page when the last one is old; true while one is read.
    fn scan(&mut self, now: Time, service: &Name) -> bool {
        let poll = self.setting.poll_interval;
        let Some(search) = self.services.get_mut(service) else {
            return true;
        };
        if search.scanning || now.since(search.scanned) < poll {
            return search.scanning;
        }
        search.scanning = true;
        search.scanned = now;
        let after = search.index.cursor().to_owned();
        let service = service.clone();
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let prefix = key::service(&service);
            let page = platform.table.scan(&prefix, &after, PAGE).await;
            Event::Scanned(Scanned { service, page })
        });
        true
    }

    pub(super) fn scanned(&mut self, scanned: Scanned) {
        let Some(search) = self.services.get_mut(&scanned.service) else {
            return;
        };
        search.scanning = false;
        if let Ok(page) = scanned.page {
            search.index.take(page);
        }
    }

    /// Starts the claim that is next, if there is one.
    fn claim(&mut self, now: Time, service: &Name) {
        let Some((open, kind)) = self.choose(now, service) else {
            return;
        };
        let Some(search) = self.services.get_mut(service) else {
            return;
        };
        search.claiming.insert(open.row.key.clone());
        let bid = Bid {
            open,
            kind,
            session: self.lease.session.clone(),
            from: self.flush.next(),
            attempts: self.setting.max_attempts,
        };
        let service = service.clone();
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let row = bid.open.row.key.clone();
            let kind = bid.kind.clone();
            let got = bid.place(&platform).await;
            let items = got.as_ref().map_or(0, |work| {
                let numbers = work.place.job.numbers(work.held.chunk);
                numbers.end - numbers.start
            });
            Event::Claimed(Box::new(Claimed {
                service,
                row,
                items,
                got,
                kind,
            }))
        });
    }

    /// Chunks of lost holders first, for they have waited longest; then what
    /// fairness and due times say.
    fn choose(&mut self, now: Time, service: &Name) -> Option<(Open, Kind)> {
        let search = self.services.get_mut(service)?;
        let lost = search.index.held().find_map(|(open, held)| {
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
        let free: Vec<&Open> = search.index.free().collect();
        let session = &self.lease.session;
        let candidates: Vec<Candidate> = free.iter().map(|open| candidate(session, open)).collect();
        let at = search.ledger.pick(&candidates)?;
        Some((free[at].clone(), Kind::Free))
    }

    pub(super) fn claimed(&mut self, claimed: Claimed) {
        let now = self.now();
        let poll = self.setting.poll_interval;
        let Some(search) = self.services.get_mut(&claimed.service) else {
            return;
        };
        search.claiming.remove(&claimed.row);
        search.index.forget(&claimed.row);
        let Some(work) = claimed.got else {
            // Soon again, but not at once: the platform may be down.
            search.scanned = (now + poll / RETRY_PART) - poll;
            self.count(|stats| stats.collided += 1);
            return;
        };
        // The next look is due at once: the row that was known has changed.
        search.scanned = Time::ZERO;
        search.ledger.charge(&work.id.organisation, claimed.items);
        let taken_over = matches!(claimed.kind, Kind::Lost(..));
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
        let over = work.chunk.is_over();
        self.works.insert(number, work);
        if over {
            self.commit(number);
        }
    }
}

/// Whether a held chunk may be claimed, and on which ground.
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
            work.id == open.id && work.place.lane == open.number && work.held.epoch == held.epoch
        });
        return (!known).then_some(Kind::Mine(held.epoch));
    }
    let version = match watch.verdict(now, &held.session) {
        Verdict::Alive => return None,
        Verdict::Expired(version) => Some(version),
        Verdict::Gone => None,
    };
    Some(Kind::Lost(
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

/// One attempt at a claim.
struct Bid {
    open: Open,
    kind: Kind,
    session: Name,
    from: u64,
    attempts: u32,
}

impl Bid {
    async fn place<T, S>(&self, platform: &Rc<Platform<T, S>>) -> Option<Work>
    where
        T: Table,
        S: Store,
    {
        let row = platform.table.get(&self.open.id.row()).await.ok()??;
        let job: Job = record::decode(&row.value)?;
        let place = Place {
            job,
            version: row.version,
            lane: self.open.number,
        };
        if place.job.state != State::Active {
            change::close(&platform.table, &place).await;
            return None;
        }
        let guard = match &self.kind {
            Kind::Lost(_, guard) => Some(guard),
            Kind::Free | Kind::Mine(_) => None,
        };
        let wanted = RefCell::new(None);
        let known = Some(self.open.row.clone());
        let decide = |lane: &Lane| self.decide(lane, &mut wanted.borrow_mut());
        match change::apply(&platform.table, &place, known, guard, decide).await {
            Change::Settled => {
                let held = wanted.take()?;
                Some(self.load(platform, place, held).await)
            }
            // When the answer was lost, the next look at the index finds this
            // node's own session in the row and takes the chunk up.
            Change::Lost | Change::Over | Change::Unsure(_) => None,
        }
    }

    /// The row as it is now decides which chunk is claimed, so that a collision
    /// costs another try and not another look at the index. `wanted` is what the
    /// try before this one wanted: found in the row, that try has taken effect.
    fn decide(&self, lane: &Lane, wanted: &mut Option<Held>) -> Step {
        let mine = |held: &Held| {
            let found = lane.holding(held.epoch);
            found.is_some_and(|found| found.session == held.session)
        };
        if wanted.as_ref().is_some_and(mine) {
            return Step::Already;
        }
        let change = match self.kind {
            Kind::Free => lane.claim(&self.session, self.from),
            Kind::Lost(epoch, _) => lane.take_over(epoch, &self.session, self.from),
            Kind::Mine(epoch) => lane.resume(epoch, &self.session, self.from),
        };
        let Some((next, held)) = change else {
            return Step::Lost;
        };
        *wanted = Some(held);
        Step::Write(next)
    }

    /// Reads the items and what earlier holders logged. The chunk is claimed by
    /// now, so this goes on until the store answers.
    async fn load<T, S>(&self, platform: &Platform<T, S>, place: Place, held: Held) -> Work
    where
        T: Table,
        S: Store,
    {
        let id = self.open.id.clone();
        let (items, left) = loop {
            match read(&platform.store, &place.job, &held).await {
                Ok(found) => break found,
                Err(fault) => tokio::time::sleep(change::wait(&fault)).await,
            }
        };
        let first = place.job.numbers(held.chunk).start;
        let chunk = Chunk::new(&held, first, items, place.job.once, self.attempts, &left);
        Work {
            id,
            place,
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
    // The items were stored before the job was accepted, so their absence can
    // only be a read that went wrong.
    let items = object
        .and_then(|bytes| record::decode(&bytes))
        .ok_or(Fault::Unknown)?;
    let mut left = Vec::new();
    for trail in &held.trails {
        left.extend(segment::read(store, trail, &id.hash, held.chunk).await?);
    }
    Ok((items, left))
}
