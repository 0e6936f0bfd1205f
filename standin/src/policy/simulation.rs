//! The simulation: gateways, queues and engines in one virtual time.

use std::collections::HashMap;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::{Action, End, Input, Load, Offer};
use auburnspoke::embedded::engine::Model;
use auburnspoke::embedded::engine::model::{Job, Token};
use auburnspoke::outcome::{Reason, Refusal};
use auburnspoke::request::{Class, Piece};
use auburnspoke::retry::{self, Decision, Failure, Push};
use auburnspoke::route::{Query, Verdict};

use super::case::{Admission, Case, Scenario, Topology, WARM_UP};
use super::engine::{BATCH_IDS, Dispatcher, Engine};
use super::event::{Event, Schedule};
use super::gateway::{self, Attempt, Gateway, Progress, SAME_ZONE_DELAY};
use super::load::{MAX_TOKENS, Request, Source};
use super::measure::Measure;

/// Interval between polls of the engines' reports.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an online request's caller gives up.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(2);
/// Index of the endpoint that fails in the scenarios with a fault.
const FAULTY_ENDPOINT: usize = 4;
/// Factor by which the slow endpoint is slower.
const SLOWDOWN: f64 = 3.0;

struct Simulation {
    case: Case,
    now: Time,
    schedule: Schedule,
    requests: Vec<Request>,
    progress: Vec<Progress>,
    attempts: HashMap<u64, Attempt>,
    last_id: u64,
    gateways: Vec<Gateway>,
    dispatchers: Vec<Dispatcher>,
    engines: Vec<Engine>,
    measure: Measure,
}

/// Runs a case to its end. It is deterministic: equal cases give equal measures.
pub fn simulate(case: &Case) -> Measure {
    let mut simulation = Simulation::new(case);
    let end = Time::ZERO + Duration::from_secs(WARM_UP + case.seconds);
    while let Some((at, event)) = simulation.schedule.next() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.measure.preempted = simulation
        .engines
        .iter()
        .map(|engine| engine.model.preempted())
        .sum();
    simulation.measure
}

