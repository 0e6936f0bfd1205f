//! One node's part in the quarantine: investigates failed runs, notifies other nodes, stores
//! verdicts, and reports the status of each request.

use std::cell::{Cell as StdCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IteratorRandom as _;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::sleep;

use super::Fingerprint;
use super::backlog::Backlog;
use super::evidence::{Added, CRASH_TTL, Crash, Evidence, Stage, Status};
use super::export::Export;
use super::loss::{self, Finding};
use super::record::{self, CrashRow, Key, Observation, Record, VerdictRow};
use super::storage::Storage;
use crate::catalog::{Catalog, Endpoint};
use crate::clock::{Clock, Time, unix_millis};
use crate::connect::Reachability;
use crate::edge::count::Count;
use crate::edge::learn::{Update, follow};
use crate::event;
use crate::feed::source::Transport;
use crate::member::View;
use crate::name::Name;
use crate::platform::store::Client;
use crate::snapshot::Cell;
use crate::table::{self, Feed, Table as _, Transaction};
use crate::wire::control::Note;
use crate::wire::query::{Query, Reply};

/// Interval between checks for verdicts that are due.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long an endpoint is watched after a run failed there.
const WATCH_PERIOD: Duration = Duration::from_secs(5);
/// Interval between checks of a watched endpoint's catalog entry.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Limit on the endpoints watched at the same time.
const MAX_WATCHED: usize = 128;
/// Minimum interval between two reads of the changes to stored verdicts.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between queries to other nodes after the start, until one has answered.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on these queries.
const MAX_JOIN_QUERIES: usize = 50;
/// Deadline of such a query.
const JOIN_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a node that has a configuration waits for the verdicts before it serves without
/// them, as when neither the store nor another node answers.
const MAX_UNINFORMED: Duration = Duration::from_secs(2);

/// Dependencies of a [`Detector`].
pub struct Setup {
    /// This process's name among the members.
    pub me: Name,
    /// The process's clock.
    pub clock: Clock,
    /// The store.
    pub store: Client,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// Queue of the observations to send to other nodes.
    pub notes: mpsc::Sender<Note>,
    /// The counters.
    pub count: Count,
}

/// What other nodes send to a [`Detector`].
pub struct Inputs {
    /// Observations.
    pub notes: mpsc::Receiver<Note>,
    /// Queries for what this node knows; answered with none while it has just started.
    pub queries: mpsc::Receiver<oneshot::Sender<Option<Export>>>,
}

/// A run that failed before its answer was complete.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The id of its attempt, for the log.
    pub id: &'a Name,
    /// The request.
    pub request: Fingerprint,
    /// How long it ran.
    pub ran: Duration,
    /// How it failed.
    pub why: &'static str,
}

/// Detects requests that crash endpoints, on one thread of a node.
pub struct Detector {
    setup: Setup,
    evidence: RefCell<Evidence>,
    storage: RefCell<Storage>,
    watched: StdCell<usize>,
    backlog: StdCell<Backlog>,
    /// True once the store or another node has told this node the verdicts.
    informed: StdCell<bool>,
    /// When this node was first found to have a configuration.
    configured: StdCell<Option<Time>>,
    /// Notified at each verdict.
    changed: Notify,
}

impl Detector {
    /// Creates a detector without evidence.
    pub fn new(setup: Setup) -> Rc<Self> {
        Rc::new(Self {
            setup,
            evidence: RefCell::default(),
            storage: RefCell::default(),
            watched: StdCell::new(0),
            backlog: StdCell::default(),
            informed: StdCell::new(false),
            configured: StdCell::new(None),
            changed: Notify::new(),
        })
    }

    fn now(&self) -> Time {
        self.setup.clock.now()
    }

    /// True once this node may run requests. One that has just started does not know the verdicts,
    /// and would run requests that all other nodes refuse.
    pub fn is_informed(&self) -> bool {
        if self.informed.get() {
            return true;
        }
        if self.setup.catalog.read().config.is_none() {
            return false;
        }
        let now = self.now();
        let configured = self.configured.get().unwrap_or(now);
        self.configured.set(Some(configured));
        now.since(configured) >= MAX_UNINFORMED
    }

    /// Records that this node knows the verdicts.
    fn mark_informed(&self, source: &str) {
        if self.informed.replace(true) {
            return;
        }
        log::info!(
            "{} source={source} requests={}",
            event::QUARANTINE_LEARNED,
            self.evidence.borrow().requests().count(),
        );
    }

    /// Returns the current status of a request.
    pub fn status(&self, request: Fingerprint) -> Status {
        self.evidence.borrow().status(self.now(), request)
    }

