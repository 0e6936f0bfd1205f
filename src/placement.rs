//! Placement of model replicas: reads which models the endpoints of a region hold,
//! plans, and orders the differences. The decisions are free of I/O.
//!
//! Only the holder of the region's lease places models. Two nodes that order the
//! same endpoint would load and drop models in turns, and a holder that was paused
//! may send an outdated order. An endpoint that checks fencing numbers refuses such
//! an order. To one that does not, the holder sends orders only while its lease
//! remains valid for longer than an order takes, and a new holder first waits that
//! long. An order that still arrives late is detected by reading the state back, and
//! corrected. docs/design/placement.md compares the alternatives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Time;
use crate::config::Document;
use crate::lease::Held;
use crate::locate::region;
use crate::member::View;
use crate::name::Name;
use crate::order::{Model, Order, State};

pub mod choose;
mod message;
pub mod run;

pub use message::{Action, Failure, Input};

/// Timeout of an order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a new holder waits before it orders endpoints that do not check fencing
/// numbers.
pub const SETTLE_DELAY: Duration = Duration::from_secs(6);
/// Interval between reads of an endpoint's state when it is as planned.
const POLL_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between reads while changes are pending, when the endpoint has just become
/// unreachable, or while an order of an earlier holder may still arrive.
const FAST_POLL_INTERVAL: Duration = Duration::from_secs(3);
/// How long a new holder polls endpoints that do not check fencing numbers at the fast
/// interval.
const HANDOVER_TIME: Duration = Duration::from_secs(60);
/// Time after which an unreachable endpoint counts as down.
const DOWN_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum number of reads started in one tick, which limits the traffic when a new
/// holder starts or a zone is lost.
const MAX_READS_PER_TICK: usize = 8;
/// Minimum delay before admission is requested again after the weight store refuses
/// it or the store's answer is lost. A refusal may ask for a longer delay.
const ADMIT_RETRY: Duration = Duration::from_secs(2);

/// State of one endpoint.
#[derive(Clone, Debug)]
struct Tracked {
    checks_fencing: bool,
    state: Option<State>,
    /// When it became unreachable, if it is.
    unreachable_since: Option<Time>,
    /// When the read or order in flight was started, if any.
    in_flight_since: Option<Time>,
    next_read: Time,
    /// Models that the weight store has admitted and that it does not yet hold.
    admitted: Vec<Model>,
    /// True after a read, until the next one has been scheduled.
    fresh: bool,
}

/// Maximum number of members of a region that contend for its lease. Each of them reads
/// the row every few seconds, which would overload the table if all members did.
const MAX_CONTENDERS: usize = 3;

/// True when `node` should contend for the lease of its region, that is when it is
/// alive and among the first members of the region by rendezvous hashing.
///
/// The views of members may differ for a while, so more or fewer members may contend.
/// The lease still has at most one holder.
pub fn contends(view: &View, node: &str) -> bool {
    let Some(own) = view.find(node) else {
        return false;
    };
    let mut ranked: Vec<(u64, &str)> = view
        .usable()
        .filter(|member| region(&member.zone) == region(&own.zone))
        .map(|member| (xxh3_64(member.name.as_bytes()), &*member.name))
        .collect();
    ranked.sort_unstable();
    ranked
        .iter()
        .take(MAX_CONTENDERS)
        .any(|(_, name)| *name == node)
}

/// Places the models of one region.
#[derive(Debug)]
pub struct Planner {
    region: Name,
    document: Arc<Document>,
    held: Option<Held>,
    gained_at: Time,
    /// The epoch in which an endpoint refused an order of this node as stale.
    superseded_epoch: u64,
    endpoints: BTreeMap<Name, Tracked>,
    admitting: Option<(Name, Model)>,
    next_admission: Time,
    counts: Vec<choose::Count>,
}

impl Planner {
    /// Creates a planner of `region` that does not hold the lease.
    pub fn new(region: Name) -> Self {
        Self {
            region,
            document: Arc::default(),
            held: None,
            gained_at: Time::ZERO,
            superseded_epoch: 0,
            endpoints: BTreeMap::new(),
            admitting: None,
            next_admission: Time::ZERO,
            counts: Vec::new(),
        }
    }

