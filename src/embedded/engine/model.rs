//! Continuous batching in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use super::cache::{self, Cache};
use super::parameter::Parameters;
use crate::clock::Time;
use crate::dispatch::Report;

/// A sequence to generate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identifies the sequence.
    pub id: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Blocks of the prompt, for the prefix cache.
    pub blocks: Vec<u64>,
    /// Number of tokens of the answer that were generated before; they are prefilled like a prompt.
    pub resume_from: u32,
    /// Length of the whole answer in tokens.
    pub length: u32,
    /// True for an online question. Only the oracle of the policy benchmark uses it; real engines
    /// have no such priority.
    pub urgent: bool,
}

/// A generated token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Time at which its step ended.
    pub at: Time,
    /// Its sequence.
    pub id: u64,
    /// Its offset in the answer.
    pub offset: u32,
    /// True for the last token of the answer.
    pub last: bool,
}

#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    generated: u32,
    prefill: u32,
    chunk: u32,
    /// Suspended by the oracle, keeping its KV memory.
    suspended: bool,
}

impl Sequence {
    fn context(&self) -> u64 {
        u64::from(self.job.prompt_tokens) + u64::from(self.generated)
    }
}

/// The cost model of one engine.
#[derive(Debug)]
pub struct Model {
    parameters: Parameters,
    cache: Cache,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    step_end: Option<Time>,
    slow: f64,
    stalled: bool,
    reports: VecDeque<(Time, Report)>,
    preempted: u64,
    steps: u64,
}

impl Model {
    /// Creates an idle engine.
    pub fn new(parameters: Parameters, seed: u64) -> Self {
        let lag = Duration::from_millis(parameters.event_lag_ms);
        Self {
            parameters,
            cache: Cache::new(parameters.cache_blocks, lag, parameters.event_loss, seed),
            waiting: VecDeque::new(),
            running: Vec::new(),
            step_end: None,
            slow: 1.0,
            stalled: false,
            reports: VecDeque::new(),
            preempted: 0,
            steps: 0,
        }
    }

    /// Adds a sequence. The queue is unbounded.
    pub fn submit(&mut self, now: Time, job: Job) {
        let generated = job.resume_from;
        self.waiting.push_back(Sequence {
            job,
            generated,
            prefill: 0,
            chunk: 0,
            suspended: false,
        });
        if self.step_end.is_none() {
            self.start(now);
        }
    }

