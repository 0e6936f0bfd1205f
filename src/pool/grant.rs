//! Who gets a place next, and which batch run makes room for it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::message::{Class, Requirements};
use super::place::Place;
use super::{
    Action, Key, LEARN, Permit, Pool, RESERVE_ONE_IN, RETRY_MAX, RETRY_MIN, STOP_AGAIN, Waiting,
};
use crate::clock::Time;
use crate::name::Name;

/// What the risk costs of running beside a suspect, in the measure of a place's score:
/// half of the endpoint's slots.
const RISK_COST: f64 = 0.5;

impl Pool {
    pub(super) fn serve_online(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.online.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.online);
        let slots: u32 = self.places.values().map(Place::slots).sum();
        let mut ahead = 0_u32;
        for (key, waiting) in waiting {
            if self.waits(now, &waiting.requirements) {
                if now.since(waiting.arrived) > waiting.requirements.max_wait {
                    actions.push(Action::Refuse(key, RETRY_MIN));
                } else {
                    self.online.push((key, waiting));
                }
                continue;
            }
            let place = self
                .best(now, &waiting.requirements)
                .or_else(|| self.stop_one(now, &waiting.requirements, actions));
            if let Some(id) = place {
                self.grant(now, key, &waiting, &id, actions);
                continue;
            }
            // Every slot holds an online request. Each gets free after `hold`
            // on average, so the wait follows from the number ahead.
            ahead += 1;
            let expected = self.hold * ahead / slots.max(1);
            let waited = now.since(waiting.arrived);
            if waited + expected > waiting.requirements.max_wait {
                actions.push(Action::Refuse(key, self.retry_after(expected)));
                ahead -= 1;
                continue;
            }
            self.online.push((key, waiting));
        }
    }

    /// When a request should come back that would have to wait for `expected`.
    /// Consecutive ones get later times, so that they return in the order in
    /// which they were refused and not all at once.
    pub(super) fn retry_after(&mut self, expected: Duration) -> Duration {
        self.refused = (self.refused + 1) % 16;
        let spread = self.hold * self.refused / 16;
        (expected + spread).clamp(RETRY_MIN, RETRY_MAX)
    }

    pub(super) fn serve_batch(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.batch.is_empty() {
            return;
        }
        let learning = self
            .started
            .is_none_or(|started| now.since(started) < LEARN);
        let slots: u32 = self.places.values().map(Place::slots).sum();
        let reserve = slots.div_ceil(RESERVE_ONE_IN);
        let free: u32 = self.places.values().map(|place| place.free(now)).sum();
        let mut room = if learning {
            0
        } else {
            free.saturating_sub(reserve)
        };
        let impatient = |(_, waiting): &(Key, Waiting)| {
            now.since(waiting.arrived) > waiting.requirements.max_wait
        };
        if room == 0 && !self.batch.iter().any(impatient) {
            return;
        }
        let waiting = self.fair_order();
        for (key, waiting) in waiting {
            if room > 0
                && !self.waits(now, &waiting.requirements)
                && let Some(id) = self.best(now, &waiting.requirements)
            {
                self.grant(now, key, &waiting, &id, actions);
                room -= 1;
                continue;
            }
            if now.since(waiting.arrived) > waiting.requirements.max_wait {
                // Another pool of the service may have room.
                actions.push(Action::Refuse(key, RETRY_MIN));
                continue;
            }
            self.batch.push((key, waiting));
        }
        self.batch.sort_by_key(|(_, waiting)| waiting.due);
    }

    /// Takes the waiting batch work, what is due first first, but an organisation
    /// that has an equal part of the batch slots behind those that have less. Many
    /// jobs that one hands in at once are due before the next one's single job, and
    /// would hold every slot until that is late.
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
        let part = total / held.len().max(1);
        let mut order: Vec<(bool, (Key, Waiting))> = Vec::with_capacity(self.batch.len());
        for (key, waiting) in self.batch.drain(..) {
            let has = held.entry(waiting.requirements.organisation).or_default();
            order.push((*has > part, (key, waiting)));
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
        let Some(place) = self.places.get_mut(id) else {
            return;
        };
        place.add(waiting.requirements.class);
        place.granted(waiting.requirements.prefix);
        actions.push(Action::Grant(key, Arc::clone(&place.endpoint)));
        let permit = Permit {
            endpoint: id.clone(),
            class: waiting.requirements.class,
            organisation: waiting.requirements.organisation,
            request: waiting.requirements.request,
            due: waiting.due,
            granted: now,
            mentioned: now,
            answering: false,
            stopping: None,
        };
        self.permits.insert(key, permit);
    }

    /// The best endpoint with a free slot, of those that have not failed the
    /// request; where all of them have, any may do better now.
    pub(super) fn best(&self, now: Time, requirements: &Requirements) -> Option<Name> {
        let fresh = |id: &Name| !requirements.avoid.contains(id);
        let any_fresh = requirements.avoid.is_empty()
            || self
                .places
                .iter()
                .any(|(id, place)| place.slots() > 0 && fresh(id));
        let is_suspect = self.suspects.has(requirements.request);
        let beside = self.suspects_running();
        self.places
            .iter()
            .filter(|(id, place)| place.free(now) > 0 && (fresh(id) || !any_fresh))
            .filter(|(id, _)| !(is_suspect && beside.contains(id)))
            .map(|(id, place)| {
                let risk = if beside.contains(id) { RISK_COST } else { 0.0 };
                (place.score(requirements) + risk, self.draw(id), id)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, _, id)| id.clone())
    }

    /// The endpoints at which suspects run. Two that ran at one endpoint when it ended
    /// could not be told apart, and whatever else runs there ends with it.
    fn suspects_running(&self) -> BTreeSet<&Name> {
        if self.suspects.is_empty() {
            return BTreeSet::new();
        }
        let permits = self.permits.values();
        let suspects = permits.filter(|permit| self.suspects.has(permit.request));
        suspects.map(|permit| &permit.endpoint).collect()
    }

    /// True while a suspected request has to wait: it rests, or another run of it goes
    /// on. Repeats at several gateways would otherwise end as many endpoints at once.
    fn waits(&self, now: Time, requirements: &Requirements) -> bool {
        if self.suspects.is_empty() || !self.suspects.has(requirements.request) {
            return false;
        }
        if self.suspects.rests(now, requirements.request) {
            return true;
        }
        let same = |permit: &Permit| permit.request == requirements.request;
        self.permits.values().any(same)
    }

    /// A number that is as good as random, and the same each time.
    pub(super) fn draw(&self, id: &Name) -> u64 {
        xxh3_64_with_seed(id.as_bytes(), self.salt)
    }

    /// Stops the batch run that can best wait, and returns its endpoint.
    pub(super) fn stop_one(
        &mut self,
        now: Time,
        requirements: &Requirements,
        actions: &mut Vec<Action>,
    ) -> Option<Name> {
        let places = &self.places;
        let (key, permit) = self
            .permits
            .iter_mut()
            .filter(|(_, permit)| {
                permit.class == Class::Batch
                    && permit.stopping.is_none()
                    && !requirements.avoid.contains(&permit.endpoint)
                    && places
                        .get(&permit.endpoint)
                        .is_some_and(|place| place.is_open(now))
            })
            .max_by_key(|(_, permit)| permit.due)?;
        permit.stopping = Some((now, now));
        actions.push(Action::Stop(*key));
        let id = permit.endpoint.clone();
        if let Some(place) = self.places.get_mut(&id) {
            place.take(Class::Batch);
        }
        Some(id)
    }

    pub(super) fn repeat_stops(&mut self, now: Time, actions: &mut Vec<Action>) {
        for (key, permit) in &mut self.permits {
            if let Some((_, told)) = &mut permit.stopping
                && now.since(*told) >= STOP_AGAIN
            {
                *told = now;
                actions.push(Action::Stop(*key));
            }
        }
    }
}
