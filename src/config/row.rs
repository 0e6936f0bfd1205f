//! Table rows of the configuration.
//!
//! A change writes three rows in one transaction: a small pointer that every node
//! polls, the document, which is read only after a change, and a history row. If
//! the polled row contained the document, 330 nodes would read all of it every
//! few seconds; see docs/design/config.md.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Key of the row with the [`Pointer`].
pub const POINTER_KEY: &str = "config/pointer";
/// Key of the row with the document.
pub const DOCUMENT_KEY: &str = "config/document";
/// Prefix of the keys of history rows.
pub const HISTORY_PREFIX: &str = "config/history/";
/// Maximum number of history rows; older ones are removed with the next change.
pub const MAX_HISTORY_ROWS: u64 = 10_000;

/// Identifies the current version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pointer {
    /// Version of the document.
    pub version: u64,
    /// Identifier of the change that created it, by which its author recognises
    /// it after a lost answer to the commit.
    pub change: u64,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that it created.
    pub version: u64,
    /// Identifier of the change.
    pub id: u64,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub note: String,
    /// Wall-clock time of the committing node in milliseconds since 1970, for
    /// display only.
    pub at_ms: u64,
    /// One line for each difference.
    pub diff: Vec<String>,
}

/// Returns the key of the history row of `version`. Keys count down, so that a
/// scan, which only runs upwards, returns the newest first.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{:020}", u64::MAX - version)
}

/// Encodes the value of a row.
pub fn encode<V>(value: &V) -> Bytes
where
    V: Serialize,
{
    let mut bytes = Vec::with_capacity(256);
    // Encoding plain data into memory cannot fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes.into()
}

/// Decodes the value of a row; `None` if it cannot be decoded, for example
/// because a later release wrote it.
pub fn decode<V>(bytes: &[u8]) -> Option<V>
where
    V: DeserializeOwned,
{
    ciborium::from_reader(bytes).ok()
}
