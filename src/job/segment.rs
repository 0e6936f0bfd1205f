//! A holder's log of finished results and attempts, written in segments.
//!
//! A segment covers every chunk that the node holds, so that flushing every few seconds costs one
//! object for each node and not for each chunk. Callers cannot read the results in a log before
//! their chunk is committed, so a paused holder that continues to write its log does no harm.

use serde::{Deserialize, Serialize};

use super::Reply;
use super::key;
use super::lane::LogRange;
use super::record;
use crate::name::Name;
use crate::table::{Fault, Store};

/// One object of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// One entry for each chunk.
    pub entries: Vec<Entry>,
}

/// The part of a segment that belongs to one chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the job.
    pub job: Name,
    /// Index of the chunk in the job.
    pub chunk: u32,
    /// Finished results.
    pub replies: Vec<Reply>,
    /// Attempts of items that failed or are about to run isolated.
    pub attempts: Vec<Attempt>,
}

/// Number of isolated attempts of an item. Written before the item is sent, so that an attempt that
/// crashes the VM is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number of the item in its job.
    pub number: u32,
    /// Isolated attempts, including this one; 0 if the item failed only while others ran.
    pub count: u32,
}

/// Reads the entries of one chunk from a range of a log.
///
/// # Errors
/// [`Fault`] if the store cannot be read; this says nothing about the content.
pub async fn read<S>(
    store: &S,
    range: &LogRange,
    job: &str,
    chunk: u32,
) -> Result<Vec<Entry>, Fault>
where
    S: Store,
{
    let mut found = Vec::new();
    let mut sequence = range.from;
    while range.until.is_none_or(|until| sequence < until) {
        // Segments are written in order, each after the previous one is stored, so the first
        // missing one is the end.
        let Some(bytes) = store.get(&key::segment(&range.session, sequence)).await? else {
            break;
        };
        let segment: Segment = record::decode(&bytes).unwrap_or_default();
        let entries = segment.entries.into_iter();
        found.extend(entries.filter(|entry| &*entry.job == job && entry.chunk == chunk));
        sequence += 1;
    }
    Ok(found)
}
