//! Executes the decisions of the queues: runs requests at endpoints, forwards
//! their answers and feeds events back into the queues.
//!
//! There is one shell per traffic thread. It owns the dispatchers of the
//! endpoints that hash to that thread, so no locks are needed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::sync::{Notify, mpsc};

use super::handle::{Event, Submit};
use super::loads::Loads;
use super::run::{self, Progress};
use super::{Action, End, Id, Input, Load, Offer, Queue, Setting};
use crate::clock::{Clock, Time, unix_millis};
use crate::config::Document;
use crate::config::follow::InForce;
use crate::connect::Reachability;
use crate::endpoint::{Client, Target};
use crate::event;
use crate::gateway::Shared;
use crate::leave::Phase;
use crate::name::Name;
use crate::node::work::{Guard, Work};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::quarantine::evidence::{Crash, Stage};
use crate::quarantine::loss;
use crate::quarantine::record::Observation;
use crate::quarantine::statuses as quarantine;
use crate::request::{Answer, Body, Request};
use crate::snapshot;

/// Longest interval between ticks of the queues.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Interval between publications of the loads.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
/// Approximate number of characters in a token, to estimate prompt lengths.
const CHARS_PER_TOKEN: usize = 4;

/// The dispatchers of one thread.
pub struct Shell {
    clock: Clock,
    in_force: Arc<snapshot::Cell<InForce>>,
    work: Work,
    phase: Arc<snapshot::Cell<Phase>>,
    quarantine: quarantine::Handle,
    client: Client,
    state: RefCell<State>,
    /// Wakes the main loop when a queue may have an earlier timer.
    changed: Notify,
    loads: Arc<snapshot::Cell<Loads>>,
    published: Cell<Time>,
}

#[derive(Default)]
struct State {
    last_id: Id,
    dispatchers: HashMap<Name, Dispatcher>,
}

/// One endpoint's queue and the requests it holds.
struct Dispatcher {
    queue: Queue,
    setting: Setting,
    entries: HashMap<Id, Entry>,
    /// When its process seems to have ended, in Unix milliseconds; `None` while it
    /// answers. It identifies the crash, so that all runs lost in one crash are
    /// attributed to the same one.
    outage: Option<u64>,
}

struct Entry {
    request: Rc<Request>,
    deadline: Time,
    progress: Rc<RefCell<Progress>>,
    reply: mpsc::Sender<Event>,
    run: Option<JoinHandle<()>>,
    /// Number of times that it was sent to the endpoint.
    runs: u32,
    /// Withdraws the request when its requester disconnects.
    watcher: JoinHandle<()>,
    /// Keeps the node running until the request has ended.
    _work: Guard,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.watcher.abort();
        if let Some(run) = self.run.take() {
            run.abort();
        }
    }
}

impl Shell {
    /// Creates a shell without dispatchers. The first request for an endpoint
    /// creates its dispatcher.
    pub fn new(shared: &Shared, loads: Arc<snapshot::Cell<Loads>>) -> Rc<Self> {
        Rc::new(Self {
            clock: shared.clock,
            in_force: Arc::clone(&shared.in_force),
            work: shared.dispatched.clone(),
            phase: Arc::clone(&shared.phase),
            quarantine: shared.quarantine.clone(),
            client: Client::new(shared.timeouts.connect),
            state: RefCell::default(),
            changed: Notify::new(),
            loads,
            published: Cell::new(Time::ZERO),
        })
    }

    /// Serves requests until `submits` is closed.
    pub async fn run(self: Rc<Self>, mut submits: mpsc::Receiver<Submit>) {
        loop {
            let now = self.clock.now();
            self.publish(now);
            let next_wakeup = self
                .next_wakeup()
                .unwrap_or(now + IDLE_TICK)
                .min(now + IDLE_TICK);
            tokio::select! {
                submit = submits.recv() => match submit {
                    Some(submit) => self.submit(submit),
                    None => return,
                },
                () = self.changed.notified() => {}
                () = actix_rt::time::sleep(next_wakeup.since(now)) => self.tick(),
            }
        }
    }

    /// Publishes the loads at most once per [`PUBLISH_INTERVAL`]. Readers on other
    /// threads need recent values, but not an update per token.
    fn publish(&self, now: Time) {
        if now.since(self.published.get()) < PUBLISH_INTERVAL {
            return;
        }
        self.published.set(now);
        let state = self.state.borrow();
        let loads = state.dispatchers.iter();
        let loads = loads.map(|(name, dispatcher)| (name.clone(), dispatcher.queue.load()));
        self.loads.publish(loads.collect());
    }

