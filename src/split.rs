//! Splits a stream of server-sent events into complete events.
//!
//! An endpoint may fail in the middle of an event, or send bytes that belong to no request. Only
//! complete events with increasing ids are passed on, so that a stream resumed at another endpoint
//! has no duplicate, partial or foreign event.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered; a longer one means that the stream has no events.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Complete events, unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    /// The bytes, up to and including the blank line after the last event.
    pub bytes: Bytes,
    /// Id of the last event; none if the ids are not known.
    pub last: Option<u64>,
}

/// Why nothing more of a stream is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No event ends within 1 MiB.
    TooLong,
    /// An event has no id, or one that does not follow that of the event before it.
    OutOfOrder,
}

impl Fault {
    /// Returns the reason for logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Self::TooLong => "event_size",
            Self::OutOfOrder => "event_order",
        }
    }
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
    /// Scans bytes up to the end of an event or of comments, and returns the position after it. The
    /// next call takes the bytes from there.
    pub fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (at, byte) in bytes.iter().enumerate() {
            let last_return = std::mem::take(&mut self.last_return);
            if last_return != Return::Nothing {
                let is_feed = *byte == b'\n';
                self.has_lone_returns |= !is_feed;
                if last_return == Return::Event {
                    return Some(at + usize::from(is_feed));
                }
                if is_feed {
                    continue;
                }
            }
            match byte {
                b'\n' if self.end_line() => return Some(at + 1),
                b'\r' => {
                    let is_end = self.end_line();
                    if is_end && self.has_lone_returns {
                        self.last_return = Return::Line;
                        return Some(at + 1);
                    }
                    self.last_return = if is_end { Return::Event } else { Return::Line };
                }
                b'\n' => {}
                b':' if self.line == Line::Empty => self.line = Line::Comment,
                _ if self.line == Line::Empty => self.line = Line::Field,
                _ => {}
            }
        }
        None
    }

    /// Scans bytes to their end.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some(end) = self.next_end(bytes) {
            bytes = &bytes[end..];
        }
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
    /// Where the event that has not ended begins in the buffer.
    begin: usize,
    scanner: Scanner,
    last: Option<u64>,
    fault: Option<Fault>,
}

impl Splitter {
    /// Creates a splitter of a stream that resumes after the event `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Adds bytes and returns the events that are now complete. Nothing is returned after a fault.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        if self.fault.is_some() {
            return None;
        }
        let mut scanned = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let mut complete = 0;
        while let Some(length) = self.scanner.next_end(&self.buffer[scanned..]) {
            scanned += length;
            let event = &self.buffer[self.begin..scanned];
            self.begin = scanned;
            // Comments alone wait for the next event, so that they are no sign of progress.
            if !lines(event).any(is_field) {
                continue;
            }
            let next = lines(event).filter_map(id).last();
            if next <= self.last {
                self.fault = Some(Fault::OutOfOrder);
                break;
            }
            self.last = next;
            complete = scanned;
        }
        if complete > 0 {
            let bytes = self.buffer.split_to(complete).freeze();
            self.begin -= complete;
            let last = self.last;
            return Some(Events { bytes, last });
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            self.fault.get_or_insert(Fault::TooLong);
        }
        None
    }

    /// Returns why nothing more of the stream is passed on; none while it is sound.
    pub fn fault(&self) -> Option<Fault> {
        self.fault
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
