//! Rows as the store's calls and answers carry them.

use serde::{Deserialize, Serialize};

/// A transaction: all of it takes effect, or nothing.
#[derive(Serialize)]
pub(super) struct TxCall {
    pub(super) expect_rev: Vec<Expected>,
    pub(super) set_keys: Vec<SetRow>,
    pub(super) remove: Vec<RowKey>,
}

/// A row and the version that it must have.
#[derive(Serialize)]
pub(super) struct Expected {
    #[serde(flatten)]
    pub(super) row: RowKey,
    /// 0: the row must not exist.
    pub(super) ver: u64,
}

/// A row and its new value, in base64.
#[derive(Serialize)]
pub(super) struct SetRow {
    #[serde(flatten)]
    pub(super) row: RowKey,
    pub(super) value: String,
}

/// Where a row is.
#[derive(Serialize)]
pub(super) struct RowKey {
    pub(super) table: String,
    pub(super) part: String,
    pub(super) key: String,
}

/// A row as the store tells it, or tells that it was removed.
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

/// What the store answers to every call about rows.
#[derive(Deserialize)]
pub(super) struct RowsAnswer {
    #[serde(default)]
    pub(super) rows: Vec<RowEntry>,
    #[serde(default)]
    pub(super) truncated: bool,
    /// The store's newest version.
    #[serde(default)]
    pub(super) ver: u64,
    /// The store's steady clock.
    #[serde(default)]
    pub(super) now_ms: u64,
}
