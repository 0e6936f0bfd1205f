//! The admission queue of one endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use super::backlog::{Backlog, Entry};
use super::estimator::Estimator;
use super::health::{Health, State};
use super::policy::{Policy, Tolerance};
use super::{Action, End, Id, Input, Load, Offer, Setting};
use crate::clock::Time;
use crate::outcome::{Reason, Refusal};
use crate::request::Class;

mod admit;

/// Minimum retry delay of a refused request.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Retry delay of requests for a closed endpoint.
const CLOSED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A request that runs at the endpoint.
#[derive(Clone, Debug)]
struct Run {
    offer: Offer,
    arrived: Time,
    /// Tokens of the answer so far, including those of earlier runs.
    generated: u32,
    /// True until the first token of this run.
    prefilling: bool,
    /// True when it is being preempted and has not ended yet.
    stopping: bool,
}

impl Run {
    fn context(&self) -> u64 {
        u64::from(self.offer.prompt_tokens) + u64::from(self.generated)
    }

    /// True when the run yields tokens. A plain call does not, so stall detection does
    /// not apply to it.
    fn streams(&self) -> bool {
        self.offer.max_tokens > 0
    }
}

/// Totals over all runs, so that no decision has to iterate over them.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    online: u32,
    batch: u32,
    /// Online requests that have no token yet.
    online_prefilling: u32,
    /// Batch items that have no token yet.
    batch_prefilling: u32,
    /// Batch items that are being preempted.
    stopping: u32,
    /// Tokens of prompts that are being prefilled.
    prompt_tokens: u32,
    /// Tokens in the KV cache, by this node's count.
    context: u64,
    /// Runs that yield tokens.
    streams: u32,
}

/// Admits work to one endpoint.
#[derive(Debug)]
pub struct Queue {
    setting: Setting,
    policy: Policy,
    tolerance: Tolerance,
    online: Backlog,
    batch: Backlog,
    runs: BTreeMap<Id, Run>,
    count: Count,
    estimator: Estimator,
    health: Health,
    last_online: Time,
    /// When the last batch item was started.
    last_batch_start: Time,
}

impl Queue {
    /// Creates an empty queue for an idle endpoint, with the default policy.
    pub fn new(now: Time, setting: Setting) -> Self {
        Self::with_policy(now, setting, Policy::default())
    }

    /// Creates an empty queue with the given policy for batch work.
    pub fn with_policy(now: Time, setting: Setting, policy: Policy) -> Self {
        Self {
            setting,
            policy,
            tolerance: Tolerance::new(setting.latency_weight),
            online: Backlog::default(),
            batch: Backlog::default(),
            runs: BTreeMap::new(),
            count: Count::default(),
            estimator: Estimator::default(),
            health: Health::new(now),
            last_online: Time::ZERO,
            last_batch_start: Time::ZERO,
        }
    }

