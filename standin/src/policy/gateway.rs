//! A gateway and the questions that it has taken.

use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::Policy;
use auburnspoke::name::Name;
use auburnspoke::retry::{Assembly, Budget, Hedge};
use auburnspoke::route::{Router, Target};

use super::case::{Case, Way};

/// The service that all ask.
pub const SERVICE: &str = "notes";
const ZONES: usize = 3;

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Chooses endpoints.
    pub router: Router,
    /// What retries may cost.
    pub budget: Budget,
    /// When a first token is late.
    pub hedge: Hedge,
}

/// A question at its gateway.
#[derive(Debug, Default)]
pub struct Ask {
    /// Its answer so far.
    pub assembly: Assembly,
    /// When the last token was read.
    pub last: Option<Time>,
    /// Endpoints that were tried.
    pub tried: Vec<Name>,
    /// Attempts so far.
    pub count: u32,
    /// Attempts that are under way.
    pub active: Vec<u64>,
    /// True when its caller has its final answer.
    pub closed: bool,
}

/// An attempt at a question.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Which question.
    pub question: usize,
    /// Which queue it went to.
    pub queue: usize,
    /// Tokens that its caller had.
    pub resume_from: u32,
    /// True when it rather goes elsewhere than wait.
    pub spills: bool,
}

impl Gateway {
    /// The gateway with that index.
    pub fn new(case: &Case, index: usize) -> Self {
        let mut router = Router::new(zone(index), case.seed * 77 + index as u64);
        router.update((0..case.deployment.endpoints()).map(|at| Target {
            name: endpoint(at),
            zone: zone(at),
            services: vec![SERVICE.into()],
        }));
        if matches!(
            case.way,
            Way::Queue(Policy::Adaptive | Policy::AdaptiveCancel)
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

/// The zone of the gateway or endpoint with that index.
pub fn zone(index: usize) -> Name {
    ["a", "b", "c"][index % ZONES].into()
}

/// The name of the endpoint with that index.
pub fn endpoint(index: usize) -> Name {
    format!("e{index}").into()
}

/// The index in an endpoint's name.
pub fn index_of(endpoint: &str) -> usize {
    endpoint[1..].parse().unwrap_or(0)
}

/// One way between the places with those indices.
pub fn way(case: &Case, from: usize, to: usize) -> Duration {
    if from % ZONES == to % ZONES {
        NEAR
    } else {
        case.deployment.hop()
    }
}

/// One way within a zone.
pub const NEAR: Duration = Duration::from_micros(200);
