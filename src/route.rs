//! Which node admits to an endpoint, and which endpoint a request goes to.
//!
//! The first is a pure function of the members, so that every gateway finds
//! the same dispatcher without asking anybody. The second weighs loads that
//! came back with answers. docs/design/routing.md compares the ways weighed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Member, View};

mod outlier;
mod pack;
mod prefix;
mod router;

pub use outlier::{Cause, Verdict};
pub use router::{Choice, Query, Router, Target};

/// The node whose queue stands before `endpoint`, or none when no member is
/// usable.
///
/// Rendezvous hashing: each endpoint ranks the members on its own, so that a
/// member that goes moves its own endpoints and no others. Members in the
/// endpoint's zone go before all others, because an answer streams through
/// the dispatcher and the way between zones is longer.
pub fn dispatcher<'a>(view: &'a View, endpoint: &str, zone: &str) -> Option<&'a Member> {
    dispatcher_excluding(view, endpoint, zone, |_| false)
}

/// The same, passing over the members for which `avoid` is true.
///
/// What goes wrong without it: a dispatcher dies, and until the members know
/// it seconds later every question for its endpoints fails. A gateway that has
/// just lost its link to a node goes to the endpoint's next one at once. Two
/// dispatchers before one endpoint for a moment cost latency, nothing else.
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
