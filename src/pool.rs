//! Admission control for the endpoints of one service, without I/O.
//!
//! One node at a time owns the pool of a service: every slot of every endpoint,
//! the permits that hold slots, and the waiting requests. Gateways acquire a
//! permit for a slot and send the request to the endpoint themselves. All state
//! is soft: gateways renew their permits, and permits that are not renewed
//! expire. Two pools at once, or none, cost time but never correctness.
//! docs/design/admission.md compares the alternatives.
//!
//! Online requests arrive in peaks of about twice their mean, whereas batch work
//! can wait for seconds. So batch work takes every free slot, and is preempted
//! in the same step in which an online request finds none free.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Endpoint;
use crate::clock::Time;
use crate::name::Name;
use crate::quarantine::Fingerprint;

pub mod action;
mod candidate;
mod candidates;
mod fault;
mod grant;
pub mod message;
pub mod serve;
pub mod shard;
mod suspect;

pub use action::{Action, Gauge, Key, Transition};
use candidates::Candidates;
use message::{Class, End, Renewal, Requirements};
use suspect::Suspects;

/// Time after which a permit that is not renewed expires, because its gateway is
/// gone. Gateways renew their permits every 400 ms.
const PERMIT_TTL: Duration = Duration::from_millis(1_700);
/// Time after which a waiting online request expires. Gateways repeat them every
/// 100 ms.
const ONLINE_WAIT_TTL: Duration = Duration::from_millis(600);
/// Time after which a waiting batch item expires. Gateways repeat them every second.
const BATCH_WAIT_TTL: Duration = Duration::from_secs(3);
/// Interval between sweeps for expired entries, which also recount the used slots.
/// Between sweeps the counts are updated incrementally: a pool of 500 slots handles
/// about 1,000 messages per second, and a recount for each of them used most of a
/// small VM's CPU.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a stop is resent until the run ends, since datagrams get lost.
const STOP_RESEND_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which the slot of a run that did not stop counts as used again. A
/// stopped run usually ends within a few milliseconds.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after its start within which a pool receives renewals of all permits that
/// gateways hold. Until then it grants no batch work.
const LEARNING_TIME: Duration = Duration::from_millis(400);
/// Weight of a new sample in the mean time that online requests hold a slot.
const MEAN_HOLD_WEIGHT: f64 = 0.05;
/// Initial value of that mean.
const INITIAL_MEAN_HOLD: Duration = Duration::from_millis(700);
/// One in this many slots is reserved for online requests, so that a single one
/// starts without preempting batch work.
const RESERVE_DIVISOR: u32 = 32;
/// Maximum number of waiting requests of each class; further ones are refused.
const MAX_WAITING: usize = 4_096;
/// Minimum retry delay. In less than a seventh of the time that a slot is held,
/// almost no slots become free.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum retry delay, about the length of a load peak.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Permit {
    endpoint: Name,
    class: Class,
    /// Hash of the organisation, or 0 for none.
    organisation: u64,
    request: Fingerprint,
    /// When the work is due.
    due: Time,
    granted: Time,
    renewed: Time,
    /// True once the endpoint has started to answer.
    answering: bool,
    /// When the first and the last stop were sent, if any.
    stopping: Option<(Time, Time)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    requirements: Requirements,
    arrived: Time,
    renewed: Time,
    due: Time,
}

/// The pool of one service.
#[derive(Debug)]
pub struct Pool {
    started: Option<Time>,
    candidates: Candidates,
    permits: BTreeMap<Key, Permit>,
    online: Vec<(Key, Waiting)>,
    batch: Vec<(Key, Waiting)>,
    suspects: Suspects,
    mean_hold: Duration,
    /// Counter that spreads the retries of refused requests.
    refused: u32,
    last_sweep: Time,
    /// Requests queued since the last step.
    newly_queued: Vec<Key>,
    /// Health transitions of endpoints since the last step.
    transitions: Vec<Transition>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(0)
    }
}

impl Pool {
    /// Creates a pool without endpoints. Each pool has its own `salt`: after a restart
    /// of all nodes, each node runs a pool until it has discovered the others. If all
    /// of them ordered endpoints with equal scores alike, the first endpoints would
    /// get a request of every node and the last ones none.
    pub fn new(salt: u64) -> Self {
        Self {
            started: None,
            candidates: Candidates::new(salt),
            permits: BTreeMap::new(),
            online: Vec::new(),
            batch: Vec::new(),
            suspects: Suspects::default(),
            mean_hold: INITIAL_MEAN_HOLD,
            refused: 0,
            last_sweep: Time::ZERO,
            newly_queued: Vec::new(),
            transitions: Vec::new(),
        }
    }

