//! The run itself: gateways, queues and engines in one virtual time.

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

use super::case::{Case, Scenario, Topology, WARM_UP, Way};
use super::event::{Agenda, Event};
use super::gateway::{self, Ask, Attempt, Gateway, NEAR};
use super::load::{MAX_TOKENS, Question, Source};
use super::measure::Measure;
use super::site::{BATCH, Front, Site};

/// How often engines are asked for their reports.
const POLL: Duration = Duration::from_millis(100);
/// When a question's caller gives up.
const DEADLINE: Duration = Duration::from_secs(10);
/// Both ways between caller and gateway.
const CALLER: Duration = Duration::from_millis(2);
/// The endpoint that fails, where one does.
const FAULTY: usize = 4;
/// How much slower the slow endpoint gets.
const SLOW: f64 = 3.0;

struct World {
    case: Case,
    now: Time,
    agenda: Agenda,
    questions: Vec<Question>,
    asks: Vec<Ask>,
    attempts: HashMap<u64, Attempt>,
    next: u64,
    gateways: Vec<Gateway>,
    fronts: Vec<Front>,
    sites: Vec<Site>,
    measure: Measure,
}

/// Runs a case to its end. The same case always gives the same measure.
pub fn simulate(case: &Case) -> Measure {
    let mut world = World::new(case);
    let end = Time::ZERO + Duration::from_secs(WARM_UP + case.seconds);
    while let Some((at, event)) = world.agenda.next() {
        if at > end {
            break;
        }
        world.now = at;
        world.happen(event);
    }
    world.measure.preempted = world.sites.iter().map(|s| s.model.preempted()).sum();
    world.measure
}

