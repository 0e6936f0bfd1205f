//! Gossip notes about crashes, and the stored rows of crashes and verdicts.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::evidence::{Crash, Stage};
use crate::name::Name;
use crate::wire;
use crate::wire::control::Note;

/// The table of verdicts and crashes.
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

/// Key of a record in the store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A verdict.
    Verdict(Fingerprint),
    /// A crash of a request that several endpoints crashed under.
    Crash(Fingerprint, Crash),
}

impl Key {
    /// Returns the key of the record's row in the store.
    pub fn row(&self) -> String {
        format!("{TABLE}/{self}")
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Verdict(request) => write!(f, "{request}"),
            Self::Crash(request, crash) => {
                write!(f, "{request}-{:x}-{}", crash.incarnation, crash.endpoint)
            }
        }
    }
}

impl FromStr for Key {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = |text| u64::from_str_radix(text, 16).map_err(|error| error.to_string());
        let Some((request, crash)) = text.split_once('-') else {
            return Ok(Self::Verdict(Fingerprint(number(text)?)));
        };
        let (incarnation, endpoint) = crash
            .split_once('-')
            .ok_or("the key of a crash lacks the endpoint")?;
        let crash = Crash {
            endpoint: endpoint.into(),
            incarnation: number(incarnation)?,
        };
        Ok(Self::Crash(Fingerprint(number(request)?), crash))
    }
}

/// Stored form of a verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRow {
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

/// Stored form of a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// When it is no longer counted, in milliseconds of the store's clock.
    #[serde(rename = "u")]
    pub until: u64,
    /// The stage of the request's run.
    #[serde(rename = "s")]
    pub stage: Stage,
}

/// A record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A verdict on a request.
    Verdict(Fingerprint, VerdictRow),
    /// A crash under a request.
    Crash(Fingerprint, Crash, CrashRow),
}

/// Decodes a row.
///
/// # Errors
/// When the key or the value is not that of a record.
pub fn decode(key: &str, value: &[u8]) -> Result<Record, String> {
    match key.parse()? {
        Key::Verdict(request) => Ok(Record::Verdict(request, decode_value(value)?)),
        Key::Crash(request, crash) => Ok(Record::Crash(request, crash, decode_value(value)?)),
    }
}

fn decode_value<R>(value: &[u8]) -> Result<R, String>
where
    R: DeserializeOwned,
{
    wire::decode(value).map_err(|error| error.to_string())
}