    /// Waits until what other nodes observed while this process was paused is applied, or until
    /// `deadline`.
    pub async fn caught_up(&self, deadline: Time) {
        loop {
            let now = self.now();
            let wait = self.backlog.get().wait(now);
            let Some(wait) = wait.filter(|_| now < deadline) else {
                return;
            };
            sleep(wait.min(STEP_INTERVAL)).await;
        }
    }

    /// Waits until the request is condemned.
    pub async fn until_condemned(&self, request: Fingerprint) {
        loop {
            let changed = self.changed.notified();
            if self.status(request) == Status::Condemned {
                return;
            }
            changed.await;
        }
    }

    /// Investigates a run that failed at `endpoint` and returns a finding about the endpoint's
    /// process. While it is undecided, the endpoint is watched.
    pub async fn investigate(self: &Rc<Self>, endpoint: &Arc<Endpoint>, run: Run<'_>) -> Finding {
        let entry = loss::entry(&self.setup.catalog.read(), endpoint);
        let listener = loss::probe_after_failure(endpoint.address).await;
        log::info!(
            "{} id={} print={} endpoint={} incarnation={} ran_ms={} why={} listener={listener:?} entry={entry:?}",
            event::RUN_LOST,
            run.id,
            run.request,
            endpoint.id,
            endpoint.incarnation,
            run.ran.as_millis(),
            run.why,
        );
        let stage = Stage::of(run.ran);
        let finding = loss::classify(entry, listener);
        match finding {
            Finding::Crashed => self.record_crash(endpoint, run.request, stage),
            Finding::NotCrashed => {}
            Finding::Undecided => self.watch(endpoint, run.request, stage),
        }
        finding
    }

    /// Watches an endpoint whose process may have ended unnoticed: behind a partition, or
    /// without closing its connections.
    fn watch(self: &Rc<Self>, endpoint: &Arc<Endpoint>, request: Fingerprint, stage: Stage) {
        if self.watched.get() >= MAX_WATCHED {
            return;
        }
        self.watched.set(self.watched.get() + 1);
        let (detector, endpoint) = (Rc::clone(self), Arc::clone(endpoint));
        actix_rt::spawn(async move {
            if detector.watch_until_decided(&endpoint).await == Finding::Crashed {
                detector.record_crash(&endpoint, request, stage);
            }
            detector.watched.set(detector.watched.get() - 1);
        });
    }

    async fn watch_until_decided(&self, endpoint: &Endpoint) -> Finding {
        let until = self.now() + WATCH_PERIOD;
        while self.now() < until {
            sleep(WATCH_INTERVAL).await;
            let entry = loss::entry(&self.setup.catalog.read(), endpoint);
            let listener = match entry {
                loss::Entry::Gone => loss::probe(endpoint).await,
                _ => Reachability::Open,
            };
            let finding = loss::classify_later(entry, listener);
            if finding != Finding::Undecided {
                return finding;
            }
        }
        Finding::NotCrashed
    }

    fn record_crash(self: &Rc<Self>, endpoint: &Endpoint, request: Fingerprint, stage: Stage) {
        let crash = Crash {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
        };
        let now = self.now();
        let mut evidence = self.evidence.borrow_mut();
        match evidence.add_crash(now, crash.clone(), request, stage) {
            Added::New => {
                evidence.update_blame(now);
                drop(evidence);
                self.setup.count.record_lost_run();
                self.notify_members(&Observation::Crashed(request, crash, stage), 1);
                self.store_crashes(now, request, true);
                self.save();
            }
            Added::Ignored | Added::Refuted(_) => {}
        }
    }

    /// Has the crashes of a request stored, from the second one on.
    fn store_crashes(&self, now: Time, request: Fingerprint, is_own: bool) {
        let crashes = self.evidence.borrow().crashes_of(request).into_iter();
        // Other members write only what the observing node has not written soon.
        let rank = |key: &Key| if is_own { 0 } else { 1 + self.rank(key) };
        self.storage
            .borrow_mut()
            .add_crashes(now, request, crashes, rank);
    }

    /// Records that a run of the request completed.
    pub fn completed(&self, request: Fingerprint) {
        let now = self.now();
        if self.evidence.borrow_mut().add_completion(now, request) {
            log::info!("{} print={request}", event::REQUEST_CLEARED);
            self.notify_completion(request);
            self.storage.borrow_mut().withdraw_crashes(request);
        }
    }

    fn notify_completion(&self, request: Fingerprint) {
        self.notify_members(&Observation::Completed(request), unix_millis());
    }