impl Simulation {
    fn new(case: &Case) -> Self {
        let deployment = case.deployment;
        let mut parameters = case.scenario.parameters();
        if let Admission::Oracle { max_batch } = case.admission {
            parameters.preempts_for_urgent = true;
            parameters.max_beside_urgent = max_batch;
        }
        let dispatchers = match case.topology {
            Topology::Dispatcher => deployment.endpoints(),
            Topology::Reports | Topology::Parts => deployment.endpoints() * deployment.gateways(),
        };
        let requests = Source::new(deployment, case.seed).requests(case);
        let mut simulation = Self {
            case: *case,
            now: Time::ZERO,
            schedule: Schedule::default(),
            progress: requests.iter().map(|_| Progress::default()).collect(),
            attempts: HashMap::new(),
            last_id: 0,
            gateways: (0..deployment.gateways())
                .map(|at| Gateway::new(case, at))
                .collect(),
            dispatchers: (0..dispatchers)
                .map(|at| Dispatcher::new(case, at, parameters.sequences))
                .collect(),
            engines: (0..deployment.endpoints())
                .map(|at| Engine {
                    model: Model::new(parameters, case.seed + at as u64),
                    due: None,
                    silent: false,
                    last_event: 0,
                })
                .collect(),
            requests,
            measure: Measure::default(),
        };
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        for (at, request) in self.requests.iter().enumerate() {
            self.schedule.add(request.at, Event::Arrive(at));
        }
        for at in 0..self.dispatchers.len() {
            self.schedule.add(Time::ZERO, Event::Wake(at));
        }
        self.schedule.add(Time::ZERO, Event::Poll);
        if matches!(
            self.case.scenario,
            Scenario::EndpointLoss | Scenario::SlowEndpoint
        ) {
            let third = Duration::from_secs(self.case.seconds) / 3;
            let begin = Time::ZERO + Duration::from_secs(WARM_UP) + third;
            self.schedule.add(begin, Event::Fault(true));
            self.schedule.add(begin + third, Event::Fault(false));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) | Event::Retry(request) => self.send(request),
            Event::Hedge(request) => self.hedge(request),
            Event::Offer(id) => self.offer(id),
            Event::Withdraw(id) => {
                if let Some(attempt) = self.attempts.get(&id) {
                    let queue = attempt.queue;
                    self.step_queue(queue, Input::Withdraw { id });
                }
            }
            Event::Wake(queue) => {
                self.dispatchers[queue].due = None;
                self.step_queue(queue, Input::Tick);
            }
            Event::Start { queue, id } => self.start(queue, id),
            Event::Stop { queue, id } => self.stop(queue, id),
            Event::Step(engine) => self.step(engine),
            Event::Tokens { queue, tokens } => self.deliver_tokens(queue, &tokens),
            Event::Ended { queue, id, end } => self.step_queue(queue, Input::Ended { id, end }),
            Event::Piece { id, offset, load } => self.receive_token(id, offset, load),
            Event::AttemptEnded { id, failure, load } => {
                let verdict = match &failure {
                    None => Verdict::Good,
                    Some((_, refusal)) if refusal.reason == Reason::Overloaded => Verdict::Full,
                    Some(_) => Verdict::Failed,
                };
                if let Some(attempt) = self.attempts.remove(&id) {
                    let gateway = self.requests[attempt.request].gateway;
                    let router = &mut self.gateways[gateway].router;
                    router.ended(self.now, id, verdict, Some(load));
                    self.end_attempt(id, &attempt, failure);
                }
            }
            Event::Poll => self.poll(),
            Event::Report { queue, report } => self.step_queue(queue, Input::Report(report)),
            Event::Fault(on) => self.set_fault(on),
        }
    }

    /// Lets a gateway choose an endpoint for a request and send the request there.
    fn send(&mut self, at: usize) {
        let request = &self.requests[at];
        let progress = &mut self.progress[at];
        if progress.closed {
            return;
        }
        let gateway = &mut self.gateways[request.gateway];
        let query = Query {
            service: gateway::SERVICE,
            blocks: &request.prompt.blocks,
            tried: &progress.tried,
            repeatable: true,
        };
        let Some(choice) = gateway.router.pick(self.now, &query) else {
            progress.closed = true;
            self.measure.refused += 1;
            return;
        };
        self.last_id += 1;
        let id = self.last_id;
        let endpoint = gateway::index_of(&choice.endpoint);
        let queue = match self.case.topology {
            Topology::Dispatcher => endpoint,
            _ => request.gateway * self.engines.len() + endpoint,
        };
        gateway
            .router
            .sent(self.now, id, &choice.endpoint, &request.prompt.blocks);
        progress.tried.push(choice.endpoint);
        progress.count += 1;
        progress.active.push(id);
        let attempt = Attempt {
            request: at,
            queue,
            resume_from: progress.assembly.tokens(),
            spills: progress.count == 1,
        };
        let first = progress.count == 1;
        let wait = gateway.hedge.wait();
        self.attempts.insert(id, attempt);
        let delay = self.delay_to_queue(at, queue);
        self.schedule.add(self.now + delay, Event::Offer(id));
        if self.case.hedge && first {
            self.schedule.add(self.now + wait, Event::Hedge(at));
        }
    }

    fn hedge(&mut self, at: usize) {
        let progress = &self.progress[at];
        let late = !progress.closed && progress.last.is_none() && progress.active.len() == 1;
        let gateway = self.requests[at].gateway;
        if late && self.gateways[gateway].hedge.withdraw() {
            self.measure.hedged += 1;
            self.send(at);
        }
    }

    fn offer(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let request = &self.requests[attempt.request];
        let offer = Offer {
            id,
            class: Class::Online,
            organisation: request.organisation.clone(),
            deadline: request.at + REQUEST_TIMEOUT,
            prompt_tokens: request.prompt.tokens + attempt.resume_from,
            max_tokens: MAX_TOKENS,
            once: false,
            spills: attempt.spills,
        };
        self.step_queue(attempt.queue, Input::Offer(offer));
    }

    /// Passes an input to a queue and applies the resulting actions.
    fn step_queue(&mut self, queue: usize, input: Input) {
        let mut actions = Vec::new();
        self.dispatchers[queue].step(self.now, input, &mut actions);
        for action in actions {
            self.apply(queue, action);
        }
        let wake = self.dispatchers[queue].wake();
        if let Some(at) = wake
            && self.dispatchers[queue].due.is_none_or(|due| at < due)
        {
            self.dispatchers[queue].due = Some(at);
            self.schedule.add(at.max(self.now), Event::Wake(queue));
        }
    }

    fn apply(&mut self, queue: usize, action: Action) {
        let delay = self.delay_to_engine(queue);
        match action {
            Action::Start { id } => self
                .schedule
                .add(self.now + delay, Event::Start { queue, id }),
            Action::Stop { id } => {
                self.measure.stopped += u64::from(id >= BATCH_IDS);
                self.schedule
                    .add(self.now + delay, Event::Stop { queue, id });
            }
            Action::Abandon { id, refusal } => {
                self.schedule
                    .add(self.now + delay, Event::Stop { queue, id });
                self.notify_sender(queue, id, Some((true, refusal)));
            }
            Action::Refuse { id, refusal } => self.notify_sender(queue, id, Some((false, refusal))),
        }
    }

    /// Notifies the sender of a request how it ended: the gateway, or the job for a batch item.
    fn notify_sender(&mut self, queue: usize, id: u64, failure: Option<(bool, Refusal)>) {
        if id >= BATCH_IDS {
            self.dispatchers[queue].work.remove(&id);
            return;
        }
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let delay = self.delay_to_queue(attempt.request, queue);
        let load = self.dispatchers[queue].load();
        let event = Event::AttemptEnded { id, failure, load };
        self.schedule.add(self.now + delay, event);
    }

    fn start(&mut self, queue: usize, id: u64) {
        let at = self.endpoint(queue);
        let job = if id >= BATCH_IDS {
            self.dispatchers[queue].job(id)
        } else {
            self.attempts.get(&id).map(|attempt| {
                let request = &self.requests[attempt.request];
                Job {
                    id,
                    prompt_tokens: request.prompt.tokens,
                    blocks: request.prompt.blocks.clone(),
                    resume_from: attempt.resume_from,
                    length: request.length,
                    urgent: true,
                }
            })
        };
        let engine = &mut self.engines[at];
        if let Some(job) = job
            && !engine.silent
        {
            engine.model.submit(self.now, job);
        }
        self.schedule_step(at);
    }

    fn stop(&mut self, queue: usize, id: u64) {
        let at = self.endpoint(queue);
        if !self.engines[at].silent && self.engines[at].model.cancel(id) {
            let end = End::Stopped;
            let delay = self.delay_to_engine(queue);
            let event = Event::Ended { queue, id, end };
            self.schedule.add(self.now + delay, event);
        }
    }

    fn step(&mut self, at: usize) {
        self.engines[at].due = None;
        let mut tokens = Vec::new();
        self.engines[at].model.advance(self.now, &mut tokens);
        let mut by_queue: Vec<(usize, Vec<Token>)> = Vec::new();
        for token in tokens {
            let Some(queue) = self.queue_of(token.id) else {
                continue;
            };
            match by_queue.iter_mut().find(|(other, _)| *other == queue) {
                Some((_, all)) => all.push(token),
                None => by_queue.push((queue, vec![token])),
            }
        }
        for (queue, tokens) in by_queue {
            let delay = self.delay_to_engine(queue);
            self.schedule
                .add(self.now + delay, Event::Tokens { queue, tokens });
        }
        self.schedule_step(at);
    }

    fn deliver_tokens(&mut self, queue: usize, tokens: &[Token]) {
        for token in tokens {
            let id = token.id;
            if id < BATCH_IDS {
                if let Some(attempt) = self.attempts.get(&id) {
                    let delay = self.delay_to_queue(attempt.request, queue);
                    let offset = token.offset;
                    let first = offset == attempt.resume_from;
                    let load = first.then(|| self.dispatchers[queue].load());
                    let event = Event::Piece { id, offset, load };
                    self.schedule.add(self.now + delay, event);
                }
            } else if let Some(work) = self.dispatchers[queue].work.get_mut(&id) {
                work.done = token.offset + 1;
            }
            self.step_queue(queue, Input::Tokens { id, count: 1 });
            if token.last {
                let end = End::Complete;
                self.step_queue(queue, Input::Ended { id, end });
                self.complete(queue, id);
            }
        }
    }

    fn complete(&mut self, queue: usize, id: u64) {
        if id < BATCH_IDS {
            self.notify_sender(queue, id, None);
            return;
        }
        let work = self.dispatchers[queue].work.remove(&id);
        if let Some(work) = work
            && self.is_measured(self.now)
        {
            self.measure.items += 1;
            self.measure.batch_tokens += u64::from(work.item.length);
        }
    }

    /// Handles a token that reaches a gateway.
    fn receive_token(&mut self, id: u64, offset: u32, load: Option<Load>) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let at = attempt.request;
        let gateway = &mut self.gateways[self.requests[at].gateway];
        gateway.router.first_token(self.now, id);
        if let Some(load) = load {
            let endpoint = gateway::endpoint(attempt.queue % self.engines.len());
            gateway.router.record_load(self.now, &endpoint, load);
        }
        let progress = &mut self.progress[at];
        if progress.closed || !progress.active.contains(&id) {
            return;
        }
        let piece = Piece {
            offset,
            tokens: 1,
            text: String::new(),
        };
        let Push::Next(pieces) = progress.assembly.push(piece) else {
            return;
        };
        let losers: Vec<u64> = progress
            .active
            .iter()
            .copied()
            .filter(|other| *other != id)
            .collect();
        progress.active.retain(|other| *other == id);
        let sent_at = self.requests[at].at;
        for _ in pieces {
            match self.progress[at].last.replace(self.now) {
                None => {
                    gateway.hedge.first_token(self.now.since(sent_at));
                    if sent_at >= Time::ZERO + Duration::from_secs(WARM_UP) {
                        self.measure
                            .record_first_token(self.now.since(sent_at) + CALLER_ROUND_TRIP);
                    }
                }
                Some(last) if sent_at >= Time::ZERO + Duration::from_secs(WARM_UP) => {
                    self.measure.record_gap(self.now.since(last));
                }
                Some(_) => {}
            }
        }
        for id in losers {
            self.withdraw(id);
        }
    }

    fn withdraw(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let gateway = self.requests[attempt.request].gateway;
        let router = &mut self.gateways[gateway].router;
        router.ended(self.now, id, Verdict::Withdrawn, None);
        let delay = self.delay_to_queue(attempt.request, attempt.queue);
        self.schedule.add(self.now + delay, Event::Withdraw(id));
    }

    /// Handles the end of an attempt at its gateway: completes, retries or refuses the request.
    fn end_attempt(&mut self, id: u64, attempt: &Attempt, failure: Option<(bool, Refusal)>) {
        let (at, spilled) = (attempt.request, attempt.spills);
        let request = &self.requests[at];
        let progress = &mut self.progress[at];
        let was_active = progress.active.contains(&id);
        progress.active.retain(|other| *other != id);
        if progress.closed || !was_active {
            return;
        }
        let gateway = &mut self.gateways[request.gateway];
        let measured = request.at >= Time::ZERO + Duration::from_secs(WARM_UP);
        let Some((ran, refusal)) = failure else {
            progress.closed = true;
            gateway.budget.deposit();
            self.measure.done += u64::from(measured);
            return;
        };
        if !progress.active.is_empty() {
            return;
        }
        if spilled && !ran {
            self.send(at);
            return;
        }
        let failure = if ran {
            Failure::MayHaveRun(refusal)
        } else {
            Failure::NotRun(refusal)
        };
        let attempt = retry::Attempt {
            count: progress.count,
            once: false,
            time_left: (request.at + REQUEST_TIMEOUT).since(self.now),
            has_alternative: progress.tried.len() < self.engines.len(),
        };
        match retry::decide(failure, &attempt, &mut gateway.budget) {
            Decision::Retry { wait } => {
                self.measure.retried += 1;
                self.schedule.add(self.now + wait, Event::Retry(at));
            }
            Decision::GiveUp(_) => {
                progress.closed = true;
                self.measure.refused += u64::from(measured);
            }
        }
    }

    fn poll(&mut self) {
        for at in 0..self.engines.len() {
            let engine = &mut self.engines[at];
            if engine.silent {
                continue;
            }
            let report = engine.model.report(self.now);
            let events = engine.model.events(self.now, engine.last_event);
            engine.last_event = events
                .last()
                .map_or(engine.last_event, |event| event.sequence);
            let name = gateway::endpoint(at);
            for gateway in &mut self.gateways {
                for event in &events {
                    gateway
                        .router
                        .record_cache_event(&name, event.block, event.stored);
                }
            }
            for queue in
                (0..self.dispatchers.len()).filter(|queue| queue % self.engines.len() == at)
            {
                let event = Event::Report { queue, report };
                self.schedule.add(self.now + SAME_ZONE_DELAY, event);
            }
        }
        self.schedule.add(self.now + POLL_INTERVAL, Event::Poll);
    }

    fn set_fault(&mut self, on: bool) {
        let engine = &mut self.engines[FAULTY_ENDPOINT];
        match self.case.scenario {
            Scenario::EndpointLoss => {
                engine.silent = on;
                engine.model.clear();
            }
            _ => engine.model.set_slowdown(if on { SLOWDOWN } else { 1.0 }),
        }
    }

    fn schedule_step(&mut self, at: usize) {
        let engine = &mut self.engines[at];
        if let Some(wake) = engine.model.wake()
            && engine.due != Some(wake)
        {
            engine.due = Some(wake);
            self.schedule.add(wake, Event::Step(at));
        }
    }

    fn is_measured(&self, at: Time) -> bool {
        at >= Time::ZERO + Duration::from_secs(WARM_UP) && at <= self.now
    }

    fn endpoint(&self, queue: usize) -> usize {
        queue % self.engines.len()
    }

    fn queue_of(&self, id: u64) -> Option<usize> {
        if id >= BATCH_IDS {
            return usize::try_from((id - BATCH_IDS) >> 32).ok();
        }
        self.attempts.get(&id).map(|attempt| attempt.queue)
    }

    fn delay_to_queue(&self, request: usize, queue: usize) -> Duration {
        match self.case.topology {
            Topology::Dispatcher => {
                gateway::network_delay(&self.case, self.requests[request].gateway, queue)
            }
            Topology::Reports | Topology::Parts => Duration::ZERO,
        }
    }

    fn delay_to_engine(&self, queue: usize) -> Duration {
        match self.case.topology {
            Topology::Dispatcher => SAME_ZONE_DELAY,
            Topology::Reports | Topology::Parts => {
                let gateway = queue / self.engines.len();
                gateway::network_delay(&self.case, gateway, self.endpoint(queue))
            }
        }
    }
}
