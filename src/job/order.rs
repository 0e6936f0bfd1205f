//! Fair scheduling of chunks between organisations.
//!
//! Organisations share capacity by weight in virtual time. Among those within a window of the one
//! furthest behind, the earliest due time goes first. The window limits how far an urgent
//! organisation can get ahead, so that none starves. docs/design/batch.md compares this with least
//! slack and plain earliest due time.

use std::collections::BTreeMap;

use crate::name::Name;

/// Items of weight 1 by which an organisation may be ahead of the one furthest behind, because its
/// jobs are due earlier.
pub const WINDOW_ITEMS: u64 = 1_024;
/// Virtual time charged for one item at weight 1.
const VIRTUAL_TIME_PER_ITEM: u64 = 1_000;

/// A chunk that could be claimed next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The organisation that owns it.
    pub organisation: Name,
    /// When it is due.
    pub due_at_ms: u64,
    /// Tie-breaker that differs between nodes, so that nodes with the same view of the index do not
    /// all try to claim the same row.
    pub rank: u64,
}

/// Virtual time used by each organisation.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    weights: BTreeMap<Name, u32>,
    usage: BTreeMap<Name, u64>,
    floor: u64,
}

impl Scheduler {
    /// Replaces the weights. The default weight is 1.
    pub fn set_weights(&mut self, weights: BTreeMap<Name, u32>) {
        self.weights = weights;
    }

    /// Returns the index of the candidate to claim next.
    pub fn pick(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let behind = candidates
            .iter()
            .map(|candidate| self.usage(&candidate.organisation))
            .min()?;
        // An organisation that returns after an idle period starts level with the others, so that
        // idle time earns no credit.
        self.floor = self.floor.max(behind);
        self.usage.retain(|_, usage| *usage > self.floor);
        let bound = behind.saturating_add(WINDOW_ITEMS * VIRTUAL_TIME_PER_ITEM);
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| self.usage(&candidate.organisation) <= bound)
            .min_by_key(|(_, candidate)| (candidate.due_at_ms, candidate.rank))
            .map(|(at, _)| at)
    }

    /// Charges an organisation for items.
    pub fn charge(&mut self, organisation: &Name, items: u32) {
        let weight = self.weights.get(organisation).copied().unwrap_or(1).max(1);
        let usage = self.usage(organisation);
        let more = u64::from(items) * VIRTUAL_TIME_PER_ITEM / u64::from(weight);
        self.usage.insert(organisation.clone(), usage + more);
    }

    fn usage(&self, organisation: &Name) -> u64 {
        self.usage.get(organisation).copied().unwrap_or(self.floor)
    }
}
