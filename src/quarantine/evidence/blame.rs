//! Which requests are to blame for the crashes that no verdict explains yet.

use std::collections::{BTreeSet, HashMap};

use super::Incident;
use crate::clock::Time;
use crate::quarantine::Fingerprint;

/// Blame of a request for the crashes that no verdict explains yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blame {
    pub(super) weight: u32,
    /// The part of `weight` from crashes at which every other request has less blame.
    pub(super) sole_weight: u32,
    pub(super) newest: Time,
    /// At one of these crashes ran another request with as much blame or more.
    pub(super) is_outranked: bool,
}

/// Returns the blame of each request for these crashes.
pub(super) fn assign<'a, I>(incidents: I) -> HashMap<Fingerprint, Blame>
where
    I: Iterator<Item = &'a Incident>,
{
    let incidents: Vec<&Incident> = incidents.collect();
    let mut blame: HashMap<Fingerprint, Blame> = HashMap::new();
    for incident in &incidents {
        for (request, stage) in &incident.requests {
            let blame = blame.entry(*request).or_insert(Blame {
                weight: 0,
                sole_weight: 0,
                newest: incident.last_observed,
                is_outranked: false,
            });
            blame.weight += stage.weight();
            blame.newest = blame.newest.max(incident.last_observed);
        }
    }
    let mut outranked = BTreeSet::new();
    let mut sole = Vec::new();
    for incident in &incidents {
        let weight = |request: &Fingerprint| blame[request].weight;
        let most = incident.requests.keys().map(weight).max().unwrap_or(0);
        let at_top = incident.requests.iter().filter(|it| weight(it.0) == most);
        let at_top: Vec<_> = at_top.collect();
        if let [(request, stage)] = at_top[..] {
            sole.push((*request, stage.weight()));
        }
        let is_shared = at_top.len() > 1;
        let below = |it: &&Fingerprint| weight(it) < most || is_shared;
        outranked.extend(incident.requests.keys().filter(below).copied());
    }
    for request in outranked {
        if let Some(blame) = blame.get_mut(&request) {
            blame.is_outranked = true;
        }
    }
    for (request, weight) in sole {
        if let Some(blame) = blame.get_mut(&request) {
            blame.sole_weight += weight;
        }
    }
    blame
}
