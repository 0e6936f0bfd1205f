//! What gateways and pools say to each other, one CBOR value a datagram.
//!
//! Datagrams get lost, doubled and reordered; whatever matters is repeated.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::limit::coordinator;
use crate::name::Name;
use crate::quarantine::Fingerprint;

/// Largest datagram in bytes, below the smallest usual path limit.
pub const MAX_DATAGRAM: usize = 1_200;
/// Permits that one datagram mentions at most, so that it stays below
/// [`MAX_DATAGRAM`].
pub const HOLDS: usize = 12;

/// What kind of work asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// Somebody waits for it.
    #[serde(rename = "o")]
    Online,
    /// It is due later.
    #[serde(rename = "b")]
    Batch,
}

/// A gateway asks for a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    /// The kind of work.
    #[serde(rename = "c")]
    pub class: Class,
    /// 0 goes first.
    #[serde(rename = "p")]
    pub priority: u8,
    /// The gateway's availability zone.
    #[serde(rename = "z")]
    pub zone: Name,
    /// How long it may wait for a place.
    #[serde(rename = "w")]
    pub max_wait: Duration,
    /// When it is due, from now.
    #[serde(rename = "d")]
    pub due: Duration,
    /// The prompt's shared prefix, 0 for none.
    #[serde(rename = "x")]
    pub prefix: u64,
    /// Stands for the organisation whose work it is, 0 for none.
    #[serde(rename = "o", default, skip_serializing_if = "is_none")]
    pub organisation: u64,
    /// Which request it is, whatever its id.
    #[serde(rename = "f")]
    pub request: Fingerprint,
    /// True when an endpoint ended while it ran there, as far as the gateway knows.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
    /// Endpoints that failed it.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<Name>,
}

/// True where no organisation is named.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_none(value: &u64) -> bool {
    *value == 0
}

/// A gateway mentions a place that it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The gateway's number of the request.
    #[serde(rename = "s")]
    pub seq: u64,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// The kind of work.
    #[serde(rename = "c")]
    pub class: Class,
    /// When it is due, from now.
    #[serde(rename = "d")]
    pub due: Duration,
    /// Stands for the organisation whose work it is, 0 for none.
    #[serde(rename = "o", default, skip_serializing_if = "is_none")]
    pub organisation: u64,
    /// Which request it is, whatever its id.
    #[serde(rename = "f")]
    pub request: Fingerprint,
    /// True when an endpoint ended while it ran there, as far as the gateway knows.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
    /// True once the endpoint has begun to answer.
    #[serde(rename = "b", default, skip_serializing_if = "std::ops::Not::not")]
    pub answering: bool,
}

/// How the use of a place ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The endpoint answered whole.
    #[serde(rename = "d")]
    Done,
    /// The endpoint answered an error, fell silent or broke off. The request may
    /// be at fault, or the path, as well.
    #[serde(rename = "e")]
    Error,
    /// The endpoint's process ended during the run.
    #[serde(rename = "c")]
    Crashed,
    /// The endpoint takes no connections, or another one has its address.
    #[serde(rename = "f")]
    Failed,
    /// The endpoint said that it is full.
    #[serde(rename = "u")]
    Full,
    /// The caller left, or does not want it any more.
    #[serde(rename = "l")]
    Left,
    /// The pool had it stopped.
    #[serde(rename = "s")]
    Stopped,
}

/// What a gateway tells a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// It wants a place, or still wants it.
    #[serde(rename = "a")]
    Acquire {
        /// The pool.
        #[serde(rename = "v")]
        pool: Name,
        /// Its number of the request.
        #[serde(rename = "s")]
        seq: u64,
        /// What it asks.
        #[serde(rename = "q")]
        requirements: Requirements,
    },
    /// It holds these.
    #[serde(rename = "h")]
    Holds {
        /// The pool.
        #[serde(rename = "v")]
        pool: Name,
        /// The places.
        #[serde(rename = "l")]
        holds: Vec<Hold>,
    },
    /// It gives one back, or wants none any more.
    #[serde(rename = "r")]
    Release {
        /// The pool.
        #[serde(rename = "v")]
        pool: Name,
        /// Its number of the request.
        #[serde(rename = "s")]
        seq: u64,
        /// How its use ended.
        #[serde(rename = "e")]
        end: End,
    },
    /// It has a request of an organisation that has a limit.
    #[serde(rename = "c")]
    Count {
        /// Its number of the request.
        #[serde(rename = "s")]
        seq: u64,
        /// What is to be counted.
        #[serde(rename = "c")]
        count: coordinator::Query,
    },
    /// A request that was counted did not run.
    #[serde(rename = "b")]
    Back {
        /// Its number of the request.
        #[serde(rename = "s")]
        seq: u64,
        /// The organisation.
        #[serde(rename = "o")]
        organisation: Name,
    },
    /// It got no answer before, and asks whether there is one now.
    #[serde(rename = "p")]
    Probe,
}

impl Question {
    /// The pool that it is for; none where it is about a limit.
    pub fn pool(&self) -> Option<&Name> {
        match self {
            Self::Acquire { pool, .. } | Self::Holds { pool, .. } | Self::Release { pool, .. } => {
                Some(pool)
            }
            Self::Count { .. } | Self::Back { .. } | Self::Probe => None,
        }
    }
}

/// What a pool tells a gateway of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The gateway's number of the request.
    #[serde(rename = "s")]
    pub seq: u64,
    /// What is said.
    #[serde(rename = "w")]
    pub word: Word,
}

/// A pool's decision, or a keeper's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Use this endpoint.
    #[serde(rename = "g")]
    Grant {
        /// The endpoint.
        #[serde(rename = "e")]
        endpoint: Name,
        /// Where it listens, for gateways whose catalog is older.
        #[serde(rename = "a")]
        address: SocketAddr,
    },
    /// It waits.
    #[serde(rename = "q")]
    Queued,
    /// It can't be served in its time.
    #[serde(rename = "r")]
    Refuse {
        /// When to come back.
        #[serde(rename = "t")]
        retry_after: Duration,
    },
    /// Stop the run.
    #[serde(rename = "s")]
    Stop,
    /// To [`Question::Probe`].
    #[serde(rename = "h")]
    Here,
    /// The request is counted, or is over its organisation's limit.
    #[serde(rename = "c")]
    Counted(coordinator::Answer),
}
