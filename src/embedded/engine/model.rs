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
    /// Its identity.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Blocks of the prompt, for the prefix cache.
    pub blocks: Vec<u64>,
    /// Tokens of the answer that are there already and have to be computed
    /// like a prompt.
    pub resume_from: u32,
    /// Length of the whole answer in tokens.
    pub length: u32,
    /// True for a question; engines ignore it, but for the oracle.
    pub urgent: bool,
}

/// A token that was generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// When the step that made it ended.
    pub at: Time,
    /// For which sequence.
    pub id: u64,
    /// Its place in the answer.
    pub offset: u32,
    /// True when it is the last one.
    pub last: bool,
}

#[derive(Clone, Debug)]
struct Sequence {
    job: Job,
    done: u32,
    prefill: u32,
    chunk: u32,
    /// Set aside by the oracle with its memory.
    aside: bool,
}

impl Sequence {
    fn context(&self) -> u64 {
        u64::from(self.job.prompt_tokens) + u64::from(self.done)
    }
}

/// One engine.
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
    /// An idle engine.
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

    /// Takes a sequence in; the engine queues whatever arrives.
    pub fn submit(&mut self, now: Time, job: Job) {
        let done = job.resume_from;
        self.waiting.push_back(Sequence {
            job,
            done,
            prefill: 0,
            chunk: 0,
            aside: false,
        });
        if self.step_end.is_none() {
            self.start(now);
        }
    }

    /// Drops a sequence; true if it was there.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|sequence| sequence.job.id != id);
        self.running.retain(|sequence| sequence.job.id != id);
        before > self.waiting.len() + self.running.len()
    }

    /// Drops every sequence, as a crash does.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
        self.step_end = None;
    }

    /// Makes each step take `factor` times as long.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slow = factor.max(0.01);
    }

    /// Stops or resumes generating, while the engine goes on taking requests.
    pub fn set_stalled(&mut self, now: Time, stalled: bool) {
        self.stalled = stalled;
        if !stalled && self.step_end.is_none() {
            self.start(now);
        }
    }

    /// When the step under way ends.
    pub fn wake(&self) -> Option<Time> {
        if self.stalled { None } else { self.step_end }
    }

    /// Ends the steps that are due and appends their tokens to `out`.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Token>) {
        while let Some(end) = self.wake() {
            if end > now {
                return;
            }
            self.finish(end, out);
            self.start(end);
        }
    }

    /// The load as it was a lag ago.
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

    /// Cache events after `sequence`.
    pub fn events(&self, now: Time, sequence: u64) -> Vec<cache::Event> {
        self.cache.events(now, sequence)
    }

    /// Sequences that run or wait.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// True when nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sequences that lost their KV memory and had to start again.
    pub fn preempted(&self) -> u64 {
        self.preempted
    }

    /// Steps that were begun.
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
            if self.is_bounded(next) {
                return;
            }
            let need = next.context() + 1;
            // A sequence that alone is too large still has to end somehow.
            let fits = used + need <= u64::from(self.parameters.kv_tokens);
            if !fits && !self.running.is_empty() {
                return;
            }
            let Some(mut sequence) = self.waiting.pop_front() else {
                return;
            };
            used += need;
            if std::mem::take(&mut sequence.aside) {
                self.running.push(sequence);
                continue;
            }
            let cached = self.cache.hit(&sequence.job.blocks) * self.parameters.block_tokens;
            let whole = u32::try_from(sequence.context()).unwrap_or(u32::MAX);
            sequence.prefill = whole.saturating_sub(cached).max(1);
            self.running.push(sequence);
        }
    }

    /// Sets everything aside that is not urgent, so that it is admitted again
    /// after what is: at no cost, as no engine can.
    fn set_aside(&mut self) {
        let (urgent, others): (Vec<_>, Vec<_>) = self.running.drain(..).partition(is_urgent);
        let (mut order, rest): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_urgent);
        self.running = urgent;
        order.extend(others.into_iter().map(|mut sequence| {
            sequence.aside = true;
            sequence
        }));
        order.extend(rest);
        self.waiting = order.into();
    }

    /// True when the oracle's bound lets no further sequence in.
    fn is_bounded(&self, next: &Sequence) -> bool {
        let most = self.parameters.max_beside_urgent as usize;
        if next.job.urgent || most > self.running.len() {
            return false;
        }
        let urgent = self.running.iter().filter(|s| is_urgent(s)).count();
        urgent > 0 && self.running.len() - urgent >= most
    }

    /// The youngest sequences give their memory back until a step fits.
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
        self.note(now);
        if self.parameters.preempts_for_urgent {
            self.set_aside();
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
            let offset = sequence.done;
            sequence.done += 1;
            let last = sequence.done >= sequence.job.length;
            out.push(Token {
                at: end,
                id: sequence.job.id,
                offset,
                last,
            });
            !last
        });
    }

    fn note(&mut self, now: Time) {
        let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
        let used = self.kv_used() as f64 / f64::from(self.parameters.kv_tokens.max(1));
        #[allow(clippy::cast_possible_truncation)] // A share between 0 and about 1.
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
