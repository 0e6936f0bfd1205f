//! An engine and the queues before it.

use std::collections::HashMap;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::{Action, Input, Load, Offer, Queue, Setting};
use auburnspoke::embedded::engine::Model;
use auburnspoke::embedded::engine::model::Job;
use auburnspoke::request::Class;

use super::case::{Case, Topology, Way};
use super::load::{Item, MAX_TOKENS, Source};

/// Batch identities lie above this.
pub const BATCH: u64 = 1 << 62;
/// Time in which a batch item is due, in seconds.
const BATCH_DUE: u64 = 100_000;
/// Jobs that each queue takes items of.
const JOBS: u64 = 4;

/// An engine.
#[derive(Debug)]
pub struct Site {
    /// The engine.
    pub model: Model,
    /// When its step's end was put on the agenda for.
    pub due: Option<Time>,
    /// True while nothing reaches it and nothing comes from it.
    pub silent: bool,
    /// The last cache event that gateways saw.
    pub seen: u64,
}

/// A batch item at a queue.
#[derive(Clone, Debug)]
pub struct Work {
    /// What it is.
    pub item: Item,
    /// Tokens that came so far.
    pub done: u32,
}

/// A queue before an engine and the jobs that feed it.
pub struct Front {
    queue: Queue,
    /// Where its batch items come from; none without batch work.
    source: Option<Source>,
    index: u64,
    next: u64,
    /// Its batch items.
    pub work: HashMap<u64, Work>,
    /// When its wake-up was put on the agenda for.
    pub due: Option<Time>,
    /// The slots of its endpoint.
    slots: u32,
    topology: Topology,
}

impl Front {
    /// The queue with that index.
    pub fn new(case: &Case, index: usize, slots: u32) -> Self {
        let own = match case.topology {
            Topology::Parts => {
                (slots / u32::try_from(case.deployment.gateways()).unwrap_or(1)).max(1)
            }
            _ => slots,
        };
        let setting = Setting {
            slots: own,
            latency_weight: case.latency_weight,
            closed: false,
        };
        let policy = match case.way {
            Way::Queue(policy) => policy,
            Way::Alone => auburnspoke::dispatch::Policy::default(),
            Way::Oracle { .. } => auburnspoke::dispatch::Policy::All,
        };
        let index = index as u64;
        let source = Source::new(case.deployment, case.seed * 1_000 + 100 + index);
        Self {
            queue: Queue::with_policy(Time::ZERO, setting, policy),
            source: (case.way != Way::Alone).then_some(source),
            index,
            next: 0,
            work: HashMap::new(),
            due: None,
            slots,
            topology: case.topology,
        }
    }

    /// Takes an input, and offers batch items while the queue has room.
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

    /// How busy the endpoint is.
    pub fn load(&self) -> Load {
        self.queue.load()
    }

    /// When the queue wants to be woken.
    pub fn wake(&self) -> Option<Time> {
        self.queue.wake()
    }

    /// What the engine is asked to do for batch item `id`.
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
        self.next += 1;
        let id = BATCH + (self.index << 32) + self.next;
        let job = self.next % JOBS;
        let item = source.item(job);
        let offer = Offer {
            id,
            class: Class::Batch,
            organisation: format!("j{job}").into(),
            deadline: now + std::time::Duration::from_secs(BATCH_DUE),
            prompt_tokens: item.prompt.tokens,
            max_tokens: 2 * MAX_TOKENS,
            once: false,
            spills: false,
        };
        self.work.insert(id, Work { item, done: 0 });
        self.queue.step(now, Input::Offer(offer), actions);
    }
}
