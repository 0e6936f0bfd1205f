//! One node's part in the quarantine: looks into lost runs, tells other nodes, keeps
//! verdicts in the store, and says how each request stands.

use std::cell::{Cell as Flag, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use super::Fingerprint;
use super::evidence::{Added, Condemnation, Crash, Evidence, Stage, Status};
use super::loss::{self, Finding};
use super::record::{self, Observation, Row};
use crate::catalog::{Catalog, Endpoint};
use crate::clock::{Clock, Time, unix_millis};
use crate::connect::Reachability;
use crate::edge::count::Count;
use crate::edge::learn::{Update, follow};
use crate::event;
use crate::member::View;
use crate::name::Name;
use crate::platform::store::Client;
use crate::snapshot::Cell;
use crate::table::{Feed, Table as _, Transaction};
use crate::wire;
use crate::wire::control::Note;

/// How often verdicts that are due are looked for.
const TICK: Duration = Duration::from_millis(100);
/// How long an endpoint that lost a run is watched.
const WATCH: Duration = Duration::from_secs(5);
/// How often its entry is looked at.
const WATCH_EVERY: Duration = Duration::from_millis(200);
/// A process that ends closes its listener a moment before or after its connections.
const CLOSING: Duration = Duration::from_millis(10);
/// Endpoints watched at a time.
const MOST_WATCHED: usize = 128;
/// A member that is to store a verdict has so long until the next one does.
const TURN: Duration = Duration::from_millis(300);
/// Least time between two readings of the verdicts' changes.
const FEED_GAP: Duration = Duration::from_millis(100);
/// How long after its end a verdict's row stays, so that who reads late knows of it.
const ROW_GRACE: Duration = Duration::from_secs(900);

/// What a [`Detector`] works with.
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
    /// Where observations go that other nodes are to hear of.
    pub notes: mpsc::Sender<Note>,
    /// The counters.
    pub count: Count,
}

/// A run that was lost.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The id of its attempt, for the log.
    pub id: &'a Name,
    /// Which request it was.
    pub request: Fingerprint,
    /// How long it had lasted.
    pub ran: Duration,
    /// How it was lost.
    pub why: &'static str,
}

/// A verdict that was reached here and is not known to be in the store.
struct Unsaved {
    reached: Time,
    condemnation: Condemnation,
    saving: bool,
}

/// What one node knows and does about requests that crash endpoints.
pub struct Detector {
    setup: Setup,
    evidence: RefCell<Evidence>,
    unsaved: RefCell<BTreeMap<Fingerprint, Unsaved>>,
    /// The rows in the store, and when each ends by its clock.
    rows: RefCell<BTreeMap<Fingerprint, u64>>,
    /// When the store was last heard, and what its clock said.
    store_clock: Flag<Option<(Time, u64)>>,
    watched: Flag<usize>,
    /// Told at each verdict.
    changed: Notify,
}

impl Detector {
    /// Knows nothing yet.
    pub fn new(setup: Setup) -> Rc<Self> {
        Rc::new(Self {
            setup,
            evidence: RefCell::default(),
            unsaved: RefCell::default(),
            rows: RefCell::default(),
            store_clock: Flag::new(None),
            watched: Flag::new(0),
            changed: Notify::new(),
        })
    }

    fn now(&self) -> Time {
        self.setup.clock.now()
    }

    /// How a request stands now.
    pub fn status(&self, request: Fingerprint) -> Status {
        self.evidence.borrow().status(self.now(), request)
    }

    /// Returns once the request is condemned.
    pub async fn until_condemned(&self, request: Fingerprint) {
        loop {
            let changed = self.changed.notified();
            if self.status(request) == Status::Condemned {
                return;
            }
            changed.await;
        }
    }

