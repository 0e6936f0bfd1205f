//! Selects the members whose addresses callers are given.
//!
//! Callers cache the answer for seconds and connect on their own, so a wrong address costs each
//! of them several attempts.

use std::collections::{BTreeMap, BTreeSet};

use crate::member::{Member, State, View};
use crate::name::Name;
use crate::platform::call::Location;

/// Largest number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Returns the addresses of the members that accept callers, nearest first. A node that is
/// leaving passes its own address as `without`.
pub fn addresses(
    view: &View,
    regions: &BTreeMap<Name, Name>,
    location: &Location,
    without: Option<&str>,
) -> Vec<Name> {
    let mut members: Vec<&Member> = view
        .usable()
        .filter(|member| without != Some(&*member.address))
        .collect();
    members.sort_by_cached_key(|member| {
        (
            member.state == State::Suspect,
            member.zone != location.zone,
            regions.get(&member.zone) != Some(&location.region),
        )
    });
    let mut seen = BTreeSet::new();
    members
        .into_iter()
        .map(|member| &member.address)
        .filter(|address| seen.insert(Name::clone(address)))
        .take(MAX_ADDRESSES)
        .cloned()
        .collect()
}
