//! Gossip notes about crashes, and the stored row of a verdict.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::evidence::{Crash, Stage};
use crate::name::Name;
use crate::wire;
use crate::wire::control::Note;

/// The table of verdicts.
pub const TABLE: &str = "quarantine";
/// The topic of notes about crashes.
const TOPIC: u8 = 40;
/// Marks a completion in a note's key, in place of a crash.
const COMPLETED: &str = "sound";

/// The value of a note about a run in [`Stage::Late`].
const LATE: &[u8] = b"l";

/// A single observation by one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An endpoint ended while the request ran there.
    Crashed(Fingerprint, Crash, Stage),
    /// The request completed.
    Completed(Fingerprint),
}

impl Observation {
    /// Encodes the observation as a note with the given version of its key.
    pub fn note(&self, version: u64) -> Note {
        let key = match self {
            Self::Crashed(request, crash, _) => {
                format!("{request}/{:x}/{}", crash.incarnation, crash.endpoint)
            }
            Self::Completed(request) => format!("{request}/{COMPLETED}"),
        };
        let value = match self {
            Self::Crashed(_, _, Stage::Late) => LATE,
            Self::Crashed(_, _, Stage::Early) | Self::Completed(_) => &[],
        };
        Note {
            topic: TOPIC,
            key: key.into(),
            version,
            value: Bytes::from_static(value),
        }
    }

    /// Decodes a note; returns `None` when it has another topic or can't be read.
    pub fn read(note: &Note) -> Option<Self> {
        if note.topic != TOPIC {
            return None;
        }
        let (request, what) = note.key.split_once('/')?;
        let request = Fingerprint(u64::from_str_radix(request, 16).ok()?);
        if what == COMPLETED {
            return Some(Self::Completed(request));
        }
        let (incarnation, endpoint) = what.split_once('/')?;
        let crash = Crash {
            endpoint: endpoint.into(),
            incarnation: u64::from_str_radix(incarnation, 16).ok()?,
        };
        let stage = if note.value == LATE {
            Stage::Late
        } else {
            Stage::Early
        };
        Some(Self::Crashed(request, crash, stage))
    }
}

/// Stored form of a verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// End of the quarantine in milliseconds of the store's clock.
    #[serde(rename = "u")]
    pub until: u64,
    /// Number of verdicts on the request so far.
    #[serde(rename = "n")]
    pub times: u32,
    /// The endpoints that ended while running it, for operators.
    #[serde(rename = "e")]
    pub endpoints: Vec<Name>,
}

/// Returns the key of a verdict's row.
pub fn key(request: Fingerprint) -> String {
    format!("{TABLE}/{request}")
}

/// Decodes a row.
///
/// # Errors
/// When the key or the value is not that of a verdict.
pub fn decode(key: &str, value: &[u8]) -> Result<(Fingerprint, Row), String> {
    let request = u64::from_str_radix(key, 16).map_err(|error| error.to_string())?;
    let row = wire::decode(value).map_err(|error| error.to_string())?;
    Ok((Fingerprint(request), row))
}
