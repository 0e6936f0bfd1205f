//! Decisions of a pool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Endpoint;
use crate::name::Name;

/// Identifies a request: its gateway's socket and the gateway's sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The gateway.
    pub gateway: SocketAddr,
    /// Its sequence number, never reused.
    pub seq: u64,
}

/// A decision for a gateway, or a health transition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to this endpoint.
    Grant(Key, Arc<Endpoint>),
    /// The request is queued.
    Queued(Key),
    /// It can't be served in time; retry after this delay.
    Refuse(Key, Duration),
    /// Stop this batch run, which may be requested again.
    Stop(Key),
    /// An endpoint was ejected or restored; for the log.
    HealthChanged(Transition),
}

/// A health transition of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// It gets no requests for a while.
    Ejected {
        /// The endpoint.
        endpoint: Name,
        /// How long it is paused.
        pause: Duration,
        /// Number of consecutive ejections.
        strikes: u32,
        /// Error rate of its recent answers to online requests, in thousandths.
        errors_online: u32,
        /// The same for batch items.
        errors_batch: u32,
    },
    /// All of its slots are in use again.
    Restored {
        /// The endpoint.
        endpoint: Name,
    },
}

/// Totals of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauge {
    /// Slots of all endpoints that are ready.
    pub slots: u32,
    /// Permits held.
    pub held: usize,
    /// Waiting online requests.
    pub online_waiting: usize,
    /// Waiting batch items.
    pub batch_waiting: usize,
}
