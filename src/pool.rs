//! Admission to the endpoints of one service, as a decision.
//!
//! One node at a time keeps the pool of a service: every slot of every
//! endpoint, who holds it, and who waits. Gateways ask for a place and send the
//! request to the endpoint themselves. All state is soft: gateways repeat what
//! they hold, and whatever is not repeated is forgotten. Two pools at once, or
//! none, cost time and never correctness. docs/design/admission.md weighs the
//! ways.
//!
//! The load that it answers: online requests come in peaks of some twice their
//! mean, and batch work has seconds to wait. Batch takes every free slot, and
//! is stopped in the same step in which an online request finds none free.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Endpoint;
use crate::clock::Time;
use crate::name::Name;
use crate::quarantine::Fingerprint;

pub mod action;
mod fault;
mod grant;
pub mod message;
mod place;
pub mod serve;
pub mod shard;
mod suspect;

pub use action::{Action, Gauge, Judgement, Key};
use message::{Class, End, Hold, Requirements};
use place::Place;
use suspect::Suspects;

/// A permit that its gateway does not mention for so long is free again: the
/// gateway is gone. Gateways mention what they hold every 400 ms.
const FORGET_PERMIT: Duration = Duration::from_millis(1_700);
/// A gateway that still wants a place for an online request asks again every
/// 100 ms.
const FORGET_ONLINE: Duration = Duration::from_millis(600);
/// The same for batch items, every second.
const FORGET_BATCH: Duration = Duration::from_secs(3);
/// How often what nobody mentions is looked for. In between the slots in use
/// are counted as they change: a pool of 500 slots decides on some 1,000
/// messages a second, and to count them all each time took most of a small
/// VM's processor.
const SWEEP: Duration = Duration::from_millis(100);
/// A stop is sent again until it is obeyed: datagrams get lost.
const STOP_AGAIN: Duration = Duration::from_millis(25);
/// A stopped run ends within a few milliseconds; after this the slot is taken
/// for busy again.
const STOP_EXPECTED: Duration = Duration::from_millis(200);
/// A pool that starts hears of what others hold within this time; until then it
/// gives batch work nothing.
const LEARN: Duration = Duration::from_millis(400);
/// Weight of the newest value in the mean time that online requests hold a slot.
const HOLD_WEIGHT: f64 = 0.05;
/// The mean hold before any was seen.
const FIRST_HOLD: Duration = Duration::from_millis(700);
/// One of so many slots is kept free of batch work, so that a single online
/// request starts without stopping anything.
const RESERVE_ONE_IN: u32 = 32;
/// Most asks that may wait; above it each further one is refused.
const MAX_WAITING: usize = 4_096;
/// Shortest time after which a refused request should come back: less than a
/// seventh of the time that a slot is held frees next to nothing.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest time after which it should: about the length of a peak.
const RETRY_MAX: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Permit {
    endpoint: Name,
    class: Class,
    /// Whose work it is, 0 for nobody's.
    organisation: u64,
    request: Fingerprint,
    /// When the work is due.
    due: Time,
    granted: Time,
    mentioned: Time,
    /// True once the endpoint is known to answer it.
    answering: bool,
    /// When it was told to stop, and last told so.
    stopping: Option<(Time, Time)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    requirements: Requirements,
    arrived: Time,
    heard: Time,
    due: Time,
}

/// The pool of one service.
#[derive(Debug)]
pub struct Pool {
    /// Decides between endpoints that are equally good.
    salt: u64,
    started: Option<Time>,
    places: BTreeMap<Name, Place>,
    permits: BTreeMap<Key, Permit>,
    online: Vec<(Key, Waiting)>,
    batch: Vec<(Key, Waiting)>,
    suspects: Suspects,
    hold: Duration,
    /// Spreads the return of refused requests.
    refused: u32,
    swept: Time,
    /// Asks that came since the last step.
    fresh: Vec<Key>,
    /// What came to be believed of endpoints since the last step.
    judged: Vec<Judgement>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(0)
    }
}

impl Pool {
    /// A pool without endpoints. Each has a `salt` of its own: when all nodes
    /// have restarted, each keeps a pool until it has found the others, and if
    /// all of these took equally good endpoints in the same order, the first ones
    /// would get a request of every node and the last ones none.
    pub fn new(salt: u64) -> Self {
        Self {
            salt,
            started: None,
            places: BTreeMap::new(),
            permits: BTreeMap::new(),
            online: Vec::new(),
            batch: Vec::new(),
            suspects: Suspects::default(),
            hold: FIRST_HOLD,
            refused: 0,
            swept: Time::ZERO,
            fresh: Vec::new(),
            judged: Vec::new(),
        }
    }

