//! Routes an online request from its caller to the dispatcher of an endpoint, and the answer back.
//!
//! Each traffic thread has one gateway. The gateway performs the I/O and leaves the decisions to
//! [`crate::limit`], which admits, [`crate::route`], which selects an endpoint, and [`retry`],
//! which decides on retries and assembles the answer. docs/ARCHITECTURE.md describes the complete
//! path.

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
use crate::limit::{Admission, Bound, Demand, Grant, Limiter};
use crate::link::Pool;
use crate::member::View;
use crate::metric::Metrics;
use crate::name::Name;
use crate::node::work::Work;
use crate::once::{self, Marks};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::quarantine::Fingerprint;
use crate::quarantine::evidence::Stage;
use crate::quarantine::record::Observation;
use crate::quarantine::statuses as quarantine;
use crate::request::{Answer, Body, Piece, Request};
use crate::retry::{self, Budget};
use crate::route::{Router, Target};
use crate::settings::{Limits, Timeouts};
use crate::snapshot;
use crate::table::http::Client;

mod attempt;
mod guard;

/// Maximum number of requests in flight per traffic thread. Without the limit, memory use would
/// grow with the load; the required peak is about 13 requests per second per node.
const MAX_IN_FLIGHT: u32 = 4_096;
/// Retry delay of a request under which endpoints crashed.
const CONDEMNED_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Retry delay sent by a node that is not ready.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Interval at which a pending quarantine verdict is polled.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which demand is reported and configuration changes are applied.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// State that a gateway shares with the rest of its node.
#[derive(Clone)]
pub struct Shared {
    /// This node's name.
    pub node: Name,
    /// This node's availability zone.
    pub zone: Name,
    /// The monotonic clock.
    pub clock: Clock,
    /// The configuration in force, and until when it may be used.
    pub in_force: Arc<snapshot::Cell<InForce>>,
    /// The members.
    pub view: Arc<snapshot::Cell<View>>,
    /// The dispatchers of this node.
    pub dispatch: Handle,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Callers' requests in flight on this node.
    pub requests: Work,
    /// The listeners for callers, and the open connections of callers.
    pub connections: Work,
    /// Requests held by this node's dispatchers.
    pub dispatched: Work,
    /// The node's lifecycle phase.
    pub phase: Arc<snapshot::Cell<Phase>>,
    /// Limits on the size of requests.
    pub limits: Limits,
    /// Timeouts of requests and connections.
    pub timeouts: Timeouts,
    /// Quarantine of requests that crash endpoints.
    pub quarantine: quarantine::Handle,
}

impl Shared {
    /// Returns the configuration, or a refusal while this node can't be certain that it is
    /// still in force.
    ///
    /// # Errors
    /// [`Reason::NotReady`] with a retry delay.
    pub fn config(&self) -> Result<Arc<Document>, Refusal> {
        let in_force = self.in_force.read();
        if in_force.is_valid(self.clock.now()) {
            return Ok(Arc::clone(&in_force.document));
        }
        Err(Refusal::new(Reason::NotReady).after(NOT_READY_RETRY_DELAY))
    }
}

/// The demand of one organisation on one traffic thread.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandReport {
    /// Index of the traffic thread.
    pub thread: usize,
    /// The organisation.
    pub organisation: Name,
    /// The organisation's demand.
    pub demand: Demand,
}

/// The gateway of one traffic thread.
pub struct Gateway {
    shared: Shared,
    thread: usize,
    links: Rc<Pool>,
    router: RefCell<Router>,
    limiter: RefCell<Limiter>,
    admission: RefCell<Admission>,
    budget: RefCell<Budget>,
    last_attempt: Cell<u64>,
    version: Cell<u64>,
    marks: Marks<Client>,
    cut: watch::Receiver<bool>,
    /// Nodes whose links failed, and until when they are avoided.
    avoided: RefCell<HashMap<Name, Time>>,
}

