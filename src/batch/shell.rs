//! The batch jobs of one node: what it knows, what it runs, and what it starts
//! next.

use std::cell::{Cell as Flag, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use super::item::Item;
use super::ledger::{Entry, Ledger};
use super::read::Cache;
use super::record::{self, Record};
use super::work::{Pace, Slot, Work};
use super::{orphan, retire, run};
use crate::catalog::{Catalog, Config, Kind, Route, Terms};
use crate::clock::{Clock, Time};
use crate::edge::body::Guard;
use crate::edge::count::Count;
use crate::edge::learn::{Update, follow};
use crate::event;
use crate::leave::Phase;
use crate::member::View;
use crate::name::Name;
use crate::permit::Desk;
use crate::platform::store::Client;
use crate::quarantine::Ward;
use crate::snapshot::Cell;
use crate::table::{Changes, Feed};

/// Items that wait for a place at a time; a pool that has room grants one in
/// a few milliseconds, so more would only repeat themselves to it.
const ASKING: usize = 3;
/// How often jobs without an owner are looked for.
const TICK: Duration = Duration::from_millis(200);
/// How often jobs that may be removed are looked for.
const RETIRE: Duration = Duration::from_secs(30);
/// How long a job's route may be unknown before its items are given up. A node
/// that has just started, or reads from a copy of the store that is behind, may
/// take a job over before it hears of a route that is newer: it would list
/// items as failed that can be done. A configuration is in force everywhere
/// within 3 s, and copies are up to 5 s behind.
const ROUTE_GRACE: Duration = Duration::from_secs(8);
/// Least time between two readings of the jobs' changes: a job's rows change
/// with each result, and readers are told within a second.
const FEED_GAP: Duration = Duration::from_millis(200);

/// What [`Jobs`] works with.
pub struct Setup {
    /// This process's name among the members.
    pub me: Name,
    /// The node's availability zone.
    pub zone: Name,
    /// The process's clock.
    pub clock: Clock,
    /// The store.
    pub store: Client,
    /// Largest value of a row, in bytes.
    pub row_bytes: usize,
    /// For how long results stay readable.
    pub result_retention: Duration,
    /// Admission.
    pub desk: Rc<Desk>,
    /// The quarantine.
    pub ward: Rc<Ward>,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// How far the node is in its life.
    pub phase: Arc<Cell<Phase>>,
    /// The counters.
    pub count: Count,
}

/// The batch jobs of one node.
pub struct Jobs {
    pub(super) setup: Setup,
    pub(super) ledger: RefCell<Ledger>,
    pub(super) works: RefCell<BTreeMap<Name, Rc<Work>>>,
    pub(super) cache: RefCell<Cache>,
    /// When a job was first seen without a live owner.
    pub(super) orphans: RefCell<HashMap<Name, Time>>,
    /// Until when a claim that failed is not repeated.
    pub(super) claim_after: RefCell<HashMap<Name, Time>>,
    /// Jobs that are being taken over now.
    pub(super) taking: RefCell<HashSet<Name>>,
    /// Told at each change of the ledger.
    pub(super) changed: Notify,
    pub(super) started: Time,
    pub(super) pace: Pace,
    asking: Flag<usize>,
}

impl Jobs {
    /// No jobs yet.
    pub fn new(setup: Setup) -> Rc<Self> {
        let started = setup.clock.now();
        Rc::new(Self {
            setup,
            ledger: RefCell::default(),
            works: RefCell::default(),
            cache: RefCell::default(),
            orphans: RefCell::default(),
            claim_after: RefCell::default(),
            taking: RefCell::default(),
            changed: Notify::new(),
            started,
            pace: Pace::default(),
            asking: Flag::new(0),
        })
    }

    /// Follows the jobs over `feed` and runs this node's for as long as the
    /// thread lives.
    pub async fn run<F>(self: Rc<Self>, feed: F)
    where
        F: Feed + 'static,
    {
        let learner = Rc::clone(&self);
        actix_rt::spawn(follow(feed, record::TABLE, FEED_GAP, move |news| {
            learner.learn(news);
        }));
        let retiring = Rc::clone(&self);
        actix_rt::spawn(async move {
            loop {
                sleep(RETIRE).await;
                retire::retire(&retiring).await;
            }
        });
        let mut released = false;
        loop {
            sleep(TICK).await;
            if !released && !matches!(**self.setup.phase.read(), Phase::Starting | Phase::Serving) {
                released = true;
                self.release();
            }
            orphan::adopt(&self);
            self.expire();
            self.schedule();
        }
    }

    /// Jobs that this node still holds.
    pub fn running(&self) -> usize {
        self.works.borrow().len()
    }

    pub(super) fn now(&self) -> Time {
        self.setup.clock.now()
    }

    fn learn(self: &Rc<Self>, news: Update) {
        let now = self.now();
        match news {
            Update::Snapshot(snapshot) => {
                for row in snapshot.rows {
                    self.learn_row(&row.key.into(), row.version, &row.value);
                }
                self.ledger
                    .borrow_mut()
                    .heard(now, snapshot.version, snapshot.clock);
            }
            Update::Changes(changes) => self.learn_changes(changes),
            Update::Failed => return,
        }
        self.changed.notify_waiters();
    }

    pub(super) fn learn_changes(self: &Rc<Self>, changes: Changes) {
        for change in changes.changes {
            if let Some(value) = change.value {
                self.learn_row(&change.key.into(), change.version, &value);
            } else {
                let mut ledger = self.ledger.borrow_mut();
                ledger.remove(&change.key, change.version);
            }
        }
        let said = self.now() - changes.age;
        self.ledger
            .borrow_mut()
            .heard(said, changes.version, changes.clock);
    }

    fn learn_row(self: &Rc<Self>, job: &Name, version: u64, value: &[u8]) {
        match Record::decode(value) {
            Ok(record) => self.apply(job, version, record),
            Err(why) => log::warn!("{} job={job} why=\"{why}\"", event::ROW_UNREADABLE),
        }
    }

    /// Takes a job's row, wherever it came from, and stops work on a job that
    /// was ended or that another node has.
    pub(super) fn apply(self: &Rc<Self>, job: &Name, version: u64, record: Record) {
        let work = self.works.borrow().get(job).cloned();
        if let Some(work) = work {
            let known = work.entry.borrow().version;
            if version > known && !self.is_mine(&record) {
                self.drop_work(&work, "another_owner");
            } else if record.ended && !work.stopped.get() {
                self.drop_work(&work, "ended");
            }
        }
        self.ledger.borrow_mut().apply(job, version, record);
    }

    pub(super) fn is_mine(&self, record: &Record) -> bool {
        record.owner.as_ref() == Some(&self.setup.me)
    }

    pub(super) fn drop_work(&self, work: &Rc<Work>, why: &'static str) {
        log::info!("{} job={} why={why}", event::JOB_LOST, work.id);
        self.setup.count.job(why);
        work.stop();
        self.works.borrow_mut().remove(&work.id);
    }

    /// Starts to run a job that this node owns.
    pub(super) fn start(self: &Rc<Self>, job: &Name, items: Vec<Item>, entry: Entry) -> Rc<Work> {
        let now = self.now();
        let age = self
            .ledger
            .borrow()
            .store_now(now)
            .map_or(0, |store| store.saturating_sub(entry.record.accepted));
        let accepted = now - Duration::from_millis(age);
        let terms = self
            .route(&entry.record)
            .and_then(|route| terms(&route))
            .unwrap_or(UNKNOWN_TERMS);
        let due = accepted + terms.due;
        let expires = accepted + terms.lifetime;
        let work = Work::new(job.clone(), items, entry, due, expires);
        let work = Rc::new(work);
        self.works
            .borrow_mut()
            .insert(job.clone(), Rc::clone(&work));
        self.schedule();
        work
    }

    pub(super) fn config(&self) -> Option<Arc<Config>> {
        self.setup.catalog.read().config.clone()
    }

    pub(super) fn route(&self, record: &Record) -> Option<Arc<Route>> {
        let config = self.config()?;
        config.route(&record.host, &record.prefix).cloned()
    }

    /// Whose items run here, and how many of each organisation's.
    fn busy_by_organisation(&self) -> HashMap<u64, usize> {
        let mut busy = HashMap::new();
        for work in self.works.borrow().values() {
            *busy.entry(work.organisation()).or_default() += work.busy();
        }
        busy
    }

    /// Starts the most urgent items, as many as may wait for a place; those of an
    /// organisation that has an equal part of what runs here come after others', as
    /// the pool has it.
    pub(super) fn schedule(self: &Rc<Self>) {
        if !matches!(**self.setup.phase.read(), Phase::Serving) {
            return;
        }
        while self.asking.get() < ASKING {
            let now = self.now();
            let busy = self.busy_by_organisation();
            let part = busy.values().sum::<usize>() / busy.len().max(1);
            let has_part = |work: &Work| {
                busy.get(&work.organisation())
                    .is_some_and(|has| *has > part)
            };
            let works = self.works.borrow();
            let next = works
                .values()
                .filter_map(|work| Some((work.next(now, &self.pace)?, work)))
                .min_by_key(|((urgency, _), work)| (has_part(work), *urgency))
                .map(|((_, item), work)| (Rc::clone(work), item));
            drop(works);
            let Some((work, item)) = next else {
                return;
            };
            self.asking.set(self.asking.get() + 1);
            let run = run::run(
                Rc::clone(self),
                Rc::clone(&work),
                item,
                Asking(Rc::clone(self)),
            );
            let guard = Guard(actix_rt::spawn(run));
            work.set(item, Slot::Busy { guard });
        }
    }

    /// Gives up what was not done in its lifetime, or has no route any more.
    fn expire(self: &Rc<Self>) {
        let now = self.now();
        let works: Vec<_> = self.works.borrow().values().cloned().collect();
        for work in works {
            let routed = self.config().is_none() || {
                let entry = work.entry.borrow();
                self.route(&entry.record).is_some()
            };
            let mut absence = work.unrouted.get();
            let orphaned = absence.look(now, routed, ROUTE_GRACE);
            work.unrouted.set(absence);
            if now < work.expires && !orphaned {
                continue;
            }
            while let Some(item) = work.next_ready(now) {
                log::info!(
                    "{} job={} id={} why={}",
                    event::ITEM_FAILED,
                    work.id,
                    work.items[item].id,
                    if orphaned { "no_route" } else { "expired" },
                );
                work.finish(item, super::item::State::Failed);
            }
            self.commit(&work);
        }
    }
}

/// For a route that is not known yet: nothing is given up.
const UNKNOWN_TERMS: Terms = Terms {
    due: Duration::from_secs(60),
    lifetime: Duration::from_secs(600),
    waiting_tokens: None,
};

pub(super) fn terms(route: &Route) -> Option<Terms> {
    match route.kind {
        Kind::Batch(terms) => Some(terms),
        _ => None,
    }
}

/// Counts an item that waits for a place, until it is dropped.
pub(super) struct Asking(Rc<Jobs>);

impl Drop for Asking {
    fn drop(&mut self) {
        self.0.asking.set(self.0.asking.get().saturating_sub(1));
    }
}
