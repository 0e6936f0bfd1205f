//! Index of the endpoints that probably have a prompt's prefix in their cache.
//!
//! It is updated from cache events, which are late and incomplete, and from this
//! gateway's own choices. A wrong entry only costs a prefill, so entries are not
//! verified.

use std::collections::{HashMap, VecDeque};

/// Maximum number of indexed blocks over all endpoints.
const MAX_BLOCKS: usize = 200_000;
/// Maximum number of endpoints stored per block. A block with more holders, such as the
/// common beginning of a service's prompts, counts as cached everywhere.
const MAX_HOLDERS: usize = 24;

/// Blocks and their last known holders.
#[derive(Debug, Default)]
pub struct Index {
    holders: HashMap<u64, Vec<u32>>,
    order: VecDeque<u64>,
}

impl Index {
    /// Records that `endpoint` holds `block`.
    pub fn store(&mut self, block: u64, endpoint: u32) {
        let holders = self.holders.entry(block).or_default();
        if holders.is_empty() {
            self.order.push_back(block);
        }
        if holders.contains(&endpoint) {
            return;
        }
        if holders.len() <= MAX_HOLDERS {
            holders.push(endpoint);
        }
        if self.order.len() > MAX_BLOCKS
            && let Some(oldest) = self.order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    /// Records that `endpoint` has evicted `block`.
    pub fn evict(&mut self, block: u64, endpoint: u32) {
        if let Some(holders) = self.holders.get_mut(&block)
            && holders.len() <= MAX_HOLDERS
        {
            holders.retain(|holder| *holder != endpoint);
        }
    }

    /// Returns the endpoint with the longest known prefix of `blocks`, and its length.
    pub fn longest(&self, blocks: &[u64]) -> Option<(u32, usize)> {
        // Search from the end, so that a lost event does not hide the blocks after it.
        blocks.iter().enumerate().rev().find_map(|(at, block)| {
            let holders = self.holders.get(block)?;
            let endpoint = *holders.last()?;
            (holders.len() <= MAX_HOLDERS).then_some((endpoint, at + 1))
        })
    }

    /// Returns how many leading blocks `endpoint` probably holds.
    pub fn cached_blocks(&self, blocks: &[u64], endpoint: u32) -> usize {
        blocks
            .iter()
            .rposition(|block| {
                self.holders
                    .get(block)
                    .is_some_and(|known| known.len() > MAX_HOLDERS || known.contains(&endpoint))
            })
            .map_or(0, |at| at + 1)
    }
}
