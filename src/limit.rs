//! Limits of each organisation over all nodes, without a write for each request.
//!
//! On the users' platform each request is counted by one node, the **keeper** of its
//! organisation ([`keeper`], [`meter`] at the gateways, [`reach`]): their limits hold
//! in any few seconds, and most organisations send less than a request a second to
//! each node.
//!
//! By itself the product has limits of rate and concurrency, without a message for
//! each request. One node, the organisation's **owner**, is found by rendezvous
//! hashing. Each gateway that sees the organisation tells the owner about once a
//! second how much is asked of it and gets a share for a few seconds.
//!
//! Both are soft state; docs/design/limits.md compares the ways weighed.

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

pub use admission::Admission;
pub use limiter::Limiter;
pub use owner::Owner;

/// What a node that is cut off lets through, of its equal part of a limit: others
/// may reach a keeper all the while, which lets all of the limit through.
const ISOLATED_FRACTION: f64 = 0.25;
/// How often a gateway reports an organisation that asks something of it.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a share holds; some reports may get lost meanwhile.
pub const GRANT_TTL: Duration = Duration::from_secs(4);

/// What is asked of one gateway by one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Questions a second, the refused ones among them.
    pub rate: f32,
    /// Most questions at a time, the refused ones among them.
    pub concurrency: u32,
}

/// What one gateway may admit of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Questions a second.
    pub rate: f32,
    /// Questions at a time.
    pub concurrency: u32,
}

/// An organisation's limits over the whole fleet; 0 is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Questions a second.
    pub rate: u32,
    /// Questions at a time.
    pub concurrency: u32,
}

/// How much an organisation may ask of all nodes together: at any time the
/// requests of so many seconds, and a burst beside them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Requests a second.
    #[serde(rename = "r")]
    pub per_second: f64,
    /// Requests at once.
    #[serde(rename = "b")]
    pub burst: f64,
}

/// How far a deployment lets the count of all nodes be off. A small part
/// is given to every organisation, so that none is refused below its limit because
/// its requests were counted a moment late; the rest is for moments in which two
/// nodes count, or none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The time over which requests are counted.
    pub window: Duration,
    /// Part of the window's limit that may be exceeded.
    pub excess: f64,
    /// Requests of a window by which it may be exceeded besides.
    pub slack: f64,
}

/// Shards of the organisations. Each falls to one member, so that a node ranks the
/// members for so many shards when they change, and not for each organisation.
const SHARDS: u64 = 64;

/// The shard of an organisation.
pub fn shard(organisation: &str) -> u64 {
    xxh3_64_with_seed(organisation.as_bytes(), 2) % SHARDS
}

/// The name of an organisation's shard, for which a member is chosen as for a pool.
pub fn shard_name(organisation: &str) -> Name {
    format!("limit-{}", shard(organisation)).into()
}

/// The part of the tolerance that every organisation may use at all times.
const MORE: f64 = 0.05;

impl Default for Tolerance {
    /// Limits are kept to the request.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess: 0.0,
            slack: 0.0,
        }
    }
}

impl Tolerance {
    /// What may be sent beside a limit at all times.
    pub fn headroom(&self, rate: Rate) -> Rate {
        Rate {
            per_second: rate.per_second * self.excess * MORE,
            burst: rate.burst * self.excess * MORE + self.slack * MORE,
        }
    }

    /// Requests beyond the limit that a keeper may let through of whose past
    /// nobody knows anything.
    pub fn initial_excess(&self, rate: Rate) -> f64 {
        let all = rate.per_second * self.window.as_secs_f64() + rate.burst;
        all * self.excess / 8.0 + self.slack / 16.0
    }
}

/// The node that divides the limits of `organisation`.
pub fn owner<'a>(view: &'a View, organisation: &str) -> Option<&'a Member> {
    let seed = xxh3_64_with_seed(organisation.as_bytes(), 1);
    view.usable().max_by_key(|member| {
        let weight = xxh3_64_with_seed(member.name.as_bytes(), seed);
        (weight, &member.name)
    })
}
