//! Which addresses a caller should use.
//!
//! No balancer stands before the nodes: what is decided here is the only thing
//! that spreads callers over them. docs/design/locate.md weighs the ways.

use std::cmp::Ordering;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Member, State, View};
use crate::name::Name;
use crate::outcome::{Reason, Refusal};

/// How long an answer may be kept, before [`Answer::ttl`] shortens it. A node
/// that leaves answers callers for this long after its last mention, so a
/// longer time makes each planned stop longer.
pub const ADDRESS_TTL: Duration = Duration::from_secs(10);
/// Addresses named when the caller does not say how many.
pub const DEFAULT_COUNT: usize = 3;
/// Most addresses named.
pub const MAX_COUNT: usize = 16;
/// When to ask again while there is no node to name.
const RETRY: Duration = Duration::from_secs(1);
/// A zone's node gets at most this many hundredths of the mean share of
/// callers; the rest of the zone's callers go elsewhere in the region.
const MAX_SHARE: u64 = 150;

/// Addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// As ip:port, nearest first.
    pub addresses: Vec<Name>,
    /// How long they may be kept.
    pub ttl: Duration,
}

/// The region of a zone: its name up to the last dash, so that `muscat-1` and
/// `muscat-2` are near each other.
pub fn region(zone: &str) -> &str {
    zone.rsplit_once('-').map_or(zone, |(region, _)| region)
}

/// How far a node is from a caller; less is nearer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    Elsewhere,
}

/// A node that may be named.
struct Candidate<'a> {
    member: &'a Member,
    distance: Distance,
    score: u64,
}

/// Names up to `count` addresses for a caller in `zone`.
///
/// An empty or unknown zone is taken for that of the node that answers, `here`,
/// since the caller reached it. `ticket` is a different number for each
/// question; equal ones get equal answers.
///
/// # Errors
/// [`Reason::NotReady`] when every node is leaving or dead.
pub fn locate(
    view: &View,
    here: &str,
    zone: &str,
    count: usize,
    ticket: u64,
) -> Result<Answer, Refusal> {
    let known = view.members.iter().any(|member| &*member.zone == zone);
    let zone = if known { zone } else { here };
    let mut candidates = candidates(view, zone, ticket);
    if candidates.is_empty() {
        return Err(Refusal::new(Reason::NotReady).after(RETRY));
    }
    let local = stays_local(view, &candidates, zone, ticket);
    candidates.sort_by(|a, b| by_preference(a, b, local));
    let count = if count == 0 { DEFAULT_COUNT } else { count };
    let chosen = choose(&candidates, count.min(MAX_COUNT));
    Ok(Answer {
        addresses: chosen.iter().map(|c| c.member.address.clone()).collect(),
        ttl: jittered_ttl(ticket),
    })
}

/// The nodes that may be named: those that answer, or, when there is none, those
/// that did not answer lately.
fn candidates<'a>(view: &'a View, zone: &str, ticket: u64) -> Vec<Candidate<'a>> {
    let of = |state| {
        let members = view.members.iter().filter(move |m| m.state == state);
        members.map(|member| Candidate {
            member,
            distance: distance(&member.zone, zone),
            score: xxh3_64_with_seed(member.name.as_bytes(), ticket),
        })
    };
    let alive: Vec<Candidate<'_>> = of(State::Alive).collect();
    if alive.is_empty() {
        of(State::Suspect).collect()
    } else {
        alive
    }
}

fn distance(of: &str, from: &str) -> Distance {
    if of == from {
        Distance::Zone
    } else if region(of) == region(from) {
        Distance::Region
    } else {
        Distance::Elsewhere
    }
}

/// Whether this caller's first address is in its own zone.
///
/// When most of a zone's nodes are gone, the few that are left would get all of
/// the zone's callers and fall over as well. One would notice it by their
/// refusals while other zones are idle.
fn stays_local(view: &View, candidates: &[Candidate<'_>], zone: &str, ticket: u64) -> bool {
    let near = candidates
        .iter()
        .filter(|c| c.distance <= Distance::Region)
        .count() as u64;
    let own = candidates
        .iter()
        .filter(|c| c.distance == Distance::Zone)
        .count() as u64;
    let mut zones: Vec<&str> = view
        .members
        .iter()
        .map(|member| &*member.zone)
        .filter(|name| region(name) == region(zone))
        .collect();
    zones.sort_unstable();
    zones.dedup();
    if own == 0 || near == 0 {
        return false;
    }
    // Callers are taken to be spread evenly over the region's zones.
    let percent = MAX_SHARE * own * zones.len() as u64 / near;
    percent >= 100 || xxh3_64_with_seed(zone.as_bytes(), !ticket) % 100 < percent
}

fn by_preference(a: &Candidate<'_>, b: &Candidate<'_>, local: bool) -> Ordering {
    let near = |c: &Candidate<'_>| match (c.distance, local) {
        (Distance::Zone, true) => 0,
        (Distance::Region, _) => 1,
        (Distance::Zone, false) => 2,
        (Distance::Elsewhere, _) => 3,
    };
    near(a).cmp(&near(b)).then(b.score.cmp(&a.score))
}

/// Takes the best, but sees to it that not all are in one zone: a zone that is
/// lost would otherwise leave its callers without an address until they ask
/// anew, and whom they would ask is lost as well.
fn choose<'a>(candidates: &'a [Candidate<'a>], count: usize) -> Vec<&'a Candidate<'a>> {
    let mut chosen: Vec<&Candidate<'_>> = candidates.iter().take(count).collect();
    let Some(first) = chosen.first().map(|c| &c.member.zone) else {
        return chosen;
    };
    let one_zone = chosen.iter().all(|c| c.member.zone == *first);
    if chosen.len() < 2 || !one_zone {
        return chosen;
    }
    let other = candidates.iter().find(|c| c.member.zone != *first);
    if let (Some(other), Some(last)) = (other, chosen.last_mut()) {
        *last = other;
    }
    chosen
}

/// [`ADDRESS_TTL`] less up to a fifth, so that callers who asked at the same moment,
/// as after a failure, don't ask at the same moment for ever.
fn jittered_ttl(ticket: u64) -> Duration {
    let fifth = u64::try_from(ADDRESS_TTL.as_millis() / 5).unwrap_or_default();
    let less = xxh3_64_with_seed(b"keep", ticket) % (fifth + 1);
    ADDRESS_TTL.saturating_sub(Duration::from_millis(less))
}
