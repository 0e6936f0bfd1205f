//! Slot assignment and preemption of batch runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use super::message::{Class, Requirements};
use super::{
    Action, Key, LEARNING_TIME, MAX_RETRY_DELAY, MIN_RETRY_DELAY, Permit, Pool, RESERVE_DIVISOR,
    STOP_RESEND_INTERVAL, Waiting,
};
use crate::clock::Time;
use crate::name::Name;

/// Penalty on the score of an endpoint that runs a suspect request, equivalent to half
/// of its slots in use.
const RISK_COST: f64 = 0.5;

/// The online requests that wait ahead of another one.
#[derive(Default)]
struct Queue {
    /// Those that may run at any endpoint.
    any: u32,
    /// The others, by the version of the software that they need.
    by_software: BTreeMap<Name, u32>,
}

impl Queue {
    fn add(&mut self, requirements: &Requirements) {
        match &requirements.software {
            Some(software) => *self.by_software.entry(software.clone()).or_default() += 1,
            None => self.any += 1,
        }
    }

    /// Returns how long a request waits that may run on `slots` of `all` slots, if each becomes free
    /// after `mean_hold` on average.
    fn expected_wait(
        &self,
        mean_hold: Duration,
        requirements: &Requirements,
        slots: u32,
        all: u32,
    ) -> Duration {
        let others = match &requirements.software {
            Some(software) => self.by_software.get(software).copied().unwrap_or_default(),
            None => self.by_software.values().sum(),
        };
        // Requests that may run anywhere take their share of these slots.
        mean_hold * self.any / all.max(1) + mean_hold * (others + 1) / slots.max(1)
    }
}