    fn next_wakeup(&self) -> Option<Time> {
        let state = self.state.borrow();
        state
            .dispatchers
            .values()
            .filter_map(|s| s.queue.wake())
            .min()
    }

    fn tick(self: &Rc<Self>) {
        let now = self.clock.now();
        let serving = **self.phase.read() == Phase::Serving;
        let names: Vec<Name> = self.state.borrow().dispatchers.keys().cloned().collect();
        for name in names {
            if !serving {
                self.hand_over(&name);
            }
            self.follow_config(&name);
            self.feed(&name, now, Input::Tick);
        }
    }

    /// Refuses the waiting requests, so that their gateways retry at the endpoint's
    /// next dispatcher. Running requests continue.
    fn hand_over(self: &Rc<Self>, name: &Name) {
        let waiting: Vec<Id> = {
            let state = self.state.borrow();
            let entries = state
                .dispatchers
                .get(name)
                .map(|dispatcher| &dispatcher.entries);
            let entries = entries.into_iter().flatten();
            let waiting = entries.filter(|(_, entry)| entry.run.is_none());
            waiting.map(|(id, _)| *id).collect()
        };
        for id in waiting {
            self.feed(name, self.clock.now(), Input::Withdraw { id });
            let refusal = Refusal::new(Reason::NotReady).after(IDLE_TICK);
            self.reply_end(name, id, 0, Outcome::NotRun(refusal));
        }
    }

    /// Updates a queue when the configuration of its endpoint has changed.
    fn follow_config(self: &Rc<Self>, name: &Name) {
        let setting = setting_of(&self.in_force.read().document, name);
        let changed = {
            let mut state = self.state.borrow_mut();
            let Some(dispatcher) = state.dispatchers.get_mut(name) else {
                return;
            };
            let changed = dispatcher.setting != setting;
            dispatcher.setting = setting;
            changed
        };
        if changed {
            self.feed(name, self.clock.now(), Input::Setting(setting));
        }
    }

    fn submit(self: &Rc<Self>, submit: Submit) {
        let now = self.clock.now();
        let Submit {
            endpoint,
            request,
            reply,
        } = submit;
        let in_force = self.in_force.read();
        let refused = if **self.phase.read() != Phase::Serving {
            // The gateway has not yet learnt that this node is leaving and that the
            // endpoint has another dispatcher.
            Some(Reason::NotReady)
        } else if !in_force.is_valid(now) {
            // This node's configuration may be superseded, so it must not be acted on.
            Some(Reason::NotReady)
        } else if !in_force.document.endpoints.contains_key(&endpoint) {
            // The gateway has a newer or older configuration than this node.
            Some(Reason::NoEndpoint)
        } else {
            None
        };
        if let Some(reason) = refused {
            let refusal = Refusal::new(reason).after(IDLE_TICK);
            let _ = reply.try_send(Event::End(Outcome::NotRun(refusal), Load::default()));
            return;
        }
        let offer = self.register(now, &endpoint, request, reply);
        self.follow_config(&endpoint);
        self.feed(&endpoint, now, Input::Offer(offer));
    }

    fn register(
        self: &Rc<Self>,
        now: Time,
        endpoint: &Name,
        request: Request,
        reply: mpsc::Sender<Event>,
    ) -> Offer {
        let setting = setting_of(&self.in_force.read().document, endpoint);
        let mut state = self.state.borrow_mut();
        state.last_id += 1;
        let id = state.last_id;
        let deadline = now + request.time_left;
        let offer = offer_of(id, deadline, &request);
        let dispatcher = state
            .dispatchers
            .entry(endpoint.clone())
            .or_insert_with(|| Dispatcher {
                queue: Queue::new(now, setting),
                setting,
                entries: HashMap::new(),
                outage: None,
            });
        let progress = Progress::resumed(&request);
        let entry = Entry {
            request: Rc::new(request),
            deadline,
            progress: Rc::new(RefCell::new(progress)),
            watcher: self.watch_requester(endpoint, id, reply.clone()),
            reply,
            run: None,
            runs: 0,
            _work: self.work.begin(),
        };
        dispatcher.entries.insert(id, entry);
        offer
    }

