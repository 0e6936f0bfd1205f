//! Log lines that wait to be written, bounded in bytes and in lines a second.
//!
//! A collector that stops reading must not stop requests, and a flood of lines
//! must not grow memory. What does not fit is counted, and the count is told, so
//! that nobody takes a missing line for something that did not happen.

use std::time::{Duration, Instant};

/// Bytes that may wait; a collector that pauses for a second at the full rate of
/// lines of some 150 bytes leaves a quarter of it.
const BYTES: usize = 256 * 1024;
/// Lines a second; a node at its peak decides on some 100 requests a second.
const LINES: u32 = 400;
/// What the rate is counted over.
const SECOND: Duration = Duration::from_secs(1);

/// Lines that wait.
#[derive(Debug, Default)]
pub struct Buffer {
    lines: Vec<u8>,
    since: Option<Instant>,
    count: u32,
    dropped: u64,
}

impl Buffer {
    /// Nothing waits.
    pub const fn new() -> Self {
        Self {
            lines: Vec::new(),
            since: None,
            count: 0,
            dropped: 0,
        }
    }

    /// Takes a line if there is room; it never waits.
    pub fn admit(&mut self, now: Instant, line: &[u8]) {
        let fresh = self
            .since
            .is_none_or(|since| now.duration_since(since) >= SECOND);
        if fresh {
            self.since = Some(now);
            self.count = 0;
            self.tell_dropped();
        }
        if self.count >= LINES || self.lines.len() + line.len() > BYTES {
            self.dropped += 1;
            return;
        }
        self.count += 1;
        self.lines.extend_from_slice(line);
    }

    fn tell_dropped(&mut self) {
        let note = format!("log_lines_dropped count={}\n", self.dropped);
        if self.dropped == 0 || self.lines.len() + note.len() > BYTES {
            return;
        }
        self.dropped = 0;
        self.lines.extend_from_slice(note.as_bytes());
    }

    /// Takes out all that waits.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.lines)
    }
}
