//! The simulated engines and the dispatch queues in front of them.

use std::collections::HashMap;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::{Action, Input, Load, Offer, Queue, Setting};
use auburnspoke::embedded::engine::Model;
use auburnspoke::embedded::engine::model::Job;
use auburnspoke::request::Class;

use super::case::{Admission, Case, Topology};
use super::load::{Item, MAX_TOKENS, Source};

/// Lowest id of a batch item; online requests have lower ids.
pub const BATCH_IDS: u64 = 1 << 62;
/// Time after which a batch item is due.
const BATCH_DUE_SECONDS: u64 = 100_000;
/// Number of jobs from which each queue takes items in turn.
const JOBS_PER_QUEUE: u64 = 4;

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// The engine model.
    pub model: Model,
    /// Time for which the end of its step is scheduled.
    pub due: Option<Time>,
    /// Whether it is cut off from the network.
    pub silent: bool,
    /// Sequence number of the last cache event that was sent to the gateways.
    pub last_event: u64,
}

/// A batch item at a queue.
#[derive(Clone, Debug)]
pub struct Work {
    pub item: Item,
    /// Number of tokens received so far.
    pub done: u32,
}

/// A dispatch queue in front of an engine, with the jobs that fill it.
pub struct Dispatcher {
    queue: Queue,
    /// Source of its batch items; `None` without batch work.
    source: Option<Source>,
    index: u64,
    last_id: u64,
    /// Its batch items by id.
    pub work: HashMap<u64, Work>,
    /// Time for which its wake-up is scheduled.
    pub due: Option<Time>,
    /// Number of slots of its endpoint.
    slots: u32,
    topology: Topology,
}

impl Dispatcher {
    /// Creates the queue with this index.
    pub fn new(case: &Case, index: usize, slots: u32) -> Self {
        let own_slots = match case.topology {
            Topology::Parts => {
                (slots / u32::try_from(case.deployment.gateways()).unwrap_or(1)).max(1)
            }
            _ => slots,
        };
        let setting = Setting {
            slots: own_slots,
            latency_weight: case.latency_weight,
            closed: false,
        };
        let policy = match case.admission {
            Admission::Queue(policy) => policy,
            Admission::Alone => auburnspoke::dispatch::Policy::default(),
            Admission::Oracle { .. } => auburnspoke::dispatch::Policy::All,
        };
        let index = index as u64;
        let source = Source::new(case.deployment, case.seed * 1_000 + 100 + index);
        Self {
            queue: Queue::with_policy(Time::ZERO, setting, policy),
            source: (case.admission != Admission::Alone).then_some(source),
            index,
            last_id: 0,
            work: HashMap::new(),
            due: None,
            slots,
            topology: case.topology,
        }
    }

    /// Handles an input, and offers batch items while the queue has room.
    pub fn step(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        if let Input::Report(report) = &input
            && self.topology == Topology::Reports
        {
            let load = self.queue.load();
            let taken = report.running + report.waiting;
            let slots = load.online + load.batch + self.slots.saturating_sub(taken);
            let setting = self.queue.setting();
            let setting = Setting { slots, ..setting };
            self.queue.step(now, Input::Setting(setting), actions);
        }
        self.queue.step(now, input, actions);
        while self.source.is_some() && self.queue.load().room > 0 {
            let before = self.queue.load().room;
            self.offer(now, actions);
            if self.queue.load().room >= before {
                return;
            }
        }
    }

    /// Returns the endpoint's load.
    pub fn load(&self) -> Load {
        self.queue.load()
    }

    /// Returns when the queue's timer expires.
    pub fn wake(&self) -> Option<Time> {
        self.queue.wake()
    }

    /// Returns the engine's job for batch item `id`.
    pub fn job(&self, id: u64) -> Option<Job> {
        let work = self.work.get(&id)?;
        Some(Job {
            id,
            prompt_tokens: work.item.prompt.tokens,
            blocks: work.item.prompt.blocks.clone(),
            resume_from: work.done,
            length: work.item.length,
            urgent: false,
        })
    }

    fn offer(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(source) = self.source.as_mut() else {
            return;
        };
        self.last_id += 1;
        let id = BATCH_IDS + (self.index << 32) + self.last_id;
        let job = self.last_id % JOBS_PER_QUEUE;
        let item = source.item(job);
        let offer = Offer {
            id,
            class: Class::Batch,
            organisation: format!("j{job}").into(),
            deadline: now + std::time::Duration::from_secs(BATCH_DUE_SECONDS),
            prompt_tokens: item.prompt.tokens,
            max_tokens: 2 * MAX_TOKENS,
            once: false,
            spills: false,
        };
        self.work.insert(id, Work { item, done: 0 });
        self.queue.step(now, Input::Offer(offer), actions);
    }
}