    /// Processes one input and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Offer(offer) => self.offer(now, offer, actions),
            Input::Tokens { id, count } => {
                self.tokens(now, id, count);
                if self.online.is_empty() && self.batch.is_empty() {
                    return;
                }
            }
            Input::Ended { id, end } => self.ended(now, id, end, actions),
            Input::Withdraw { id } => self.withdraw(id, actions),
            Input::Setting(setting) => self.configure(setting, actions),
            Input::Report(report) => self.estimator.record_report(&report, self.count.context),
            Input::Tick => {
                self.health.state(now);
            }
        }
        self.expire(now, actions);
        self.detect_stall(now, actions);
        self.admit(now, actions);
    }

    /// Returns the current setting.
    pub fn setting(&self) -> Setting {
        self.setting
    }

    /// Returns when the next [`Input::Tick`] is due, if no other input comes before.
    pub fn wake(&self) -> Option<Time> {
        let stall = (self.count.streams > 0).then(|| self.stall_deadline());
        let half_open = self.health.wake();
        let due = [
            self.online.deadline(),
            self.batch.deadline(),
            stall,
            half_open,
        ];
        due.into_iter().flatten().min()
    }

    /// Returns the load of the endpoint.
    pub fn load(&self) -> Load {
        let micros = self.estimator.mean_first_token().as_micros();
        Load {
            online: self.count.online,
            batch: self.count.batch,
            queued: len(self.online.len()),
            room: self.room(),
            first_token_us: u32::try_from(micros).unwrap_or(u32::MAX),
            slots: self.setting.slots,
        }
    }

    fn offer(&mut self, now: Time, offer: Offer, actions: &mut Vec<Action>) {
        if let Some(refusal) = self.refusal(now, &offer) {
            actions.push(Action::Refuse {
                id: offer.id,
                refusal,
            });
            return;
        }
        let class = offer.class;
        let entry = Entry {
            offer,
            arrived: now,
            generated: 0,
            has_run: false,
        };
        let bound = self.max_waiting(class);
        let dropped = match class {
            Class::Online => {
                self.last_online = now;
                self.online.push(entry, bound)
            }
            Class::Batch => self.batch.push(entry, bound),
        };
        if let Some(entry) = dropped {
            let refusal = Refusal::new(Reason::Overloaded).after(self.retry_after());
            drop_entry(&entry, refusal, actions);
        }
    }

    fn tokens(&mut self, now: Time, id: Id, count: u32) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        self.health.record_progress(now);
        run.generated += count;
        self.count.context += u64::from(count);
        let first = run.prefilling;
        if first {
            run.prefilling = false;
            self.count.prefill_done(run);
            if run.offer.class == Class::Online && run.generated == count {
                self.estimator.record_first_token(now.since(run.arrived));
            }
        }
        let prefilling = self.count.online_prefilling + self.count.batch_prefilling;
        let running = self.count.online + self.count.batch;
        let decoding = running.saturating_sub(prefilling);
        let prompts = prefilling > 0 || first;
        self.estimator
            .record_token(now, decoding, self.count.online, prompts);
    }

    fn ended(&mut self, now: Time, id: Id, end: End, actions: &mut Vec<Action>) {
        let Some(run) = self.remove_run(id) else {
            return;
        };
        match end {
            End::Complete => self.health.record_progress(now),
            End::Failed | End::Refused => {
                if self.health.record_failure(now) {
                    self.abandon_all(now, actions);
                }
            }
            End::Stopped => {
                let entry = Entry {
                    offer: run.offer,
                    arrived: run.arrived,
                    generated: run.generated,
                    has_run: true,
                };
                match entry.offer.class {
                    Class::Online => self.online.requeue(entry),
                    Class::Batch => self.batch.requeue(entry),
                }
            }
        }
    }

    fn withdraw(&mut self, id: Id, actions: &mut Vec<Action>) {
        if self.remove_run(id).is_some() {
            actions.push(Action::Stop { id });
            return;
        }
        self.online.remove(id);
        self.batch.remove(id);
    }

    fn configure(&mut self, setting: Setting, actions: &mut Vec<Action>) {
        self.setting = setting;
        self.tolerance = Tolerance::new(setting.latency_weight);
        if setting.closed {
            // Refused at once, so that the requesters can retry elsewhere.
            self.refuse_waiting(Reason::NoEndpoint, CLOSED_RETRY_DELAY, actions);
        }
    }

    /// Refuses waiting requests whose deadline has passed.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        let late = |entry: &Entry| entry.offer.deadline <= now;
        let first = [self.online.deadline(), self.batch.deadline()];
        if first.into_iter().flatten().all(|first| first > now) {
            return;
        }
        let online = self.online.drain_where(late);
        for entry in online.into_iter().chain(self.batch.drain_where(late)) {
            let refusal = Refusal::new(Reason::Deadline).after(self.retry_after());
            drop_entry(&entry, refusal, actions);
        }
    }

    /// Trips the circuit breaker of an endpoint that should generate tokens but does not.
    fn detect_stall(&mut self, now: Time, actions: &mut Vec<Action>) {
        let stall_deadline = self.stall_deadline();
        if self.count.streams > 0 && self.health.is_stalled(now, stall_deadline) {
            self.health.trip(now);
            self.abandon_all(now, actions);
        }
    }

    /// Abandons what runs and refuses what waits, so that both can be retried elsewhere.
    fn abandon_all(&mut self, now: Time, actions: &mut Vec<Action>) {
        let retry_after = self.health.retry_after(now).unwrap_or(MIN_RETRY_DELAY);
        for (id, _) in std::mem::take(&mut self.runs) {
            let refusal = Refusal::new(Reason::EndpointFailed).after(retry_after);
            actions.push(Action::Abandon { id, refusal });
        }
        self.count = Count::default();
        self.estimator.idle();
        self.refuse_waiting(Reason::NoEndpoint, retry_after, actions);
    }

    fn refuse_waiting(&mut self, reason: Reason, retry_after: Duration, actions: &mut Vec<Action>) {
        let online = self.online.drain_where(|_| true);
        for entry in online.into_iter().chain(self.batch.drain_where(|_| true)) {
            drop_entry(&entry, Refusal::new(reason).after(retry_after), actions);
        }
    }

    fn stall_deadline(&self) -> Time {
        self.health.stall_deadline(self.count.prompt_tokens)
    }

    fn remove_run(&mut self, id: Id) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.count.remove(&run);
        if self.runs.is_empty() {
            self.health.idle();
            self.estimator.idle();
        }
        Some(run)
    }
}

impl Count {
    fn add(&mut self, run: &Run) {
        let online = run.offer.class == Class::Online;
        *(if online {
            &mut self.online
        } else {
            &mut self.batch
        }) += 1;
        if run.streams() {
            *(if online {
                &mut self.online_prefilling
            } else {
                &mut self.batch_prefilling
            }) += 1;
        }
        self.prompt_tokens += run.offer.prompt_tokens + run.generated;
        self.context += run.context();
        self.streams += u32::from(run.streams());
    }

    fn prefill_done(&mut self, run: &Run) {
        let prefilling = match run.offer.class {
            Class::Online => &mut self.online_prefilling,
            Class::Batch => &mut self.batch_prefilling,
        };
        *prefilling = prefilling.saturating_sub(1);
        let tokens = run.offer.prompt_tokens + run.generated;
        self.prompt_tokens = self.prompt_tokens.saturating_sub(tokens);
    }

    fn remove(&mut self, run: &Run) {
        let running = match run.offer.class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        *running = running.saturating_sub(1);
        if run.prefilling && run.streams() {
            self.prefill_done(run);
        }
        self.stopping -= u32::from(run.stopping);
        self.context = self.context.saturating_sub(run.context());
        self.streams = self.streams.saturating_sub(u32::from(run.streams()));
        if self.online + self.batch == 0 {
            // Keeps rounding errors of the estimates from accumulating over days.
            (self.prompt_tokens, self.context) = (0, 0);
        }
    }
}

/// Refuses a waiting request. One that was preempted has been sent to the endpoint,
/// so it is reported as possibly run.
fn drop_entry(entry: &Entry, refusal: Refusal, actions: &mut Vec<Action>) {
    let id = entry.offer.id;
    actions.push(if entry.has_run {
        Action::Abandon { id, refusal }
    } else {
        Action::Refuse { id, refusal }
    });
}

fn len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
