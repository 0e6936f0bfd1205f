//! The simulated gateways and the state of the requests at them.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::Policy;
use auburnspoke::name::Name;
use auburnspoke::retry::{Assembly, Budget, Hedge};
use auburnspoke::route::{Router, Target};

use super::case::{Admission, Case};

/// The service of all online requests.
pub const SERVICE: &str = "notes";
const ZONES: usize = 3;

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Routes requests to endpoints.
    pub router: Router,
    /// Retry budget.
    pub budget: Budget,
    /// Decides when a first token is late enough to hedge.
    pub hedge: Hedge,
}

/// The state of a request at its gateway.
#[derive(Debug, Default)]
pub struct Progress {
    /// The response so far.
    pub assembly: Assembly,
    /// When the last token arrived.
    pub last: Option<Time>,
    /// Endpoints that it was sent to.
    pub tried: Vec<Name>,
    /// Number of attempts so far.
    pub count: u32,
    /// Ids of the active attempts.
    pub active: Vec<u64>,
    /// Whether the request has ended.
    pub closed: bool,
}

/// One attempt at a request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Index of the request.
    pub request: usize,
    /// Index of the queue that it was sent to.
    pub queue: usize,
    /// Number of tokens that the gateway had received before.
    pub resume_from: u32,
    /// Whether the queue should refuse it rather than let it wait, so that it spills to another
    /// endpoint.
    pub spills: bool,
}

impl Gateway {
    /// Creates the gateway with this index.
    pub fn new(case: &Case, index: usize) -> Self {
        let mut router = Router::new(zone(index), case.seed * 77 + index as u64);
        router.update((0..case.deployment.endpoints()).map(|at| Target {
            name: endpoint(at),
            zone: zone(at),
            services: vec![SERVICE.into()],
        }));
        if matches!(
            case.admission,
            Admission::Queue(Policy::Adaptive | Policy::AdaptiveCancel)
        ) {
            router.set_latency_weight(SERVICE, case.latency_weight);
        }
        Self {
            router,
            budget: Budget::default(),
            hedge: Hedge::default(),
        }
    }
}

/// Returns the availability zone of the gateway or endpoint with this index.
pub fn zone(index: usize) -> Name {
    ["a", "b", "c"][index % ZONES].into()
}

/// Returns the name of the endpoint with this index.
pub fn endpoint(index: usize) -> Name {
    format!("e{index}").into()
}

/// Returns the index in an endpoint's name.
pub fn index_of(endpoint: &str) -> usize {
    endpoint[1..].parse().unwrap_or(0)
}

/// Returns the one-way network delay between the gateways or endpoints with these indices.
pub fn network_delay(case: &Case, from: usize, to: usize) -> Duration {
    if from % ZONES == to % ZONES {
        SAME_ZONE_DELAY
    } else {
        case.deployment.zone_delay()
    }
}

/// One-way network delay within an availability zone.
pub const SAME_ZONE_DELAY: Duration = Duration::from_micros(200);
