//! What a pool decides and tells.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::catalog::Endpoint;
use crate::name::Name;

/// Who asks: a gateway's socket and its number of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The gateway.
    pub gateway: SocketAddr,
    /// Its number of the request, never used twice.
    pub seq: u64,
}

/// What the pool tells a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to this endpoint.
    Grant(Key, Arc<Endpoint>),
    /// It is known and waits.
    Queued(Key),
    /// It can't be served in its time; come back after this.
    Refuse(Key, Duration),
    /// Stop this batch run; it may ask again.
    Stop(Key),
    /// An endpoint was left out, or is trusted again; for the log.
    Judged(Judgement),
}

/// What a pool came to believe of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// It gets nothing for a while.
    LeftOut {
        /// The endpoint.
        endpoint: Name,
        /// For how long.
        pause: Duration,
        /// How often in a row.
        strikes: u32,
        /// The part of its last answers to questions that were errors, in
        /// thousandths.
        errors_online: u32,
        /// The same for batch items.
        errors_batch: u32,
    },
    /// It gets all of its slots again.
    Trusted {
        /// The endpoint.
        endpoint: Name,
    },
}

/// A pool at a glance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauge {
    /// Slots of all endpoints.
    pub slots: u32,
    /// Permits that are held.
    pub held: usize,
    /// Online requests that wait.
    pub online_waiting: usize,
    /// Batch items that wait.
    pub batch_waiting: usize,
}
