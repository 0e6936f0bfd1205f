//! The way of a question from its caller to the dispatcher of an endpoint,
//! and of the answer back.
//!
//! One gateway lives on each traffic thread. It decides nothing itself:
//! [`limit`] admits, [`route`] chooses, [`retry`] tells whether to try again
//! and puts the pieces together. docs/ARCHITECTURE.md shows the whole way.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use crate::clock::{Clock, Time, unix_millis};
use crate::config::follow::InForce;
use crate::config::{Document, Kind};
use crate::dispatch::Handle;
use crate::event;
use crate::leave::Phase;
use crate::limit::{Bound, Demand, Gate, Grant, Limiter};
use crate::link::Pool;
use crate::member::View;
use crate::metric::Metrics;
use crate::name::Name;
use crate::node::work::Work;
use crate::once::{self, Marks};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::quarantine::Fingerprint;
use crate::quarantine::evidence::Moment;
use crate::quarantine::record::Observation;
use crate::quarantine::standings as quarantine;
use crate::request::{Answer, Body, Piece, Request};
use crate::retry::{self, Budget};
use crate::route::{Router, Target};
use crate::settings::{Limits, Timeouts};
use crate::snapshot;
use crate::table::http::Client;

mod attempt;
mod guard;

/// Questions that one traffic thread carries at a time. Above it memory would
/// grow with the load; the letter's peak is some 13 a second on a node.
const CAPACITY: u32 = 4_096;
/// When to come back to a node that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);
/// How often a verdict that is due is looked for.
const HELD_POLL: Duration = Duration::from_millis(50);
/// How often limits are reported and changes are looked for.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// What a gateway shares with the rest of its node.
#[derive(Clone)]
pub struct Shared {
    /// This node's name.
    pub node: Name,
    /// This node's availability zone.
    pub zone: Name,
    /// The monotonic clock.
    pub clock: Clock,
    /// The configuration that may be acted by.
    pub force: Arc<snapshot::Cell<InForce>>,
    /// The members.
    pub view: Arc<snapshot::Cell<View>>,
    /// The dispatchers of this node.
    pub dispatch: Handle,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Callers' questions in flight on this node.
    pub questions: Work,
    /// Requests that this node's dispatchers hold.
    pub dispatched: Work,
    /// Where this node is in its life.
    pub phase: Arc<snapshot::Cell<Phase>>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// How long this node waits.
    pub timeouts: Timeouts,
    /// Requests that crash endpoints.
    pub quarantine: quarantine::Handle,
}

impl Shared {
    /// The configuration, or a refusal while this node can't know whether it
    /// is still in force.
    ///
    /// # Errors
    /// [`Reason::NotReady`] with when to come back.
    pub fn config(&self) -> Result<Arc<Document>, Refusal> {
        let force = self.force.read();
        if force.is_valid(self.clock.now()) {
            return Ok(Arc::clone(&force.document));
        }
        Err(Refusal::new(Reason::NotReady).after(NOT_READY_RETRY))
    }
}

/// What an organisation asks of one traffic thread.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandReport {
    /// The traffic thread.
    pub thread: usize,
    /// The organisation.
    pub organisation: Name,
    /// What it asks.
    pub demand: Demand,
}

/// The gateway of one traffic thread.
pub struct Gateway {
    shared: Shared,
    thread: usize,
    links: Rc<Pool>,
    router: RefCell<Router>,
    limiter: RefCell<Limiter>,
    gate: RefCell<Gate>,
    budget: RefCell<Budget>,
    last_flight: Cell<u64>,
    version: Cell<u64>,
    marks: Marks<Client>,
    cut: watch::Receiver<bool>,
    /// Nodes whose links failed, and until when they are passed over.
    avoided: RefCell<HashMap<Name, Time>>,
}

