//! Frames between nodes: CBOR in binary websocket messages.
//!
//! Requests and control travel on separate connections, so that bulk never
//! stands before a question or a heartbeat. Each frame is bounded, and a frame
//! that can't be read closes the connection that brought it and nothing else.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub mod control;
pub mod query;
pub mod traffic;

/// Version of the protocol; nodes of different versions refuse each other.
pub const VERSION: u16 = 1;
/// Largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame can't be read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Longer than [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// Truncated, or not a frame of a known kind.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(len) => write!(f, "a frame of {len} bytes is above {MAX_FRAME_BYTES}"),
            Self::Malformed(what) => write!(f, "a frame can't be read: {what}"),
        }
    }
}

impl std::error::Error for Error {}

/// Writes a frame.
///
/// # Errors
/// [`Error::TooLong`] when it is above the bound.
pub fn encode<F>(frame: &F) -> Result<Vec<u8>, Error>
where
    F: Serialize,
{
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut bytes).map_err(|e| Error::Malformed(e.to_string()))?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Reads a frame; every byte must belong to it.
///
/// # Errors
/// [`Error`] when it is too long, truncated, of an unknown kind, or followed
/// by something else.
pub fn decode<F>(bytes: &[u8]) -> Result<F, Error>
where
    F: DeserializeOwned,
{
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLong(bytes.len()));
    }
    let mut rest = bytes;
    let frame = ciborium::from_reader(&mut rest).map_err(|e| Error::Malformed(e.to_string()))?;
    if !rest.is_empty() {
        return Err(Error::Malformed("bytes follow the frame".into()));
    }
    Ok(frame)
}
