//! Selection of the node that dispatches to an endpoint, and of the endpoint that
//! serves a request.
//!
//! The first is a pure function of the members, so that all gateways find the same
//! dispatcher without communication. The second uses the loads that answers carry.
//! docs/design/routing.md compares the alternatives.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Member, View};

mod outlier;
mod pack;
mod prefix;
mod router;

pub use outlier::{Cause, Verdict};
pub use router::{Choice, Query, Router, Target};

/// Returns the node whose queue admits requests to `endpoint`, or `None` when no
/// member is usable.
///
/// Rendezvous hashing ranks the members for each endpoint independently, so that
/// the loss of a member moves only its own endpoints. Members in the endpoint's
/// zone are preferred, because answers stream through the dispatcher and latency
/// between zones is higher.
pub fn dispatcher<'a>(view: &'a View, endpoint: &str, zone: &str) -> Option<&'a Member> {
    dispatcher_excluding(view, endpoint, zone, |_| false)
}

/// Like [`dispatcher`], but skips members for which `avoid` is true.
///
/// Without it, when a dispatcher crashes, all requests to its endpoints fail until
/// the membership reflects the crash seconds later. A gateway that has just lost
/// its link to a node uses the endpoint's next one at once. Two dispatchers for one
/// endpoint for a short time only cost latency.
pub fn dispatcher_excluding<'a, A>(
    view: &'a View,
    endpoint: &str,
    zone: &str,
    avoid: A,
) -> Option<&'a Member>
where
    A: Fn(&Member) -> bool,
{
    let seed = xxh3_64_with_seed(endpoint.as_bytes(), 0);
    let usable = view.usable().filter(|member| !avoid(member));
    usable.max_by_key(|member| {
        let weight = xxh3_64_with_seed(member.name.as_bytes(), seed);
        (&*member.zone == zone, weight, &member.name)
    })
}
