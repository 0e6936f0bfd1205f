//! What is sent to the endpoint, what is refused and what is stopped.

use std::time::Duration;

use super::{Action, Class, Count, Id, MIN_RETRY, Policy, Queue, Run, State, len};
use crate::clock::Time;
use crate::dispatch::Offer;
use crate::dispatch::line::Entry;
use crate::outcome::{Reason, Refusal};

/// Questions that may wait for each slot of the endpoint.
const ONLINE_QUEUE_FACTOR: usize = 1;
/// Batch items that wait here so that the next can start at once.
const BATCH_AHEAD: u32 = 4;
/// Slots that batch work leaves free for the next questions.
const RESERVE: u32 = 4;
/// Part of KV memory that batch work may fill.
const KV_PART: f64 = 0.85;
/// Sequences above the bound before batch streams are stopped: stopping costs
/// the prompt again, so it must not happen for each question that comes.
const SLACK: f64 = 1.5;
/// Batch items that are run before anything is known of the endpoint.
const UNKNOWN: u32 = 4;
/// Without a question for this long the endpoint is all for batch work.
const IDLE: Duration = Duration::from_millis(1_500);
/// Questions without a first token at which the next one rather goes elsewhere.
const CROWDED: u32 = 1;
/// Batch prompts computed at the same time while questions run.
const PROMPTS: u32 = 2;
/// Batch prompts computed at the same time while there are no questions.
const IDLE_PROMPTS: u32 = 4;

impl Queue {
    /// Why an offer is refused at once, if it is.
    pub(super) fn refusal(&mut self, now: Time, offer: &Offer) -> Option<Refusal> {
        if self.setting.closed {
            return Some(Refusal::new(Reason::NoEndpoint).after(super::CLOSED_RETRY));
        }
        self.health.state(now);
        if let Some(wait) = self.health.retry_after(now) {
            return Some(Refusal::new(Reason::NoEndpoint).after(wait));
        }
        if offer.deadline <= now {
            return Some(Refusal::new(Reason::Deadline).after(MIN_RETRY));
        }
        if offer.class == Class::Online {
            let crowded = self.count.online_computing + len(self.online.len()) >= CROWDED;
            if offer.spills && offer.max_tokens > 0 && crowded {
                return Some(Refusal::new(Reason::Overloaded).after(MIN_RETRY));
            }
            let wait = self.expected_wait();
            if now + wait > offer.deadline {
                return Some(Refusal::new(Reason::Overloaded).after(wait.max(MIN_RETRY)));
            }
        }
        None
    }

    /// How many of a class may wait.
    pub(super) fn bound(&self, class: Class) -> usize {
        let slots = self.setting.slots as usize;
        match class {
            Class::Online => slots * ONLINE_QUEUE_FACTOR,
            Class::Batch => slots + BATCH_AHEAD as usize,
        }
    }

    /// When a refused request should come back: after those that wait.
    pub(super) fn retry_after(&self) -> Duration {
        self.expected_wait().max(MIN_RETRY)
    }

    /// Batch items that would be taken now.
    pub(super) fn room(&self) -> u32 {
        if self.setting.closed || self.health.is_closed() {
            return 0;
        }
        let wanted = self.batch_target() + BATCH_AHEAD;
        let have = self.count.batch + len(self.batch.len());
        wanted.saturating_sub(have)
    }

    /// Starts and stops what should be.
    pub(super) fn admit(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.make_way(now, actions);
        while !self.online.is_empty() && self.may_start(now, Class::Online) {
            if let Some(entry) = self.online.pop() {
                self.start(now, entry, actions);
            }
        }
        while !self.batch.is_empty() && self.may_start(now, Class::Batch) {
            if let Some(entry) = self.batch.pop() {
                self.start(now, entry, actions);
            }
        }
    }

    fn may_start(&mut self, now: Time, class: Class) -> bool {
        match self.health.state(now) {
            State::Up => {}
            State::Trial { sent: false } => return true,
            State::Down { .. } | State::Trial { sent: true } => return false,
        }
        let running = self.count.online + self.count.batch;
        match (class, self.policy) {
            (_, Policy::All) => true,
            (Class::Online, _) => running < self.setting.slots,
            (Class::Batch, _) => {
                self.online.is_empty()
                    && self.count.batch < self.batch_target()
                    && self.may_compute(now)
                    && self.fits()
            }
        }
    }

    /// True when another batch prompt may be computed now. Prompts are what
    /// questions wait for most, since the engine computes them in order.
    fn may_compute(&self, now: Time) -> bool {
        let next = self.batch.peek();
        let is_call = next.is_some_and(|entry| entry.offer.max_tokens == 0);
        if is_call || matches!(self.policy, Policy::All | Policy::Split(_)) {
            return true;
        }
        if self.count.online_computing > 0 {
            return false;
        }
        if self.is_idle(now) {
            return self.count.batch_computing < IDLE_PROMPTS;
        }
        let due = self.last_item + self.tolerance.prompt_gap;
        self.count.batch_computing < PROMPTS && now >= due
    }

