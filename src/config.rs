//! The configuration document, which operators change and every node applies.
//!
//! docs/design/config.md describes how a change is accepted and disseminated, and
//! why a node never returns to an older version.

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

/// Kind of back end that serves a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Model engines with a streaming completion protocol.
    Model,
    /// HTTP services that answer one call with one body.
    Plain,
}

/// A service that callers can send requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Kind of back end that serves it.
    pub kind: Kind,
    /// Model that its endpoints must have loaded; empty for a plain service.
    pub model: Name,
    /// Version of the model.
    pub model_version: Name,
    /// Adapters that its endpoints must have loaded.
    pub adapters: Vec<Name>,
    /// Default deadline of a request in milliseconds.
    pub deadline_ms: u32,
    /// Default limit on generated tokens.
    pub max_tokens: u32,
    /// Target number of endpoints that have the model loaded; 0 disables
    /// placement for the service.
    pub replicas: u32,
    /// From 0 (batch throughput) to 100 (online tail latency).
    pub latency_weight: u32,
}

/// A back end that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub name: Name,
    /// Address that it listens on, as ip:port.
    pub address: Name,
    /// Availability zone.
    pub zone: Name,
    /// Services that it can serve.
    pub services: Vec<Name>,
    /// True if it rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Maximum number of concurrent sequences.
    pub slots: u32,
    /// True if it gets no new work.
    pub leaving: bool,
}

/// Limits and share of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Name,
    /// Requests per second over the whole fleet; 0 means unlimited.
    pub rate: u32,
    /// Concurrent requests over the whole fleet; 0 means unlimited.
    pub concurrency: u32,
    /// Weight of its batch work relative to other organisations; at least 1.
    pub weight: u32,
}

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Incremented with every accepted change; 0 means that none is known.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<Name, Endpoint>,
    /// Organisations by name.
    pub organisations: BTreeMap<Name, Organisation>,
}

impl Document {
    /// Returns the endpoints that may get new work of `service`, in name order.
    pub fn endpoints_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        self.endpoints.values().filter(move |endpoint| {
            !endpoint.leaving && endpoint.services.iter().any(|name| &**name == service)
        })
    }
}