    /// Wanted and placed replicas of each service in this region, as last planned.
    pub fn counts(&self) -> &[choose::Count] {
        &self.counts
    }

    /// Processes one input and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Tick { held } => {
                self.update_lease(now, held);
                self.tick(now, actions);
            }
            Input::Document(document) => self.set_document(now, document),
            Input::Read { endpoint, result } => self.read(now, &endpoint, result),
            Input::Ordered { endpoint, result } => self.ordered(now, &endpoint, &result, actions),
            Input::Admitted { result } => self.admitted(now, result),
            Input::Suspect(endpoint) => {
                if let Some(tracked) = self.endpoints.get_mut(&endpoint) {
                    tracked.next_read = now;
                }
            }
        }
    }

    fn update_lease(&mut self, now: Time, held: Option<Held>) {
        let before = self.held.map(|held| held.epoch);
        self.held = held;
        if held.map(|held| held.epoch) == before || held.is_none() {
            return;
        }
        self.gained_at = now;
        self.admitting = None;
        // The recorded states may be outdated, so all endpoints are read again.
        for tracked in self.endpoints.values_mut() {
            *tracked = Tracked::new(now, tracked.checks_fencing);
        }
    }

    fn set_document(&mut self, now: Time, document: Arc<Document>) {
        let region_name = self.region.clone();
        let mut old = std::mem::take(&mut self.endpoints);
        let managed = |name: &Name| document.services.get(name).is_some_and(choose::is_managed);
        for endpoint in document.endpoints.values() {
            let here = region(&endpoint.zone) == &*region_name;
            if !here || endpoint.leaving || !endpoint.services.iter().any(managed) {
                continue;
            }
            let mut tracked = old
                .remove(&endpoint.name)
                .unwrap_or_else(|| Tracked::new(now, endpoint.checks_fencing));
            tracked.checks_fencing = endpoint.checks_fencing;
            tracked.next_read = now;
            self.endpoints.insert(endpoint.name.clone(), tracked);
        }
        self.document = document;
    }

    fn read(&mut self, now: Time, endpoint: &Name, result: Result<State, Failure>) {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        tracked.in_flight_since = None;
        tracked.next_read = now + FAST_POLL_INTERVAL;
        if let Ok(state) = result {
            tracked.unreachable_since = None;
            tracked.fresh = true;
            tracked.admitted.retain(|model| !state.hold.contains(model));
            tracked.state = Some(state);
            return;
        }
        tracked.unreachable_since = tracked.unreachable_since.or(Some(now));
        if tracked.is_down(now) {
            tracked.next_read = now + POLL_INTERVAL;
        }
    }

    fn ordered(
        &mut self,
        now: Time,
        endpoint: &Name,
        result: &Result<(), Failure>,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        // The state is read back regardless of the answer.
        tracked.in_flight_since = Some(now);
        actions.push(Action::Read(endpoint.clone()));
        if let Err(Failure::Stale { fence }) = result
            && let Some(held) = self.held
            && *fence > held.epoch
        {
            self.superseded_epoch = held.epoch;
        }
    }

    fn admitted(&mut self, now: Time, result: Result<(), Duration>) {
        let Some((endpoint, model)) = self.admitting.take() else {
            return;
        };
        match result {
            Ok(()) => {
                if let Some(tracked) = self.endpoints.get_mut(&endpoint) {
                    tracked.admitted.push(model);
                }
            }
            Err(wait) => self.next_admission = now + wait.max(ADMIT_RETRY),
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(held) = self.held.filter(|held| now < held.until) else {
            return;
        };
        if held.epoch == self.superseded_epoch {
            return;
        }
        self.poll(now, actions);
        // Planning before every endpoint has been read would load too many models.
        let settled = |tracked: &Tracked| tracked.state.is_some() || tracked.is_down(now);
        if !self.endpoints.values().all(settled) {
            return;
        }
        let states: BTreeMap<Name, State> = self
            .endpoints
            .iter()
            .filter(|(_, tracked)| !tracked.is_down(now))
            .filter_map(|(name, tracked)| Some((name.clone(), tracked.state.clone()?)))
            .collect();
        let plan = choose::plan(&self.document, &self.region, &states);
        if plan.counts != self.counts {
            self.counts.clone_from(&plan.counts);
            actions.push(Action::Counts(plan.counts));
        }
        for (name, hold) in plan.hold {
            self.order(now, held, &name, hold, actions);
        }
    }

    fn poll(&mut self, now: Time, actions: &mut Vec<Action>) {
        for tracked in self.endpoints.values_mut() {
            // The answer was lost, for example because this process was paused.
            if tracked
                .in_flight_since
                .is_some_and(|at| now.since(at) > ORDER_TIMEOUT * 2)
            {
                tracked.in_flight_since = None;
            }
        }
        let due = |tracked: &Tracked| tracked.in_flight_since.is_none() && now >= tracked.next_read;
        let mut reads: Vec<_> = self
            .endpoints
            .iter_mut()
            .filter(|(_, tracked)| due(tracked))
            .collect();
        // The longest overdue come first; otherwise many unreachable endpoints would
        // keep the others from being read.
        reads.sort_by_key(|(_, tracked)| tracked.next_read);
        for (name, tracked) in reads.into_iter().take(MAX_READS_PER_TICK) {
            tracked.in_flight_since = Some(now);
            actions.push(Action::Read(name.clone()));
        }
    }

    /// Sends an order to an endpoint if its models differ from the plan.
    fn order(
        &mut self,
        now: Time,
        held: Held,
        name: &Name,
        wanted: Vec<Model>,
        actions: &mut Vec<Action>,
    ) {
        let in_handover = now.since(self.gained_at) < HANDOVER_TIME;
        let Some(tracked) = self.endpoints.get_mut(name) else {
            return;
        };
        let Some(state) = tracked.state.clone() else {
            return;
        };
        let mut present = state.hold.clone();
        present.sort_unstable();
        if present == wanted {
            // Poll slowly, unless an order of an earlier holder may still arrive.
            let stable =
                tracked.unreachable_since.is_none() && (tracked.checks_fencing || !in_handover);
            if stable && tracked.in_flight_since.is_none() && tracked.fresh {
                tracked.fresh = false;
                tracked.next_read = now + POLL_INTERVAL;
            }
            return;
        }
        if tracked.in_flight_since.is_some() || !tracked.may_order(now, held, self.gained_at) {
            return;
        }
        let missing = wanted
            .iter()
            .find(|model| !present.contains(model) && !tracked.admitted.contains(model));
        if let Some(model) = missing.cloned() {
            if self.admitting.is_none() && now >= self.next_admission {
                actions.push(Action::Admit(model.model.clone()));
                self.admitting = Some((name.clone(), model));
            }
            return;
        }
        tracked.in_flight_since = Some(now);
        let order = Order {
            fence: held.epoch,
            hold: wanted,
            role: state.role,
        };
        let until = tracked.send_until(held);
        actions.push(Action::Order {
            endpoint: name.clone(),
            order,
            until,
        });
    }
}

impl Tracked {
    fn new(now: Time, checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            state: None,
            unreachable_since: None,
            in_flight_since: None,
            next_read: now,
            admitted: Vec::new(),
            fresh: false,
        }
    }

    fn is_down(&self, now: Time) -> bool {
        self.unreachable_since
            .is_some_and(|since| now.since(since) >= DOWN_TIMEOUT)
    }

    /// Time until which an order may be sent.
    fn send_until(&self, held: Held) -> Time {
        if self.checks_fencing {
            held.until
        } else {
            held.until - ORDER_TIMEOUT
        }
    }

    fn may_order(&self, now: Time, held: Held, gained_at: Time) -> bool {
        let settled = self.checks_fencing || now.since(gained_at) >= SETTLE_DELAY;
        settled && now < self.send_until(held)
    }
}
