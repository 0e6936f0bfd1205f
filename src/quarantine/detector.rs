//! One node's part in the quarantine: investigates failed runs, notifies other nodes, stores
//! verdicts, and reports the status of each request.

use std::cell::{Cell as StdCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::sleep;

use super::Fingerprint;
use super::backlog::Backlog;
use super::evidence::{Added, Crash, Evidence, Ran, Status};
use super::export::Export;
use super::loss::{self, Finding};
use super::record::{self, Key, Observation};
use super::storage::Storage;
use super::subject::{Parts, Subject};
use crate::catalog::{Catalog, Endpoint};
use crate::clock::{Clock, Time};
use crate::connect::Reachability;
use crate::edge::count::Count;
use crate::edge::learn::follow;
use crate::event;
use crate::feed::source::Transport;
use crate::member::View;
use crate::name::Name;
use crate::platform::store::Client;
use crate::snapshot::Cell;
use crate::table::Feed;
use crate::wire::control::Note;

mod join;
mod sync;
mod trial;

use sync::Source;
pub use trial::Clearance;

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
    /// The request to blame if its endpoint has crashed; none for an item of a batch job, which is
    /// never the cause.
    pub subject: Option<&'a Subject>,
    /// Pieces of the answer that it had sent, one or more whole events each.
    pub written: u32,
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

    /// Returns the current status of a request with the parts of its prompt.
    pub fn status(&self, subject: &Subject) -> Status {
        self.evidence.borrow().status_of(self.now(), subject)
    }

    /// Returns the request, or the part of its prompt, that is condemned.
    pub fn condemned_by(&self, subject: &Subject) -> Option<Fingerprint> {
        self.evidence.borrow().condemned_by(self.now(), subject)
    }

    /// Returns how long the request, or all requests with a part of its prompt, stay condemned.
    pub fn condemned_for(&self, subject: &Subject) -> Duration {
        self.evidence.borrow().condemned_for(self.now(), subject)
    }

    /// Returns what a request is admitted as at a pool: a suspect part of its prompt, or itself.
    pub fn admitted_as(&self, subject: &Subject) -> Fingerprint {
        self.evidence.borrow().admitted_as(self.now(), subject)
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

    /// Waits while the request is held, or until `deadline`. A hold lasts until the verdict, which
    /// is reached up to [`STEP_INTERVAL`] after it is due: a run in between could crash one more
    /// endpoint.
    pub async fn until_decided(&self, subject: &Subject, deadline: Time) {
        while let Status::Held(wait) = self.status(subject) {
            let left = deadline.since(self.now());
            if left.is_zero() {
                return;
            }
            sleep(wait.max(STEP_INTERVAL).min(left)).await;
        }
    }

    /// Waits until the request is condemned.
    pub async fn until_condemned(&self, subject: &Subject) {
        loop {
            let changed = self.changed.notified();
            if self.status(subject) == Status::Condemned {
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
        let parts = run.subject.map_or(&[][..], |subject| &subject.parts);
        log::info!(
            "{} id={} print={} endpoint={} incarnation={} ran_ms={} written={} parts={} why={} listener={listener:?} entry={entry:?}",
            event::RUN_LOST,
            run.id,
            run.subject
                .map_or_else(|| "-".to_owned(), |subject| subject.request.to_string()),
            endpoint.id,
            endpoint.incarnation,
            run.ran.as_millis(),
            run.written,
            Parts(parts),
            run.why,
        );
        let finding = loss::classify(entry, listener);
        let Some(subject) = run.subject else {
            return finding;
        };
        let request = subject.request;
        let ran = Ran::new(run.ran, run.written, &subject.parts);
        match finding {
            Finding::Crashed => self.record_crash(endpoint, request, ran),
            Finding::NotCrashed => {}
            Finding::Undecided => self.watch(endpoint, request, ran),
        }
        finding
    }

    /// Returns true if the endpoint's process has ended, as far as its entry and its listener show
    /// at once. An answer that ends with its connection is whole only if it has not.
    pub async fn has_ended(&self, endpoint: &Endpoint) -> bool {
        let entry = loss::entry(&self.setup.catalog.read(), endpoint);
        let listener = loss::probe_after_failure(endpoint.address).await;
        loss::has_ended(entry, listener)
    }

    /// Watches an endpoint whose process may have ended unnoticed: behind a partition, or
    /// without closing its connections.
    fn watch(self: &Rc<Self>, endpoint: &Arc<Endpoint>, request: Fingerprint, ran: Ran) {
        if self.watched.get() >= MAX_WATCHED {
            return;
        }
        self.watched.set(self.watched.get() + 1);
        let (detector, endpoint) = (Rc::clone(self), Arc::clone(endpoint));
        actix_rt::spawn(async move {
            if detector.watch_until_decided(&endpoint).await == Finding::Crashed {
                detector.record_crash(&endpoint, request, ran);
                // Most requests have ended by now, and a completion has refuted the crash.
                detector.give_up(request);
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

    fn record_crash(self: &Rc<Self>, endpoint: &Endpoint, request: Fingerprint, ran: Ran) {
        let crash = Crash {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
        };
        let now = self.now();
        let mut evidence = self.evidence.borrow_mut();
        let ran = evidence.without_completed(now, ran);
        match evidence.add_crash(now, crash.clone(), request, ran.clone()) {
            Added::New => {
                evidence.update_blame();
                drop(evidence);
                self.setup.count.record_lost_run();
                self.notify_members(&Observation::Crashed(request, crash, ran));
                self.store_crashes(now, request, Source::Own);
                self.save();
            }
            Added::Ignored | Added::Refuted(_) => {}
        }
    }

    /// Records that this node does not run the request again after a crash. No completion will clear
    /// it, so its crash is stored even if it is the first one.
    pub fn give_up(self: &Rc<Self>, request: Fingerprint) {
        self.store_crashes(self.now(), request, Source::OwnLast);
        self.save();
    }

    /// Records that a run of the request completed. One that had nothing left to write shows nothing
    /// of the parts of its prompt.
    pub fn completed(&self, subject: &Subject, has_written: bool) {
        let now = self.now();
        if has_written {
            let mut evidence = self.evidence.borrow_mut();
            let reported = evidence.add_parts_completion(now, &subject.parts);
            drop(evidence);
            for part in reported {
                self.storage.borrow_mut().withdraw(part);
                self.notify_members(&Observation::PartCompleted(part));
            }
        }
        let request = subject.request;
        if self.evidence.borrow_mut().add_completion(now, request) {
            log::info!("{} print={request}", event::REQUEST_CLEARED);
            self.notify_completion(request);
            self.storage.borrow_mut().withdraw(request);
        }
    }

    fn notify_completion(&self, request: Fingerprint) {
        self.notify_members(&Observation::Completed(request));
    }

    fn notify_members(&self, observation: &Observation) {
        // A note that does not fit is dropped; the other runs of the crash, or the next
        // crash, produce equivalent ones.
        let note = observation.note(observation.version());
        let _ = self.setup.notes.try_send(note);
    }

    /// Applies an observation of another node.
    pub fn apply_note(&self, note: &Note) {
        let now = self.now();
        match Observation::read(note) {
            Some(Observation::Crashed(request, crash, ran)) => {
                let mut evidence = self.evidence.borrow_mut();
                let completed = evidence.take_part_reports(now, &ran.parts);
                let added = evidence.add_crash(now, crash, request, ran);
                drop(evidence);
                for part in completed {
                    self.notify_members(&Observation::PartCompleted(part));
                }
                match added {
                    Added::New => self.store_crashes(now, request, Source::Other),
                    Added::Refuted(true) => self.notify_completion(request),
                    Added::Refuted(false) | Added::Ignored => {}
                }
            }
            // Its sender has notified all other nodes.
            Some(Observation::Completed(request)) => {
                self.evidence.borrow_mut().add_completion(now, request);
                self.storage.borrow_mut().withdraw(request);
            }
            Some(Observation::PartCompleted(part)) => {
                self.evidence.borrow_mut().add_part_completion(now, part);
                self.storage.borrow_mut().withdraw(part);
            }
            None => {}
        }
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
                "{} print={} source=evidence times={} term_s={} others={} endpoints={}",
                event::REQUEST_CONDEMNED,
                condemnation.request,
                condemnation.times,
                condemnation.term.as_secs(),
                condemnation.others,
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
}
