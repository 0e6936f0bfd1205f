//! Which endpoints probably hold the beginning of a prompt.
//!
//! Fed by cache events, which come late and with gaps, and by our own choices.
//! A wrong guess costs a prefill and nothing else, so nothing here is checked.

use std::collections::{HashMap, VecDeque};

/// Blocks that are remembered over all endpoints.
const CAPACITY: usize = 200_000;
/// Endpoints that are remembered for one block. A block that more hold is taken
/// to be everywhere, as the beginning of every prompt of a service is.
const HOLDERS: usize = 24;

/// Blocks and their last known holders.
#[derive(Debug, Default)]
pub struct Index {
    holders: HashMap<u64, Vec<u32>>,
    order: VecDeque<u64>,
}

impl Index {
    /// `endpoint` holds `block`.
    pub fn store(&mut self, block: u64, endpoint: u32) {
        let holders = self.holders.entry(block).or_default();
        if holders.is_empty() {
            self.order.push_back(block);
        }
        if holders.contains(&endpoint) {
            return;
        }
        if holders.len() <= HOLDERS {
            holders.push(endpoint);
        }
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    /// `endpoint` no longer holds `block`.
    pub fn evict(&mut self, block: u64, endpoint: u32) {
        if let Some(holders) = self.holders.get_mut(&block)
            && holders.len() <= HOLDERS
        {
            holders.retain(|holder| *holder != endpoint);
        }
    }

    /// The endpoint with the longest known prefix of `blocks`, and its length.
    pub fn longest(&self, blocks: &[u64]) -> Option<(u32, usize)> {
        // An event lost in the middle must not hide the blocks after it, so
        // the search begins at the end.
        blocks.iter().enumerate().rev().find_map(|(at, block)| {
            let holders = self.holders.get(block)?;
            let endpoint = *holders.last()?;
            (holders.len() <= HOLDERS).then_some((endpoint, at + 1))
        })
    }

    /// How many leading blocks `endpoint` probably holds.
    pub fn held(&self, blocks: &[u64], endpoint: u32) -> usize {
        blocks
            .iter()
            .rposition(|block| {
                self.holders
                    .get(block)
                    .is_some_and(|holders| holders.len() > HOLDERS || holders.contains(&endpoint))
            })
            .map_or(0, |at| at + 1)
    }
}
