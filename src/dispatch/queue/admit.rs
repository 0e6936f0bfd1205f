//! Admission, refusal and preemption of requests.

use std::time::Duration;

use super::{Action, Class, Count, Id, MIN_RETRY_DELAY, Policy, Queue, Run, State, len};
use crate::clock::Time;
use crate::dispatch::Offer;
use crate::dispatch::backlog::Entry;
use crate::outcome::{Reason, Refusal};

/// Maximum number of waiting online requests for each slot of the endpoint.
const ONLINE_WAITING_PER_SLOT: usize = 1;
/// Batch items that are queued in advance, so that the next one can start at once.
const BATCH_PREFETCH: u32 = 4;
/// Slots that batch work leaves free for the next online requests.
const ONLINE_RESERVE_SLOTS: u32 = 4;
/// Fraction of the KV cache that batch work may fill.
const BATCH_KV_SHARE: f64 = 0.85;
/// Factor on the tolerance above which batch streams are preempted. A preempted item
/// has to be prefilled again, so not every online request may cause a preemption.
const PREEMPT_HYSTERESIS: f64 = 1.5;
/// Maximum number of batch items while the endpoint's capacity is not yet estimated.
const INITIAL_BATCH_ITEMS: u32 = 4;
/// Time without an online request after which batch work may use the whole endpoint.
const ONLINE_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Number of online requests without a first token at which the next one spills to
/// another endpoint.
const SPILL_THRESHOLD: u32 = 1;
/// Maximum number of concurrent batch prefills while online requests run.
const MAX_PREFILLS: u32 = 2;
/// Maximum number of concurrent batch prefills while there are no online requests.
const MAX_IDLE_PREFILLS: u32 = 4;

impl Queue {
    /// Returns the refusal of an offer that can't be accepted.
    pub(super) fn refusal(&mut self, now: Time, offer: &Offer) -> Option<Refusal> {
        if self.setting.closed {
            return Some(Refusal::new(Reason::NoEndpoint).after(super::CLOSED_RETRY_DELAY));
        }
        self.health.state(now);
        if let Some(wait) = self.health.retry_after(now) {
            return Some(Refusal::new(Reason::NoEndpoint).after(wait));
        }
        if offer.deadline <= now {
            return Some(Refusal::new(Reason::Deadline).after(MIN_RETRY_DELAY));
        }
        if offer.class == Class::Online {
            let crowded = self.count.online_prefilling + len(self.online.len()) >= SPILL_THRESHOLD;
            if offer.spills && offer.max_tokens > 0 && crowded {
                return Some(Refusal::new(Reason::Overloaded).after(MIN_RETRY_DELAY));
            }
            let wait = self.expected_wait();
            if now + wait > offer.deadline {
                return Some(Refusal::new(Reason::Overloaded).after(wait.max(MIN_RETRY_DELAY)));
            }
        }
        None
    }

    /// Maximum number of waiting requests of a class.
    pub(super) fn max_waiting(&self, class: Class) -> usize {
        let slots = self.setting.slots as usize;
        match class {
            Class::Online => slots * ONLINE_WAITING_PER_SLOT,
            Class::Batch => slots + BATCH_PREFETCH as usize,
        }
    }

    /// Retry delay of a refused request: the time until the waiting ones have started.
    pub(super) fn retry_after(&self) -> Duration {
        self.expected_wait().max(MIN_RETRY_DELAY)
    }

    /// Number of batch items that would be accepted now.
    pub(super) fn room(&self) -> u32 {
        if self.setting.closed || self.health.is_open() {
            return 0;
        }
        let wanted = self.batch_target() + BATCH_PREFETCH;
        let have = self.count.batch + len(self.batch.len());
        wanted.saturating_sub(have)
    }