    fn notify_members(&self, observation: &Observation, version: u64) {
        // A note that does not fit is dropped; the other runs of the crash, or the next
        // crash, produce equivalent ones.
        let _ = self.setup.notes.try_send(observation.note(version));
    }

    /// Applies an observation of another node.
    pub fn apply_note(&self, note: &Note) {
        let now = self.now();
        match Observation::read(note) {
            Some(Observation::Crashed(request, crash, stage)) => {
                let added = self
                    .evidence
                    .borrow_mut()
                    .add_crash(now, crash, request, stage);
                match added {
                    Added::New => self.store_crashes(now, request, false),
                    Added::Refuted(true) => self.notify_completion(request),
                    Added::Refuted(false) | Added::Ignored => {}
                }
            }
            // Its sender has notified all other nodes.
            Some(Observation::Completed(request)) => {
                self.evidence.borrow_mut().add_completion(now, request);
                self.storage.borrow_mut().withdraw_crashes(request);
            }
            None => {}
        }
    }

    /// Learns from another node what is not stored yet, or can't be read from the store now.
    async fn join<T>(self: Rc<Self>, links: T)
    where
        T: Transport,
    {
        for _ in 0..MAX_JOIN_QUERIES {
            sleep(JOIN_INTERVAL).await;
            let peer = {
                let view = self.setup.view.read();
                let others = view.usable().filter(|it| it.name != self.setup.me);
                others.map(|it| it.link.clone()).choose(&mut rand::rng())
            };
            let Some(peer) = peer else {
                continue;
            };
            // A node that has just started itself is busy.
            if let Some(Reply::Quarantine(export)) =
                links.query(&peer, Query::Quarantine, JOIN_TIMEOUT).await
            {
                let now = self.now();
                self.evidence.borrow_mut().import(now, export);
                self.mark_informed("peer");
                self.changed.notify_waiters();
                return;
            }
        }
    }

    /// Returns what this node knows; none while it has just started itself.
    fn export(&self) -> Option<Export> {
        let now = self.now();
        self.informed
            .get()
            .then(|| self.evidence.borrow().export(now))
    }

    /// Runs until the thread ends: follows the stored verdicts over `feed`, queries other nodes
    /// over `links` once, handles the `inputs` from other nodes, and reaches verdicts.
    pub async fn run<F, T>(self: Rc<Self>, feed: F, links: T, inputs: Inputs)
    where
        F: Feed + 'static,
        T: Transport + 'static,
    {
        let Inputs {
            mut notes,
            mut queries,
        } = inputs;
        actix_rt::spawn(Rc::clone(&self).join(links));
        let exporter = Rc::clone(&self);
        actix_rt::spawn(async move {
            while let Some(reply) = queries.recv().await {
                // Fails only when the querying node has disconnected.
                let _ = reply.send(exporter.export());
            }
        });
        let follower = Rc::clone(&self);
        actix_rt::spawn(follow(feed, record::TABLE, READ_INTERVAL, move |update| {
            follower.apply_update(update);
        }));
        let receiver = Rc::clone(&self);
        actix_rt::spawn(async move {
            while let Some(note) = notes.recv().await {
                receiver.apply_note(&note);
            }
        });
        loop {
            sleep(STEP_INTERVAL).await;
            let mut backlog = self.backlog.get();
            backlog.step(self.now());
            self.backlog.set(backlog);
            self.step();
            self.save();
            self.delete_expired();
        }
    }

    /// Returns this member's rank for a record.
    fn rank(&self, key: &Key) -> u32 {
        let view = self.setup.view.read();
        view.rank(&key.to_string(), &self.setup.me)
    }

    fn step(&self) {
        let now = self.now();
        let reached = self.evidence.borrow_mut().step(now);
        if reached.is_empty() {
            return;
        }
        for condemnation in reached {
            let endpoints: Vec<&str> = condemnation
                .crashes
                .iter()
                .map(|it| &*it.endpoint)
                .collect();
            log::warn!(
                "{} print={} source=evidence times={} term_s={} endpoints={}",
                event::REQUEST_CONDEMNED,
                condemnation.request,
                condemnation.times,
                condemnation.term.as_secs(),
                endpoints.join(","),
            );
            self.setup.count.record_verdict();
            let rank = self.rank(&Key::Verdict(condemnation.request));
            self.storage
                .borrow_mut()
                .add_verdict(now, condemnation, rank);
        }
        self.changed.notify_waiters();
    }

