//! The prefix cache and its late, gappy events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Events that are kept for readers that ask late.
const HISTORY: usize = 10_000;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Counts up by one with each change; a reader sees a gap by it.
    pub sequence: u64,
    /// The block, as [`super::blocks`] names it.
    pub block: u64,
    /// True when it was stored, false when it was evicted.
    pub stored: bool,
}

/// The blocks that the engine holds, least recently used first out.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    lag: Duration,
    loss: u32,
    used: BTreeMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    turn: u64,
    sequence: u64,
    events: VecDeque<(Time, Event)>,
    random: ChaCha8Rng,
}

impl Cache {
    /// An empty cache of `capacity` blocks whose events come `lag` late and
    /// get lost `loss` times in a hundred.
    pub fn new(capacity: usize, lag: Duration, loss: u32, seed: u64) -> Self {
        Self {
            capacity,
            lag,
            loss,
            used: BTreeMap::new(),
            order: BTreeMap::new(),
            turn: 0,
            sequence: 0,
            events: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// How many of the leading blocks are held; they count as used.
    pub fn hit(&mut self, blocks: &[u64]) -> u32 {
        let held = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block))
            .count();
        for block in &blocks[..held] {
            self.touch(*block);
        }
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    /// Keeps the blocks of a prompt that has been computed.
    pub fn store(&mut self, now: Time, blocks: &[u64]) {
        for &block in blocks {
            if !self.used.contains_key(&block) {
                self.tell(now, block, true);
            }
            self.touch(block);
        }
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.tell(now, block, false);
        }
    }

    /// The events after `sequence` that have become visible by `now`.
    pub fn events(&self, now: Time, sequence: u64) -> Vec<Event> {
        self.events
            .iter()
            .filter(|(at, event)| *at <= now && event.sequence > sequence)
            .map(|(_, event)| *event)
            .collect()
    }

    fn touch(&mut self, block: u64) {
        self.turn += 1;
        if let Some(before) = self.used.insert(block, self.turn) {
            self.order.remove(&before);
        }
        self.order.insert(self.turn, block);
    }

    fn tell(&mut self, now: Time, block: u64, stored: bool) {
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
        if self.events.len() > HISTORY {
            self.events.pop_front();
        }
    }
}