    /// Preempts and starts requests as the policy requires.
    pub(super) fn admit(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.preempt(now, actions);
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
            State::Closed => {}
            State::HalfOpen { sent: false } => return true,
            State::Open { .. } | State::HalfOpen { sent: true } => return false,
        }
        let running = self.count.online + self.count.batch;
        match (class, self.policy) {
            (_, Policy::All) => true,
            (Class::Online, _) => running < self.setting.slots,
            (Class::Batch, _) => {
                self.online.is_empty()
                    && self.count.batch < self.batch_target()
                    && self.may_prefill(now)
                    && self.fits_kv_cache()
            }
        }
    }

    /// True when another batch prompt may be prefilled now. Prefills delay online
    /// requests most, because the engine processes them in order.
    fn may_prefill(&self, now: Time) -> bool {
        let next = self.batch.peek();
        let is_call = next.is_some_and(|entry| entry.offer.max_tokens == 0);
        if is_call || matches!(self.policy, Policy::All | Policy::Split(_)) {
            return true;
        }
        if self.count.online_prefilling > 0 {
            return false;
        }
        if self.is_idle(now) {
            return self.count.batch_prefilling < MAX_IDLE_PREFILLS;
        }
        let due = self.last_batch_start + self.tolerance.batch_start_interval;
        self.count.batch_prefilling < MAX_PREFILLS && now >= due
    }

    /// True when the next batch item fits into the KV cache, with what it has
    /// generated so far.
    fn fits_kv_cache(&self) -> bool {
        let (Some(capacity), Some(next)) = (self.estimator.kv_tokens(), self.batch.peek()) else {
            return true;
        };
        let need = next.offer.prompt_tokens + next.generated;
        self.count.context as f64 + f64::from(need) <= capacity * BATCH_KV_SHARE
    }

    fn is_idle(&self, now: Time) -> bool {
        self.count.online == 0 && now.since(self.last_online) >= ONLINE_IDLE_TIME
    }

    /// Number of batch items that should run alongside the current online requests.
    fn batch_target(&self) -> u32 {
        let slots = self.setting.slots;
        let free = slots.saturating_sub(self.count.online);
        match self.policy {
            Policy::All => slots,
            Policy::Split(percent) => free.min(slots * percent / 100),
            Policy::Adaptive | Policy::AdaptiveCancel => {
                let free = free.saturating_sub(ONLINE_RESERVE_SLOTS);
                if self.count.online == 0 {
                    return free;
                }
                let Some(bound) = self.estimator.max_sequences(self.tolerance.step) else {
                    // Calls of a plain service have no decoding steps to slow down.
                    let calls = self.count.streams == 0;
                    return if calls {
                        free
                    } else {
                        free.min(INITIAL_BATCH_ITEMS)
                    };
                };
                free.min(to_count(bound).saturating_sub(self.count.online))
            }
        }
    }

    /// Preempts batch streams that delay online requests.
    fn preempt(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.policy != Policy::AdaptiveCancel || self.health.state(now) != State::Closed {
            return;
        }
        let pending_online = self.count.online_prefilling + len(self.online.len());
        if pending_online > 0 && self.tolerance.preempts_prefill {
            self.stop_batch(u32::MAX, |run| run.prefilling, actions);
        }
        // Batch items that are already being preempted no longer count.
        let batch = self.count.batch - self.count.stopping;
        let waiting = len(self.online.len());
        let free = self.setting.slots.saturating_sub(self.count.online);
        let over_slots = (batch + waiting).saturating_sub(free);
        let over_bound = self
            .estimator
            .max_sequences(self.tolerance.step * PREEMPT_HYSTERESIS);
        let over_bound = over_bound.filter(|_| self.count.online > 0);
        let over_bound = over_bound.map_or(0, |bound| {
            let most = to_count(bound).max(self.count.online);
            (self.count.online + batch).saturating_sub(most)
        });
        let over = over_slots
            .max(over_bound)
            .max(u32::from(self.is_kv_cache_full()));
        if over > 0 {
            self.stop_batch(over, |_| true, actions);
        }
    }

    /// True when the KV cache is about to overflow. The engine would then evict its
    /// newest sequence, which may well be an online request.
    fn is_kv_cache_full(&self) -> bool {
        let capacity = self.estimator.kv_tokens();
        capacity.is_some_and(|max| self.count.context as f64 > max * (1.0 + BATCH_KV_SHARE) / 2.0)
    }

    /// Preempts up to `most` batch streams, starting with those that lose the least
    /// work.
    fn stop_batch<F>(&mut self, most: u32, which: F, actions: &mut Vec<Action>)
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
            .map(|(id, run)| (!run.prefilling, run.context(), *id))
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
        if self.runs.is_empty() || self.health.state(now) != State::Closed {
            self.health.run_started(now);
        }
        let run = Run {
            arrived: entry.arrived,
            generated: entry.generated,
            prefilling: true,
            stopping: false,
            offer: entry.offer,
        };
        if run.offer.class == Class::Batch {
            self.last_batch_start = now;
        }
        let id = run.offer.id;
        Count::add(&mut self.count, &run);
        self.runs.insert(id, run);
        actions.push(Action::Start { id });
    }

    /// Expected time to the first token of an online request that arrives now.
    fn expected_wait(&self) -> Duration {
        let usual = self.estimator.mean_first_token();
        let waiting = len(self.online.len());
        if waiting == 0 {
            return usual;
        }
        // Waiting requests start as running ones end.
        let turns = f64::from(waiting) / f64::from(self.setting.slots.max(1));
        usual + usual.mul_f64(turns * 10.0)
    }
}

fn to_count(bound: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Clamped before.
    let to_count = bound.clamp(0.0, 1e6) as u32;
    to_count
}
