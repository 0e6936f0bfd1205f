//! Acts on what the queues decide: runs requests at endpoints, passes their
//! answers on, and tells the queues what happened.
//!
//! One shell lives on each traffic thread and owns the dispatchers of the
//! endpoints that hash to it, so nothing here is locked.

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
use crate::connect::{self, Reachability};
use crate::endpoint::Target;
use crate::event;
use crate::gateway::Shared;
use crate::leave::Phase;
use crate::name::Name;
use crate::node::work::{Guard, Work};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::quarantine::evidence::{Crash, Stage};
use crate::quarantine::record::Observation;
use crate::quarantine::statuses as quarantine;
use crate::request::{Answer, Body, Request};
use crate::snapshot;

/// How often the shell looks for due work when no queue names a time.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// How fresh the published loads are.
const PUBLISH_EVERY: Duration = Duration::from_millis(20);
/// Most time for a connection that only tells whether an endpoint's process runs.
const PROBE: Duration = Duration::from_millis(60);
/// Characters that make up a token, roughly, for estimates of prompts.
const CHARS_PER_TOKEN: usize = 4;

/// The dispatchers of one thread.
pub struct Shell {
    clock: Clock,
    force: Arc<snapshot::Cell<InForce>>,
    work: Work,
    phase: Arc<snapshot::Cell<Phase>>,
    quarantine: quarantine::Handle,
    client: awc::Client,
    state: RefCell<State>,
    /// Wakes the timer when an earlier time became due.
    changed: Notify,
    loads: Arc<snapshot::Cell<Loads>>,
    published: Cell<Time>,
}

#[derive(Default)]
struct State {
    last_id: Id,
    stands: HashMap<Name, Stand>,
}

/// One endpoint's queue and the requests it holds.
struct Stand {
    queue: Queue,
    setting: Setting,
    entries: HashMap<Id, Entry>,
    /// When its process seems to have ended, in Unix milliseconds, which tells its
    /// ends apart; none while it answers.
    outage: Option<u64>,
}

struct Entry {
    request: Rc<Request>,
    deadline: Time,
    progress: Rc<RefCell<Progress>>,
    reply: mpsc::Sender<Event>,
    run: Option<JoinHandle<()>>,
    /// Times it was sent to the endpoint.
    runs: u32,
    /// Ends the request when its requester goes away.
    watch: JoinHandle<()>,
    /// Keeps the node from stopping before the request has ended.
    _work: Guard,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.watch.abort();
        if let Some(run) = self.run.take() {
            run.abort();
        }
    }
}

impl Shell {
    /// A shell without dispatchers; they appear with the first request for
    /// their endpoint.
    pub fn new(shared: &Shared, loads: Arc<snapshot::Cell<Loads>>) -> Rc<Self> {
        Rc::new(Self {
            clock: shared.clock,
            force: Arc::clone(&shared.force),
            work: shared.dispatched.clone(),
            phase: Arc::clone(&shared.phase),
            quarantine: shared.quarantine.clone(),
            client: crate::http::client(shared.timeouts.connect),
            state: RefCell::default(),
            changed: Notify::new(),
            loads,
            published: Cell::new(Time::ZERO),
        })
    }

    /// Serves requests until the other end of `submits` is gone.
    pub async fn run(self: Rc<Self>, mut submits: mpsc::Receiver<Submit>) {
        loop {
            let now = self.clock.now();
            self.publish(now);
            let due = self.due().unwrap_or(now + IDLE_TICK).min(now + IDLE_TICK);
            tokio::select! {
                submit = submits.recv() => match submit {
                    Some(submit) => self.submit(submit),
                    None => return,
                },
                () = self.changed.notified() => {}
                () = actix_rt::time::sleep(due.since(now)) => self.tick(),
            }
        }
    }

    /// Publishes the loads now and then: readers on other threads need them
    /// fresh, but not for every token.
    fn publish(&self, now: Time) {
        if now.since(self.published.get()) < PUBLISH_EVERY {
            return;
        }
        self.published.set(now);
        let state = self.state.borrow();
        let loads = state.stands.iter();
        let loads = loads.map(|(name, stand)| (name.clone(), stand.queue.load()));
        self.loads.publish(loads.collect());
    }

    fn due(&self) -> Option<Time> {
        let state = self.state.borrow();
        state.stands.values().filter_map(|s| s.queue.wake()).min()
    }

