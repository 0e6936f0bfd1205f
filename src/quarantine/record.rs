//! What nodes tell each other of crashes, and the row of a verdict.

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
/// Stands in a note's key in place of a crash.
const SOUND: &str = "sound";

/// The value of a note about a run that had lasted for long.
const LATE: &[u8] = b"l";

/// One observation of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An endpoint ended while the request ran there.
    Crashed(Fingerprint, Crash, Stage),
    /// The request ran to its end.
    Completed(Fingerprint),
}

impl Observation {
    /// The note that tells it, the `version`th of its key.
    pub fn note(&self, version: u64) -> Note {
        let key = match self {
            Self::Crashed(request, crash, _) => {
                format!("{request}/{:x}/{}", crash.incarnation, crash.endpoint)
            }
            Self::Completed(request) => format!("{request}/{SOUND}"),
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

    /// Reads a note; none when it is about something else.
    pub fn read(note: &Note) -> Option<Self> {
        if note.topic != TOPIC {
            return None;
        }
        let (request, what) = note.key.split_once('/')?;
        let request = Fingerprint(u64::from_str_radix(request, 16).ok()?);
        if what == SOUND {
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

/// The value of a verdict's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// When it ends, by the store's clock in milliseconds.
    #[serde(rename = "u")]
    pub until: u64,
    /// How many verdicts on the request there were.
    #[serde(rename = "n")]
    pub times: u32,
    /// The endpoints that ended under it, for people.
    #[serde(rename = "e")]
    pub endpoints: Vec<Name>,
}

/// The key of a verdict's row.
pub fn key(request: Fingerprint) -> String {
    format!("{TABLE}/{request}")
}

/// Reads a row.
///
/// # Errors
/// When key or value are no verdict's.
pub fn decode(key: &str, value: &[u8]) -> Result<(Fingerprint, Row), String> {
    let request = u64::from_str_radix(key, 16).map_err(|error| error.to_string())?;
    let row = wire::decode(value).map_err(|error| error.to_string())?;
    Ok((Fingerprint(request), row))
}
