//! Envelopes, in which Connect puts the messages of a stream: one byte of
//! flags, the length in four bytes (big-endian), and the message.

use std::fmt;

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};

/// The flag of the last envelope, whose message is the end of the stream in
/// JSON.
pub const END: u8 = 0b10;
/// Bytes before each message.
const HEAD: usize = 5;

/// One message with its flags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// [`END`] or 0; compression (1) is never used.
    pub flags: u8,
    /// The message.
    pub message: Bytes,
}

/// A message is longer than the reader's bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong {
    /// The length that its head names, in bytes.
    pub len: usize,
    /// The bound, in bytes.
    pub bound: usize,
}

impl fmt::Display for TooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a message of {} bytes is above {}", self.len, self.bound)
    }
}

impl std::error::Error for TooLong {}

impl Envelope {
    /// The bytes to send.
    ///
    /// # Panics
    /// When the message is 4 GiB or longer, which every bound on bodies
    /// excludes.
    pub fn encode(&self) -> Bytes {
        let len = u32::try_from(self.message.len()).expect("bodies are bounded far below 4 GiB");
        let mut bytes = BytesMut::with_capacity(HEAD + self.message.len());
        bytes.put_u8(self.flags);
        bytes.put_u32(len);
        bytes.extend_from_slice(&self.message);
        bytes.freeze()
    }
}

/// Puts envelopes together again from the parts in which they arrive.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    bound: usize,
}

impl Decoder {
    /// A decoder that refuses messages above `bound` bytes.
    pub fn new(bound: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            bound,
        }
    }

    /// Takes in what arrived.
    pub fn push(&mut self, part: &[u8]) {
        self.buffer.extend_from_slice(part);
    }

    /// The next whole envelope, or none until more has arrived.
    ///
    /// # Errors
    /// [`TooLong`] as soon as the head names a length above the bound, so that
    /// a broken sender can't make the reader keep gigabytes.
    pub fn pop(&mut self) -> Result<Option<Envelope>, TooLong> {
        let Some(head) = self.buffer.get(..HEAD) else {
            return Ok(None);
        };
        let flags = head[0];
        let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if len > self.bound {
            return Err(TooLong {
                len,
                bound: self.bound,
            });
        }
        if self.buffer.len() < HEAD + len {
            return Ok(None);
        }
        self.buffer.advance(HEAD);
        let message = self.buffer.split_to(len).freeze();
        Ok(Some(Envelope { flags, message }))
    }
}
