//! The rows in which endpoints register themselves.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::catalog::Endpoint;
use crate::catalog::book::Entry;
use crate::name::Name;
use crate::table::{Change, Row};

/// The table of endpoints.
pub const TABLE: &str = "servers";

#[derive(Deserialize)]
struct Value {
    service: Name,
    address: SocketAddr,
    zone: Name,
    #[serde(default = "one")]
    slots: u32,
    state: String,
}

fn one() -> u32 {
    1
}

/// Reads a row.
///
/// # Errors
/// When its value is no endpoint.
pub fn from_row(row: &Row) -> Result<Entry, serde_json::Error> {
    decode(&row.key, row.version, Some(&row.value))
}

/// Reads a change of a row.
///
/// # Errors
/// As for [`from_row`].
pub fn from_change(change: &Change) -> Result<Entry, serde_json::Error> {
    decode(&change.key, change.version, change.value.as_deref())
}

fn decode(key: &str, version: u64, value: Option<&[u8]>) -> Result<Entry, serde_json::Error> {
    let id: Name = key.into();
    let endpoint = match value {
        None => None,
        Some(value) => {
            let value: Value = serde_json::from_slice(value)?;
            Some(Endpoint {
                id: id.clone(),
                service: value.service,
                address: value.address,
                zone: value.zone,
                slots: value.slots,
                ready: value.state == "ready",
            })
        }
    };
    Ok(Entry {
        id,
        version,
        endpoint,
    })
}
