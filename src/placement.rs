//! Reaching and keeping the wanted replicas: reads what the endpoints of a
//! region hold, plans, and orders what differs, as a pure decision.
//!
//! One node does this, the holder of the region's lease. What goes wrong
//! otherwise: two nodes order one endpoint about, and models are loaded and
//! dropped in turns; a holder that was paused sends an order of long ago. An
//! endpoint that checks fencing numbers refuses that order. For one that does
//! not, the holder sends only while its lease has more time left than an order
//! takes, a new holder first waits that long, and whatever still arrives late
//! is found by reading back and corrected. docs/design/placement.md weighs the
//! ways.

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

/// Longest time that an order may be under way before its sender gives up.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a new holder waits before it orders endpoints that do not check.
pub const SETTLE: Duration = Duration::from_secs(6);
/// How often the state of an endpoint is read when all is as wanted.
const POLL: Duration = Duration::from_secs(30);
/// How often it is read while something is to be changed, while it has just
/// stopped answering, or while an order of an earlier holder may still arrive.
const POLL_SOON: Duration = Duration::from_secs(3);
/// How long a new holder reads endpoints that do not check that often.
const WATCH: Duration = Duration::from_secs(60);
/// An endpoint that could not be reached for this long is not counted on.
const DOWN_AFTER: Duration = Duration::from_secs(12);
/// Reads begun in one tick, to bound the traffic after a new holder starts or
/// a zone is lost.
const READS_A_TICK: usize = 8;
/// Pause before the weight store is asked again when its answer was lost.
const ADMIT_RETRY: Duration = Duration::from_secs(2);

/// What is known of one endpoint.
#[derive(Clone, Debug)]
struct Known {
    checks: bool,
    state: Option<State>,
    /// Since when it has not answered, if it has not.
    silent: Option<Time>,
    /// Since when it has been asked, if it is being asked or ordered.
    asked: Option<Time>,
    next: Time,
    /// Loads that the weight store has admitted and that it does not yet hold.
    admitted: Vec<Model>,
    /// True after a read, until it was decided when to read it next.
    rest: bool,
}

/// Members of a region that wait for its lease beside the holder. Each looks at
/// the row every few seconds, which would be too much for the table if all did.
const CONTENDERS: usize = 3;

/// True when `node` should want the lease of its region: when it is alive and
/// among the first members of the region by rendezvous hashing.
///
/// Members may disagree for a while, so that more or fewer of them contend; the
/// lease keeps them apart.
pub fn contends(view: &View, node: &str) -> bool {
    let Some(me) = view.find(node) else {
        return false;
    };
    let mut ranked: Vec<(u64, &str)> = view
        .usable()
        .filter(|member| region(&member.zone) == region(&me.zone))
        .map(|member| (xxh3_64(member.name.as_bytes()), &*member.name))
        .collect();
    ranked.sort_unstable();
    ranked
        .iter()
        .take(CONTENDERS)
        .any(|(_, name)| *name == node)
}

/// Places the models of one region.
#[derive(Debug)]
pub struct Planner {
    region: Name,
    document: Arc<Document>,
    held: Option<Held>,
    gained: Time,
    /// The epoch under which an endpoint refused this node as stale.
    deposed: u64,
    endpoints: BTreeMap<Name, Known>,
    admitting: Option<(Name, Model)>,
    admit_at: Time,
    counts: Vec<choose::Count>,
}

impl Planner {
    /// A planner of `region` that holds no lease.
    pub fn new(region: Name) -> Self {
        Self {
            region,
            document: Arc::default(),
            held: None,
            gained: Time::ZERO,
            deposed: 0,
            endpoints: BTreeMap::new(),
            admitting: None,
            admit_at: Time::ZERO,
            counts: Vec::new(),
        }
    }

    /// What each service wants in this region and has, as last planned.
    pub fn counts(&self) -> &[choose::Count] {
        &self.counts
    }

