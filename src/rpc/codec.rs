//! Bodies and envelopes of the Connect convention.

use bytes::{BufMut as _, Bytes, BytesMut};
use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The envelope flag of the last message of a stream.
pub const END_OF_STREAM: u8 = 0x02;
/// Bytes of an envelope's head: a flag and a length.
pub const ENVELOPE_HEAD: usize = 5;

/// How a body is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// JSON as protobuf maps it.
    Json,
    /// Protobuf.
    Proto,
}

/// How a call is made: one message each way, or a stream of them back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Media {
    /// The format of the messages.
    pub format: Format,
    /// True when messages are enveloped.
    pub stream: bool,
}

impl Media {
    /// Reads a content type; parameters after `;` are passed over.
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

    /// The content type of an answer.
    pub const fn name(self) -> &'static str {
        match (self.format, self.stream) {
            (Format::Json, false) => "application/json",
            (Format::Proto, false) => "application/proto",
            (Format::Json, true) => "application/connect+json",
            (Format::Proto, true) => "application/connect+proto",
        }
    }
}

/// Reads a message.
///
/// # Errors
/// Says for people what is wrong with the body.
pub fn decode<M>(format: Format, body: &[u8]) -> Result<M, String>
where
    M: Message + Default + DeserializeOwned,
{
    match format {
        Format::Json => serde_json::from_slice(body).map_err(|error| error.to_string()),
        Format::Proto => M::decode(body).map_err(|error| error.to_string()),
    }
}

/// Writes a message.
pub fn encode<M>(format: Format, message: &M) -> Bytes
where
    M: Message + Serialize,
{
    match format {
        // The generated types hold nothing that JSON can't say.
        Format::Json => serde_json::to_vec(message).unwrap_or_default().into(),
        Format::Proto => message.encode_to_vec().into(),
    }
}

/// Puts a message into an envelope.
pub fn envelope(flags: u8, message: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(ENVELOPE_HEAD + message.len());
    bytes.put_u8(flags);
    bytes.put_u32(u32::try_from(message.len()).unwrap_or(u32::MAX));
    bytes.put_slice(message);
    bytes.freeze()
}

/// Takes the first whole envelope off `bytes`: its flags and its message.
pub fn open(bytes: &mut BytesMut) -> Option<(u8, Bytes)> {
    let head = bytes.get(..ENVELOPE_HEAD)?;
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if bytes.len() - ENVELOPE_HEAD < len {
        return None;
    }
    let mut whole = bytes.split_to(ENVELOPE_HEAD + len);
    let head = whole.split_to(ENVELOPE_HEAD);
    Some((head[0], whole.freeze()))
}