    /// Takes the endpoints as the catalog now has them.
    pub fn set_endpoints<'a, I>(&mut self, endpoints: I)
    where
        I: Iterator<Item = &'a Arc<Endpoint>>,
    {
        let mut gone: Vec<Name> = self.places.keys().cloned().collect();
        for endpoint in endpoints {
            gone.retain(|id| *id != endpoint.id);
            let place = self
                .places
                .entry(endpoint.id.clone())
                .or_insert_with(|| Place::new(Arc::clone(endpoint)));
            if place.renew(endpoint) {
                // What ran in its earlier process holds no slot of this one.
                self.permits
                    .retain(|_, permit| permit.endpoint != endpoint.id);
            }
        }
        for id in gone {
            self.places.remove(&id);
        }
    }

    /// A gateway asks for a place, or asks again.
    pub fn acquire(
        &mut self,
        now: Time,
        key: Key,
        requirements: Requirements,
        actions: &mut Vec<Action>,
    ) {
        self.started.get_or_insert(now);
        if requirements.suspect {
            self.suspects.add(now, requirements.request);
        }
        if let Some(permit) = self.permits.get_mut(&key) {
            // The grant was lost.
            permit.mentioned = now;
            if let Some(place) = self.places.get(&permit.endpoint) {
                actions.push(Action::Grant(key, Arc::clone(&place.endpoint)));
            }
            return;
        }
        let due = now + requirements.due;
        let queue = match requirements.class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        if let Some((_, waiting)) = queue.iter_mut().find(|(other, _)| *other == key) {
            waiting.heard = now;
            actions.push(Action::Queued(key));
            return;
        }
        if queue.len() >= MAX_WAITING {
            actions.push(Action::Refuse(key, RETRY_MAX));
            return;
        }
        let waiting = Waiting {
            arrived: now,
            heard: now,
            due,
            requirements,
        };
        self.fresh.push(key);
        let at = match waiting.requirements.class {
            // In order of arrival within a priority.
            Class::Online => queue.partition_point(|(_, other)| {
                other.requirements.priority <= waiting.requirements.priority
            }),
            // What is due first goes first.
            Class::Batch => queue.partition_point(|(_, other)| other.due <= due),
        };
        queue.insert(at, (key, waiting));
    }

    /// A gateway mentions what it holds.
    pub fn hold(&mut self, now: Time, key: Key, hold: &Hold, actions: &mut Vec<Action>) {
        self.started.get_or_insert(now);
        if hold.suspect {
            self.suspects.add(now, hold.request);
        }
        if let Some(permit) = self.permits.get_mut(&key)
            && permit.endpoint == hold.endpoint
        {
            permit.mentioned = now;
            if permit.stopping.is_some() {
                actions.push(Action::Stop(key));
            }
            if hold.answering && !permit.answering {
                permit.answering = true;
                let class = permit.class;
                self.answered(&hold.endpoint, class);
            }
            return;
        }
        // This pool has just begun, or the gateway found the endpoint by itself.
        self.online.retain(|(other, _)| *other != key);
        self.batch.retain(|(other, _)| *other != key);
        self.remove_permit(key);
        let permit = Permit {
            endpoint: hold.endpoint.clone(),
            class: hold.class,
            organisation: hold.organisation,
            request: hold.request,
            due: now + hold.due,
            granted: now,
            mentioned: now,
            answering: hold.answering,
            stopping: None,
        };
        if let Some(place) = self.places.get_mut(&permit.endpoint) {
            place.add(permit.class);
        }
        self.permits.insert(key, permit);
    }

    /// Takes a permit out, and out of its endpoint's count.
    fn remove_permit(&mut self, key: Key) -> Option<Permit> {
        let permit = self.permits.remove(&key)?;
        if permit.stopping.is_none()
            && let Some(place) = self.places.get_mut(&permit.endpoint)
        {
            place.take(permit.class);
        }
        Some(permit)
    }

