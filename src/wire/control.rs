//! Datagrams of the membership protocol.
//!
//! They are small and may be lost, duplicated or reordered; the protocol does not rely on
//! delivery. docs/design/members.md explains the choice of UDP.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::member::record::Record;
use crate::name::Name;

/// Largest datagram, below the smallest common path MTU, so that no datagram is fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Size of a member's fingerprint.
pub const FINGERPRINT_BYTES: usize = 8;
/// Largest value of a note or a direct message.
pub const MAX_VALUE_BYTES: usize = 512;
/// Number of pending updates above which records are sent less often; see [`Update::sends`].
const RECORD_BURST: usize = 24;
/// Protocol version, the first byte of every datagram.
const VERSION: u8 = 1;
/// Largest size of a head and a body together, with the longest names.
pub const MAX_HEAD_BYTES: usize = 400;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    #[serde(rename = "h")]
    pub head: Head,
    /// The message.
    #[serde(rename = "b")]
    pub body: Body,
    /// Updates piggybacked on the message.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
}

/// The sender's own state, sent in every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Its name.
    #[serde(rename = "n")]
    pub from: Name,
    /// Identifies its process.
    #[serde(rename = "b")]
    pub boot: u64,
    /// Its incarnation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// The configuration version that it has in force.
    #[serde(rename = "v")]
    pub in_force: u64,
    /// The newest configuration version that it has received notice of.
    #[serde(rename = "w")]
    pub committed: u64,
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A failure-detector probe.
    #[serde(rename = "p")]
    Ping {
        /// The sender's sequence number.
        seq: u32,
        /// The intended receiver; another node at the same address must not answer.
        to: Name,
    },
    /// Acknowledges a direct or an indirect probe.
    #[serde(rename = "a")]
    Ack {
        /// The sequence number of the probe.
        seq: u32,
        /// The node that answered the probe.
        of: Name,
    },
    /// Requests an indirect probe of a node that does not answer the sender.
    #[serde(rename = "q")]
    Probe {
        /// The sender's sequence number.
        seq: u32,
        /// The node to probe.
        to: Name,
        /// Its address, as ip:port.
        address: Name,
    },
    /// Carries only updates.
    #[serde(rename = "g")]
    Gossip,
    /// Part of the sender's member table, requested by [`Body::Sync`].
    #[serde(rename = "t")]
    Table,
    /// Announces the sender, whose record is among the updates, and requests the receiver's
    /// record.
    #[serde(rename = "i")]
    Hello {
        /// True when this answers a [`Body::Hello`], which ends the exchange.
        answer: bool,
    },
    /// Anti-entropy: sends digests of the member table, and requests the records that the
    /// sender lacks.
    #[serde(rename = "s")]
    Sync {
        /// Four bytes for each bucket of members.
        digests: Bytes,
        /// True when this answers a [`Body::Sync`], which ends the exchange.
        answer: bool,
    },
    /// A message for the receiver alone.
    #[serde(rename = "d")]
    Direct {
        /// The subject; the services that send direct messages share the numbers.
        topic: u8,
        /// At most [`MAX_VALUE_BYTES`] bytes.
        value: Bytes,
    },
}

/// An update that spreads by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// A member's record as the sender has it.
    #[serde(rename = "r")]
    Record(Record),
    /// Members have a configuration version in force. After a change all members report this at
    /// about the same time, so one update lists many of them by [`Record::fingerprint`],
    /// [`FINGERPRINT_BYTES`] bytes each.
    #[serde(rename = "v")]
    InForce {
        /// The version.
        #[serde(rename = "v")]
        version: u64,
        /// The members' fingerprints, concatenated.
        #[serde(rename = "p")]
        prints: Bytes,
    },
    /// A configuration version was committed.
    #[serde(rename = "w")]
    Committed(u64),
    /// A hint for all members, such as a cancelled job.
    #[serde(rename = "o")]
    Note(Note),
}

/// A hint for all members. It may get lost; the table is authoritative.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The subject; the services that send notes share the numbers.
    #[serde(rename = "t")]
    pub topic: u8,
    /// The key within the topic; a newer note replaces an older one of the same key.
    #[serde(rename = "k")]
    pub key: Name,
    /// Increases with each note of that key.
    #[serde(rename = "s")]
    pub version: u64,
    /// At most [`MAX_VALUE_BYTES`] bytes.
    #[serde(rename = "v")]
    pub value: Bytes,
}

impl Update {
    /// Returns how often a node sends this update, given the usual `limit` and the number of
    /// `waiting` updates.
    ///
    /// Many records at once mean that a fleet starts, or that partitioned regions have
    /// reconnected. Sending each of them `limit` times would then take minutes within the
    /// bandwidth budget, and anti-entropy brings all members up to date sooner.
    pub fn sends(&self, limit: u32, waiting: usize) -> u32 {
        match self {
            Self::Record(_) if waiting > RECORD_BURST => limit.div_ceil(8),
            Self::InForce { .. } | Self::Record(_) | Self::Committed(_) | Self::Note(_) => limit,
        }
    }

    /// Returns an upper bound of its encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Record(record) => record.size() + 4,
            Self::InForce { prints, .. } => prints.len() + 22,
            Self::Committed(_) => 14,
            Self::Note(note) => note.key.len() + note.value.len() + 32,
        }
    }
}

/// Why a datagram was dropped. Each reason has a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Of another version of the protocol.
    Version,
    /// Truncated, of an unknown kind, or followed by further bytes.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the datagram is too long",
            Self::Version => "the datagram has another protocol version",
            Self::Malformed => "the datagram is malformed",
        })
    }
}

impl std::error::Error for Error {}

/// Encodes a datagram.
///
/// # Errors
/// [`Error::TooLong`] if it exceeds [`MAX_DATAGRAM_BYTES`].
pub fn encode(frame: &Frame) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(256);
    bytes.push(VERSION);
    ciborium::into_writer(frame, &mut bytes).map_err(|_| Error::Malformed)?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Error::TooLong);
    }
    Ok(bytes)
}

/// Decodes a datagram, which must consume all bytes.
///
/// # Errors
/// The [`Error`] to count; the datagram is otherwise ignored.
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