impl World {
    fn new(case: &Case) -> Self {
        let deployment = case.deployment;
        let mut parameters = case.scenario.parameters();
        if let Way::Oracle { beside } = case.way {
            parameters.preempts_for_urgent = true;
            parameters.max_beside_urgent = beside;
        }
        let fronts = match case.topology {
            Topology::Dispatcher => deployment.endpoints(),
            Topology::Reports | Topology::Parts => deployment.endpoints() * deployment.gateways(),
        };
        let questions = Source::new(deployment, case.seed).questions(case);
        let mut world = Self {
            case: *case,
            now: Time::ZERO,
            agenda: Agenda::default(),
            asks: questions.iter().map(|_| Ask::default()).collect(),
            attempts: HashMap::new(),
            next: 0,
            gateways: (0..deployment.gateways())
                .map(|at| Gateway::new(case, at))
                .collect(),
            fronts: (0..fronts)
                .map(|at| Front::new(case, at, parameters.sequences))
                .collect(),
            sites: (0..deployment.endpoints())
                .map(|at| Site {
                    model: Model::new(parameters, case.seed + at as u64),
                    due: None,
                    silent: false,
                    seen: 0,
                })
                .collect(),
            questions,
            measure: Measure::default(),
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        for (at, question) in self.questions.iter().enumerate() {
            self.agenda.add(question.at, Event::Arrive(at));
        }
        for at in 0..self.fronts.len() {
            self.agenda.add(Time::ZERO, Event::Wake(at));
        }
        self.agenda.add(Time::ZERO, Event::Poll);
        if matches!(
            self.case.scenario,
            Scenario::EndpointLoss | Scenario::SlowEndpoint
        ) {
            let third = Duration::from_secs(self.case.seconds) / 3;
            let begin = Time::ZERO + Duration::from_secs(WARM_UP) + third;
            self.agenda.add(begin, Event::Fault(true));
            self.agenda.add(begin + third, Event::Fault(false));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(question) | Event::Retry(question) => self.send(question),
            Event::Hedge(question) => self.hedge(question),
            Event::Offer(id) => self.offer(id),
            Event::Withdraw(id) => {
                if let Some(attempt) = self.attempts.get(&id) {
                    let queue = attempt.queue;
                    self.queue(queue, Input::Withdraw { id });
                }
            }
            Event::Wake(queue) => {
                self.fronts[queue].due = None;
                self.queue(queue, Input::Tick);
            }
            Event::Start { queue, id } => self.start(queue, id),
            Event::Stop { queue, id } => self.stop(queue, id),
            Event::Step(site) => self.step(site),
            Event::Tokens { queue, tokens } => self.tokens(queue, &tokens),
            Event::Ended { queue, id, end } => self.queue(queue, Input::Ended { id, end }),
            Event::Piece { id, offset, load } => self.piece(id, offset, load),
            Event::Tell { id, failure, load } => {
                let verdict = match &failure {
                    None => Verdict::Good,
                    Some((_, refusal)) if refusal.reason == Reason::Overloaded => Verdict::Full,
                    Some(_) => Verdict::Failed,
                };
                if let Some(attempt) = self.attempts.remove(&id) {
                    let gateway = self.questions[attempt.question].gateway;
                    let router = &mut self.gateways[gateway].router;
                    router.ended(self.now, id, verdict, Some(load));
                    self.told(id, &attempt, failure);
                }
            }
            Event::Poll => self.poll(),
            Event::Report { queue, report } => self.queue(queue, Input::Report(report)),
            Event::Fault(on) => self.fault(on),
        }
    }

    /// A gateway chooses an endpoint for a question and sends it.
    fn send(&mut self, at: usize) {
        let question = &self.questions[at];
        let ask = &mut self.asks[at];
        if ask.closed {
            return;
        }
        let gateway = &mut self.gateways[question.gateway];
        let query = Query {
            service: gateway::SERVICE,
            blocks: &question.prompt.blocks,
            tried: &ask.tried,
            repeatable: true,
        };
        let Some(choice) = gateway.router.pick(self.now, &query) else {
            ask.closed = true;
            self.measure.refused += 1;
            return;
        };
        self.next += 1;
        let id = self.next;
        let endpoint = gateway::index_of(&choice.endpoint);
        let queue = match self.case.topology {
            Topology::Dispatcher => endpoint,
            _ => question.gateway * self.sites.len() + endpoint,
        };
        gateway
            .router
            .sent(self.now, id, &choice.endpoint, &question.prompt.blocks);
        ask.tried.push(choice.endpoint);
        ask.count += 1;
        ask.active.push(id);
        let attempt = Attempt {
            question: at,
            queue,
            resume_from: ask.assembly.tokens(),
            spills: ask.count == 1,
        };
        let first = ask.count == 1;
        let wait = gateway.hedge.wait();
        self.attempts.insert(id, attempt);
        let hop = self.to_queue(at, queue);
        self.agenda.add(self.now + hop, Event::Offer(id));
        if self.case.hedge && first {
            self.agenda.add(self.now + wait, Event::Hedge(at));
        }
    }

    fn hedge(&mut self, at: usize) {
        let ask = &self.asks[at];
        let late = !ask.closed && ask.last.is_none() && ask.active.len() == 1;
        let gateway = self.questions[at].gateway;
        if late && self.gateways[gateway].hedge.withdraw() {
            self.measure.hedged += 1;
            self.send(at);
        }
    }

    fn offer(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let question = &self.questions[attempt.question];
        let offer = Offer {
            id,
            class: Class::Online,
            organisation: question.organisation.clone(),
            deadline: question.at + DEADLINE,
            prompt_tokens: question.prompt.tokens + attempt.resume_from,
            max_tokens: MAX_TOKENS,
            once: false,
            spills: attempt.spills,
        };
        self.queue(attempt.queue, Input::Offer(offer));
    }

    /// Gives a queue an input and does what it says.
    fn queue(&mut self, queue: usize, input: Input) {
        let mut actions = Vec::new();
        self.fronts[queue].step(self.now, input, &mut actions);
        for action in actions {
            self.act(queue, action);
        }
        let wake = self.fronts[queue].wake();
        if let Some(at) = wake
            && self.fronts[queue].due.is_none_or(|due| at < due)
        {
            self.fronts[queue].due = Some(at);
            self.agenda.add(at.max(self.now), Event::Wake(queue));
        }
    }

    fn act(&mut self, queue: usize, action: Action) {
        let hop = self.to_engine(queue);
        match action {
            Action::Start { id } => self.agenda.add(self.now + hop, Event::Start { queue, id }),
            Action::Stop { id } => {
                self.measure.stopped += u64::from(id >= BATCH);
                self.agenda.add(self.now + hop, Event::Stop { queue, id });
            }
            Action::Abandon { id, refusal } => {
                self.agenda.add(self.now + hop, Event::Stop { queue, id });
                self.tell(queue, id, Some((true, refusal)));
            }
            Action::Refuse { id, refusal } => self.tell(queue, id, Some((false, refusal))),
        }
    }

    /// Tells whoever sent it how a request ended.
    fn tell(&mut self, queue: usize, id: u64, failure: Option<(bool, Refusal)>) {
        if id >= BATCH {
            self.fronts[queue].work.remove(&id);
            return;
        }
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let hop = self.to_queue(attempt.question, queue);
        let load = self.fronts[queue].load();
        let event = Event::Tell { id, failure, load };
        self.agenda.add(self.now + hop, event);
    }

    fn start(&mut self, queue: usize, id: u64) {
        let at = self.endpoint(queue);
        let job = if id >= BATCH {
            self.fronts[queue].job(id)
        } else {
            self.attempts.get(&id).map(|attempt| {
                let question = &self.questions[attempt.question];
                Job {
                    id,
                    prompt_tokens: question.prompt.tokens,
                    blocks: question.prompt.blocks.clone(),
                    resume_from: attempt.resume_from,
                    length: question.length,
                    urgent: true,
                }
            })
        };
        let site = &mut self.sites[at];
        if let Some(job) = job
            && !site.silent
        {
            site.model.submit(self.now, job);
        }
        self.schedule(at);
    }

    fn stop(&mut self, queue: usize, id: u64) {
        let at = self.endpoint(queue);
        if !self.sites[at].silent && self.sites[at].model.cancel(id) {
            let end = End::Stopped;
            let hop = self.to_engine(queue);
            let event = Event::Ended { queue, id, end };
            self.agenda.add(self.now + hop, event);
        }
    }

    fn step(&mut self, at: usize) {
        self.sites[at].due = None;
        let mut tokens = Vec::new();
        self.sites[at].model.advance(self.now, &mut tokens);
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
            let hop = self.to_engine(queue);
            self.agenda
                .add(self.now + hop, Event::Tokens { queue, tokens });
        }
        self.schedule(at);
    }

