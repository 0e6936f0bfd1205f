//! Decodes the rows in which endpoints register themselves.

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
    /// Unix time in milliseconds at which the process started. Absent where the platform gives
    /// each start its own endpoint id.
    #[serde(default)]
    born: u64,
    /// Version of its software.
    #[serde(default)]
    version: Option<Name>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// A row that could not be decoded as an endpoint.
#[derive(Debug)]
pub struct Unreadable {
    /// The endpoint's id, from the row's key.
    pub id: Name,
    /// The row's version.
    pub version: u64,
    /// Why it could not be decoded.
    pub why: String,
}

/// Decodes a row.
///
/// # Errors
/// When its value is not an endpoint, for example because another program wrote the row.
pub fn from_row(row: &Row) -> Result<Entry, Unreadable> {
    decode(&row.key, row.version, Some(&row.value))
}

/// Decodes a change of a row.
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
                software: value.version.filter(|it| !it.is_empty()),
            })
        }
    };
    Ok(Entry {
        id,
        version,
        endpoint,
    })
}
