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
/// A node that can't reach the store, and misses one in so many members, is
/// taken to be cut off itself. Fewer are lost by chance in an outage.
const LOST_ONE_IN: usize = 3;

/// What is known of this node's own state.
#[derive(Clone, Copy, Debug)]
pub struct Own<'a> {
    /// Where callers reach it.
    pub address: &'a str,
    /// True when it was told to stop.
    pub leaving: bool,
    /// True while it has not heard the store for seconds.
    pub away: bool,
}

/// The addresses of the members that take callers, near ones first.
pub fn addresses(
    view: &View,
    regions: &BTreeMap<Name, Name>,
    place: &Place,
    own: Own<'_>,
) -> Vec<Name> {
    let cut_off = own.away && misses_many(view);
    let mut members: Vec<&Member> = view
        .members
        .iter()
        .filter(|member| is_listed(member, cut_off))
        .filter(|member| !own.leaving || *member.address != *own.address)
        .collect();
    members.sort_by_key(|member| {
        (
            !cut_off && member.state == State::Suspect,
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

/// A node that is cut off takes the members that it can't reach for dead, while
/// callers reach them well. Were they left out, whoever asks this node would be
/// sent only to nodes that are cut off as well: they can't keep jobs, and a
/// caller would be refused by one after the other until it asks anew.
fn is_listed(member: &Member, cut_off: bool) -> bool {
    match member.state {
        State::Alive | State::Suspect => true,
        State::Dead => cut_off,
        State::Leaving => false,
    }
}

fn misses_many(view: &View) -> bool {
    let is_lost = |member: &&Member| matches!(member.state, State::Suspect | State::Dead);
    let lost = view.members.iter().filter(is_lost).count();
    lost * LOST_ONE_IN >= view.members.len()
}