impl Gateway {
    /// A gateway that has heard of no endpoint's load yet.
    ///
    /// `cut` turns true when everything in flight must get its final answer.
    pub fn new(
        shared: Shared,
        thread: usize,
        platform: Client,
        cut: watch::Receiver<bool>,
    ) -> Rc<Self> {
        let owner = once::owner(&shared.node, unix_millis(), thread);
        Rc::new(Self {
            thread,
            marks: Marks::new(owner, platform),
            cut,
            links: Pool::new(shared.node.clone()),
            router: RefCell::new(Router::new(shared.zone.clone(), rand::random())),
            limiter: RefCell::new(Limiter::new(1)),
            gate: RefCell::new(Gate::new(CAPACITY)),
            budget: RefCell::default(),
            avoided: RefCell::default(),
            last_flight: Cell::new(0),
            version: Cell::new(0),
            shared,
        })
    }

    /// Follows members and configuration, and sends what organisations ask of
    /// this thread to the control thread, for as long as the thread lives.
    pub async fn follow(self: Rc<Self>, threads: usize, demands: mpsc::Sender<DemandReport>) {
        loop {
            if let Ok(config) = self.shared.config() {
                self.take_config(&config);
            }
            self.send_demands(threads, &demands);
            for (endpoint, cause) in self.router.borrow_mut().ejections() {
                log::warn!(
                    "{} endpoint={endpoint} cause={cause:?}",
                    event::ENDPOINT_EJECTED
                );
            }
            actix_rt::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Tells the control thread what organisations ask of this thread.
    fn send_demands(&self, threads: usize, demands: &mpsc::Sender<DemandReport>) {
        let nodes = self.shared.view.read().usable().count() * threads;
        let now = self.shared.clock.now();
        let mut limiter = self.limiter.borrow_mut();
        limiter.nodes(u32::try_from(nodes).unwrap_or(u32::MAX));
        for (organisation, demand) in limiter.reports(now) {
            let thread = self.thread;
            // A lost report is made good by the next one.
            let _ = demands.try_send(DemandReport {
                thread,
                organisation,
                demand,
            });
        }
    }

    /// Takes the shares that the owners of organisations grant.
    pub async fn take_grants(self: Rc<Self>, mut grants: mpsc::Receiver<(Name, Grant)>) {
        while let Some((organisation, grant)) = grants.recv().await {
            let now = self.shared.clock.now();
            self.limiter.borrow_mut().grant(now, &organisation, grant);
        }
    }

    /// Asks one question and hands the pieces of its answer to `pieces`.
    ///
    /// The whole answer is also in the outcome, so that a caller who wants no
    /// pieces can drop the other end.
    pub async fn ask(&self, request: Request, pieces: mpsc::Sender<Piece>) -> Outcome<Answer> {
        let class = request.class;
        let mut cut = self.cut.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.admit(request, pieces) => outcome,
            // Dropping the request cancels it at the endpoint.
            _ = cut.wait_for(|cut| *cut) => Outcome::MayHaveRun(
                Refusal::new(Reason::NotReady).because("the node stops; use another address"),
            ),
        };
        if let Outcome::NotRun(refusal) | Outcome::MayHaveRun(refusal) = &outcome {
            self.shared.metrics.refuse(class, refusal.reason);
            log::debug!("{} {refusal}", event::REQUEST_REFUSED);
        }
        outcome
    }

    async fn admit(&self, mut request: Request, pieces: mpsc::Sender<Piece>) -> Outcome<Answer> {
        let config = match self.shared.config() {
            Ok(config) => config,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        self.take_config(&config);
        if let Err(refusal) = complete(&config, &mut request) {
            return Outcome::NotRun(refusal);
        }
        request.time_left = request.time_left.min(self.shared.timeouts.request);
        let _passage = match guard::Passage::enter(self, &request) {
            Ok(passage) => passage,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        if request.once {
            return self.run_once(config, request, pieces).await;
        }
        self.run(config, request, pieces).await
    }

    /// Runs a request that must not be repeated, after its mark is in the
    /// table.
    async fn run_once(
        &self,
        config: Arc<Document>,
        request: Request,
        pieces: mpsc::Sender<Piece>,
    ) -> Outcome<Answer> {
        let key = once::Key {
            organisation: request.organisation.clone(),
            key: request.key.clone(),
        };
        let mark = match self.marks.mark(&key).await {
            Ok(mark) => mark,
            // This request did not run, but the one that used its key may have:
            // "not run" would invite the caller to choose a new key.
            Err(refusal) if refusal.reason == Reason::AlreadyRun => {
                return Outcome::MayHaveRun(refusal);
            }
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        let outcome = self.run(config, request, pieces).await;
        if outcome.is_not_run() && self.marks.unmark(&mark).await.is_err() {
            // The caller is told that it did not run, which is true; with the
            // same key it will be told that the key is used up.
            log::debug!("{} key={}", event::MARK_KEPT, key.key);
        }
        outcome
    }

    /// Tries endpoints until one answers or trying again is of no use.
    async fn run(
        &self,
        config: Arc<Document>,
        mut request: Request,
        pieces: mpsc::Sender<Piece>,
    ) -> Outcome<Answer> {
        let now = self.shared.clock.now();
        let deadline = now + request.time_left;
        let mut stream = attempt::Stream::new(now, pieces);
        let mut tried = Tried::default();
        let mut ran = false;
        let print = request.fingerprint();
        loop {
            let left = deadline.since(self.shared.clock.now());
            if left.is_zero() {
                return verdict(ran, Refusal::new(Reason::Deadline));
            }
            if self.is_condemned(print).await {
                let refusal = Refusal::new(Reason::Invalid).because(
                    "endpoints that run this request crash; it is not run any more, so don't \
                     send it again",
                );
                return verdict(ran, refusal);
            }
            request.time_left = left;
            stream.resume(&mut request);
            request.spills = tried.count == 0;
            let Some(endpoint) = self.pick(&request, &tried) else {
                let refusal = Refusal::new(Reason::NoEndpoint).after(NOT_READY_RETRY);
                return verdict(ran, refusal);
            };
            let began = self.shared.clock.now();
            let outcome = self
                .attempt(&config, &endpoint, &request, &mut stream, deadline)
                .await;
            let failure = match outcome {
                Outcome::Done(answer) => {
                    self.budget.borrow_mut().deposit();
                    self.tell_sound(print);
                    stream.finish(&answer).await;
                    return Outcome::Done(answer);
                }
                Outcome::NotRun(refusal) => retry::Failure::NotRun(refusal),
                Outcome::MayHaveRun(refusal) => {
                    ran = true;
                    self.blame(print, &refusal, began).await;
                    retry::Failure::MayHaveRun(refusal)
                }
            };
            tried.add(endpoint, &request, &failure);
            match self.again(&config, &request, &tried, deadline, failure) {
                Ok(wait) => actix_rt::time::sleep(wait).await,
                Err(refusal) => return verdict(ran, refusal),
            }
        }
    }

    /// True when the request must not run. One that is about to be condemned waits for
    /// the verdict.
    async fn is_condemned(&self, request: Fingerprint) -> bool {
        let standings = self.shared.quarantine.standings();
        while standings.read().is_held(request) {
            actix_rt::time::sleep(HELD_POLL).await;
        }
        standings.read().is_condemned(request)
    }

    /// Takes what the endpoint's dispatcher, which may be another node, found.
    async fn blame(&self, request: Fingerprint, refusal: &Refusal, began: Time) {
        if let Some(crash) = &refusal.crash {
            let moment = Moment::of(self.shared.clock.now().since(began));
            let crashed = Observation::Crashed(request, crash.clone(), moment);
            self.shared.quarantine.tell_first(crashed).await;
        }
    }

    fn tell_sound(&self, request: Fingerprint) {
        if self
            .shared
            .quarantine
            .standings()
            .read()
            .is_suspect(request)
        {
            let sound = Observation::Sound(request);
            self.shared.quarantine.tell(sound);
        }
    }

    /// When to try again, or the refusal that is final.
    fn again(
        &self,
        config: &Document,
        request: &Request,
        tried: &Tried,
        deadline: Time,
        failure: retry::Failure,
    ) -> Result<Duration, Refusal> {
        let refusal = refusal_of(&failure).clone();
        let mut endpoints = config.endpoints_of(&request.service);
        let attempt = retry::Attempt {
            count: tried.count,
            once: request.once,
            time_left: deadline.since(self.shared.clock.now()),
            elsewhere: endpoints.any(|endpoint| !tried.failed.contains(&endpoint.name)),
        };
        if tried.crowded.is_some() {
            // The endpoint was crowded and said so at once; going to another
            // one costs a message and happens once, so no budget is needed.
            self.shared.metrics.retry(request.class, refusal.reason);
            return Ok(Duration::ZERO);
        }
        match retry::decide(failure, &attempt, &mut self.budget.borrow_mut()) {
            retry::Decision::Again { wait } => {
                self.shared.metrics.retry(request.class, refusal.reason);
                log::debug!("{} {refusal}", event::REQUEST_RETRIED);
                Ok(wait)
            }
            retry::Decision::Final(_) => Err(refusal),
        }
    }

    /// Hands a newer configuration to the decisions.
    fn take_config(&self, config: &Document) {
        if config.version == self.version.get() {
            return;
        }
        self.version.set(config.version);
        let endpoints = config.endpoints.values().filter(|e| !e.leaving);
        self.router
            .borrow_mut()
            .update(endpoints.map(|endpoint| Target {
                name: endpoint.name.clone(),
                zone: endpoint.zone.clone(),
                services: endpoint.services.clone(),
            }));
        for service in config.services.values() {
            let mut router = self.router.borrow_mut();
            router.weigh(&service.name, service.latency_weight);
        }
        let bounds = config.organisations.values().map(|organisation| {
            let bound = Bound {
                rate: organisation.rate,
                concurrency: organisation.concurrency,
            };
            (organisation.name.clone(), bound)
        });
        self.limiter.borrow_mut().update(bounds);
    }
}

/// What earlier attempts of a request told.
#[derive(Default)]
struct Tried {
    /// Attempts so far.
    count: u32,
    /// Endpoints that failed or were full.
    failed: Vec<Name>,
    /// An endpoint that was crowded: passed over once, and good enough later,
    /// when the others have failed.
    crowded: Option<Name>,
}

impl Tried {
    fn add(&mut self, endpoint: Name, request: &Request, failure: &retry::Failure) {
        self.count += 1;
        self.crowded = None;
        match refusal_of(failure).reason {
            Reason::Overloaded if request.spills => self.crowded = Some(endpoint),
            // The way to the endpoint failed, not the endpoint: it is tried
            // again through another dispatcher.
            Reason::LinkFailed | Reason::NotReady => {}
            _ => self.failed.push(endpoint),
        }
    }
}

fn refusal_of(failure: &retry::Failure) -> &Refusal {
    let (retry::Failure::NotRun(refusal) | retry::Failure::MayHaveRun(refusal)) = failure;
    refusal
}

/// Fills in the service's own bounds where the caller named none.
///
/// # Errors
/// When the service is unknown, or of another kind than the body.
pub fn complete(config: &Document, request: &mut Request) -> Result<(), Refusal> {
    let Some(service) = config.services.get(&request.service) else {
        return Err(Refusal::new(Reason::UnknownService).because(format!(
            "there is no service `{}`; `auburnspoke service list` names them",
            request.service
        )));
    };
    if request.time_left.is_zero() {
        request.time_left = Duration::from_millis(service.deadline_ms.into());
    }
    match (&mut request.body, service.kind) {
        (Body::Prompt { max_tokens, .. }, Kind::Model) => {
            if *max_tokens == 0 || *max_tokens > service.max_tokens {
                *max_tokens = service.max_tokens;
            }
            Ok(())
        }
        (Body::Call { .. }, Kind::Plain) => Ok(()),
        (Body::Prompt { .. }, Kind::Plain) => Err(Refusal::new(Reason::Invalid)
            .because("the service is a plain one; name a path and a body, not a prompt")),
        (Body::Call { .. }, Kind::Model) => Err(Refusal::new(Reason::Invalid)
            .because("the service is a model; name a prompt, not a path")),
    }
}

/// A refusal after some attempt may have run is never said to be `NotRun`.
fn verdict(ran: bool, refusal: Refusal) -> Outcome<Answer> {
    if ran {
        Outcome::MayHaveRun(refusal)
    } else {
        Outcome::NotRun(refusal)
    }
}