    /// Stores the records that are this member's to store by now. What is not stored is lost
    /// when all nodes restart.
    fn save(self: &Rc<Self>) {
        let now = self.now();
        let due = self.storage.borrow_mut().take_due(now);
        if let Some((keys, transaction)) = due {
            actix_rt::spawn(Rc::clone(self).store(keys, transaction));
        }
    }

    async fn store(self: Rc<Self>, keys: Vec<Key>, transaction: Transaction) {
        let stored = self.setup.store.transact(transaction).await;
        let mut storage = self.storage.borrow_mut();
        match stored {
            Ok(_) => storage.written(&keys),
            Err(fault) => {
                log::info!(
                    "{} table={} rows={} first={} why=\"{fault}\"",
                    event::STORE_CALL_LOST,
                    record::TABLE,
                    keys.len(),
                    keys[0],
                );
                storage.write_failed(&keys);
            }
        }
    }

    /// Applies an update of the stored verdicts.
    fn apply_update(&self, update: Update) {
        let mut is_whole = false;
        let (rows, clock, clock_read) = match update {
            Update::Snapshot(snapshot) => {
                is_whole = true;
                self.storage.borrow_mut().clear_rows();
                (put_rows(snapshot.rows), snapshot.clock, self.now())
            }
            Update::Part(part) => (put_rows(part.rows), part.clock, self.now()),
            Update::Changes(changes) => {
                let rows = changes.changes.into_iter();
                let rows: Vec<_> = rows.map(|row| (row.key, row.value)).collect();
                (rows, changes.clock, self.now() - changes.age)
            }
            Update::Failed => return,
        };
        self.storage.borrow_mut().set_clock(clock_read, clock);
        for (key, value) in rows {
            self.apply_row(clock, &key, value.as_deref());
        }
        self.evidence.borrow_mut().update_blame(self.now());
        if is_whole {
            self.mark_informed("store");
        }
    }

    fn apply_row(&self, clock: u64, key: &str, value: Option<&[u8]>) {
        let Some(value) = value else {
            if let Ok(key) = key.parse() {
                self.storage.borrow_mut().remove_row(&key);
            }
            return;
        };
        match record::decode(key, value) {
            Ok(Record::Verdict(request, row)) => self.apply_verdict(clock, request, &row),
            Ok(Record::Crash(request, crash, row)) => self.apply_crash(clock, request, crash, &row),
            Err(why) => log::warn!("{} key={key} why=\"{why}\"", event::ROW_UNREADABLE),
        }
    }

    fn apply_verdict(&self, clock: u64, request: Fingerprint, row: &VerdictRow) {
        self.storage
            .borrow_mut()
            .add_row(Key::Verdict(request), row.until);
        let now = self.now();
        let left = Duration::from_millis(row.until.saturating_sub(clock));
        if self.status(request) != Status::Condemned && !left.is_zero() {
            log::info!(
                "{} print={request} source=store times={} term_s={} endpoints={}",
                event::REQUEST_CONDEMNED,
                row.times,
                left.as_secs(),
                row.endpoints.join(","),
            );
        }
        self.evidence
            .borrow_mut()
            .condemn(now, request, now + left, row.times);
        self.changed.notify_waiters();
    }

    fn apply_crash(&self, clock: u64, request: Fingerprint, crash: Crash, row: &CrashRow) {
        let left = Duration::from_millis(row.until.saturating_sub(clock));
        let observed = self.now() - CRASH_TTL.saturating_sub(left);
        let mut storage = self.storage.borrow_mut();
        storage.add_row(Key::Crash(request, crash.clone()), row.until);
        if left.is_zero() {
            return;
        }
        let mut evidence = self.evidence.borrow_mut();
        if let Added::Refuted(_) = evidence.add_crash(observed, crash, request, row.stage) {
            storage.withdraw_crashes(request);
        }
    }

    /// Deletes the expired rows that this member is responsible for.
    fn delete_expired(self: &Rc<Self>) {
        let is_mine = |key: &Key| self.rank(key) == 0;
        let expired = self.storage.borrow_mut().take_expired(self.now(), is_mine);
        let Some(delete) = expired else {
            return;
        };
        let detector = Rc::clone(self);
        actix_rt::spawn(async move {
            // Rows that remain are found again with the next snapshot.
            if let Err(fault) = detector.setup.store.transact(delete).await {
                log::debug!(
                    "{} table={} why=\"{fault}\"",
                    event::STORE_CALL_LOST,
                    record::TABLE
                );
            }
        });
    }
}

fn put_rows(rows: Vec<table::Row>) -> Vec<(String, Option<Bytes>)> {
    let rows = rows.into_iter();
    rows.map(|row| (row.key, Some(row.value))).collect()
}
