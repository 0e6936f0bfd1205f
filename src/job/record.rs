//! Content of the rows and objects of jobs, and its encoding.

use std::ops::Range;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use serde::Deserialize;

use super::key::{self, Id};
use crate::name::Name;

/// Least number of items of a chunk other than the last, so that a job of 50 items is one chunk.
const MIN_CHUNK_ITEMS: u32 = 128;
/// Largest number of items of a chunk.
const MAX_CHUNK_ITEMS: u32 = 512;
/// Number of chunks to aim for within those bounds.
const TARGET_CHUNKS: u32 = 64;
/// Most rows over which the chunks of a job are spread, so that claims on one large job rarely
/// conflict.
const MAX_LANES: u32 = 16;

/// An item as submitted by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's key of the item, unique in its job; may be empty.
    pub key: Name,
    /// The text to complete.
    pub prompt: Name,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
}

/// State of a job. It changes once, from [`State::Active`] to one of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Some items have no result yet.
    Active,
    /// Every item has its result.
    Ended,
    /// It was cancelled before every item had a result.
    Cancelled,
}

/// A job's row. It changes once, when the job ends or is cancelled, so every claim and commit can
/// check its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The service that processes the items.
    pub service: Name,
    /// The organisation that owns the job.
    pub organisation: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// Hash of the content, in hexadecimal.
    pub digest: Name,
    /// Number of items.
    pub items: u32,
    /// Items in each chunk except the last.
    pub chunk: u32,
    /// Number of lanes.
    pub lanes: u32,
    /// When it was accepted, by the accepting node's wall clock.
    pub accepted_at_ms: u64,
    /// When it is due, by the same clock.
    pub due_at_ms: u64,
    /// True if each item must run at most once.
    pub once: bool,
    /// State of the job.
    pub state: State,
}

/// Items by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Complete answers.
    pub done: u32,
    /// Items that cannot be completed.
    pub failed: u32,
    /// Items that must run at most once and may have run.
    pub unknown: u32,
}

impl Counts {
    /// Returns the sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            done: self.done + other.done,
            failed: self.failed + other.failed,
            unknown: self.unknown + other.unknown,
        }
    }
}

impl Job {
    /// The job's identity.
    pub fn id(&self) -> Id {
        Id::of(&self.organisation, &self.key)
    }

    /// Number of chunks.
    pub const fn chunks(&self) -> u32 {
        self.items.div_ceil(self.chunk)
    }

    /// Numbers of the items of a chunk.
    pub fn item_range(&self, chunk: u32) -> Range<u32> {
        let first = chunk * self.chunk;
        first..self.items.min(first + self.chunk)
    }

    /// Indices of the chunks of a lane: consecutive, and distributed evenly over the lanes.
    pub fn chunk_range(&self, lane: u32) -> Range<u32> {
        let at = |lane: u32| {
            let chunk = u64::from(lane) * u64::from(self.chunks()) / u64::from(self.lanes);
            u32::try_from(chunk).unwrap_or(u32::MAX)
        };
        at(lane)..at(lane + 1)
    }

    /// Key of the row of an unfinished lane.
    pub fn open_lane(&self, lane: u32) -> String {
        self.open_lanes() + &key::lane_suffix(lane)
    }

    /// Prefix of the rows of its unfinished lanes.
    pub fn open_lanes(&self) -> String {
        key::open_prefix(&self.service, self.due_at_ms, &self.id())
    }

    /// Key of the row of a finished lane.
    pub fn closed_lane(&self, lane: u32) -> String {
        self.id().closed_prefix() + &key::lane_suffix(lane)
    }
}

/// Items in each chunk of a job with that many items.
pub fn chunk_len(items: u32) -> u32 {
    items
        .div_ceil(TARGET_CHUNKS)
        .clamp(MIN_CHUNK_ITEMS, MAX_CHUNK_ITEMS)
}

/// Lanes of a job with that many chunks.
pub fn lanes(chunks: u32) -> u32 {
    chunks.clamp(1, MAX_LANES)
}

/// Encodes a row or an object.
///
/// # Panics
/// Never for the types of this module: they are plain data, and writing into memory cannot fail.
pub fn encode<V>(value: &V) -> Bytes
where
    V: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("plain data always encodes");
    bytes.into()
}

/// Decodes a row or an object; returns `None` if it has another format.
pub fn decode<V>(bytes: &[u8]) -> Option<V>
where
    V: DeserializeOwned,
{
    ciborium::from_reader(bytes).ok()
}
