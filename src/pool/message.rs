//! Messages between gateways and pools, one CBOR value per datagram.
//!
//! Datagrams may be lost, duplicated and reordered, so every message that matters is
//! repeated.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::limit::coordinator;
use crate::name::Name;
use crate::origin::{self, Origin};
use crate::quarantine::Fingerprint;

/// Maximum size of a datagram in bytes, below the smallest common path MTU.
pub const MAX_DATAGRAM: usize = 1_200;
/// Maximum number of renewals in a datagram, so that it stays below
/// [`MAX_DATAGRAM`].
pub const MAX_RENEWALS: usize = 12;

/// Maximum number of levels in a datagram, for the same reason.
pub const MAX_LEVELS: usize = 12;

/// Class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A caller waits for the answer.
    #[serde(rename = "o")]
    Online,
    /// It has a due time and no waiting caller.
    #[serde(rename = "b")]
    Batch,
}

impl Class {
    /// Returns true if a request of this class may crash the endpoints that run it. An item of a
    /// batch job never does, so it is not suspected when an endpoint crashes under it.
    pub fn may_crash_endpoints(self) -> bool {
        self == Self::Online
    }
}

/// What a request requires of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requirements {
    /// Class of the work.
    #[serde(rename = "c")]
    pub class: Class,
    /// Priority; 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u8,
    /// The gateway's availability zone.
    #[serde(rename = "z")]
    pub zone: Name,
    /// How long it may wait for a slot.
    #[serde(rename = "w")]
    pub max_wait: Duration,
    /// Time until it is due.
    #[serde(rename = "d")]
    pub due: Duration,
    /// Hash of the prompt's shared prefix, or 0 for none.
    #[serde(rename = "x")]
    pub prefix: u64,
    /// Hash of the organisation, or 0 for none.
    #[serde(rename = "o", default, skip_serializing_if = "is_none")]
    pub organisation: u64,
    /// Fingerprint of an online request's content, independent of its id. That of an item has no
    /// effect.
    #[serde(rename = "f")]
    pub request: Fingerprint,
    /// True when the gateway has observed an endpoint crash while running it.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
    /// Endpoints that failed the request.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<Name>,
    /// Version of the software that began the stream to resume; `None` for a request that may run
    /// at any endpoint.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub software: Option<Name>,
}

impl Requirements {
    /// Returns true if the request may run at an endpoint with this software.
    pub fn accepts(&self, software: Option<&Name>) -> bool {
        self.software.is_none() || self.software.as_ref() == software
    }
}

/// True when there is no organisation.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_none(value: &u64) -> bool {
    *value == 0
}

/// Renewal of a permit that a gateway holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The gateway's sequence number.
    #[serde(rename = "s")]
    pub seq: u64,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Class of the work.
    #[serde(rename = "c")]
    pub class: Class,
    /// Time until it is due.
    #[serde(rename = "d")]
    pub due: Duration,
    /// Hash of the organisation, or 0 for none.
    #[serde(rename = "o", default, skip_serializing_if = "is_none")]
    pub organisation: u64,
    /// Fingerprint of an online request's content, independent of its id. That of an item has no
    /// effect.
    #[serde(rename = "f")]
    pub request: Fingerprint,
    /// True when the gateway has observed an endpoint crash while running it.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub suspect: bool,
    /// True once the endpoint has started to answer.
    #[serde(rename = "b", default, skip_serializing_if = "std::ops::Not::not")]
    pub answering: bool,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The endpoint answered completely.
    #[serde(rename = "d")]
    Done,
    /// The endpoint returned an error, stalled or truncated its answer. The cause may
    /// also be the request or the network path.
    #[serde(rename = "e")]
    Error,
    /// The endpoint's process crashed during the run.
    #[serde(rename = "c")]
    Crashed,
    /// The endpoint refuses connections, or its address belongs to another one.
    #[serde(rename = "f")]
    Failed,
    /// The endpoint reported that it is full.
    #[serde(rename = "u")]
    Full,
    /// The caller disconnected, or the slot is no longer needed.
    #[serde(rename = "l")]
    Left,
    /// The pool preempted it.
    #[serde(rename = "s")]
    Stopped,
}

