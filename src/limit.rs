//! Rate and concurrency of each organisation over all nodes, without a write
//! or a message for each request.
//!
//! One node, the organisation's **owner**, is found by rendezvous hashing. Each
//! gateway that sees the organisation tells the owner about once a second how
//! much is asked of it and gets a share for a few seconds. It is soft state:
//! while no owner can be reached, a gateway falls back to an equal part.
//! docs/design/limits.md compares the ways weighed.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Member, View};

mod gate;
mod limiter;
mod owner;

pub use gate::Gate;
pub use limiter::Limiter;
pub use owner::Owner;

/// How often a gateway reports an organisation that asks something of it.
pub const REPORT_EVERY: Duration = Duration::from_secs(1);
/// How long a share holds; some reports may get lost meanwhile.
pub const GRANT_HOLDS: Duration = Duration::from_secs(4);

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

/// The node that divides the limits of `organisation`.
pub fn owner<'a>(view: &'a View, organisation: &str) -> Option<&'a Member> {
    let seed = xxh3_64_with_seed(organisation.as_bytes(), 1);
    view.usable().max_by_key(|member| {
        let weight = xxh3_64_with_seed(member.name.as_bytes(), seed);
        (weight, &member.name)
    })
}