    /// Looks into a run that `endpoint` did not end, and returns what is known of the
    /// endpoint's process; one whose end is still open is watched.
    pub async fn investigate(self: &Rc<Self>, endpoint: &Arc<Endpoint>, run: Run<'_>) -> Finding {
        let entry = loss::entry(&self.setup.catalog.read(), endpoint);
        let mut listener = loss::probe(endpoint).await;
        if listener == Reachability::Open {
            sleep(CLOSING).await;
            listener = loss::probe(endpoint).await;
        }
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
            Finding::Crashed => self.blame(endpoint, run.request, stage),
            Finding::NotCrashed => {}
            Finding::Undecided => self.watch(endpoint, run.request, stage),
        }
        finding
    }

    /// Watches an endpoint whose process may have ended unseen: behind a cut path, or
    /// without closing its connections.
    fn watch(self: &Rc<Self>, endpoint: &Arc<Endpoint>, request: Fingerprint, stage: Stage) {
        if self.watched.get() >= MOST_WATCHED {
            return;
        }
        self.watched.set(self.watched.get() + 1);
        let (detector, endpoint) = (Rc::clone(self), Arc::clone(endpoint));
        actix_rt::spawn(async move {
            if detector.watch_to_end(&endpoint).await == Finding::Crashed {
                detector.blame(&endpoint, request, stage);
            }
            detector.watched.set(detector.watched.get() - 1);
        });
    }

    async fn watch_to_end(&self, endpoint: &Endpoint) -> Finding {
        let until = self.now() + WATCH;
        while self.now() < until {
            sleep(WATCH_EVERY).await;
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

    fn blame(&self, endpoint: &Endpoint, request: Fingerprint, stage: Stage) {
        let crash = Crash {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
        };
        let now = self.now();
        let mut evidence = self.evidence.borrow_mut();
        match evidence.add_crash(now, crash.clone(), request, stage) {
            Added::New => {
                evidence.update_blame(now);
                self.setup.count.record_lost_run();
                self.tell(&Observation::Crashed(request, crash, stage), 1);
            }
            Added::Ignored | Added::Refuted(_) => {}
        }
    }

    /// A run of the request ended as it should.
    pub fn completed(&self, request: Fingerprint) {
        let now = self.now();
        if self.evidence.borrow_mut().add_completion(now, request) {
            log::info!("{} print={request}", event::REQUEST_CLEARED);
            self.tell_sound(request);
        }
    }

    fn tell_sound(&self, request: Fingerprint) {
        self.tell(&Observation::Completed(request), unix_millis());
    }

    fn tell(&self, observation: &Observation, version: u64) {
        // What does not fit is lost like a datagram; the other runs of the crash, or
        // the next crash, tell as much.
        let _ = self.setup.notes.try_send(observation.note(version));
    }

    /// Takes what another node observed.
    pub fn apply_note(&self, note: &Note) {
        let now = self.now();
        match Observation::read(note) {
            Some(Observation::Crashed(request, crash, stage)) => {
                let mut evidence = self.evidence.borrow_mut();
                if evidence.add_crash(now, crash, request, stage) == Added::Refuted(true) {
                    self.tell_sound(request);
                }
            }
            // Whoever told it has told all others.
            Some(Observation::Completed(request)) => {
                self.evidence.borrow_mut().add_completion(now, request);
            }
            None => {}
        }
    }

    /// Follows the store's verdicts over `feed`, takes `notes` of other nodes, and
    /// reaches verdicts of its own, for as long as the thread lives.
    pub async fn run<F>(self: Rc<Self>, feed: F, mut notes: mpsc::Receiver<Note>)
    where
        F: Feed + 'static,
    {
        let learner = Rc::clone(&self);
        actix_rt::spawn(follow(feed, record::TABLE, FEED_GAP, move |news| {
            learner.learn(news);
        }));
        let taker = Rc::clone(&self);
        actix_rt::spawn(async move {
            while let Some(note) = notes.recv().await {
                taker.apply_note(&note);
            }
        });
        loop {
            sleep(TICK).await;
            self.step();
            self.save();
            self.retire();
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
                "{} print={} source=evidence times={} term_s={} endpoints={}",
                event::REQUEST_CONDEMNED,
                condemnation.request,
                condemnation.times,
                condemnation.term.as_secs(),
                endpoints.join(","),
            );
            self.setup.count.record_verdict();
            let request = condemnation.request;
            let unsaved = Unsaved {
                reached: now,
                condemnation,
                saving: false,
            };
            self.unsaved.borrow_mut().insert(request, unsaved);
        }
        self.changed.notify_waiters();
    }

    /// What the store's clock says now, in milliseconds.
    fn store_now(&self) -> Option<u64> {
        let (at, clock) = self.store_clock.get()?;
        Some(clock + millis(self.now().since(at)))
    }

    /// Stores the verdicts that it is this member's turn to store. One that is in no
    /// store is forgotten when all nodes are started anew.
    fn save(self: &Rc<Self>) {
        let Some(clock) = self.store_now() else {
            return;
        };
        let now = self.now();
        let view = self.setup.view.read();
        for (request, unsaved) in self.unsaved.borrow_mut().iter_mut() {
            let rank = view.rank(&request.to_string(), &self.setup.me);
            if unsaved.saving || now.since(unsaved.reached) < TURN * rank {
                continue;
            }
            unsaved.saving = true;
            let condemnation = &unsaved.condemnation;
            let ends = unsaved.reached + condemnation.term;
            let row = Row {
                until: clock + millis(ends.since(now)),
                times: condemnation.times,
                endpoints: condemnation
                    .crashes
                    .iter()
                    .map(|it| it.endpoint.clone())
                    .collect(),
            };
            actix_rt::spawn(Rc::clone(self).store(*request, row));
        }
    }

    async fn store(self: Rc<Self>, request: Fingerprint, row: Row) {
        // Plain data always has a form.
        let value = wire::encode(&row).unwrap_or_default();
        let put = Transaction::default().put(record::key(request), value);
        let stored = self.setup.store.transact(put).await;
        let mut unsaved = self.unsaved.borrow_mut();
        match stored {
            Ok(_) => drop(unsaved.remove(&request)),
            Err(fault) => {
                log::info!(
                    "{} table={} print={request} why=\"{fault}\"",
                    event::STORE_CALL_LOST,
                    record::TABLE
                );
                if let Some(unsaved) = unsaved.get_mut(&request) {
                    unsaved.saving = false;
                }
            }
        }
    }

    /// Takes the store's verdicts.
    fn learn(&self, news: Update) {
        let (rows, clock, said) = match news {
            Update::Snapshot(snapshot) => {
                self.rows.borrow_mut().clear();
                let rows = snapshot.rows.into_iter();
                let rows: Vec<_> = rows.map(|row| (row.key, Some(row.value))).collect();
                (rows, snapshot.clock, self.now())
            }
            Update::Changes(changes) => {
                let rows = changes.changes.into_iter();
                let rows: Vec<_> = rows.map(|row| (row.key, row.value)).collect();
                (rows, changes.clock, self.now() - changes.age)
            }
            Update::Failed => return,
        };
        self.store_clock.set(Some((said, clock)));
        for (key, value) in rows {
            self.learn_row(clock, &key, value.as_deref());
        }
    }

    fn learn_row(&self, clock: u64, key: &str, value: Option<&[u8]>) {
        let Some(value) = value else {
            self.rows
                .borrow_mut()
                .retain(|request, _| request.to_string() != key);
            return;
        };
        let (request, row) = match record::decode(key, value) {
            Ok(read) => read,
            Err(why) => {
                log::warn!("{} key={key} why=\"{why}\"", event::ROW_UNREADABLE);
                return;
            }
        };
        self.rows.borrow_mut().insert(request, row.until);
        self.unsaved.borrow_mut().remove(&request);
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

    /// Removes a row that nobody needs any more, one at a time.
    fn retire(self: &Rc<Self>) {
        let Some(clock) = self.store_now() else {
            return;
        };
        let grace = millis(ROW_GRACE);
        let old = {
            let view = self.setup.view.read();
            let rows = self.rows.borrow();
            rows.iter()
                .filter(|(_, until)| **until + grace < clock)
                .map(|(request, _)| *request)
                .find(|request| view.rank(&request.to_string(), &self.setup.me) == 0)
        };
        let Some(request) = old else {
            return;
        };
        self.rows.borrow_mut().remove(&request);
        let detector = Rc::clone(self);
        actix_rt::spawn(async move {
            let delete = Transaction::default().delete(record::key(request));
            // A row that stays is found again at the next whole reading.
            if let Err(fault) = detector.setup.store.transact(delete).await {
                log::debug!("{} print={request} why=\"{fault}\"", event::STORE_CALL_LOST);
            }
        });
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