    fn tick(self: &Rc<Self>) {
        let now = self.clock.now();
        let serving = **self.phase.read() == Phase::Serving;
        let names: Vec<Name> = self.state.borrow().stands.keys().cloned().collect();
        for name in names {
            if !serving {
                self.hand_over(&name);
            }
            self.follow_config(&name);
            self.feed(&name, now, Input::Tick);
        }
    }

    /// Gives back what waits, so that its gateways go to the endpoint's next
    /// dispatcher; what runs at the endpoint goes on.
    fn hand_over(self: &Rc<Self>, name: &Name) {
        let waiting: Vec<Id> = {
            let state = self.state.borrow();
            let entries = state.stands.get(name).map(|stand| &stand.entries);
            let entries = entries.into_iter().flatten();
            let waiting = entries.filter(|(_, entry)| entry.run.is_none());
            waiting.map(|(id, _)| *id).collect()
        };
        for id in waiting {
            self.feed(name, self.clock.now(), Input::Withdraw { id });
            let refusal = Refusal::new(Reason::NotReady).after(IDLE_TICK);
            self.end(name, id, 0, Outcome::NotRun(refusal));
        }
    }

    /// Tells a queue when the configuration of its endpoint has changed.
    fn follow_config(self: &Rc<Self>, name: &Name) {
        let setting = setting_of(&self.force.read().document, name);
        let changed = {
            let mut state = self.state.borrow_mut();
            let Some(stand) = state.stands.get_mut(name) else {
                return;
            };
            let changed = stand.setting != setting;
            stand.setting = setting;
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
        let force = self.force.read();
        let refused = if **self.phase.read() != Phase::Serving {
            // A gateway that has not heard yet that this node leaves: the
            // endpoint has another dispatcher.
            Some(Reason::NotReady)
        } else if !force.is_valid(now) {
            // What this node knows may be superseded: it starts nothing by it.
            Some(Reason::NotReady)
        } else if !force.document.endpoints.contains_key(&endpoint) {
            // The gateway knows a newer or older configuration than this node.
            Some(Reason::NoEndpoint)
        } else {
            None
        };
        if let Some(reason) = refused {
            let refusal = Refusal::new(reason).after(IDLE_TICK);
            let _ = reply.try_send(Event::End(Outcome::NotRun(refusal), Load::default()));
            return;
        }
        let offer = self.enter(now, &endpoint, request, reply);
        self.follow_config(&endpoint);
        self.feed(&endpoint, now, Input::Offer(offer));
    }

    fn enter(
        self: &Rc<Self>,
        now: Time,
        endpoint: &Name,
        request: Request,
        reply: mpsc::Sender<Event>,
    ) -> Offer {
        let setting = setting_of(&self.force.read().document, endpoint);
        let mut state = self.state.borrow_mut();
        state.last_id += 1;
        let id = state.last_id;
        let deadline = now + request.time_left;
        let offer = offer_of(id, deadline, &request);
        let stand = state
            .stands
            .entry(endpoint.clone())
            .or_insert_with(|| Stand {
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
            watch: self.watch(endpoint, id, reply.clone()),
            reply,
            run: None,
            runs: 0,
            _work: self.work.begin(),
        };
        stand.entries.insert(id, entry);
        offer
    }

    /// A requester that went away must not use a slot any longer.
    fn watch(
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
            shell.forget(&endpoint, id);
        })
    }