    /// A gateway gives a place back, or no longer wants one.
    pub fn release(&mut self, now: Time, key: Key, end: End) {
        let Some(permit) = self.remove_permit(key) else {
            self.online.retain(|(other, _)| *other != key);
            self.batch.retain(|(other, _)| *other != key);
            return;
        };
        match end {
            End::Done => {
                self.suspects.remove(permit.request);
                if !permit.answering {
                    self.answered(&permit.endpoint, permit.class);
                }
                if permit.class == Class::Online {
                    let took = now.since(permit.granted).as_secs_f64();
                    let mean = self.hold.as_secs_f64();
                    self.hold = Duration::from_secs_f64(mean + HOLD_WEIGHT * (took - mean));
                }
            }
            End::Error => self.judge(now, &permit),
            End::Crashed => {
                self.suspect_all(now, &permit);
                self.leave_out(now, &permit.endpoint);
            }
            End::Failed => self.leave_out(now, &permit.endpoint),
            End::Full => {
                if let Some(place) = self.places.get_mut(&permit.endpoint) {
                    place.full(now);
                }
            }
            End::Left | End::Stopped => {}
        }
    }

    /// An endpoint's process ended: whatever ran there may have ended it.
    fn suspect_all(&mut self, now: Time, ended: &Permit) {
        self.suspects.crashed(now, ended.request);
        let there = self.permits.values();
        for permit in there.filter(|permit| permit.endpoint == ended.endpoint) {
            self.suspects.add(now, permit.request);
        }
    }

    /// An endpoint answers.
    fn answered(&mut self, endpoint: &Name, class: Class) {
        if let Some(place) = self.places.get_mut(endpoint)
            && place.succeeded(class)
        {
            let endpoint = endpoint.clone();
            self.judged.push(Judgement::Trusted { endpoint });
        }
    }

    /// Gives an endpoint nothing for a while.
    fn leave_out(&mut self, now: Time, endpoint: &Name) {
        if let Some(place) = self.places.get_mut(endpoint)
            && let Some(pause) = place.failed(now)
        {
            self.judged.push(Judgement::LeftOut {
                endpoint: endpoint.clone(),
                pause,
                strikes: place.strikes(),
                errors_online: place.errors(Class::Online),
                errors_batch: place.errors(Class::Batch),
            });
        }
    }

    /// Leaves an endpoint out that fails what others don't.
    fn judge(&mut self, now: Time, permit: &Permit) {
        let class = permit.class;
        let mut others: Vec<f64> = self
            .places
            .iter()
            .filter(|(id, place)| **id != permit.endpoint && place.slots() > 0)
            .map(|(_, place)| place.error_rate(class))
            .collect();
        let Some(place) = self.places.get_mut(&permit.endpoint) else {
            return;
        };
        place.erred(class);
        if fault::is_outlier(place.error_rate(class), &mut others) {
            self.leave_out(now, &permit.endpoint);
        }
    }

    /// Decides all that can be decided at `now`.
    pub fn step(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.expire(now);
            self.count(now);
            self.repeat_stops(now, actions);
        }
        self.serve_online(now, actions);
        self.serve_batch(now, actions);
        self.confirm(actions);
        actions.extend(self.judged.drain(..).map(Action::Judged));
    }

    /// Tells those whose asks now wait that they are known.
    fn confirm(&mut self, actions: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.fresh) {
            let waits = |queue: &[(Key, Waiting)]| queue.iter().any(|(other, _)| *other == key);
            if waits(&self.online) || waits(&self.batch) {
                actions.push(Action::Queued(key));
            }
        }
    }

    /// When [`Self::step`] is needed next though nothing arrives.
    pub fn is_idle(&self) -> bool {
        self.online.is_empty() && self.batch.is_empty() && self.permits.is_empty()
    }

    /// What the tests and a status page look at: slots, permits held, online and batch waiting.
    pub fn gauge(&self) -> Gauge {
        Gauge {
            slots: self.places.values().map(Place::slots).sum(),
            held: self.permits.len(),
            online_waiting: self.online.len(),
            batch_waiting: self.batch.len(),
        }
    }

    fn expire(&mut self, now: Time) {
        self.suspects.expire(now);
        self.permits
            .retain(|_, permit| now.since(permit.mentioned) < FORGET_PERMIT);
        self.online
            .retain(|(_, waiting)| now.since(waiting.heard) < FORGET_ONLINE);
        self.batch
            .retain(|(_, waiting)| now.since(waiting.heard) < FORGET_BATCH);
    }

    fn count(&mut self, now: Time) {
        for place in self.places.values_mut() {
            place.online = 0;
            place.batch = 0;
        }
        for permit in self.permits.values() {
            let Some(place) = self.places.get_mut(&permit.endpoint) else {
                continue;
            };
            match (permit.class, permit.stopping) {
                (Class::Online, _) => place.online += 1,
                // Its slot is as good as free.
                (Class::Batch, Some((since, _))) if now.since(since) < STOP_EXPECTED => {}
                (Class::Batch, _) => place.batch += 1,
            }
        }
    }
}