    /// Withdraws the request when its requester disconnects, which frees its slot.
    fn watch_requester(
        self: &Rc<Self>,
        endpoint: &Name,
        id: Id,
        reply: mpsc::Sender<Event>,
    ) -> JoinHandle<()> {
        let shell = Rc::clone(self);
        let endpoint = endpoint.clone();
        actix_rt::spawn(async move {
            reply.closed().await;
            shell.feed(&endpoint, shell.clock.now(), Input::Withdraw { id });
            shell.remove_entry(&endpoint, id);
        })
    }

    /// Feeds an input to a queue and executes the resulting actions.
    fn feed(self: &Rc<Self>, endpoint: &Name, now: Time, input: Input) {
        let mut actions = Vec::new();
        if let Some(dispatcher) = self.state.borrow_mut().dispatchers.get_mut(endpoint) {
            dispatcher.queue.step(now, input, &mut actions);
        }
        for action in actions {
            match action {
                Action::Start { id } => self.start(endpoint, id),
                Action::Stop { id } => self.stop(endpoint, id),
                Action::Refuse { id, refusal } => {
                    self.reply_end(endpoint, id, 0, Outcome::NotRun(refusal));
                }
                // Dropping the entry cancels its run.
                Action::Abandon { id, refusal } => {
                    self.reply_end(endpoint, id, 0, Outcome::MayHaveRun(refusal));
                }
            }
        }
        self.changed.notify_one();
    }

    fn start(self: &Rc<Self>, endpoint: &Name, id: Id) {
        let shell = Rc::clone(self);
        let name = endpoint.clone();
        let mut state = self.state.borrow_mut();
        let Some(entry) = state
            .dispatchers
            .get_mut(endpoint)
            .and_then(|dispatcher| dispatcher.entries.get_mut(&id))
        else {
            return;
        };
        let request = Rc::clone(&entry.request);
        let progress = Rc::clone(&entry.progress);
        let reply = entry.reply.clone();
        let deadline = entry.deadline;
        let Some(target) = run::target(&self.in_force.read().document, endpoint, &request) else {
            drop(state);
            // The service was removed from the configuration while the request waited.
            actix_rt::spawn(async move { shell.abandon(&name, id) });
            return;
        };
        entry.runs += 1;
        entry.run = Some(actix_rt::spawn(async move {
            let began = shell.clock.now();
            let left = deadline.since(began);
            let tokens = |count| {
                shell.mark_reachable(&name);
                shell.feed(&name, shell.clock.now(), Input::Tokens { id, count });
                let state = shell.state.borrow();
                let dispatcher = state.dispatchers.get(&name);
                dispatcher
                    .map(|dispatcher| dispatcher.queue.load())
                    .unwrap_or_default()
            };
            let running = run::run(
                &shell.client,
                &target,
                &request,
                &progress,
                &reply,
                left,
                tokens,
            );
            let (mut outcome, end) = running.await;
            if let Outcome::MayHaveRun(refusal) = &mut outcome
                && refusal.reason == Reason::EndpointFailed
            {
                refusal.crash = shell
                    .diagnose_failure(&name, &target, &request, began)
                    .await;
            }
            shell.finish(&name, id, outcome, end);
        }));
    }

    /// Clears the outage of an endpoint that sends tokens, as its process runs.
    fn mark_reachable(&self, endpoint: &Name) {
        if let Some(dispatcher) = self.state.borrow_mut().dispatchers.get_mut(endpoint) {
            dispatcher.outage = None;
        }
    }

    /// Determines whether the process that ran a failed request has crashed, and
    /// reports the crash to the quarantine before the request is retried elsewhere.
    async fn diagnose_failure(
        &self,
        name: &Name,
        target: &Target,
        request: &Request,
        began: Time,
    ) -> Option<Crash> {
        let ran = self.clock.now().since(began);
        let address = target.address.parse().ok()?;
        // Set before the probe, so that runs lost at the same time are attributed to the
        // same crash.
        let incarnation = {
            let mut state = self.state.borrow_mut();
            let dispatcher = state.dispatchers.get_mut(name)?;
            *dispatcher.outage.get_or_insert_with(unix_millis)
        };
        let print = request.fingerprint();
        let listener = loss::probe_after_failure(address).await;
        log::info!(
            "{} id={} print={print} endpoint={name} incarnation={incarnation} ran_ms={} why=broken listener={listener:?} entry=Ready",
            event::RUN_LOST,
            request.key,
            ran.as_millis(),
        );
        if listener != Reachability::Refused {
            return None;
        }
        let crash = Crash {
            endpoint: name.clone(),
            incarnation,
        };
        let observation = Observation::Crashed(print, crash.clone(), Stage::of(ran).into());
        self.quarantine.report_and_wait(observation).await;
        Some(crash)
    }

