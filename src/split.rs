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

/// What a stream has sent since its last event ended, up to the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Open {
    /// Nothing but blank lines.
    #[default]
    Nothing,
    /// Comments, which are no part of an event.
    Comment,
    /// Fields of an event.
    Event,
}

/// The beginning of the current line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// What a carriage return at the end of the scanned bytes ended; a line feed may belong to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Return {
    /// There is none, or no line feed is waited for.
    #[default]
    Nothing,
    Line,
    Event,
}

/// Finds where the events of a stream end. Lines end with a line feed, a carriage return or both.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    open: Open,
    line: Line,
    last_return: Return,
    /// True if a carriage return alone has ended a line, so that no line feed is waited for.
    has_lone_returns: bool,
    has_events: bool,
}

impl Scanner {
    /// Scans the next bytes. Returns the position in them after the last event that has ended.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate() {
            let last_return = std::mem::take(&mut self.last_return);
            if last_return != Return::Nothing {
                let is_feed = *byte == b'\n';
                if last_return == Return::Event {
                    end = Some(at + usize::from(is_feed));
                }
                if is_feed {
                    continue;
                }
                self.has_lone_returns = true;
            }
            match byte {
                b'\n' if self.end_line() => end = Some(at + 1),
                b'\r' => {
                    let is_end = self.end_line();
                    if is_end && self.has_lone_returns {
                        end = Some(at + 1);
                    }
                    self.last_return = if is_end && !self.has_lone_returns {
                        Return::Event
                    } else {
                        Return::Line
                    };
                }
                b'\n' => {}
                b':' if self.line == Line::Empty => self.line = Line::Comment,
                _ if self.line == Line::Empty => self.line = Line::Field,
                _ => {}
            }
        }
        end
    }

    /// Ends the current line. Returns true if it is the blank line after an event or a comment.
    fn end_line(&mut self) -> bool {
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                let open = std::mem::take(&mut self.open);
                self.has_events |= open == Open::Event;
                return open != Open::Nothing;
            }
            Line::Comment if self.open == Open::Nothing => self.open = Open::Comment,
            Line::Comment => {}
            Line::Field => self.open = Open::Event,
        }
        false
    }

    /// Returns true once an event has ended.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// Returns true if the stream has begun an event, or a line, and not ended it.
    pub fn is_inside_event(&self) -> bool {
        self.open == Open::Event || self.line != Line::Empty
    }
}

/// Splits a stream; buffers the bytes after the last complete event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    scanner: Scanner,
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
        let buffered = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let end = self.scanner.push(bytes);
        // Comments alone wait for the next event, so that they are no sign of progress.
        let has_event = |end: &usize| lines(&self.buffer[..buffered + end]).any(is_field);
        let Some(end) = end.filter(has_event) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(TooLong);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(buffered + end).freeze();
        let ids = || lines(&bytes).filter_map(id);
        let (first, last) = (ids().next(), ids().last());
        Ok(Some(Events { bytes, last, first }))
    }

    /// Returns the scanner of the stream.
    pub fn scanner(&self) -> &Scanner {
        &self.scanner
    }

    /// Returns the bytes after the last complete event, at the end of a stream.
    pub fn rest(self) -> Bytes {
        self.buffer.freeze()
    }
}

/// The lines of `bytes` without their line endings.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|byte| *byte == b'\n').flat_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        line.split(|byte| *byte == b'\r')
    })
}

fn is_field(line: &[u8]) -> bool {
    !line.is_empty() && !line.starts_with(b":")
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
