//! Frames between nodes: CBOR in binary WebSocket messages.
//!
//! Requests and control messages use separate connections, so that bulk data never delays a
//! query or a heartbeat. The size of a frame is limited, and an invalid frame closes only the
//! connection that it arrived on.

use std::fmt;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub mod control;
pub mod query;
pub mod traffic;

/// Version of the protocol; nodes of different versions reject each other's connections.
pub const VERSION: u16 = 1;
/// Largest frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame can't be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Longer than [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// Truncated, or of an unknown kind.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(len) => write!(
                f,
                "a frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES}"
            ),
            Self::Malformed(what) => write!(f, "invalid frame: {what}"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes a frame.
///
/// # Errors
/// [`Error::TooLong`] if it exceeds [`MAX_FRAME_BYTES`].
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

/// Decodes a frame, which must consume all bytes.
///
/// # Errors
/// [`Error`] if it is too long, truncated, of an unknown kind, or followed by further bytes.
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