/// A message from a gateway to a pool, to a coordinator of limits, or to a member that keeps the
/// origins of streams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Requests a slot, or repeats the request.
    #[serde(rename = "a")]
    Acquire {
        /// The pool.
        #[serde(rename = "v")]
        pool: Name,
        /// The gateway's sequence number.
        #[serde(rename = "s")]
        seq: u64,
        /// Requirements of the request.
        #[serde(rename = "q")]
        requirements: Requirements,
    },
    /// Renews permits.
    #[serde(rename = "h")]
    Renew {
        /// The pool.
        #[serde(rename = "v")]
        pool: Name,
        /// The permits.
        #[serde(rename = "l")]
        renewals: Vec<Renewal>,
    },
    /// Releases a permit, or withdraws a request for one.
    #[serde(rename = "r")]
    Release {
        /// The pool.
        #[serde(rename = "v")]
        pool: Name,
        /// The gateway's sequence number.
        #[serde(rename = "s")]
        seq: u64,
        /// How its use ended.
        #[serde(rename = "e")]
        end: End,
    },
    /// Counts a request towards its organisation's limit.
    #[serde(rename = "c")]
    Count {
        /// The gateway's sequence number.
        #[serde(rename = "s")]
        seq: u64,
        /// The request to count.
        #[serde(rename = "c")]
        count: coordinator::Query,
    },
    /// Reverses the count of a request that did not run.
    #[serde(rename = "b")]
    Refund {
        /// The gateway's sequence number.
        #[serde(rename = "s")]
        seq: u64,
        /// The organisation.
        #[serde(rename = "o")]
        organisation: Name,
    },
    /// The levels of organisations at the coordinators that counted while the receiver did not
    /// answer.
    #[serde(rename = "l")]
    Levels {
        /// The organisations, with their levels.
        #[serde(rename = "l")]
        levels: Vec<(Name, coordinator::Hint)>,
    },
    /// Checks whether a node that did not answer is reachable again.
    #[serde(rename = "p")]
    Probe,
    /// Tells what began a stream.
    #[serde(rename = "g")]
    Began {
        /// The stream.
        #[serde(rename = "k")]
        key: origin::Key,
        /// What began it.
        #[serde(rename = "o")]
        origin: Origin,
    },
    /// Asks what began a stream.
    #[serde(rename = "o")]
    FindOrigin {
        /// The gateway's sequence number.
        #[serde(rename = "s")]
        seq: u64,
        /// The stream.
        #[serde(rename = "k")]
        key: origin::Key,
    },
}

impl Request {
    /// Returns the addressed pool, or `None` for messages about limits and streams, and probes.
    pub fn pool(&self) -> Option<&Name> {
        match self {
            Self::Acquire { pool, .. } | Self::Renew { pool, .. } | Self::Release { pool, .. } => {
                Some(pool)
            }
            Self::Count { .. }
            | Self::Refund { .. }
            | Self::Levels { .. }
            | Self::Probe
            | Self::Began { .. }
            | Self::FindOrigin { .. } => None,
        }
    }
}

/// A reply to a gateway about one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The gateway's sequence number.
    #[serde(rename = "s")]
    pub seq: u64,
    /// The content.
    #[serde(rename = "w")]
    pub body: Body,
}

/// Content of a [`Reply`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Grants a slot of this endpoint.
    #[serde(rename = "g")]
    Grant {
        /// The endpoint.
        #[serde(rename = "e")]
        endpoint: Name,
        /// Its address, for gateways with an older catalog.
        #[serde(rename = "a")]
        address: SocketAddr,
        /// Version of its software, also for these.
        #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
        software: Option<Name>,
    },
    /// The request is queued.
    #[serde(rename = "q")]
    Queued,
    /// The request can't be served in time.
    #[serde(rename = "r")]
    Refuse {
        /// Retry delay.
        #[serde(rename = "t")]
        retry_after: Duration,
    },
    /// Orders the gateway to stop the run.
    #[serde(rename = "s")]
    Stop,
    /// Answers [`Request::Probe`].
    #[serde(rename = "h")]
    Alive,
    /// The decision on a [`Request::Count`].
    #[serde(rename = "c")]
    Counted(coordinator::Answer),
    /// Answers [`Request::FindOrigin`]: what began the stream; `None` if that is not known here.
    #[serde(rename = "o")]
    Origin(Option<Origin>),
}
