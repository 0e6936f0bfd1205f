//! Selects the node addresses that a caller should use.
//!
//! No load balancer runs in front of the nodes, so this selection alone
//! distributes callers over them. docs/design/locate.md compares the
//! alternatives.

use std::cmp::Ordering;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Member, State, View};
use crate::name::Name;
use crate::outcome::{Reason, Refusal};

/// How long an answer may be cached, before [`Answer::ttl`] shortens it. A
/// leaving node serves callers for this long after it was last returned, so a
/// larger value prolongs each planned shutdown.
pub const ADDRESS_TTL: Duration = Duration::from_secs(10);
/// Number of addresses returned if the caller does not specify one.
pub const DEFAULT_COUNT: usize = 3;
/// Maximum number of addresses returned.
pub const MAX_COUNT: usize = 16;
/// Retry delay while no node is available.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum share of callers for a node of a zone, in percent of the mean share;
/// the other callers of the zone are sent elsewhere in the region.
const MAX_SHARE_PERCENT: u64 = 150;

/// Addresses to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Addresses as ip:port, nearest first.
    pub addresses: Vec<Name>,
    /// How long they may be cached.
    pub ttl: Duration,
}

/// Returns the region of a zone: its name up to the last dash, so that `muscat-1`
/// and `muscat-2` are in the same region.
pub fn region(zone: &str) -> &str {
    zone.rsplit_once('-').map_or(zone, |(region, _)| region)
}

/// Distance of a node from a caller; smaller is nearer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    Zone,
    Region,
    Elsewhere,
}

/// A node that may be returned.
struct Candidate<'a> {
    member: &'a Member,
    distance: Distance,
    score: u64,
}

/// Returns up to `count` addresses for a caller in `zone`.
///
/// An empty or unknown zone is replaced by `local_zone`, the zone of the
/// answering node, since the caller reached that node. `seed` is a different
/// number for each request; equal seeds get equal answers.
///
/// # Errors
/// [`Reason::NotReady`] if every node is leaving or dead.
pub fn locate(
    view: &View,
    local_zone: &str,
    zone: &str,
    count: usize,
    seed: u64,
) -> Result<Answer, Refusal> {
    let known = view.members.iter().any(|member| &*member.zone == zone);
    let zone = if known { zone } else { local_zone };
    let mut candidates = candidates(view, zone, seed);
    if candidates.is_empty() {
        return Err(Refusal::new(Reason::NotReady).after(RETRY_DELAY));
    }
    let local = prefers_local_zone(view, &candidates, zone, seed);
    candidates.sort_by(|a, b| compare_candidates(a, b, local));
    let count = if count == 0 { DEFAULT_COUNT } else { count };
    let selected = select(&candidates, count.min(MAX_COUNT));
    Ok(Answer {
        addresses: selected.iter().map(|c| c.member.address.clone()).collect(),
        ttl: jittered_ttl(seed),
    })
}

/// Returns the nodes that may be selected: the live ones or, if there are none,
/// the suspect ones.
fn candidates<'a>(view: &'a View, zone: &str, seed: u64) -> Vec<Candidate<'a>> {
    let of = |state| {
        let members = view.members.iter().filter(move |m| m.state == state);
        members.map(|member| Candidate {
            member,
            distance: distance(&member.zone, zone),
            score: xxh3_64_with_seed(member.name.as_bytes(), seed),
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

/// Returns whether this caller's first address is in its own zone.
///
/// When most nodes of a zone are lost, the remaining ones would get all callers
/// of the zone and become overloaded too. This would show as refusals there while
/// other zones are idle.
fn prefers_local_zone(view: &View, candidates: &[Candidate<'_>], zone: &str, seed: u64) -> bool {
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
    // Assumes that callers are spread evenly over the zones of the region.
    let percent = MAX_SHARE_PERCENT * own * zones.len() as u64 / near;
    percent >= 100 || xxh3_64_with_seed(zone.as_bytes(), !seed) % 100 < percent
}

fn compare_candidates(a: &Candidate<'_>, b: &Candidate<'_>, local: bool) -> Ordering {
    let near = |c: &Candidate<'_>| match (c.distance, local) {
        (Distance::Zone, true) => 0,
        (Distance::Region, _) => 1,
        (Distance::Zone, false) => 2,
        (Distance::Elsewhere, _) => 3,
    };
    near(a).cmp(&near(b)).then(b.score.cmp(&a.score))
}

/// Selects the best candidates, but not all from one zone: if that zone were
/// lost, its callers would have no address left until they call Locate again, and
/// the nodes that they would call are lost as well.
fn select<'a>(candidates: &'a [Candidate<'a>], count: usize) -> Vec<&'a Candidate<'a>> {
    let mut selected: Vec<&Candidate<'_>> = candidates.iter().take(count).collect();
    let Some(first) = selected.first().map(|c| &c.member.zone) else {
        return selected;
    };
    let one_zone = selected.iter().all(|c| c.member.zone == *first);
    if selected.len() < 2 || !one_zone {
        return selected;
    }
    let other = candidates.iter().find(|c| c.member.zone != *first);
    if let (Some(other), Some(last)) = (other, selected.last_mut()) {
        *last = other;
    }
    selected
}

/// Returns [`ADDRESS_TTL`] reduced by up to a fifth, so that callers that called
/// at the same moment, such as after a failure, do not all call again at the same
/// moment.
fn jittered_ttl(seed: u64) -> Duration {
    let fifth = u64::try_from(ADDRESS_TTL.as_millis() / 5).unwrap_or_default();
    let less = xxh3_64_with_seed(b"keep", seed) % (fifth + 1);
    ADDRESS_TTL.saturating_sub(Duration::from_millis(less))
}
