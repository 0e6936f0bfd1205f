//! A holder's log: finished results and recorded attempts, in segments.
//!
//! One segment of a node covers every chunk that it holds, so that flushing
//! every few seconds costs one object a node and not one a chunk. Nothing in a
//! log is readable by callers before its chunk is committed, so a paused holder
//! that goes on writing its log does no harm.

use serde::{Deserialize, Serialize};

use super::Reply;
use super::key;
use super::lane::Trail;
use super::record;
use crate::name::Name;
use crate::table::{Fault, Store};

/// One object of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// What it has of each chunk.
    pub entries: Vec<Entry>,
}

/// What a segment has of one chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Hash of the job.
    pub job: Name,
    /// Which chunk of it.
    pub chunk: u32,
    /// Finished results.
    pub replies: Vec<Reply>,
    /// Items that failed or are about to run alone.
    pub attempts: Vec<Attempt>,
}

/// How often an item has been sent alone. Written before it is sent, so that an
/// item which takes the whole VM down is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Which item of the job.
    pub number: u32,
    /// Times it was sent alone, this one included; 0 when it only failed
    /// together with others so far.
    pub count: u32,
}

/// Reads what a stretch of log has of one chunk.
///
/// # Errors
/// [`Fault`] when the store can't be read now; nothing may be concluded then.
pub async fn read<S>(store: &S, trail: &Trail, job: &str, chunk: u32) -> Result<Vec<Entry>, Fault>
where
    S: Store,
{
    let mut found = Vec::new();
    let mut sequence = trail.from;
    while trail.until.is_none_or(|until| sequence < until) {
        // Segments are written in order and each only after the one before it
        // is there, so the first absent one is the end.
        let Some(bytes) = store.get(&key::segment(&trail.session, sequence)).await? else {
            break;
        };
        let segment: Segment = record::decode(&bytes).unwrap_or_default();
        let entries = segment.entries.into_iter();
        found.extend(entries.filter(|entry| &*entry.job == job && entry.chunk == chunk));
        sequence += 1;
    }
    Ok(found)
}
