//! The rows in which endpoints register themselves.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::catalog::Endpoint;
use crate::catalog::registry::Entry;
use crate::name::Name;
use crate::table::{Change, Row};

/// The table of endpoints.
pub const TABLE: &str = "servers";

#[derive(Deserialize)]
struct Value {
    service: Name,
    address: SocketAddr,
    zone: Name,
    slots: u32,
    state: State,
    /// Unix time in milliseconds at which the process started. Absent where the
    /// platform gives each start an id of its own.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Why a row names no endpoint to use.
#[derive(Debug)]
pub struct Unreadable {
    /// The endpoint that it was to be about.
    pub id: Name,
    /// The row's version.
    pub version: u64,
    /// What is wrong with it.
    pub why: String,
}

/// Reads a row.
///
/// # Errors
/// When its value is no endpoint, such as another writer's.
pub fn from_row(row: &Row) -> Result<Entry, Unreadable> {
    decode(&row.key, row.version, Some(&row.value))
}

/// Reads a change of a row.
///
/// # Errors
/// As for [`from_row`].
pub fn from_change(change: &Change) -> Result<Entry, Unreadable> {
    decode(&change.key, change.version, change.value.as_deref())
}

fn decode(key: &str, version: u64, value: Option<&[u8]>) -> Result<Entry, Unreadable> {
    let id: Name = key.into();
    let unreadable = |error: serde_json::Error| Unreadable {
        id: key.into(),
        version,
        why: error.to_string(),
    };
    let endpoint = match value {
        None => None,
        Some(value) => {
            let value: Value = serde_json::from_slice(value).map_err(unreadable)?;
            Some(Endpoint {
                id: id.clone(),
                service: value.service,
                address: value.address,
                zone: value.zone,
                slots: value.slots,
                ready: matches!(value.state, State::Ready),
                incarnation: value.born,
            })
        }
    };
    Ok(Entry {
        id,
        version,
        endpoint,
    })
}
