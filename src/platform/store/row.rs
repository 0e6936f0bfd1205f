//! The JSON forms of rows in the store's calls and answers.

use serde::{Deserialize, Serialize};

/// An atomic transaction.
#[derive(Serialize)]
pub(super) struct TransactionCall {
    pub(super) expect_rev: Vec<Expected>,
    pub(super) set_keys: Vec<SetRow>,
    pub(super) remove: Vec<RowKey>,
}

/// A precondition: the version that a row must have.
#[derive(Serialize)]
pub(super) struct Expected {
    #[serde(flatten)]
    pub(super) row: RowKey,
    /// 0 where the row must not exist.
    pub(super) ver: u64,
}

/// A row and its new value, in base64.
#[derive(Serialize)]
pub(super) struct SetRow {
    #[serde(flatten)]
    pub(super) row: RowKey,
    pub(super) value: String,
}

/// The address of a row.
#[derive(Serialize)]
pub(super) struct RowKey {
    pub(super) table: String,
    pub(super) part: String,
    pub(super) key: String,
}

/// A row of an answer, or the tombstone of a removed one.
#[derive(Deserialize)]
pub(super) struct RowEntry {
    #[serde(default)]
    pub(super) table: String,
    pub(super) key: String,
    #[serde(default)]
    pub(super) value: String,
    #[serde(default)]
    pub(super) ver: u64,
    #[serde(default)]
    pub(super) removed: bool,
}

/// The store's answer to every row call.
#[derive(Deserialize)]
pub(super) struct RowsAnswer {
    #[serde(default)]
    pub(super) rows: Vec<RowEntry>,
    #[serde(default)]
    pub(super) truncated: bool,
    /// The store's newest version.
    #[serde(default)]
    pub(super) ver: u64,
    /// The store's monotonic clock.
    #[serde(default)]
    pub(super) now_ms: u64,
}