    /// Removes a sequence. Returns whether it was present.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|sequence| sequence.job.id != id);
        self.running.retain(|sequence| sequence.job.id != id);
        before > self.waiting.len() + self.running.len()
    }

    /// Removes all sequences, as a crash does.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.step_end = None;
    }

    /// Sets the factor by which each step is slowed down.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slow = factor.max(0.01);
    }

    /// Stops or resumes generation. The engine accepts sequences in either state.
    pub fn set_stalled(&mut self, now: Time, stalled: bool) {
        self.stalled = stalled;
        if !stalled && self.step_end.is_none() {
            self.start(now);
        }
    }

    /// Returns when the current step ends, or `None` if no step runs or the engine is stalled.
    pub fn wake(&self) -> Option<Time> {
        if self.stalled { None } else { self.step_end }
    }

    /// Finishes the steps that end by `now` and appends their tokens to `out`.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Token>) {
        while let Some(end) = self.wake() {
            if end > now {
                return;
            }
            self.finish(end, out);
            self.start(end);
        }
    }

    /// Returns the load report, which is `report_lag_ms` old.
    pub fn report(&mut self, now: Time) -> Report {
        let lag = Duration::from_millis(self.parameters.report_lag_ms);
        while self.reports.len() > 1 && self.reports[1].0 + lag <= now {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some((at, report)) if *at + lag <= now => *report,
            _ => Report::default(),
        }
    }

    /// Returns the visible cache events after `sequence`.
    pub fn events(&self, now: Time, sequence: u64) -> Vec<cache::Event> {
        self.cache.events(now, sequence)
    }

    /// Returns the number of running and waiting sequences.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns whether no sequence runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of preemptions: sequences that lost their KV memory and were restarted.
    pub fn preempted(&self) -> u64 {
        self.preempted
    }

    /// Returns the number of steps started.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    fn kv_used(&self) -> u64 {
        self.running.iter().map(Sequence::context).sum()
    }

    fn admit(&mut self) {
        let mut used = self.kv_used();
        while self.running.len() < self.parameters.sequences as usize {
            let Some(next) = self.waiting.front() else {
                return;
            };
            if self.is_over_limit(next) {
                return;
            }
            let need = next.context() + 1;
            // A sequence that exceeds KV memory by itself is admitted alone, or it would never end.
            let fits = used + need <= u64::from(self.parameters.kv_tokens);
            if !fits && !self.running.is_empty() {
                return;
            }
            let Some(mut sequence) = self.waiting.pop_front() else {
                return;
            };
            used += need;
            if std::mem::take(&mut sequence.suspended) {
                self.running.push(sequence);
                continue;
            }
            let cached = self.cache.lookup(&sequence.job.blocks) * self.parameters.block_tokens;
            let context = u32::try_from(sequence.context()).unwrap_or(u32::MAX);
            sequence.prefill = context.saturating_sub(cached).max(1);
            self.running.push(sequence);
        }
    }

    /// Suspends all sequences that are not urgent, so that the urgent ones are admitted first. This
    /// is free of cost here, which no real engine achieves.
    fn suspend_others(&mut self) {
        let (urgent, others): (Vec<_>, Vec<_>) = self.running.drain(..).partition(is_urgent);
        let (mut order, rest): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_urgent);
        self.running = urgent;
        order.extend(others.into_iter().map(|mut sequence| {
            sequence.suspended = true;
            sequence
        }));
        order.extend(rest);
        self.waiting = order.into();
    }

    /// Returns whether the oracle's limit on sequences beside urgent ones excludes `next`.
    fn is_over_limit(&self, next: &Sequence) -> bool {
        let limit = self.parameters.max_beside_urgent as usize;
        if next.job.urgent || limit > self.running.len() {
            return false;
        }
        let urgent = self.running.iter().filter(|s| is_urgent(s)).count();
        urgent > 0 && self.running.len() - urgent >= limit
    }

    /// Preempts the youngest sequences until the next step fits into KV memory.
    fn preempt(&mut self) {
        let limit = u64::from(self.parameters.kv_tokens);
        while self.running.len() > 1 && self.kv_used() + self.running.len() as u64 > limit {
            if let Some(sequence) = self.running.pop() {
                self.preempted += 1;
                self.waiting.push_front(sequence);
            }
        }
    }

    fn start(&mut self, now: Time) {
        self.record_report(now);
        if self.parameters.preempts_for_urgent {
            self.suspend_others();
        }
        self.preempt();
        self.admit();
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let mut budget = self.parameters.chunk_tokens;
        let (mut decoding, mut context, mut prefill) = (0, 0, 0);
        for sequence in &mut self.running {
            context += sequence.context();
            if sequence.prefill == 0 {
                decoding += 1;
                continue;
            }
            sequence.chunk = sequence.prefill.min(budget);
            budget -= sequence.chunk;
            prefill += sequence.chunk;
        }
        self.steps += 1;
        let step = self.parameters.step(decoding, context, prefill);
        self.step_end = Some(now + step.mul_f64(self.slow));
    }

    fn finish(&mut self, end: Time, out: &mut Vec<Token>) {
        let cache = &mut self.cache;
        self.running.retain_mut(|sequence| {
            if sequence.prefill > 0 {
                sequence.prefill -= sequence.chunk;
                if sequence.prefill > 0 || sequence.chunk == 0 {
                    return true;
                }
                sequence.chunk = 0;
                cache.store(end, &sequence.job.blocks);
            }
            let offset = sequence.generated;
            sequence.generated += 1;
            let last = sequence.generated >= sequence.job.length;
            out.push(Token {
                at: end,
                id: sequence.job.id,
                offset,
                last,
            });
            !last
        });
    }

    fn record_report(&mut self, now: Time) {
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        let used = self.kv_used() as f64 / f64::from(self.parameters.kv_tokens.max(1));
        #[allow(clippy::cast_possible_truncation)] // A fraction between 0 and about 1.
        let report = Report {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            kv_used: used as f32,
        };
        self.reports.push_back((now, report));
        let lag = Duration::from_millis(self.parameters.report_lag_ms);
        while self.reports.len() > 1 && self.reports[1].0 + lag <= now {
            self.reports.pop_front();
        }
    }
}

fn is_urgent(sequence: &Sequence) -> bool {
    sequence.job.urgent
}