    /// Hands an input to a queue and does what it answers.
    fn feed(self: &Rc<Self>, endpoint: &Name, now: Time, input: Input) {
        let mut actions = Vec::new();
        if let Some(stand) = self.state.borrow_mut().stands.get_mut(endpoint) {
            stand.queue.step(now, input, &mut actions);
        }
        for action in actions {
            match action {
                Action::Start { id } => self.start(endpoint, id),
                Action::Stop { id } => self.stop(endpoint, id),
                Action::Refuse { id, refusal } => {
                    self.end(endpoint, id, 0, Outcome::NotRun(refusal));
                }
                // Dropping the entry cancels its run.
                Action::Abandon { id, refusal } => {
                    self.end(endpoint, id, 0, Outcome::MayHaveRun(refusal));
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
            .stands
            .get_mut(endpoint)
            .and_then(|stand| stand.entries.get_mut(&id))
        else {
            return;
        };
        let request = Rc::clone(&entry.request);
        let progress = Rc::clone(&entry.progress);
        let reply = entry.reply.clone();
        let deadline = entry.deadline;
        let Some(target) = run::target(&self.force.read().document, endpoint, &request) else {
            drop(state);
            // The service left the configuration while the request waited.
            actix_rt::spawn(async move { shell.abandon(&name, id) });
            return;
        };
        entry.runs += 1;
        entry.run = Some(actix_rt::spawn(async move {
            let began = shell.clock.now();
            let left = deadline.since(began);
            let tokens = |count| {
                shell.answers(&name);
                shell.feed(&name, shell.clock.now(), Input::Tokens { id, count });
                let state = shell.state.borrow();
                let stand = state.stands.get(&name);
                stand.map(|stand| stand.queue.load()).unwrap_or_default()
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
                refusal.crash = shell.look_into(&name, &target, &request, began).await;
            }
            shell.finish(&name, id, outcome, end);
        }));
    }

    /// The endpoint sends tokens, so its process runs.
    fn answers(&self, endpoint: &Name) {
        if let Some(stand) = self.state.borrow_mut().stands.get_mut(endpoint) {
            stand.outage = None;
        }
    }

    /// Before it is run elsewhere, it must be known whether a request ended the process
    /// that ran it.
    async fn look_into(
        &self,
        name: &Name,
        target: &Target,
        request: &Request,
        began: Time,
    ) -> Option<Crash> {
        let ran = self.clock.now().since(began);
        let address = target.address.parse().ok()?;
        // Told before the look: others that ended with it must be of the same end.
        let incarnation = {
            let mut state = self.state.borrow_mut();
            let stand = state.stands.get_mut(name)?;
            *stand.outage.get_or_insert_with(unix_millis)
        };
        let print = request.fingerprint();
        let listener = connect::probe(address, PROBE).await;
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
        let observation = Observation::Crashed(print, crash.clone(), Stage::of(ran));
        self.quarantine.report_and_wait(observation).await;
        Some(crash)
    }

    /// Cancels a run; what it generated stays for the next start.
    fn stop(self: &Rc<Self>, endpoint: &Name, id: Id) {
        let run = {
            let mut state = self.state.borrow_mut();
            let entry = state
                .stands
                .get_mut(endpoint)
                .and_then(|stand| stand.entries.get_mut(&id));
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
        if let Some(stand) = self.state.borrow_mut().stands.get_mut(endpoint)
            && let Some(entry) = stand.entries.get_mut(&id)
        {
            // This is the run itself: it must not abort itself half way.
            entry.run = None;
        }
        self.feed(endpoint, self.clock.now(), Input::Ended { id, end });
        // The first run itself can prove that nothing reached the endpoint.
        self.end(endpoint, id, 1, outcome);
    }

    fn abandon(self: &Rc<Self>, endpoint: &Name, id: Id) {
        self.feed(endpoint, self.clock.now(), Input::Withdraw { id });
        let refusal = Refusal::new(Reason::UnknownService);
        self.end(endpoint, id, 0, Outcome::NotRun(refusal));
    }

    /// Gives the requester the last word.
    ///
    /// A request that was stopped and refused later did reach the endpoint,
    /// although the queue that refuses it has nothing running: with more than
    /// `innocent` runs it is never said to have not run.
    fn end(self: &Rc<Self>, endpoint: &Name, id: Id, innocent: u32, outcome: Outcome<Answer>) {
        let (entry, load) = {
            let mut state = self.state.borrow_mut();
            let Some(stand) = state.stands.get_mut(endpoint) else {
                return;
            };
            let load = stand.queue.load();
            (stand.entries.remove(&id), load)
        };
        let Some(entry) = entry else { return };
        let outcome = match outcome {
            Outcome::NotRun(refusal) if entry.runs > innocent => Outcome::MayHaveRun(refusal),
            other => other,
        };
        let reply = entry.reply.clone();
        let event = Event::End(outcome, load);
        if let Err(mpsc::error::TrySendError::Full(event)) = reply.try_send(event) {
            // The reader is behind; only this stream waits for it.
            actix_rt::spawn(async move {
                let _ = reply.send(event).await;
            });
        }
    }

    fn forget(self: &Rc<Self>, endpoint: &Name, id: Id) {
        let mut state = self.state.borrow_mut();
        if let Some(stand) = state.stands.get_mut(endpoint) {
            stand.entries.remove(&id);
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
        // A call brings no tokens, so its silence must not count as stuck.
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
