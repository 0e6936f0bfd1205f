//! Bodies and envelopes of the Connect protocol.

use bytes::{BufMut as _, Bytes, BytesMut};
use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The envelope flag of a stream's last message.
pub const END_OF_STREAM: u8 = 0x02;
/// Size of an envelope header: a flag and a length.
pub const HEADER_BYTES: usize = 5;

/// Encoding of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// The JSON mapping of protobuf.
    Json,
    /// Protobuf.
    Proto,
}

/// The media type of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Media {
    /// The encoding of the messages.
    pub format: Format,
    /// True if messages are enveloped, as in a stream.
    pub stream: bool,
}

impl Media {
    /// Parses a content type, ignoring parameters after `;`.
    pub fn of(content_type: &str) -> Option<Self> {
        let (format, stream) = match content_type.split(';').next()?.trim() {
            "application/json" => (Format::Json, false),
            "application/proto" => (Format::Proto, false),
            "application/connect+json" => (Format::Json, true),
            "application/connect+proto" => (Format::Proto, true),
            _ => return None,
        };
        Some(Self { format, stream })
    }

    /// Returns the content type of a response.
    pub const fn name(self) -> &'static str {
        match (self.format, self.stream) {
            (Format::Json, false) => "application/json",
            (Format::Proto, false) => "application/proto",
            (Format::Json, true) => "application/connect+json",
            (Format::Proto, true) => "application/connect+proto",
        }
    }
}

/// Decodes a message.
///
/// # Errors
/// A description of what is wrong with the body.
pub fn decode<M>(format: Format, body: &[u8]) -> Result<M, String>
where
    M: Message + Default + DeserializeOwned,
{
    match format {
        Format::Json => serde_json::from_slice(body).map_err(|error| error.to_string()),
        Format::Proto => M::decode(body).map_err(|error| error.to_string()),
    }
}

/// Encodes a message.
pub fn encode<M>(format: Format, message: &M) -> Bytes
where
    M: Message + Serialize,
{
    match format {
        // The generated types contain nothing that JSON can't represent.
        Format::Json => serde_json::to_vec(message).unwrap_or_default().into(),
        Format::Proto => message.encode_to_vec().into(),
    }
}

/// Wraps a message in an envelope.
pub fn envelope(flags: u8, message: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(HEADER_BYTES + message.len());
    bytes.put_u8(flags);
    bytes.put_u32(u32::try_from(message.len()).unwrap_or(u32::MAX));
    bytes.put_slice(message);
    bytes.freeze()
}

/// Removes the first complete envelope from `bytes` and returns its flags and message.
pub fn open(bytes: &mut BytesMut) -> Option<(u8, Bytes)> {
    let head = bytes.get(..HEADER_BYTES)?;
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if bytes.len() - HEADER_BYTES < len {
        return None;
    }
    let mut whole = bytes.split_to(HEADER_BYTES + len);
    let head = whole.split_to(HEADER_BYTES);
    Some((head[0], whole.freeze()))
}