    /// Cancels a run and keeps what it generated for the next start.
    fn stop(self: &Rc<Self>, endpoint: &Name, id: Id) {
        let run = {
            let mut state = self.state.borrow_mut();
            let entry = state
                .dispatchers
                .get_mut(endpoint)
                .and_then(|dispatcher| dispatcher.entries.get_mut(&id));
            entry.and_then(|entry| entry.run.take())
        };
        if let Some(run) = run {
            // Dropping the run closes its connection, which cancels it at the
            // endpoint.
            run.abort();
            let now = self.clock.now();
            self.feed(
                endpoint,
                now,
                Input::Ended {
                    id,
                    end: End::Stopped,
                },
            );
        }
    }

    fn finish(self: &Rc<Self>, endpoint: &Name, id: Id, outcome: Outcome<Answer>, end: End) {
        if let Some(dispatcher) = self.state.borrow_mut().dispatchers.get_mut(endpoint)
            && let Some(entry) = dispatcher.entries.get_mut(&id)
        {
            // This code executes within the run's own task, which must not abort itself.
            entry.run = None;
        }
        self.feed(endpoint, self.clock.now(), Input::Ended { id, end });
        // The outcome of a first run proves whether the endpoint received anything, so
        // that run does not turn `NotRun` into `MayHaveRun`.
        self.reply_end(endpoint, id, 1, outcome);
    }

    fn abandon(self: &Rc<Self>, endpoint: &Name, id: Id) {
        self.feed(endpoint, self.clock.now(), Input::Withdraw { id });
        let refusal = Refusal::new(Reason::UnknownService);
        self.reply_end(endpoint, id, 0, Outcome::NotRun(refusal));
    }

    /// Sends the final outcome to the requester.
    ///
    /// A request that was preempted and refused later did reach the endpoint,
    /// although it is not running when the queue refuses it. With more than
    /// `unproven_runs` runs it is therefore never reported as not run.
    fn reply_end(
        self: &Rc<Self>,
        endpoint: &Name,
        id: Id,
        unproven_runs: u32,
        outcome: Outcome<Answer>,
    ) {
        let (entry, load) = {
            let mut state = self.state.borrow_mut();
            let Some(dispatcher) = state.dispatchers.get_mut(endpoint) else {
                return;
            };
            let load = dispatcher.queue.load();
            (dispatcher.entries.remove(&id), load)
        };
        let Some(entry) = entry else { return };
        let outcome = match outcome {
            Outcome::NotRun(refusal) if entry.runs > unproven_runs => Outcome::MayHaveRun(refusal),
            other => other,
        };
        let reply = entry.reply.clone();
        let event = Event::End(outcome, load);
        if let Err(mpsc::error::TrySendError::Full(event)) = reply.try_send(event) {
            // The reader is slow; the send waits in a task of its own.
            actix_rt::spawn(async move {
                let _ = reply.send(event).await;
            });
        }
    }

    fn remove_entry(self: &Rc<Self>, endpoint: &Name, id: Id) {
        let mut state = self.state.borrow_mut();
        if let Some(dispatcher) = state.dispatchers.get_mut(endpoint) {
            dispatcher.entries.remove(&id);
        }
    }
}

fn setting_of(config: &Document, endpoint: &str) -> Setting {
    let Some(endpoint) = config.endpoints.get(endpoint) else {
        return Setting {
            slots: 0,
            latency_weight: 0,
            closed: true,
        };
    };
    let weights = endpoint
        .services
        .iter()
        .filter_map(|name| config.services.get(name))
        .map(|service| service.latency_weight);
    Setting {
        slots: endpoint.slots,
        latency_weight: weights.max().unwrap_or(0),
        closed: endpoint.leaving,
    }
}

fn offer_of(id: Id, deadline: Time, request: &Request) -> Offer {
    let (prompt_tokens, max_tokens) = match &request.body {
        Body::Prompt { prompt, max_tokens } => (prompt.len() / CHARS_PER_TOKEN, *max_tokens),
        // A call yields no tokens, so it must not be subject to stall detection.
        Body::Call { .. } => (0, 0),
    };
    Offer {
        id,
        class: request.class,
        organisation: request.organisation.clone(),
        deadline,
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        max_tokens,
        once: request.once,
        spills: request.spills,
    }
}
