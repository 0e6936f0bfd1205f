//! Decides whose work is next.
//!
//! Organisations share by weight in virtual time, and within the window that
//! this leaves the earliest due time goes first. The window bounds what an
//! urgent organisation can take before its turn, so that nobody is starved;
//! docs/design/batch.md compares least slack and earliest due time.

use std::collections::BTreeMap;

use crate::name::Name;

/// Items of weight 1 that an organisation may be ahead of the one furthest
/// behind, for the sake of its due times.
pub const WINDOW: u64 = 1_024;
/// Virtual time of one item at weight 1.
const UNIT: u64 = 1_000;

/// Work that could be next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Whose it is.
    pub organisation: Name,
    /// When it is due.
    pub due_at_ms: u64,
    /// Breaks ties, differently on every node, so that nodes which see the same
    /// index do not all try the same row.
    pub rank: u64,
}

/// What each organisation has had.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    weights: BTreeMap<Name, u32>,
    had: BTreeMap<Name, u64>,
    floor: u64,
}

impl Ledger {
    /// Replaces the weights; an organisation that is not named has 1.
    pub fn weigh(&mut self, weights: BTreeMap<Name, u32>) {
        self.weights = weights;
    }

    /// The candidate that is next.
    pub fn pick(&mut self, candidates: &[Candidate]) -> Option<usize> {
        let behind = candidates
            .iter()
            .map(|candidate| self.had(&candidate.organisation))
            .min()?;
        // An organisation that comes back after a pause starts level with the
        // others: time in which it asked for nothing is not saved up.
        self.floor = self.floor.max(behind);
        self.had.retain(|_, had| *had > self.floor);
        let bound = behind.saturating_add(WINDOW * UNIT);
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| self.had(&candidate.organisation) <= bound)
            .min_by_key(|(_, candidate)| (candidate.due_at_ms, candidate.rank))
            .map(|(at, _)| at)
    }

    /// Counts items that an organisation was given.
    pub fn charge(&mut self, organisation: &Name, items: u32) {
        let weight = self.weights.get(organisation).copied().unwrap_or(1).max(1);
        let had = self.had(organisation);
        let more = u64::from(items) * UNIT / u64::from(weight);
        self.had.insert(organisation.clone(), had + more);
    }

    fn had(&self, organisation: &Name) -> u64 {
        self.had.get(organisation).copied().unwrap_or(self.floor)
    }
}
