//! Datagrams that nodes exchange about each other.
//!
//! They are small and may get lost, doubled or reordered; nothing here rests
//! on delivery. docs/design/members.md tells why they go over UDP.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::member::record::Record;
use crate::name::Name;

/// Largest datagram in bytes, below the smallest usual path limit, so that
/// none is ever split on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Bytes of a member's print.
pub const FINGERPRINT_BYTES: usize = 8;
/// Largest value of a note or a direct message, in bytes.
pub const MAX_VALUE_BYTES: usize = 512;
/// So many news items at once are a special event; see [`Update::sends`].
const MANY: usize = 24;
/// First byte of every datagram.
const VERSION: u8 = 1;
/// Room that a head and any body take at most, with the longest names.
pub const MAX_HEAD_BYTES: usize = 400;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Who sent it.
    #[serde(rename = "h")]
    pub head: Head,
    /// What it asks or answers.
    #[serde(rename = "b")]
    pub body: Body,
    /// News that travels along.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
}

/// What a sender says of itself in every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Its name.
    #[serde(rename = "n")]
    pub from: Name,
    /// Its process.
    #[serde(rename = "b")]
    pub boot: u64,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The configuration version that it has in force.
    #[serde(rename = "v")]
    pub in_force: u64,
    /// The newest configuration version that it has heard of.
    #[serde(rename = "w")]
    pub heard: u64,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Are you there?
    #[serde(rename = "p")]
    Ping {
        /// The sender's number of the question.
        seq: u32,
        /// Who is asked; somebody else at the same address must not answer.
        to: Name,
    },
    /// Yes, or: the one you asked me to try is there.
    #[serde(rename = "a")]
    Ack {
        /// The number of the question.
        seq: u32,
        /// Who is there.
        of: Name,
    },
    /// Please try this one; I get no answer.
    #[serde(rename = "q")]
    Probe {
        /// The sender's number of the question.
        seq: u32,
        /// Who is to be tried.
        to: Name,
        /// Where it listens, as ip:port.
        address: Name,
    },
    /// Only news.
    #[serde(rename = "g")]
    Gossip,
    /// Part of the sender's table, asked for by [`Body::Sync`].
    #[serde(rename = "t")]
    Table,
    /// I am here, as my record says that travels along; tell me of yourself.
    #[serde(rename = "i")]
    Hello {
        /// True when this answers a [`Body::Hello`], which ends the exchange.
        answer: bool,
    },
    /// Compare what we know, and send me what I lack.
    #[serde(rename = "s")]
    Sync {
        /// Four bytes for each bucket of members.
        digests: Bytes,
        /// True when this answers a [`Body::Sync`], which ends the exchange.
        answer: bool,
    },
    /// A message for this node alone.
    #[serde(rename = "d")]
    Direct {
        /// What it is about; the services that use it share out the numbers.
        topic: u8,
        /// At most [`MAX_VALUE_BYTES`] bytes.
        value: Bytes,
    },
}

/// News that spreads from node to node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A member as somebody knows it.
    #[serde(rename = "r")]
    Record(Record),
    /// Members have a configuration version in force. After a change every
    /// member says so at about the same time, so they are named by
    /// [`Record::print`], [`FINGERPRINT_BYTES`] bytes each, and told together.
    #[serde(rename = "v")]
    InForce {
        /// The version.
        #[serde(rename = "v")]
        version: u64,
        /// The members' prints, one after the other.
        #[serde(rename = "p")]
        prints: Bytes,
    },
    /// A configuration version was committed.
    #[serde(rename = "w")]
    Committed(u64),
    /// A hint for everyone, such as a cancelled job.
    #[serde(rename = "o")]
    Note(Note),
}

/// A hint for everyone. Whoever needs certainty reads the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// What it is about; the services that use it share out the numbers.
    #[serde(rename = "t")]
    pub topic: u8,
    /// What of that; a newer note of the same key replaces the older one.
    #[serde(rename = "k")]
    pub key: Name,
    /// Rises with each note of that key.
    #[serde(rename = "s")]
    pub version: u64,
    /// At most [`MAX_VALUE_BYTES`] bytes.
    #[serde(rename = "v")]
    pub value: Bytes,
}

impl Update {
    /// How often a node sends it, when news as such is sent `limit` times and
    /// `waiting` items wait to be sent.
    ///
    /// Many records at once mean that a fleet starts, or that regions have found
    /// each other. Then sending each as often would take minutes within the
    /// budget, and comparing with peers is what brings all up to date.
    pub fn sends(&self, limit: u32, waiting: usize) -> u32 {
        match self {
            Self::Record(_) if waiting > MANY => limit.div_ceil(8),
            Self::InForce { .. } | Self::Record(_) | Self::Committed(_) | Self::Note(_) => limit,
        }
    }

    /// Bytes that it takes in a datagram, at most.
    pub fn size(&self) -> usize {
        match self {
            Self::Record(record) => record.size() + 4,
            Self::InForce { prints, .. } => prints.len() + 22,
            Self::Committed(_) => 14,
            Self::Note(note) => note.key.len() + note.value.len() + 32,
        }
    }
}

/// Why a datagram was dropped. Each has a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Of another version of the protocol.
    Version,
    /// Truncated, of an unknown kind, or followed by something else.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the datagram is too long",
            Self::Version => "the datagram is of another protocol version",
            Self::Malformed => "the datagram can't be read",
        })
    }
}

impl std::error::Error for Error {}

/// Writes a datagram.
///
/// # Errors
/// [`Error::TooLong`] when it is above [`MAX_DATAGRAM_BYTES`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(256);
    bytes.push(VERSION);
    ciborium::into_writer(frame, &mut bytes).map_err(|_| Error::Malformed)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLong);
    }
    Ok(bytes)
}

/// Reads a datagram; every byte must belong to it.
///
/// # Errors
/// Says which [`Error`] to count; nothing else is to be done about it.
pub fn decode(bytes: &[u8]) -> Result<Frame, Error> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLong);
    }
    let (&version, mut rest) = bytes.split_first().ok_or(Error::Malformed)?;
    if version != VERSION {
        return Err(Error::Version);
    }
    let frame = ciborium::from_reader(&mut rest).map_err(|_| Error::Malformed)?;
    if rest.is_empty() {
        Ok(frame)
    } else {
        Err(Error::Malformed)
    }
}
