//! Limits of each organisation over all nodes, without a write for each request.
//!
//! On the users' platform a single node, the **coordinator** of the organisation, counts each
//! request ([`coordinator`], [`meter`] at the gateways, [`isolation`]): there the limits have
//! to hold over any few seconds, and most organisations send less than one request per second
//! to each node.
//!
//! On its own interface the product limits rate and concurrency without a message for each
//! request. One node, the organisation's **owner**, is chosen by rendezvous hashing. Each
//! gateway that receives requests of the organisation reports its demand to the owner about
//! once per second and gets a share that is valid for a few seconds.
//!
//! Both keep soft state only; docs/design/limits.md compares the alternatives.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Member, View};
use crate::name::Name;

mod admission;
pub mod allowance;
pub mod bucket;
pub mod coordinator;
pub mod isolation;
mod limiter;
pub mod meter;
mod owner;
pub mod witness;

pub use admission::Admission;
pub use limiter::Limiter;
pub use owner::Owner;

/// Fraction of its equal part of a limit that an isolated node lets through. Other nodes may
/// still reach a coordinator, which lets the whole limit through.
const ISOLATED_FRACTION: f64 = 0.25;
/// Interval between a gateway's reports about an active organisation.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a share is valid; long enough for some reports to get lost.
pub const GRANT_TTL: Duration = Duration::from_secs(4);

/// Demand of one organisation at one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second, including refused ones.
    pub rate: f32,
    /// Maximum number of concurrent requests, including refused ones.
    pub concurrency: u32,
}

/// Share of an organisation's limits that one gateway may admit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Requests per second.
    pub rate: f32,
    /// Concurrent requests.
    pub concurrency: u32,
}

/// Limits of an organisation over all nodes; 0 means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Requests per second.
    pub rate: u32,
    /// Concurrent requests.
    pub concurrency: u32,
}

/// Token bucket parameters of an organisation's limit over all nodes: in any period it may
/// send the requests of that many seconds, plus a burst.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Requests per second.
    #[serde(rename = "r")]
    pub per_second: f64,
    /// Requests that may be sent at once.
    #[serde(rename = "b")]
    pub burst: f64,
}

/// How far the requests admitted by all nodes may exceed a limit. A small part is granted to
/// every organisation at all times, so that none is refused below its limit because its
/// requests were counted slightly late; the rest covers times at which two nodes count, or
/// none does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The time over which requests are counted.
    pub window: Duration,
    /// Allowed excess as a fraction of the window's limit.
    pub excess: f64,
    /// Allowed excess in requests per window, in addition to the fraction.
    pub slack: f64,
}

/// Number of shards of the organisations. Each shard is assigned to one member, so that a
/// membership change ranks the members once per shard instead of once per organisation.
const SHARDS: u64 = 64;

/// Returns the shard of an organisation.
pub fn shard(organisation: &str) -> u64 {
    xxh3_64_with_seed(organisation.as_bytes(), 2) % SHARDS
}

/// Returns the name of an organisation's shard, by which its member is chosen as for a pool.
pub fn shard_name(organisation: &str) -> Name {
    format!("limit-{}", shard(organisation)).into()
}

/// Fraction of the tolerance that every organisation may use at all times.
const HEADROOM_FRACTION: f64 = 0.05;

impl Default for Tolerance {
    /// No tolerance: limits are exact.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess: 0.0,
            slack: 0.0,
        }
    }
}

impl Tolerance {
    /// Returns the rate that may be sent in addition to a limit at all times.
    pub fn headroom(&self, rate: Rate) -> Rate {
        Rate {
            per_second: rate.per_second * self.excess * HEADROOM_FRACTION,
            burst: rate.burst * self.excess * HEADROOM_FRACTION + self.slack * HEADROOM_FRACTION,
        }
    }

    /// Returns the number of requests beyond the limit that a coordinator may let through while
    /// it has no history of an organisation.
    pub fn initial_excess(&self, rate: Rate) -> f64 {
        let all = rate.per_second * self.window.as_secs_f64() + rate.burst;
        all * self.excess / 8.0 + self.slack / 16.0
    }
}

/// Returns the node that divides the limits of `organisation`.
pub fn owner<'a>(view: &'a View, organisation: &str) -> Option<&'a Member> {
    let seed = xxh3_64_with_seed(organisation.as_bytes(), 1);
    view.usable().max_by_key(|member| {
        let weight = xxh3_64_with_seed(member.name.as_bytes(), seed);
        (weight, &member.name)
    })
}
