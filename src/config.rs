//! The configuration document that operators change and every node obeys.
//!
//! docs/design/config.md tells how a change is accepted, spread and never
//! taken back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::name::Name;

pub mod check;
pub mod commit;
pub mod convert;
pub mod diff;
pub mod follow;
pub mod operator;
pub mod row;
pub mod watch;

/// What answers a service's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Model engines with a streaming completion protocol.
    Model,
    /// HTTP services that answer one call with one body.
    Plain,
}

/// A service that callers can ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// What answers it.
    pub kind: Kind,
    /// The model its endpoints must hold; empty for a plain service.
    pub model: Name,
    /// The model's version.
    pub model_version: Name,
    /// Adapters its endpoints must hold.
    pub adapters: Vec<Name>,
    /// Bound in milliseconds on a question when the caller names none.
    pub deadline_ms: u32,
    /// Bound on generated tokens when the caller names none.
    pub max_tokens: u32,
    /// Wanted number of endpoints that hold the model; 0 leaves them alone.
    pub replicas: u32,
    /// From 0 (batch throughput) to 100 (online tail latency).
    pub latency_weight: u32,
}

/// A back end that the system routes to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its name.
    pub name: Name,
    /// Where it listens, as ip:port.
    pub address: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The services it can answer.
    pub services: Vec<Name>,
    /// True when it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// Sequences it can run at the same time.
    pub slots: u32,
    /// True when it gets no new work.
    pub leaving: bool,
}

/// Bounds and share of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: Name,
    /// Questions a second over the fleet; 0 is no bound.
    pub rate: u32,
    /// Questions at a time over the fleet; 0 is no bound.
    pub concurrency: u32,
    /// Share of batch work against other organisations; at least 1.
    pub weight: u32,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Counts up with every accepted change; 0 means none is known.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<Name, Endpoint>,
    /// Organisations by name.
    pub organisations: BTreeMap<Name, Organisation>,
}

impl Document {
    /// The endpoints that may get new work of `service`, in name order.
    pub fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints.values().filter(move |endpoint| {
            !endpoint.leaving && endpoint.services.iter().any(|name| &**name == service)
        })
    }
}
