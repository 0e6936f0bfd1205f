//! Cuts a stream of server-sent events at the boundaries of its events.
//!
//! An endpoint may break off in the middle of an event. Only whole events are
//! passed on, so that a stream which goes on elsewhere has none twice or torn.

use bytes::{Bytes, BytesMut};

/// The largest event that is waited for, in bytes; more is no event stream.
const MAX_EVENT: usize = 1024 * 1024;

/// Whole events, as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The bytes, ending with the blank line of the last event.
    pub bytes: Bytes,
    /// The number of the last event that has one.
    pub last: Option<u64>,
    /// The number of the first event that has one.
    pub first: Option<u64>,
}

/// What has come and not yet been passed on.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Up to here no boundary was found.
    searched: usize,
}

/// An event grew beyond all bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

impl Splitter {
    /// Takes more bytes and returns the events that are now whole.
    ///
    /// # Errors
    /// [`TooLong`] when no event ends within 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = self.last_boundary() else {
            // A boundary may begin with the last three bytes.
            self.searched = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > MAX_EVENT {
                return Err(TooLong);
            }
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let numbers = || lines(&bytes).filter_map(number);
        let (first, last) = (numbers().next(), numbers().last());
        Ok(Some(Events { bytes, last, first }))
    }

    /// What follows the last whole event, at the end of a stream.
    pub fn rest(self) -> Bytes {
        self.buffer.freeze()
    }

    /// Just behind the last blank line.
    fn last_boundary(&self) -> Option<usize> {
        let fresh = &self.buffer[self.searched..];
        let mut at = fresh.len();
        while at > 1 {
            at -= 1;
            if fresh[at] != b'\n' {
                continue;
            }
            let before = &fresh[..at];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(self.searched + at + 1);
            }
        }
        None
    }
}

/// The lines of `bytes` without their ends.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(rest.strip_prefix(b" ").unwrap_or(rest))
}

fn number(line: &[u8]) -> Option<u64> {
    std::str::from_utf8(field(line, b"id")?).ok()?.parse().ok()
}

/// The data of each event, its lines joined by line feeds.
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