    /// Replaces the endpoints by those of the current catalog.
    pub fn set_endpoints<'a, I>(&mut self, endpoints: I)
    where
        I: Iterator<Item = &'a Arc<Endpoint>>,
    {
        let mut present = BTreeSet::new();
        for endpoint in endpoints {
            present.insert(&endpoint.id);
            self.put_endpoint(endpoint);
        }
        let ids = self.candidates.iter().map(|(id, _)| id);
        let removed: Vec<Name> = ids.filter(|id| !present.contains(id)).cloned().collect();
        for id in &removed {
            self.candidates.remove(id);
        }
    }

    /// Adds an endpoint, or updates it.
    pub fn put_endpoint(&mut self, endpoint: &Arc<Endpoint>) {
        if self.candidates.put(endpoint) {
            // Runs of the previous process hold no slots of the new one.
            self.permits
                .retain(|_, permit| permit.endpoint != endpoint.id);
        }
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, id: &Name) {
        self.candidates.remove(id);
    }

    /// Handles a gateway's request for a slot, or a repetition of it.
    pub fn acquire(
        &mut self,
        now: Time,
        key: Key,
        requirements: Requirements,
        actions: &mut Vec<Action>,
    ) {
        self.started.get_or_insert(now);
        if requirements.suspect && requirements.class.may_crash_endpoints() {
            self.suspects.add(now, requirements.request);
        }
        if let Some(permit) = self.permits.get_mut(&key) {
            // The datagram with the grant was lost.
            permit.renewed = now;
            if let Some(candidate) = self.candidates.get(&permit.endpoint) {
                actions.push(Action::Grant(key, Arc::clone(&candidate.endpoint)));
            }
            return;
        }
        let due = now + requirements.due;
        let queue = match requirements.class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        if let Some((_, waiting)) = queue.iter_mut().find(|(other, _)| *other == key) {
            waiting.renewed = now;
            actions.push(Action::Queued(key));
            return;
        }
        if queue.len() >= MAX_WAITING {
            actions.push(Action::Refuse(key, MAX_RETRY_DELAY));
            return;
        }
        let waiting = Waiting {
            arrived: now,
            renewed: now,
            due,
            requirements,
        };
        self.newly_queued.push(key);
        let at = match waiting.requirements.class {
            // In order of arrival within a priority.
            Class::Online => queue.partition_point(|(_, other)| {
                other.requirements.priority <= waiting.requirements.priority
            }),
            // Earliest deadline first.
            Class::Batch => queue.partition_point(|(_, other)| other.due <= due),
        };
        queue.insert(at, (key, waiting));
    }

    /// Renews a permit that a gateway holds.
    pub fn renew(&mut self, now: Time, key: Key, renewal: &Renewal, actions: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        if renewal.suspect && renewal.class.may_crash_endpoints() {
            self.suspects.add(now, renewal.request);
        }
        if let Some(permit) = self.permits.get_mut(&key)
            && permit.endpoint == renewal.endpoint
        {
            permit.renewed = now;
            if permit.stopping.is_some() {
                actions.push(Action::Stop(key));
            }
            if renewal.answering && !permit.answering {
                permit.answering = true;
                let class = permit.class;
                self.record_answer(&renewal.endpoint, class);
            }
            return;
        }
        // The pool has just started, or the gateway chose the endpoint without it.
        self.online.retain(|(other, _)| *other != key);
        self.batch.retain(|(other, _)| *other != key);
        self.remove_permit(key);
        let permit = Permit {
            endpoint: renewal.endpoint.clone(),
            class: renewal.class,
            organisation: renewal.organisation,
            request: renewal.request,
            due: now + renewal.due,
            granted: now,
            renewed: now,
            answering: renewal.answering,
            stopping: None,
        };
        self.candidates
            .update(&permit.endpoint, |it| it.occupy(permit.class));
        self.permits.insert(key, permit);
    }

    /// Removes a permit and frees its slot.
    fn remove_permit(&mut self, key: Key) -> Option<Permit> {
        let permit = self.permits.remove(&key)?;
        if permit.stopping.is_none() {
            self.candidates
                .update(&permit.endpoint, |it| it.vacate(permit.class));
        }
        Some(permit)
    }

    /// Releases a permit, or withdraws a waiting request.
    pub fn release(&mut self, now: Time, key: Key, end: End) {
        let Some(permit) = self.remove_permit(key) else {
            self.online.retain(|(other, _)| *other != key);
            self.batch.retain(|(other, _)| *other != key);
            return;
        };
        match end {
            End::Done => {
                if permit.class.may_crash_endpoints() {
                    self.suspects.remove(permit.request);
                }
                if !permit.answering {
                    self.record_answer(&permit.endpoint, permit.class);
                }
                if permit.class == Class::Online {
                    let held = now.since(permit.granted).as_secs_f64();
                    let mean = self.mean_hold.as_secs_f64();
                    self.mean_hold =
                        Duration::from_secs_f64(mean + MEAN_HOLD_WEIGHT * (held - mean));
                }
            }
            End::Error => self.record_error(now, &permit),
            End::Crashed => {
                self.suspect_running(now, &permit);
                self.eject(now, &permit.endpoint);
            }
            End::Failed => self.eject(now, &permit.endpoint),
            End::Full => {
                self.candidates
                    .update(&permit.endpoint, |it| it.pause_full(now));
            }
            End::Left | End::Stopped => {}
        }
    }