    /// Takes one input and appends what must be done to `actions`.
    pub fn step(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Tick { held } => {
                self.hold(now, held);
                self.tick(now, actions);
            }
            Input::Document(document) => self.set_document(now, document),
            Input::Read { endpoint, result } => self.read(now, &endpoint, result),
            Input::Ordered { endpoint, result } => self.ordered(now, &endpoint, &result, actions),
            Input::Admitted { result } => self.admitted(now, result),
            Input::Suspect(endpoint) => {
                if let Some(known) = self.endpoints.get_mut(&endpoint) {
                    known.next = now;
                }
            }
        }
    }

    fn hold(&mut self, now: Time, held: Option<Held>) {
        let before = self.held.map(|held| held.epoch);
        self.held = held;
        if held.map(|held| held.epoch) == before || held.is_none() {
            return;
        }
        self.gained = now;
        self.admitting = None;
        // What was known of them may be long past; their present state counts.
        for known in self.endpoints.values_mut() {
            *known = Known::new(now, known.checks);
        }
    }

    fn set_document(&mut self, now: Time, document: Arc<Document>) {
        let own = self.region.clone();
        let mut old = std::mem::take(&mut self.endpoints);
        let managed = |name: &Name| document.services.get(name).is_some_and(choose::is_managed);
        for endpoint in document.endpoints.values() {
            let here = region(&endpoint.zone) == &*own;
            if !here || endpoint.leaving || !endpoint.services.iter().any(managed) {
                continue;
            }
            let mut known = old
                .remove(&endpoint.name)
                .unwrap_or_else(|| Known::new(now, endpoint.checks_fencing));
            known.checks = endpoint.checks_fencing;
            known.next = now;
            self.endpoints.insert(endpoint.name.clone(), known);
        }
        self.document = document;
    }

    fn read(&mut self, now: Time, endpoint: &Name, result: Result<State, Failure>) {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        known.asked = None;
        known.next = now + POLL_SOON;
        if let Ok(state) = result {
            known.silent = None;
            known.rest = true;
            known.admitted.retain(|load| !state.hold.contains(load));
            known.state = Some(state);
            return;
        }
        known.silent = known.silent.or(Some(now));
        if known.is_down(now) {
            known.next = now + POLL;
        }
    }

    fn ordered(
        &mut self,
        now: Time,
        endpoint: &Name,
        result: &Result<(), Failure>,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        // Whatever the answer says, what the endpoint holds is read back.
        known.asked = Some(now);
        actions.push(Action::Read(endpoint.clone()));
        if let Err(Failure::Stale { fence }) = result
            && let Some(held) = self.held
            && *fence > held.epoch
        {
            self.deposed = held.epoch;
        }
    }

    fn admitted(&mut self, now: Time, result: Result<(), Duration>) {
        let Some((endpoint, load)) = self.admitting.take() else {
            return;
        };
        match result {
            Ok(()) => {
                if let Some(known) = self.endpoints.get_mut(&endpoint) {
                    known.admitted.push(load);
                }
            }
            Err(wait) => self.admit_at = now + wait.max(ADMIT_RETRY),
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(held) = self.held.filter(|held| now < held.until) else {
            return;
        };
        if held.epoch == self.deposed {
            return;
        }
        self.poll(now, actions);
        // Until every endpoint has been asked once, too many would be loaded.
        let settled = |known: &Known| known.state.is_some() || known.is_down(now);
        if !self.endpoints.values().all(settled) {
            return;
        }
        let known: BTreeMap<Name, State> = self
            .endpoints
            .iter()
            .filter(|(_, known)| !known.is_down(now))
            .filter_map(|(name, known)| Some((name.clone(), known.state.clone()?)))
            .collect();
        let plan = choose::plan(&self.document, &self.region, &known);
        if plan.counts != self.counts {
            self.counts.clone_from(&plan.counts);
            actions.push(Action::Counts(plan.counts));
        }
        for (name, hold) in plan.hold {
            self.order(now, held, &name, hold, actions);
        }
    }

    fn poll(&mut self, now: Time, actions: &mut Vec<Action>) {
        for known in self.endpoints.values_mut() {
            // An answer that never came, as when this process was paused.
            if known
                .asked
                .is_some_and(|at| now.since(at) > ORDER_TIMEOUT * 2)
            {
                known.asked = None;
            }
        }
        let due = |known: &Known| known.asked.is_none() && now >= known.next;
        let mut reads: Vec<_> = self
            .endpoints
            .iter_mut()
            .filter(|(_, known)| due(known))
            .collect();
        // Those that wait longest come first, or else many that don't answer
        // would keep the others from being read.
        reads.sort_by_key(|(_, known)| known.next);
        for (name, known) in reads.into_iter().take(READS_A_TICK) {
            known.asked = Some(now);
            actions.push(Action::Read(name.clone()));
        }
    }

    /// Orders an endpoint if it does not hold what it should, or lets it be.
    fn order(
        &mut self,
        now: Time,
        held: Held,
        name: &Name,
        wanted: Vec<Model>,
        actions: &mut Vec<Action>,
    ) {
        let watch = now.since(self.gained) < WATCH;
        let Some(known) = self.endpoints.get_mut(name) else {
            return;
        };
        let Some(state) = known.state.clone() else {
            return;
        };
        let mut present = state.hold.clone();
        present.sort_unstable();
        if present == wanted {
            // Read rarely, unless an order of an earlier holder may still come.
            let quiet = known.silent.is_none() && (known.checks || !watch);
            if quiet && known.asked.is_none() && known.rest {
                known.rest = false;
                known.next = now + POLL;
            }
            return;
        }
        if known.asked.is_some() || !known.may_order(now, held, self.gained) {
            return;
        }
        let missing = wanted
            .iter()
            .find(|load| !present.contains(load) && !known.admitted.contains(load));
        if let Some(load) = missing.cloned() {
            if self.admitting.is_none() && now >= self.admit_at {
                actions.push(Action::Admit(load.model.clone()));
                self.admitting = Some((name.clone(), load));
            }
            return;
        }
        known.asked = Some(now);
        let order = Order {
            fence: held.epoch,
            hold: wanted,
            role: state.role,
        };
        let until = known.send_until(held);
        actions.push(Action::Order {
            endpoint: name.clone(),
            order,
            until,
        });
    }
}

impl Known {
    fn new(now: Time, checks: bool) -> Self {
        Self {
            checks,
            state: None,
            silent: None,
            asked: None,
            next: now,
            admitted: Vec::new(),
            rest: false,
        }
    }

    fn is_down(&self, now: Time) -> bool {
        self.silent
            .is_some_and(|since| now.since(since) >= DOWN_AFTER)
    }

    /// The last moment at which an order may be sent.
    fn send_until(&self, held: Held) -> Time {
        if self.checks {
            held.until
        } else {
            held.until - ORDER_TIMEOUT
        }
    }

    fn may_order(&self, now: Time, held: Held, gained: Time) -> bool {
        let settled = self.checks || now.since(gained) >= SETTLE;
        settled && now < self.send_until(held)
    }
}
