//! The rows in which the configuration lies.
//!
//! A change writes three rows together: a small one that every node polls, the
//! document, which is read only when it has changed, and one of history. With
//! the document in the polled row, 330 nodes would read it whole every few
//! seconds; see docs/design/config.md.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Key of the row that holds the [`Pointer`].
pub const POINTER_KEY: &str = "config/pointer";
/// Key of the row that holds the document.
pub const DOCUMENT_KEY: &str = "config/document";
/// What the keys of history rows start with.
pub const HISTORY_PREFIX: &str = "config/history/";
/// Changes that are kept in history; older rows go with the next change.
pub const MAX_HISTORY_ROWS: u64 = 10_000;

/// Names the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// The document's version.
    pub version: u64,
    /// Identity of the change that made it, by which its author recognises it
    /// when the answer to the commit was lost.
    pub change: u64,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it made.
    pub version: u64,
    /// Its identity.
    pub id: u64,
    /// Who made it.
    pub author: String,
    /// Why.
    pub note: String,
    /// When, by the wall clock of the node that committed it, in milliseconds
    /// since 1970. For people only.
    pub at_ms: u64,
    /// One line for each thing that changed.
    pub diff: Vec<String>,
}

/// Key of the history row of `version`. Versions count down in it, so that a
/// scan, which only goes upwards, meets the newest first.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{:020}", u64::MAX - version)
}

/// Writes a row's value.
pub fn encode<V>(value: &V) -> Bytes
where
    V: Serialize,
{
    let mut bytes = Vec::with_capacity(256);
    // Plain data into memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes.into()
}

/// Reads a row's value; nothing when it can't be read, as when a later release
/// wrote it.
pub fn decode<V>(bytes: &[u8]) -> Option<V>
where
    V: DeserializeOwned,
{
    ciborium::from_reader(bytes).ok()
}
