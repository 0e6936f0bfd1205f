//! The prefix cache. Its events are delayed and some are lost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number, which grows by one with each change, so that a reader can detect a gap.
    pub sequence: u64,
    /// The block's hash, as returned by [`super::blocks`].
    pub block: u64,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// The cached blocks, evicted in least recently used order.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    lag: Duration,
    loss: u32,
    used_at: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: VecDeque<(Time, Event)>,
    random: ChaCha8Rng,
}

impl Cache {
    /// Creates an empty cache of `capacity` blocks. Its events are delayed by `lag`, and `loss` percent
    /// of them are lost.
    pub fn new(capacity: usize, lag: Duration, loss: u32, seed: u64) -> Self {
        Self {
            capacity,
            lag,
            loss,
            used_at: BTreeMap::new(),
            order: BTreeMap::new(),
            uses: 0,
            sequence: 0,
            events: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns how many leading blocks are cached, and marks these as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> u32 {
        let cached = blocks
            .iter()
            .take_while(|block| self.used_at.contains_key(block))
            .count();
        for block in &blocks[..cached] {
            self.touch(*block);
        }
        u32::try_from(cached).unwrap_or(u32::MAX)
    }

    /// Stores the blocks of a prompt whose prefill has finished.
    pub fn store(&mut self, now: Time, blocks: &[u64]) {
        for &block in blocks {
            if !self.used_at.contains_key(&block) {
                self.record(now, block, true);
            }
            self.touch(block);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used_at.remove(&block);
            self.record(now, block, false);
        }
    }

    /// Returns the events after `sequence` that are visible at `now`.
    pub fn events(&self, now: Time, sequence: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|(at, event)| *at <= now && event.sequence > sequence)
            .map(|(_, event)| *event)
            .collect()
    }

    fn touch(&mut self, block: u64) {
        self.uses += 1;
        if let Some(before) = self.used_at.insert(block, self.uses) {
            self.order.remove(&before);
        }
        self.order.insert(self.uses, block);
    }

    fn record(&mut self, now: Time, block: u64, stored: bool) {
        self.sequence += 1;
        if self.random.random_range(0..100) < self.loss {
            return;
        }
        let event = Event {
            sequence: self.sequence,
            block,
            stored,
        };
        self.events.push_back((now + self.lag, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