    /// Marks every request that ran on a crashed endpoint as suspect, since any of them may
    /// have caused the crash.
    fn suspect_running(&mut self, now: Time, ended: &Permit) {
        if ended.class.may_crash_endpoints() {
            self.suspects.add_crash(now, ended.request);
        }
        let beside = |permit: &&Permit| permit.endpoint == ended.endpoint;
        for permit in self.permits.values().filter(beside) {
            if permit.class.may_crash_endpoints() {
                self.suspects.add(now, permit.request);
            }
        }
    }

    /// True if a request of this class is a suspect.
    fn is_suspect(&self, class: Class, request: Fingerprint) -> bool {
        class.may_crash_endpoints() && self.suspects.contains(request)
    }

    /// Records a good answer of an endpoint.
    fn record_answer(&mut self, endpoint: &Name, class: Class) {
        let restored = self
            .candidates
            .update(endpoint, |it| it.record_success(class));
        if restored == Some(true) {
            let endpoint = endpoint.clone();
            self.transitions.push(Transition::Restored { endpoint });
        }
    }

    /// Pauses an endpoint after a failure.
    fn eject(&mut self, now: Time, endpoint: &Name) {
        let pause = self.candidates.update(endpoint, |it| it.pause(now));
        if let Some(pause) = pause.flatten()
            && let Some(candidate) = self.candidates.get(endpoint)
        {
            self.transitions.push(Transition::Ejected {
                endpoint: endpoint.clone(),
                pause,
                strikes: candidate.strikes(),
                errors_online: candidate.error_permille(Class::Online),
                errors_batch: candidate.error_permille(Class::Batch),
            });
        }
    }

    /// Records an error, and ejects the endpoint if its error rate is an outlier.
    fn record_error(&mut self, now: Time, permit: &Permit) {
        let class = permit.class;
        let rate = self
            .candidates
            .update(&permit.endpoint, |it| it.record_error(class));
        let Some(rate) = rate.filter(|rate| fault::may_be_outlier(*rate)) else {
            return;
        };
        let mut others: Vec<f64> = self
            .candidates
            .iter()
            .filter(|(id, candidate)| **id != permit.endpoint && candidate.slots() > 0)
            .map(|(_, candidate)| candidate.error_rate(class))
            .collect();
        if fault::is_outlier(rate, &mut others) {
            self.eject(now, &permit.endpoint);
        }
    }

    /// Makes all decisions that are possible at `now`.
    pub fn step(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.expire(now);
            self.recount(now);
            self.resend_stops(now, actions);
        }
        self.serve_online(now, actions);
        self.serve_batch(now, actions);
        self.confirm_queued(actions);
        actions.extend(self.transitions.drain(..).map(Action::HealthChanged));
    }

    /// Acknowledges requests that were queued since the last step.
    fn confirm_queued(&mut self, actions: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.newly_queued) {
            let is_waiting =
                |queue: &[(Key, Waiting)]| queue.iter().any(|(other, _)| *other == key);
            if is_waiting(&self.online) || is_waiting(&self.batch) {
                actions.push(Action::Queued(key));
            }
        }
    }

    /// True when [`Self::step`] has nothing to do until a message arrives.
    pub fn is_idle(&self) -> bool {
        self.online.is_empty() && self.batch.is_empty() && self.permits.is_empty()
    }

    /// Returns the totals of the pool, for tests and a status page.
    pub fn gauge(&self) -> Gauge {
        Gauge {
            slots: self.candidates.slots(),
            held: self.permits.len(),
            online_waiting: self.online.len(),
            batch_waiting: self.batch.len(),
        }
    }

    fn expire(&mut self, now: Time) {
        self.suspects.expire(now);
        self.permits
            .retain(|_, permit| now.since(permit.renewed) < PERMIT_TTL);
        self.online
            .retain(|(_, waiting)| now.since(waiting.renewed) < ONLINE_WAIT_TTL);
        self.batch
            .retain(|(_, waiting)| now.since(waiting.renewed) < BATCH_WAIT_TTL);
    }

    fn recount(&mut self, now: Time) {
        let mut used: BTreeMap<Name, (u32, u32)> = BTreeMap::new();
        for permit in self.permits.values() {
            let (online, batch) = used.entry(permit.endpoint.clone()).or_default();
            match (permit.class, permit.stopping) {
                (Class::Online, _) => *online += 1,
                // Its slot is about to become free.
                (Class::Batch, Some((since, _))) if now.since(since) < STOP_TIMEOUT => {}
                (Class::Batch, _) => *batch += 1,
            }
        }
        self.candidates.set_used(&used);
        self.candidates.expire_pauses(now);
    }
}