    fn tokens(&mut self, queue: usize, tokens: &[Token]) {
        for token in tokens {
            let id = token.id;
            if id < BATCH {
                if let Some(attempt) = self.attempts.get(&id) {
                    let hop = self.to_queue(attempt.question, queue);
                    let offset = token.offset;
                    let first = offset == attempt.resume_from;
                    let load = first.then(|| self.fronts[queue].load());
                    let event = Event::Piece { id, offset, load };
                    self.agenda.add(self.now + hop, event);
                }
            } else if let Some(work) = self.fronts[queue].work.get_mut(&id) {
                work.done = token.offset + 1;
            }
            self.queue(queue, Input::Tokens { id, count: 1 });
            if token.last {
                let end = End::Complete;
                self.queue(queue, Input::Ended { id, end });
                self.complete(queue, id);
            }
        }
    }

    fn complete(&mut self, queue: usize, id: u64) {
        if id < BATCH {
            self.tell(queue, id, None);
            return;
        }
        let work = self.fronts[queue].work.remove(&id);
        if let Some(work) = work
            && self.is_measured(self.now)
        {
            self.measure.items += 1;
            self.measure.batch_tokens += u64::from(work.item.length);
        }
    }

    /// A token reaches a gateway.
    fn piece(&mut self, id: u64, offset: u32, load: Option<Load>) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let at = attempt.question;
        let gateway = &mut self.gateways[self.questions[at].gateway];
        gateway.router.first_token(self.now, id);
        if let Some(load) = load {
            let endpoint = gateway::endpoint(attempt.queue % self.sites.len());
            gateway.router.record_load(self.now, &endpoint, load);
        }
        let ask = &mut self.asks[at];
        if ask.closed || !ask.active.contains(&id) {
            return;
        }
        let piece = Piece {
            offset,
            tokens: 1,
            text: String::new(),
        };
        let Push::Next(pieces) = ask.assembly.push(piece) else {
            return;
        };
        let losers: Vec<u64> = ask.active.iter().copied().filter(|o| *o != id).collect();
        ask.active.retain(|other| *other == id);
        let asked = self.questions[at].at;
        for _ in pieces {
            match self.asks[at].last.replace(self.now) {
                None => {
                    gateway.hedge.first_token(self.now.since(asked));
                    if asked >= Time::ZERO + Duration::from_secs(WARM_UP) {
                        self.measure.first_token(self.now.since(asked) + CALLER);
                    }
                }
                Some(last) if asked >= Time::ZERO + Duration::from_secs(WARM_UP) => {
                    self.measure.next_token(self.now.since(last));
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
        let gateway = self.questions[attempt.question].gateway;
        let router = &mut self.gateways[gateway].router;
        router.ended(self.now, id, Verdict::Withdrawn, None);
        let hop = self.to_queue(attempt.question, attempt.queue);
        self.agenda.add(self.now + hop, Event::Withdraw(id));
    }

    /// A gateway hears how an attempt ended.
    fn told(&mut self, id: u64, attempt: &Attempt, failure: Option<(bool, Refusal)>) {
        let (at, spilled) = (attempt.question, attempt.spills);
        let question = &self.questions[at];
        let ask = &mut self.asks[at];
        let was_active = ask.active.contains(&id);
        ask.active.retain(|other| *other != id);
        if ask.closed || !was_active {
            return;
        }
        let gateway = &mut self.gateways[question.gateway];
        let measured = question.at >= Time::ZERO + Duration::from_secs(WARM_UP);
        let Some((ran, refusal)) = failure else {
            ask.closed = true;
            gateway.budget.deposit();
            self.measure.done += u64::from(measured);
            return;
        };
        if !ask.active.is_empty() {
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
            count: ask.count,
            once: false,
            time_left: (question.at + DEADLINE).since(self.now),
            has_alternative: ask.tried.len() < self.sites.len(),
        };
        match retry::decide(failure, &attempt, &mut gateway.budget) {
            Decision::Retry { wait } => {
                self.measure.retried += 1;
                self.agenda.add(self.now + wait, Event::Retry(at));
            }
            Decision::GiveUp(_) => {
                ask.closed = true;
                self.measure.refused += u64::from(measured);
            }
        }
    }

    fn poll(&mut self) {
        for at in 0..self.sites.len() {
            let site = &mut self.sites[at];
            if site.silent {
                continue;
            }
            let report = site.model.report(self.now);
            let events = site.model.events(self.now, site.seen);
            site.seen = events.last().map_or(site.seen, |event| event.sequence);
            let name = gateway::endpoint(at);
            for gateway in &mut self.gateways {
                for event in &events {
                    gateway
                        .router
                        .record_cache_event(&name, event.block, event.stored);
                }
            }
            for queue in (0..self.fronts.len()).filter(|q| q % self.sites.len() == at) {
                let event = Event::Report { queue, report };
                self.agenda.add(self.now + NEAR, event);
            }
        }
        self.agenda.add(self.now + POLL, Event::Poll);
    }

    fn fault(&mut self, on: bool) {
        let site = &mut self.sites[FAULTY];
        match self.case.scenario {
            Scenario::EndpointLoss => {
                site.silent = on;
                site.model.clear();
            }
            _ => site.model.set_slowdown(if on { SLOW } else { 1.0 }),
        }
    }

    fn schedule(&mut self, at: usize) {
        let site = &mut self.sites[at];
        if let Some(wake) = site.model.wake()
            && site.due != Some(wake)
        {
            site.due = Some(wake);
            self.agenda.add(wake, Event::Step(at));
        }
    }

    fn is_measured(&self, at: Time) -> bool {
        at >= Time::ZERO + Duration::from_secs(WARM_UP) && at <= self.now
    }

    fn endpoint(&self, queue: usize) -> usize {
        queue % self.sites.len()
    }

    fn queue_of(&self, id: u64) -> Option<usize> {
        if id >= BATCH {
            return usize::try_from((id - BATCH) >> 32).ok();
        }
        self.attempts.get(&id).map(|attempt| attempt.queue)
    }

    fn to_queue(&self, question: usize, queue: usize) -> Duration {
        match self.case.topology {
            Topology::Dispatcher => {
                gateway::way(&self.case, self.questions[question].gateway, queue)
            }
            Topology::Reports | Topology::Parts => Duration::ZERO,
        }
    }

    fn to_engine(&self, queue: usize) -> Duration {
        match self.case.topology {
            Topology::Dispatcher => NEAR,
            Topology::Reports | Topology::Parts => {
                let gateway = queue / self.sites.len();
                gateway::way(&self.case, gateway, self.endpoint(queue))
            }
        }
    }
}
