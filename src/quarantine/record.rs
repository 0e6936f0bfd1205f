//! Gossip notes about crashes, and the stored rows of crashes and verdicts.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::evidence::{Crash, Ran, Stage};
use super::export::is_false;
use crate::clock::unix_millis;
use crate::name::Name;
use crate::wire;
use crate::wire::control::Note;

/// The table of verdicts and crashes.
pub const TABLE: &str = "quarantine";
/// The topic of notes about crashes.
const TOPIC: u8 = 40;
/// Marks a completion in a note's key, in place of a crash.
const COMPLETED: &str = "sound";

/// Marks the completion of a part of prompts.
const PART_COMPLETED: &str = "part";

/// First byte of the value of a note about a run, by its stage.
const LATE: u8 = b'l';
const EARLY: u8 = b'e';

/// A single observation by one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An endpoint ended while the request ran there.
    Crashed(Fingerprint, Crash, Ran),
    /// The request completed.
    Completed(Fingerprint),
    /// A request with this part in its prompt completed.
    PartCompleted(Fingerprint),
}

impl Observation {
    /// Encodes the observation as a note with the given version of its key.
    pub fn note(&self, version: u64) -> Note {
        let key = match self {
            Self::Crashed(request, crash, _) => {
                format!("{request}/{:x}/{}", crash.incarnation, crash.endpoint)
            }
            Self::Completed(request) => format!("{request}/{COMPLETED}"),
            Self::PartCompleted(part) => format!("{part}/{PART_COMPLETED}"),
        };
        let value = match self {
            Self::Crashed(_, _, ran) => encode_ran(ran),
            Self::Completed(_) | Self::PartCompleted(_) => Bytes::new(),
        };
        Note {
            topic: TOPIC,
            key: key.into(),
            version,
            value,
        }
    }

    /// Returns the version of the observation's note. Nodes that report the completion of one part
    /// at the same time send equal notes, which are passed on once.
    pub fn version(&self) -> u64 {
        /// Notes of a part's completion that are sent within this time are equal.
        const PART_INTERVAL_MS: u64 = 1_000;
        match self {
            Self::Crashed(..) => 1,
            Self::Completed(_) => unix_millis(),
            Self::PartCompleted(_) => unix_millis() / PART_INTERVAL_MS,
        }
    }

    /// Decodes a note; returns `None` when it has another topic or can't be read.
    pub fn read(note: &Note) -> Option<Self> {
        if note.topic != TOPIC {
            return None;
        }
        let (request, what) = note.key.split_once('/')?;
        let request = Fingerprint(u64::from_str_radix(request, 16).ok()?);
        match what {
            COMPLETED => return Some(Self::Completed(request)),
            PART_COMPLETED => return Some(Self::PartCompleted(request)),
            _ => {}
        }
        let (incarnation, endpoint) = what.split_once('/')?;
        let crash = Crash {
            endpoint: endpoint.into(),
            incarnation: u64::from_str_radix(incarnation, 16).ok()?,
        };
        Some(Self::Crashed(request, crash, decode_ran(&note.value)?))
    }
}

/// Encodes a run: nothing for an early one without parts, else its stage and, if it has parts, its
/// length in milliseconds and the parts.
fn encode_ran(ran: &Ran) -> Bytes {
    let stage = match ran.stage {
        Stage::Late => LATE,
        Stage::Early if ran.parts.is_empty() => return Bytes::new(),
        Stage::Early => EARLY,
    };
    let mut value = vec![stage];
    if !ran.parts.is_empty() {
        let millis = u32::try_from(ran.ran.as_millis()).unwrap_or(u32::MAX);
        value.extend(millis.to_be_bytes());
        let parts = ran.parts.iter();
        value.extend(parts.flat_map(|part| part.0.to_be_bytes()));
    }
    value.into()
}

fn decode_ran(value: &[u8]) -> Option<Ran> {
    let Some((stage, rest)) = value.split_first() else {
        return Some(Stage::Early.into());
    };
    let stage = if *stage == LATE {
        Stage::Late
    } else {
        Stage::Early
    };
    if rest.is_empty() {
        return Some(stage.into());
    }
    let (millis, parts) = rest.split_first_chunk()?;
    let (parts, []) = parts.as_chunks() else {
        return None;
    };
    Some(Ran {
        stage,
        ran: Duration::from_millis(u32::from_be_bytes(*millis).into()),
        parts: parts
            .iter()
            .map(|part| Fingerprint(u64::from_be_bytes(*part)))
            .collect(),
    })
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
    /// Whether the crashes may have had another cause.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub is_doubtful: bool,
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
    /// How long it ran.
    #[serde(rename = "d", default, skip_serializing_if = "Duration::is_zero")]
    pub ran: Duration,
    /// The parts of its prompt that may be to blame, in order.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Fingerprint>,
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
