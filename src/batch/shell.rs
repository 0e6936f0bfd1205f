//! The batch jobs of one node: its copy of all jobs, the jobs that it runs, and which item it
//! starts next.

use std::cell::{Cell as StdCell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use super::item::Item;
use super::lag::Lag;
use super::read::Cache;
use super::record::{self, Record};
use super::registry::{Entry, Registry};
use super::work::{Estimator, Slot, Work};
use super::{orphan, retire, run};
use crate::catalog::{Catalog, Config, Kind, Route, Terms};
use crate::clock::{Clock, Time, Uptime};
use crate::edge::body::Guard;
use crate::edge::count::Count;
use crate::edge::learn::{Update, follow};
use crate::event;
use crate::leave::Phase;
use crate::member::View;
use crate::name::Name;
use crate::node;
use crate::permit::Broker;
use crate::platform::store::Client;
use crate::quarantine::Detector;
use crate::snapshot::Cell;
use crate::table::{Changes, Feed};

/// Items that wait for a slot at the same time. A pool with free slots grants one within a few
/// milliseconds, so more requests would only be repeated to it.
const MAX_PENDING: usize = 3;
/// Interval between checks for jobs without an owner, expired items and items to start.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between passes that remove jobs past their retention period.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(30);
/// How long a job's route may be unknown before its items are given up. A node that has just
/// started, or that reads a stale copy of the store, may take over a job before it sees the job's
/// new route, and would list items as failed that can be completed. A configuration is in force
/// everywhere within 3 s, and copies are up to 5 s behind.
const ROUTE_GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Least time between two reads of the job feed. A job's row changes with each result, while
/// readers need to see one only within a second.
const MIN_FEED_INTERVAL: Duration = Duration::from_millis(200);

/// Dependencies of [`Jobs`].
pub struct Setup {
    /// This process's name in the member list.
    pub me: Name,
    /// The node's availability zone.
    pub zone: Name,
    /// The process's clock.
    pub clock: Clock,
    /// Client of the store.
    pub store: Client,
    /// Largest value of a row, in bytes.
    pub row_bytes: usize,
    /// Retention period of results.
    pub result_retention: Duration,
    /// Client of the pools, which grants slots at endpoints.
    pub broker: Rc<Broker>,
    /// Detector of crashed endpoints.
    pub detector: Rc<Detector>,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The member list.
    pub view: Arc<Cell<View>>,
    /// Lifecycle phase of the node.
    pub phase: Arc<Cell<Phase>>,
    /// Counts the jobs that this node owns, for its shutdown.
    pub owned: node::work::Work,
    /// Metrics.
    pub count: Count,
}

/// The batch jobs of one node.
pub struct Jobs {
    pub(super) setup: Setup,
    pub(super) registry: RefCell<Registry>,
    pub(super) works: RefCell<BTreeMap<Name, Rc<Work>>>,
    pub(super) cache: RefCell<Cache>,
    /// When a job was first seen without a live owner.
    pub(super) orphans: RefCell<HashMap<Name, Time>>,
    /// Time until which a failed claim is not retried.
    pub(super) claim_after: RefCell<HashMap<Name, Time>>,
    /// Jobs for which a claim is in progress.
    pub(super) claiming: RefCell<HashSet<Name>>,
    /// Notified at each change of the registry.
    pub(super) changed: Notify,
    pub(super) started: Time,
    pub(super) estimator: Estimator,
    pending: StdCell<usize>,
    lag: StdCell<Lag>,
}

impl Jobs {
    /// Creates the state of a node without jobs.
    pub fn new(setup: Setup) -> Rc<Self> {
        let started = setup.clock.now();
        Rc::new(Self {
            setup,
            registry: RefCell::default(),
            works: RefCell::default(),
            cache: RefCell::default(),
            orphans: RefCell::default(),
            claim_after: RefCell::default(),
            claiming: RefCell::default(),
            changed: Notify::new(),
            started,
            estimator: Estimator::default(),
            pending: StdCell::new(0),
            lag: StdCell::default(),
        })
    }

    /// Follows the jobs over `feed` and runs the jobs of this node until the thread ends.
    pub async fn run<F>(self: Rc<Self>, feed: F)
    where
        F: Feed + 'static,
    {
        let follower = Rc::clone(&self);
        actix_rt::spawn(follow(
            feed,
            record::TABLE,
            MIN_FEED_INTERVAL,
            move |update| {
                follower.handle_update(update);
            },
        ));
        let remover = Rc::clone(&self);
        actix_rt::spawn(async move {
            loop {
                sleep(EXPIRY_INTERVAL).await;
                retire::remove_expired(&remover).await;
            }
        });
        loop {
            sleep(SCHEDULE_INTERVAL).await;
            if self.is_leaving() {
                self.release();
            }
            orphan::claim_orphans(&self);
            self.expire();
            self.schedule();
        }
    }

    pub(super) fn now(&self) -> Time {
        self.setup.clock.now()
    }

    fn handle_update(self: &Rc<Self>, update: Update) {
        let now = self.now();
        let asked = update.asked();
        match update {
            Update::Snapshot(snapshot) => {
                for row in snapshot.rows {
                    self.apply_row(&row.key.into(), row.version, &row.value);
                }
                self.registry
                    .borrow_mut()
                    .synced(now, snapshot.version, snapshot.clock);
            }
            Update::Changes(changes) => self.apply_changes(changes),
            Update::Part(_) | Update::Failed => return,
        }
        if let Some(asked) = asked {
            let mut lag = self.step_lag();
            lag.read(asked);
            self.lag.set(lag);
        }
        self.changed.notify_waiters();
    }

    pub(super) fn apply_changes(self: &Rc<Self>, changes: Changes) {
        for change in changes.changes {
            if let Some(value) = change.value {
                self.apply_row(&change.key.into(), change.version, &value);
            } else {
                let mut registry = self.registry.borrow_mut();
                registry.remove(&change.key, change.version);
            }
        }
        let synced_at = self.now() - changes.age;
        self.registry
            .borrow_mut()
            .synced(synced_at, changes.version, changes.clock);
    }

    fn apply_row(self: &Rc<Self>, job: &Name, version: u64, value: &[u8]) {
        match Record::decode(value) {
            Ok(record) => self.apply(job, version, record),
            Err(why) => log::warn!("{} job={job} why=\"{why}\"", event::ROW_UNREADABLE),
        }
    }

    /// Applies a job's row from any source, and stops work on a job that was ended or that another
    /// node owns.
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
        self.registry.borrow_mut().apply(job, version, record);
    }

    pub(super) fn is_leaving(&self) -> bool {
        !matches!(**self.setup.phase.read(), Phase::Starting | Phase::Serving)
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
            .registry
            .borrow()
            .store_now(now)
            .map_or(0, |store| store.saturating_sub(entry.record.accepted));
        let accepted = now - Duration::from_millis(age);
        let terms = self
            .route(&entry.record)
            .and_then(|route| terms(&route))
            .unwrap_or(DEFAULT_TERMS);
        let due = accepted + terms.due;
        let expires = accepted + terms.lifetime;
        let owned = self.setup.owned.begin();
        let work = Work::new(job.clone(), items, entry, due, expires, owned);
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

    /// Number of running items by organisation.
    fn busy_by_organisation(&self) -> HashMap<u64, usize> {
        let mut busy = HashMap::new();
        for work in self.works.borrow().values() {
            *busy.entry(work.organisation_hash()).or_default() += work.busy();
        }
        busy
    }

    /// Notices a pause of this process.
    fn step_lag(&self) -> Lag {
        let mut lag = self.lag.get();
        lag.step(Uptime::now());
        self.lag.set(lag);
        lag
    }

    /// Returns true while no item may start, because this process was paused and jobs may have been
    /// ended meanwhile.
    pub(super) fn is_behind(&self) -> bool {
        self.step_lag().must_wait(Uptime::now())
    }

    /// Starts the most urgent items, until enough of them wait for a slot. Items of organisations
    /// that already have more than an equal share of the running items come last, as in the pool.
    pub(super) fn schedule(self: &Rc<Self>) {
        let is_serving = matches!(**self.setup.phase.read(), Phase::Serving);
        if self.is_behind() || !is_serving || self.config().is_none() {
            return;
        }
        while self.pending.get() < MAX_PENDING {
            let now = self.now();
            let busy = self.busy_by_organisation();
            let share = busy.values().sum::<usize>() / busy.len().max(1);
            let has_share = |work: &Work| {
                busy.get(&work.organisation_hash())
                    .is_some_and(|has| *has > share)
            };
            let works = self.works.borrow();
            let next = works
                .values()
                .filter_map(|work| Some((work.next(now, &self.estimator)?, work)))
                .min_by_key(|((urgency, _), work)| (has_share(work), *urgency))
                .map(|((_, item), work)| (Rc::clone(work), item));
            drop(works);
            let Some((work, item)) = next else {
                return;
            };
            self.pending.set(self.pending.get() + 1);
            let run = run::run(
                Rc::clone(self),
                Rc::clone(&work),
                item,
                Pending(Rc::clone(self)),
            );
            let guard = Guard(actix_rt::spawn(run));
            work.set(item, Slot::Busy { guard });
        }
    }

    /// Gives up items that are past the job's lifetime, or whose route no longer exists.
    fn expire(self: &Rc<Self>) {
        let now = self.now();
        let works: Vec<_> = self.works.borrow().values().cloned().collect();
        for work in works {
            let routed = self.config().is_none() || {
                let entry = work.entry.borrow();
                self.route(&entry.record).is_some()
            };
            let mut absence = work.route_absence.get();
            let unrouted = absence.update(now, routed, ROUTE_GRACE_PERIOD);
            work.route_absence.set(absence);
            if now < work.expires && !unrouted {
                continue;
            }
            while let Some(item) = work.next_ready(now) {
                log::info!(
                    "{} job={} id={} why={}",
                    event::ITEM_FAILED,
                    work.id,
                    work.items[item].id,
                    if unrouted { "no_route" } else { "expired" },
                );
                work.finish(item, super::item::State::Failed);
            }
            self.commit(&work);
        }
    }
}

/// Used while the route is unknown: generous, so that no item is given up.
const DEFAULT_TERMS: Terms = Terms {
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

/// Counts an item that waits for a slot, until it is dropped.
pub(super) struct Pending(Rc<Jobs>);

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.pending.set(self.0.pending.get().saturating_sub(1));
    }
}
