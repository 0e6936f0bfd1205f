//! What the rows and objects of jobs hold, and how it is encoded.

use std::ops::Range;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use serde::Deserialize;

use super::key::{self, Id};
use crate::name::Name;

/// Fewest items of a chunk, but for the last one: a job of 50 is one chunk.
const MIN_CHUNK: u32 = 128;
/// Most items of a chunk.
const MAX_CHUNK: u32 = 512;
/// Chunks that a job is cut into between those bounds.
const WANTED_CHUNKS: u32 = 64;
/// Rows among which the chunks of a job are spread, so that claimers of one
/// large job rarely meet.
const MAX_LANES: u32 = 16;

/// One item as the caller gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's name of the item, unique in its job; may be empty.
    pub key: Name,
    /// The text to complete.
    pub prompt: Name,
    /// Most tokens to generate.
    pub max_tokens: u32,
}

/// Where a job is in its life. It only ever leaves [`State::Active`], once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Items are still open.
    Active,
    /// Every item has its result.
    Ended,
    /// It was cancelled before every item had one.
    Cancelled,
}

/// A job's row. It changes once, when the job ends or is cancelled, so that
/// its version is what every claim and commit checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The service that answers the items.
    pub service: Name,
    /// Whose job it is.
    pub organisation: Name,
    /// The caller's key.
    pub key: Name,
    /// Hash of the content, in hexadecimal.
    pub digest: Name,
    /// Number of items.
    pub items: u32,
    /// Items of each chunk but the last.
    pub chunk: u32,
    /// Number of lanes.
    pub lanes: u32,
    /// When it was accepted, by the accepting node's wall clock.
    pub accepted_at_ms: u64,
    /// When it is due, by the same clock.
    pub due_at_ms: u64,
    /// True when each item must run at most once.
    pub once: bool,
    /// Where it is in its life.
    pub state: State,
}

/// Items by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Whole answers.
    pub done: u32,
    /// Items that can't be completed.
    pub failed: u32,
    /// Items that must run at most once and may have run.
    pub unknown: u32,
}

impl Counts {
    /// The sum of both.
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

    /// The item numbers of a chunk.
    pub fn numbers(&self, chunk: u32) -> Range<u32> {
        let first = chunk * self.chunk;
        first..self.items.min(first + self.chunk)
    }

    /// The chunk numbers of a lane: neighbours, in even shares.
    pub fn span(&self, lane: u32) -> Range<u32> {
        let at = |lane: u32| {
            let chunk = u64::from(lane) * u64::from(self.chunks()) / u64::from(self.lanes);
            u32::try_from(chunk).unwrap_or(u32::MAX)
        };
        at(lane)..at(lane + 1)
    }

    /// Key of the row of an unfinished lane.
    pub fn open_lane(&self, lane: u32) -> String {
        self.open_lanes() + &key::lane(lane)
    }

    /// Prefix of the rows of its unfinished lanes.
    pub fn open_lanes(&self) -> String {
        key::open(&self.service, self.due_at_ms, &self.id())
    }

    /// Key of the row of a finished lane.
    pub fn closed_lane(&self, lane: u32) -> String {
        self.id().closed() + &key::lane(lane)
    }
}

/// Items of each chunk of a job of that many items.
pub fn chunk_len(items: u32) -> u32 {
    items.div_ceil(WANTED_CHUNKS).clamp(MIN_CHUNK, MAX_CHUNK)
}

/// Lanes of a job of that many chunks.
pub fn lanes(chunks: u32) -> u32 {
    chunks.clamp(1, MAX_LANES)
}

/// Encodes a row or an object.
///
/// # Panics
/// Never for the types of this module: they are plain data, and writing into
/// memory can't fail.
pub fn encode<V>(value: &V) -> Bytes
where
    V: Serialize,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("plain data always encodes");
    bytes.into()
}

/// Decodes a row or an object; nothing when it was written by something else.
pub fn decode<V>(bytes: &[u8]) -> Option<V>
where
    V: DeserializeOwned,
{
    ciborium::from_reader(bytes).ok()
}