impl Gateway {
    /// Creates a gateway that has no load reports yet.
    ///
    /// `cut` becomes true when every request in flight must be answered immediately.
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
            admission: RefCell::new(Admission::new(MAX_IN_FLIGHT)),
            budget: RefCell::default(),
            avoided: RefCell::default(),
            last_attempt: Cell::new(0),
            version: Cell::new(0),
            shared,
        })
    }

    /// Applies changes of members and configuration, and reports the organisations' demand to
    /// the control thread, for the lifetime of the thread.
    pub async fn follow(self: Rc<Self>, threads: usize, demands: mpsc::Sender<DemandReport>) {
        loop {
            if let Ok(config) = self.shared.config() {
                self.apply_config(&config);
            }
            self.send_demands(threads, &demands);
            for (endpoint, cause) in self.router.borrow_mut().take_ejections() {
                log::warn!(
                    "{} endpoint={endpoint} cause={cause:?}",
                    event::ENDPOINT_EJECTED
                );
            }
            actix_rt::time::sleep(UPDATE_INTERVAL).await;
        }
    }

    /// Reports the organisations' demand on this thread to the control thread.
    fn send_demands(&self, threads: usize, demands: &mpsc::Sender<DemandReport>) {
        let nodes = self.shared.view.read().usable().count() * threads;
        let now = self.shared.clock.now();
        let mut limiter = self.limiter.borrow_mut();
        limiter.nodes(u32::try_from(nodes).unwrap_or(u32::MAX));
        for (organisation, demand) in limiter.reports(now) {
            let thread = self.thread;
            // The next report compensates for a lost one.
            let _ = demands.try_send(DemandReport {
                thread,
                organisation,
                demand,
            });
        }
    }

    /// Applies the shares granted by the organisations' owners.
    pub async fn take_grants(self: Rc<Self>, mut grants: mpsc::Receiver<(Name, Grant)>) {
        while let Some((organisation, grant)) = grants.recv().await {
            let now = self.shared.clock.now();
            self.limiter.borrow_mut().grant(now, &organisation, grant);
        }
    }

    /// Runs one request and sends the pieces of its answer to `pieces`.
    ///
    /// The outcome also contains the whole answer, so a caller that does not stream can drop
    /// the receiver.
    pub async fn ask(&self, request: Request, pieces: mpsc::Sender<Piece>) -> Outcome<Answer> {
        let class = request.class;
        let mut cut = self.cut.clone();
        let outcome = tokio::select! {
            biased;
            outcome = self.admit(request, pieces) => outcome,
            // Dropping the request cancels it at the endpoint.
            _ = cut.wait_for(|cut| *cut) => Outcome::MayHaveRun(
                Refusal::new(Reason::NotReady).with_message("the node is shutting down; use another address"),
            ),
        };
        if let Outcome::NotRun(refusal) | Outcome::MayHaveRun(refusal) = &outcome {
            self.shared.metrics.count_refusal(class, refusal.reason);
            log::debug!("{} {refusal}", event::REQUEST_REFUSED);
        }
        outcome
    }

    async fn admit(&self, mut request: Request, pieces: mpsc::Sender<Piece>) -> Outcome<Answer> {
        let config = match self.shared.config() {
            Ok(config) => config,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        self.apply_config(&config);
        if let Err(refusal) = complete(&config, &mut request) {
            return Outcome::NotRun(refusal);
        }
        request.time_left = request.time_left.min(self.shared.timeouts.request);
        let _admission = match guard::Admission::enter(self, &request) {
            Ok(admission) => admission,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        if request.once {
            return self.run_once(config, request, pieces).await;
        }
        self.run(config, request, pieces).await
    }

    /// Runs a request that must not be repeated, after storing a mark for its key in the table.
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
            // This request did not run, but the one that used its key may have: a "not run"
            // answer would invite the caller to choose a new key.
            Err(refusal) if refusal.reason == Reason::AlreadyRun => {
                return Outcome::MayHaveRun(refusal);
            }
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        let outcome = self.run(config, request, pieces).await;
        if outcome.is_not_run() && self.marks.unmark(&mark).await.is_err() {
            // The caller correctly learns that the request did not run, but a retry with the
            // same key will be refused because the key is used.
            log::debug!("{} key={}", event::MARK_KEPT, key.key);
        }
        outcome
    }

    /// Tries endpoints until one answers or no retry is possible.
    async fn run(
        &self,
        config: Arc<Document>,
        mut request: Request,
        pieces: mpsc::Sender<Piece>,
    ) -> Outcome<Answer> {
        let now = self.shared.clock.now();
        let deadline = now + request.time_left;
        let mut stream = attempt::Stream::new(now, pieces);
        let mut history = History::default();
        let mut may_have_run = false;
        let fingerprint = request.fingerprint();
        loop {
            let remaining = deadline.since(self.shared.clock.now());
            if remaining.is_zero() {
                return conclude(may_have_run, Refusal::new(Reason::Deadline));
            }
            if self.is_condemned(fingerprint, deadline).await {
                return conclude(may_have_run, condemned());
            }
            request.time_left = remaining;
            stream.resume(&mut request);
            request.spills = history.count == 0;
            let Some(endpoint) = self.pick(&request, &history) else {
                let refusal = Refusal::new(Reason::NoEndpoint).after(NOT_READY_RETRY_DELAY);
                return conclude(may_have_run, refusal);
            };
            let began = self.shared.clock.now();
            let outcome = self
                .attempt(&config, &endpoint, &request, &mut stream, deadline)
                .await;
            let failure = match outcome {
                Outcome::Done(answer) => {
                    self.budget.borrow_mut().deposit();
                    self.report_completion(fingerprint);
                    stream.finish(&answer).await;
                    return Outcome::Done(answer);
                }
                Outcome::NotRun(refusal) => retry::Failure::NotRun(refusal),
                Outcome::MayHaveRun(refusal) => {
                    may_have_run = true;
                    self.report_crash(fingerprint, &refusal, began).await;
                    retry::Failure::MayHaveRun(refusal)
                }
            };
            history.add(endpoint, &request, &failure);
            match self.decide_retry(&config, &request, &history, deadline, failure) {
                Ok(wait) => actix_rt::time::sleep(wait).await,
                // The caller may retry at another node, which has to learn of the crashes first.
                Err(_) if self.is_condemned(fingerprint, deadline).await => {
                    return conclude(may_have_run, condemned());
                }
                Err(refusal) => return conclude(may_have_run, refusal),
            }
        }
    }

    /// Returns true if the request must not run. Waits for the verdict if one is pending, and
    /// for what other nodes observed while this one was paused.
    async fn is_condemned(&self, request: Fingerprint, deadline: Time) -> bool {
        let statuses = self.shared.quarantine.statuses();
        loop {
            let now = self.shared.clock.now();
            let wait = {
                let statuses = statuses.read();
                let held = statuses.is_held(request).then_some(VERDICT_POLL_INTERVAL);
                statuses.backlog.wait(now).or(held)
            };
            let Some(wait) = wait.filter(|_| now < deadline) else {
                return statuses.read().is_condemned(request);
            };
            actix_rt::time::sleep(wait.min(VERDICT_POLL_INTERVAL)).await;
        }
    }

    /// Records a crash that the endpoint's dispatcher, possibly on another node, reported.
    async fn report_crash(&self, request: Fingerprint, refusal: &Refusal, began: Time) {
        if let Some(crash) = &refusal.crash {
            let stage = Stage::of(self.shared.clock.now().since(began));
            let crashed = Observation::Crashed(request, crash.clone(), stage.into());
            self.shared.quarantine.report_and_wait(crashed).await;
        }
    }

    fn report_completion(&self, request: Fingerprint) {
        if self.shared.quarantine.statuses().read().is_suspect(request) {
            let completed = Observation::Completed(request);
            self.shared.quarantine.report(completed);
        }
    }

    /// Returns the delay before the retry, or the final refusal.
    fn decide_retry(
        &self,
        config: &Document,
        request: &Request,
        history: &History,
        deadline: Time,
        failure: retry::Failure,
    ) -> Result<Duration, Refusal> {
        let refusal = refusal_of(&failure).clone();
        let mut endpoints = config.endpoints_of(&request.service);
        let attempt = retry::Attempt {
            count: history.count,
            once: request.once,
            time_left: deadline.since(self.shared.clock.now()),
            has_alternative: endpoints.any(|endpoint| !history.failed.contains(&endpoint.name)),
        };
        if history.crowded.is_some() {
            // The endpoint refused immediately because it was crowded. Trying another one costs
            // one message and happens once, so it needs no retry budget.
            self.shared
                .metrics
                .count_retry(request.class, refusal.reason);
            return Ok(Duration::ZERO);
        }
        match retry::decide(failure, &attempt, &mut self.budget.borrow_mut()) {
            retry::Decision::Retry { wait } => {
                self.shared
                    .metrics
                    .count_retry(request.class, refusal.reason);
                log::debug!("{} {refusal}", event::REQUEST_RETRIED);
                Ok(wait)
            }
            retry::Decision::GiveUp(_) => Err(refusal),
        }
    }

    /// Applies a newer configuration to the router and the limiter.
    fn apply_config(&self, config: &Document) {
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
            router.set_latency_weight(&service.name, service.latency_weight);
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

/// The results of a request's earlier attempts.
#[derive(Default)]
struct History {
    /// Number of attempts.
    count: u32,
    /// Endpoints that failed or were full.
    failed: Vec<Name>,
    /// An endpoint that was crowded at the last attempt. It is skipped once, and becomes
    /// eligible again when the others have failed.
    crowded: Option<Name>,
}

impl History {
    fn add(&mut self, endpoint: Name, request: &Request, failure: &retry::Failure) {
        self.count += 1;
        self.crowded = None;
        match refusal_of(failure).reason {
            Reason::Overloaded if request.spills => self.crowded = Some(endpoint),
            // The path to the endpoint failed, not the endpoint: it is retried through another
            // dispatcher.
            Reason::LinkFailed | Reason::NotReady => {}
            _ => self.failed.push(endpoint),
        }
    }
}

fn refusal_of(failure: &retry::Failure) -> &Refusal {
    let (retry::Failure::NotRun(refusal) | retry::Failure::MayHaveRun(refusal)) = failure;
    refusal
}

/// Applies the service's default limits where the request has none.
///
/// # Errors
/// Returns a refusal if the service is unknown, or of another kind than the body.
pub fn complete(config: &Document, request: &mut Request) -> Result<(), Refusal> {
    let Some(service) = config.services.get(&request.service) else {
        return Err(Refusal::new(Reason::UnknownService).with_message(format!(
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
        (Body::Prompt { .. }, Kind::Plain) => Err(Refusal::new(Reason::Invalid).with_message(
            "the service is a plain service; send a path and a body instead of a prompt",
        )),
        (Body::Call { .. }, Kind::Model) => Err(Refusal::new(Reason::Invalid)
            .with_message("the service is a model; send a prompt instead of a path")),
    }
}

/// Refuses a request under which endpoints crashed. The crashes may have had another cause, so
/// nothing says that the request is wrong.
fn condemned() -> Refusal {
    Refusal::new(Reason::EndpointFailed)
        .after(CONDEMNED_RETRY_DELAY)
        .with_message("endpoints crashed while they ran this request; it is not run for now")
}

/// Never reports `NotRun` if an earlier attempt may have run.
fn conclude(may_have_run: bool, refusal: Refusal) -> Outcome<Answer> {
    if may_have_run {
        Outcome::MayHaveRun(refusal)
    } else {
        Outcome::NotRun(refusal)
    }
}