    /// True when the next batch item fits into KV memory with its answer.
    fn fits(&self) -> bool {
        let (Some(size), Some(next)) = (self.pace.kv_tokens(), self.batch.peek()) else {
            return true;
        };
        let need = next.offer.prompt_tokens + next.done;
        self.count.context as f64 + f64::from(need) <= size * KV_PART
    }

    fn is_idle(&self, now: Time) -> bool {
        self.count.online == 0 && now.since(self.last_question) >= IDLE
    }

    /// Batch items that should run beside the questions that run now.
    fn batch_target(&self) -> u32 {
        let slots = self.setting.slots;
        let free = slots.saturating_sub(self.count.online);
        match self.policy {
            Policy::All => slots,
            Policy::Split(percent) => free.min(slots * percent / 100),
            Policy::Adaptive | Policy::AdaptiveCancel => {
                let free = free.saturating_sub(RESERVE);
                if self.count.online == 0 {
                    return free;
                }
                let Some(bound) = self.pace.bound(self.tolerance.step) else {
                    // Calls of a plain service don't slow each other's steps.
                    let calls = self.count.streams == 0;
                    return if calls { free } else { free.min(UNKNOWN) };
                };
                free.min(whole(bound).saturating_sub(self.count.online))
            }
        }
    }

    /// Stops batch streams that are in the way of questions.
    fn make_way(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.policy != Policy::AdaptiveCancel || self.health.state(now) != State::Up {
            return;
        }
        let asked = self.count.online_computing + len(self.online.len());
        if asked > 0 && self.tolerance.yields {
            self.stop(u32::MAX, |run| run.computing, actions);
        }
        // Batch work that ends its answer or its stop soon counts as gone.
        let batch = self.count.batch - self.count.stopping;
        let waiting = len(self.online.len());
        let free = self.setting.slots.saturating_sub(self.count.online);
        let over_slots = (batch + waiting).saturating_sub(free);
        let over_bound = self.pace.bound(self.tolerance.step * SLACK);
        let over_bound = over_bound.filter(|_| self.count.online > 0);
        let over_bound = over_bound.map_or(0, |bound| {
            let most = whole(bound).max(self.count.online);
            (self.count.online + batch).saturating_sub(most)
        });
        let over = over_slots.max(over_bound).max(u32::from(self.is_full()));
        if over > 0 {
            self.stop(over, |_| true, actions);
        }
    }

    /// True when KV memory is about to overflow, which the engine would meet by
    /// throwing out its youngest sequence, a question as likely as not.
    fn is_full(&self) -> bool {
        let size = self.pace.kv_tokens();
        size.is_some_and(|size| self.count.context as f64 > size * (1.0 + KV_PART) / 2.0)
    }

    /// Stops up to `most` batch streams, those first that lose the least.
    fn stop<F>(&mut self, most: u32, which: F, actions: &mut Vec<Action>)
    where
        F: Fn(&Run) -> bool,
    {
        let may = |run: &Run| {
            let stoppable = !run.offer.once && run.streams() && !run.stopping;
            run.offer.class == Class::Batch && stoppable && which(run)
        };
        let mut ids: Vec<(bool, u64, Id)> = self
            .runs
            .iter()
            .filter(|(_, run)| may(run))
            .map(|(id, run)| (!run.computing, run.context(), *id))
            .collect();
        ids.sort_unstable();
        for (_, _, id) in ids.into_iter().take(most as usize) {
            if let Some(run) = self.runs.get_mut(&id) {
                run.stopping = true;
                self.count.stopping += 1;
                actions.push(Action::Stop { id });
            }
        }
    }

    fn start(&mut self, now: Time, entry: Entry, actions: &mut Vec<Action>) {
        if self.runs.is_empty() || self.health.state(now) != State::Up {
            self.health.woken(now);
        }
        let run = Run {
            arrived: entry.arrived,
            done: entry.done,
            computing: true,
            stopping: false,
            offer: entry.offer,
        };
        if run.offer.class == Class::Batch {
            self.last_item = now;
        }
        let id = run.offer.id;
        Count::add(&mut self.count, &run);
        self.runs.insert(id, run);
        actions.push(Action::Start { id });
    }

    /// Expected time to the first token of a question that comes now.
    fn expected_wait(&self) -> Duration {
        let usual = self.pace.mean_first_token();
        let waiting = len(self.online.len());
        if waiting == 0 {
            return usual;
        }
        // Those that wait start as those that run end.
        let turns = f64::from(waiting) / f64::from(self.setting.slots.max(1));
        usual + usual.mul_f64(turns * 10.0)
    }
}

fn whole(bound: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped before.
    let whole = bound.clamp(0.0, 1e6) as u32;
    whole
}