impl Pool {
    pub(super) fn serve_online(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.online.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.online);
        let mut queue = Queue::default();
        for (key, waiting) in waiting {
            let slots = self.candidates.slots_for(&waiting.requirements);
            if slots == 0 && waiting.requirements.software.is_some() {
                // Nothing shows that an endpoint of this version will be ready again.
                actions.push(Action::Refuse(key, MIN_RETRY_DELAY));
                continue;
            }
            if self.must_wait(now, &waiting.requirements) {
                if now.since(waiting.arrived) > waiting.requirements.max_wait {
                    actions.push(Action::Refuse(key, MIN_RETRY_DELAY));
                } else {
                    self.online.push((key, waiting));
                }
                continue;
            }
            let candidate = self
                .best(now, &waiting.requirements)
                .or_else(|| self.preempt_one(now, &waiting.requirements, actions));
            if let Some(id) = candidate {
                self.grant(now, key, &waiting, &id, actions);
                continue;
            }
            // Every slot holds an online request. Each becomes free after `mean_hold`
            // on average, so the wait follows from the number of requests ahead.
            let all = self.candidates.slots();
            let expected = queue.expected_wait(self.mean_hold, &waiting.requirements, slots, all);
            let waited = now.since(waiting.arrived);
            if waited + expected > waiting.requirements.max_wait {
                actions.push(Action::Refuse(key, self.retry_after(expected)));
                continue;
            }
            queue.add(&waiting.requirements);
            self.online.push((key, waiting));
        }
    }

    /// Returns the retry delay of a request that would have to wait for `expected`.
    /// Consecutive refusals get increasing delays, so that the retries come in the
    /// order of the refusals and not all at once.
    pub(super) fn retry_after(&mut self, expected: Duration) -> Duration {
        self.refused = (self.refused + 1) % 16;
        let spread = self.mean_hold * self.refused / 16;
        (expected + spread).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    pub(super) fn serve_batch(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.batch.is_empty() {
            return;
        }
        let learning = self
            .started
            .is_none_or(|started| now.since(started) < LEARNING_TIME);
        let reserve = self.candidates.slots().div_ceil(RESERVE_DIVISOR);
        let free = self.candidates.free(now);
        let mut room = if learning {
            0
        } else {
            free.saturating_sub(reserve)
        };
        let overdue = |(_, waiting): &(Key, Waiting)| {
            now.since(waiting.arrived) > waiting.requirements.max_wait
        };
        if room == 0 && !self.batch.iter().any(overdue) {
            return;
        }
        let waiting = self.fair_order();
        for (key, waiting) in waiting {
            if room > 0
                && !self.must_wait(now, &waiting.requirements)
                && let Some(id) = self.best(now, &waiting.requirements)
            {
                self.grant(now, key, &waiting, &id, actions);
                room -= 1;
                continue;
            }
            if now.since(waiting.arrived) > waiting.requirements.max_wait {
                // Another pool of the service may have room.
                actions.push(Action::Refuse(key, MIN_RETRY_DELAY));
                continue;
            }
            self.batch.push((key, waiting));
        }
        self.batch.sort_by_key(|(_, waiting)| waiting.due);
    }

    /// Drains the waiting batch work, earliest deadline first, but organisations that
    /// have more than an equal share of the batch slots after those that have less.
    /// Otherwise many jobs submitted at once by one organisation, which are all due
    /// before the single job of the next one, would hold every slot until that job is
    /// late.
    fn fair_order(&mut self) -> Vec<(Key, Waiting)> {
        let mut held: BTreeMap<u64, usize> = BTreeMap::new();
        for permit in self.permits.values() {
            if permit.class == Class::Batch && permit.stopping.is_none() {
                *held.entry(permit.organisation).or_default() += 1;
            }
        }
        let total: usize = held.values().sum();
        for (_, waiting) in &self.batch {
            held.entry(waiting.requirements.organisation).or_default();
        }
        let share = total / held.len().max(1);
        let mut order: Vec<(bool, (Key, Waiting))> = Vec::with_capacity(self.batch.len());
        for (key, waiting) in self.batch.drain(..) {
            let has = held.entry(waiting.requirements.organisation).or_default();
            order.push((*has > share, (key, waiting)));
            *has += 1;
        }
        order.sort_by_key(|(behind, _)| *behind);
        order.into_iter().map(|(_, waiting)| waiting).collect()
    }

    pub(super) fn grant(
        &mut self,
        now: Time,
        key: Key,
        waiting: &Waiting,
        id: &Name,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = self.candidates.update(id, |candidate| {
            candidate.occupy(waiting.requirements.class);
            Arc::clone(&candidate.endpoint)
        });
        let Some(endpoint) = endpoint else {
            return;
        };
        self.candidates
            .remember_prefix(id, waiting.requirements.prefix);
        actions.push(Action::Grant(key, endpoint));
        let permit = Permit {
            endpoint: id.clone(),
            class: waiting.requirements.class,
            organisation: waiting.requirements.organisation,
            request: waiting.requirements.request,
            due: waiting.due,
            granted: now,
            renewed: now,
            answering: false,
            stopping: None,
        };
        self.permits.insert(key, permit);
    }

    /// Returns the best endpoint with a free slot among those that have not failed the
    /// request. If all of them have, all are considered again.
    pub(super) fn best(&self, now: Time, requirements: &Requirements) -> Option<Name> {
        let untried = |id: &Name| !requirements.avoid.contains(id);
        let any_untried =
            requirements.avoid.is_empty() || self.candidates.any(requirements, untried);
        let is_suspect = self.is_suspect(requirements.class, requirements.request);
        let with_suspects = self.suspects_running();
        let is_allowed = |id: &Name| {
            (untried(id) || !any_untried) && !(is_suspect && with_suspects.contains(id))
        };
        let risk = |id: &Name| {
            if with_suspects.contains(id) {
                RISK_COST
            } else {
                0.0
            }
        };
        self.candidates.best(now, requirements, is_allowed, risk)
    }

    /// Returns the endpoints that run suspects. If an endpoint crashes while it runs
    /// two suspects, the cause can't be attributed to either, and everything else that
    /// runs there is lost too.
    fn suspects_running(&self) -> BTreeSet<&Name> {
        if self.suspects.is_empty() {
            return BTreeSet::new();
        }
        let permits = self.permits.values();
        let suspects = permits.filter(|permit| self.is_suspect(permit.class, permit.request));
        suspects.map(|permit| &permit.endpoint).collect()
    }

    /// True while a suspect request has to wait, because it is backing off or another
    /// run of it is in progress. Otherwise retries from several gateways could crash
    /// as many endpoints at once.
    fn must_wait(&self, now: Time, requirements: &Requirements) -> bool {
        if !self.is_suspect(requirements.class, requirements.request) {
            return false;
        }
        if self.suspects.is_backing_off(now, requirements.request) {
            return true;
        }
        let same = |permit: &Permit| {
            permit.class == requirements.class && permit.request == requirements.request
        };
        self.permits.values().any(same)
    }

    /// Preempts the batch run that is due last, and returns its endpoint.
    pub(super) fn preempt_one(
        &mut self,
        now: Time,
        requirements: &Requirements,
        actions: &mut Vec<Action>,
    ) -> Option<Name> {
        let candidates = &self.candidates;
        let (key, permit) = self
            .permits
            .iter_mut()
            .filter(|(_, permit)| {
                permit.class == Class::Batch
                    && permit.stopping.is_none()
                    && !requirements.avoid.contains(&permit.endpoint)
                    && candidates.get(&permit.endpoint).is_some_and(|candidate| {
                        candidate.is_available(now)
                            && requirements.accepts(candidate.endpoint.software.as_ref())
                    })
            })
            .max_by_key(|(_, permit)| permit.due)?;
        permit.stopping = Some((now, now));
        actions.push(Action::Stop(*key));
        let id = permit.endpoint.clone();
        self.candidates
            .update(&id, |candidate| candidate.vacate(Class::Batch));
        Some(id)
    }

    pub(super) fn resend_stops(&mut self, now: Time, actions: &mut Vec<Action>) {
        for (key, permit) in &mut self.permits {
            if let Some((_, last_sent)) = &mut permit.stopping
                && now.since(*last_sent) >= STOP_RESEND_INTERVAL
            {
                *last_sent = now;
                actions.push(Action::Stop(*key));
            }
        }
    }
}
