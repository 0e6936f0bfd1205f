//! Splits a stream of server-sent events into complete events.
//!
//! An endpoint may fail in the middle of an event. Only complete events are passed on, so that a
//! stream resumed at another endpoint has no duplicate or partial event.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered; a longer one means that the stream has no events.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Complete events, unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The bytes, up to and including the blank line after the last event.
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last: Option<u64>,
    /// Id of the first event that has one.
    pub first: Option<u64>,
}

/// Splits a stream; buffers the bytes after the last complete event.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// No boundary was found before this position.
    searched: usize,
}

/// Error for an event that exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl Splitter {
    /// Adds bytes and returns the events that are now complete.
    ///
    /// # Errors
    /// [`TooLong`] if no event ends within 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = self.last_boundary() else {
            // A boundary may start in the last three bytes.
            self.searched = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(TooLong);
            }
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let ids = || lines(&bytes).filter_map(id);
        let (first, last) = (ids().next(), ids().last());
        Ok(Some(Events { bytes, last, first }))
    }

    /// Returns the bytes after the last complete event, at the end of a stream.
    pub fn rest(self) -> Bytes {
        self.buffer.freeze()
    }

    /// Position after the last blank line.
    fn last_boundary(&self) -> Option<usize> {
        let unsearched = &self.buffer[self.searched..];
        let mut at = unsearched.len();
        while at > 1 {
            at -= 1;
            if unsearched[at] != b'\n' {
                continue;
            }
            let before = &unsearched[..at];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(self.searched + at + 1);
            }
        }
        None
    }
}

/// The lines of `bytes` without their line endings.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(rest.strip_prefix(b" ").unwrap_or(rest))
}

fn id(line: &[u8]) -> Option<u64> {
    std::str::from_utf8(field(line, b"id")?).ok()?.parse().ok()
}

/// The data of each event, with its lines joined by line feeds.
pub fn data(events: &[u8]) -> Vec<Vec<u8>> {
    let mut all = Vec::new();
    let mut current: Option<Vec<u8>> = None;
    for line in lines(events) {
        if line.is_empty() {
            all.extend(current.take());
            continue;
        }
        let Some(data) = field(line, b"data") else {
            continue;
        };
        match &mut current {
            None => current = Some(data.to_vec()),
            Some(event) => {
                event.push(b'\n');
                event.extend_from_slice(data);
            }
        }
    }
    all
}
