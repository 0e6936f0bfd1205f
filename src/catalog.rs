//! A node's view of the deployment: the operators' configuration and the endpoints of its
//! services.
//!
//! [`registry`] merges changes to the endpoints; `edge::learn` feeds it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{Time, Uptime};
use crate::name::Name;

pub mod endpoints;
pub mod keyring;
pub mod registry;

use endpoints::Endpoints;
use keyring::Keyring;

/// The complete configuration by the operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// The organisations and their keys; none when operators configure none, and callers need
    /// no key.
    #[serde(default)]
    pub keyring: Option<Arc<Keyring>>,
}

/// Limits on callers' requests and idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub head_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// How long a caller's connection may be idle.
    pub idle: Duration,
}

impl Default for Limits {
    /// The limits until a configuration is available, during which no request is served.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            idle: Duration::from_secs(15),
        }
    }
}

/// Maps requests to services, with their timeouts and retry rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// The host of the requests.
    pub host: Name,
    /// The prefix of the requests' paths, ending with a slash.
    pub prefix: Name,
    /// Which requests may be repeated.
    pub kind: Kind,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Latency objective: the time within which an answer is on time.
    pub goal: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// The services that requests are sent to, with weights.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request may run at.
    pub attempts: u32,
    /// True when callers need no key.
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

/// Which requests of a route may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// True when a broken stream may be resumed at another endpoint.
        resumable: bool,
        /// Maximum pause between events that is still on time.
        pause: Duration,
    },
    /// Batch jobs.
    Batch(Terms),
}

/// The terms of batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Time from a job's submission until all results are due.
    pub due: Duration,
    /// Time from a job's submission until its items may be abandoned.
    pub lifetime: Duration,
    /// Maximum number of waiting tokens of all jobs; none means unlimited.
    pub waiting_tokens: Option<u64>,
}

impl Route {
    /// Returns the service for a request. Requests are spread over the targets by weight, and
    /// the same request is always assigned to the same one.
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
    /// Returns the route of a path at a host: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .iter()
            .filter(|route| *route.host == *host && path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// True when some route accepts batch jobs of callers without a key.
    pub fn has_public_jobs(&self) -> bool {
        let accepts = |route: &Arc<Route>| route.public && matches!(route.kind, Kind::Batch(_));
        self.routes.iter().any(accepts)
    }

    /// True when some route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.iter().any(|route| *route.host == *host)
    }
}

/// One process of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Unique among the endpoints that run at the same time.
    pub id: Name,
    /// The service that it runs.
    pub service: Name,
    /// The address that it listens at.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// False once it accepts no new work.
    pub ready: bool,
    /// Start of its process in Unix milliseconds, to detect a restart under the same id; 0 where
    /// each start gets its own id.
    #[serde(default)]
    pub incarnation: u64,
    /// Version of its software; `None` where its entry names none. A stream can't be resumed at
    /// another version, see docs/design/resume.md.
    #[serde(default)]
    pub software: Option<Name>,
}

/// One node's current view, published as a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The configuration; none until one has been received.
    pub config: Option<Arc<Config>>,
    /// The endpoints, including those that are leaving.
    pub endpoints: Endpoints,
    /// Time at which the list of endpoints was last confirmed by its source; zero before it was
    /// read.
    pub confirmed: Time,
    /// Latest time at which the store certainly had no newer configuration than this one.
    pub config_confirmed: Option<Uptime>,
}
