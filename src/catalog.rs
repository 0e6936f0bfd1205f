//! What a node knows of the deployment: the operators' configuration and the
//! endpoints that answer for its services.
//!
//! [`book`] decides what a change means; `edge::learn` feeds it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{Time, Uptime};
use crate::name::Name;

pub mod keyring;
pub mod registry;

use keyring::Keyring;

/// The operators' configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// What callers may send.
    pub limits: Limits,
    /// The organisations and their keys; none where operators name none, and
    /// callers need no key.
    #[serde(default)]
    pub keyring: Option<Arc<Keyring>>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// For how long a caller's connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// What holds until a configuration is known, when nothing is served.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}

/// Which requests go where, and on what terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// What the path begins with; it ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub goal: Duration,
    /// 0 goes first.
    pub priority: u8,
    /// The services that answer, with weights.
    pub targets: Vec<Target>,
    /// Most endpoints that one request may run at.
    pub attempts: u32,
    /// Callers need no key.
    #[serde(default)]
    pub public: bool,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Its share, relative to the other targets'.
    pub weight: u32,
}

/// What may be repeated on a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// A broken stream may go on at another endpoint.
        resumable: bool,
        /// Longest pause between events that is still on time.
        pause: Duration,
    },
    /// Batch jobs.
    Batch(Terms),
}

/// The terms of batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// From a job's submission until all results are due.
    pub due: Duration,
    /// From a job's submission until its items may be given up.
    pub lifetime: Duration,
    /// Most tokens of all jobs that may wait; none is no limit.
    pub waiting_tokens: Option<u64>,
}

impl Route {
    /// The service for a request; requests spread over the targets by weight,
    /// and the same request always falls to the same one.
    pub fn service(&self, request: u64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut point = request.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

impl Config {
    /// The route of a path at a host: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|route| *route.host == *host && path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// True when some route takes batch jobs of callers without a key.
    pub fn has_public_jobs(&self) -> bool {
        let takes = |route: &Arc<Route>| route.public && matches!(route.kind, Kind::Batch(_));
        self.routes.iter().any(takes)
    }

    /// True when some route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.iter().any(|route| *route.host == *host)
    }
}

/// One run of an endpoint's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique among the endpoints that run at a time.
    pub id: Name,
    /// The service that it answers for.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it works on at once.
    pub slots: u32,
    /// False once it takes no new work.
    pub ready: bool,
    /// When its process started, in Unix milliseconds, to tell a restart under
    /// the same id; 0 where each start has an id of its own.
    #[serde(default)]
    pub incarnation: u64,
}

/// What one node knows now; published as a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The configuration; none until one is known.
    pub config: Option<Arc<Config>>,
    /// The endpoints that may be given work, and those that are leaving.
    pub endpoints: Arc<BTreeMap<Name, Arc<Endpoint>>>,
    /// When the list of endpoints was last confirmed by its source.
    pub confirmed: Time,
    /// When the store surely had no newer configuration than this one.
    pub config_confirmed: Option<Uptime>,
}
