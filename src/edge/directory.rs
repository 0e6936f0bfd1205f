//! Which members callers are told to use, as a decision.
//!
//! Callers keep the answer for seconds and connect there by themselves, so a
//! wrong one costs each of them several tries.

use std::collections::{BTreeMap, BTreeSet};

use crate::member::{Member, State, View};
use crate::name::Name;
use crate::platform::call::Place;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// The addresses of the members that take callers, near ones first; a node that is
/// leaving gives its own address as `without`.
pub fn addresses(
    view: &View,
    regions: &BTreeMap<Name, Name>,
    place: &Place,
    without: Option<&str>,
) -> Vec<Name> {
    let mut members: Vec<&Member> = view
        .usable()
        .filter(|member| without != Some(&*member.address))
        .collect();
    members.sort_by_key(|member| {
        (
            member.state == State::Suspect,
            member.zone != place.zone,
            regions.get(&member.zone) != Some(&place.region),
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
