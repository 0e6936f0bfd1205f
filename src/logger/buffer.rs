//! A buffer of log lines to be written, bounded in bytes and in lines per second.
//!
//! A collector that stops reading must not block requests, and a flood of lines must not exhaust
//! memory. Lines beyond the bounds are dropped and counted, and the count is logged, so that a
//! missing line is not mistaken for an event that did not happen.

use std::time::{Duration, Instant};

/// Maximum size of the buffer. A collector that pauses for a second at the full rate, with lines of
/// some 150 bytes, fills a quarter of it.
const MAX_BYTES: usize = 256 * 1024;
/// Maximum number of lines per window; a node at its peak decides on some 100 requests a second.
const MAX_LINES_PER_WINDOW: u32 = 400;
/// Window over which lines are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Lines to be written.
#[derive(Debug, Default)]
pub struct Buffer {
    lines: Vec<u8>,
    window_start: Option<Instant>,
    count: u32,
    dropped: u64,
}

impl Buffer {
    /// Creates an empty buffer.
    pub const fn new() -> Self {
        Self {
            lines: Vec::new(),
            window_start: None,
            count: 0,
            dropped: 0,
        }
    }

    /// Appends a line, or drops it where a bound is reached; never blocks.
    pub fn admit(&mut self, now: Instant, line: &[u8]) {
        let is_new_window = self
            .window_start
            .is_none_or(|window_start| now.duration_since(window_start) >= RATE_WINDOW);
        if is_new_window {
            self.window_start = Some(now);
            self.count = 0;
            self.log_dropped();
        }
        if self.count >= MAX_LINES_PER_WINDOW || self.lines.len() + line.len() > MAX_BYTES {
            self.dropped += 1;
            return;
        }
        self.count += 1;
        self.lines.extend_from_slice(line);
    }

    fn log_dropped(&mut self) {
        let note = format!("log_lines_dropped count={}\n", self.dropped);
        if self.dropped == 0 || self.lines.len() + note.len() > MAX_BYTES {
            return;
        }
        self.dropped = 0;
        self.lines.extend_from_slice(note.as_bytes());
    }

    /// True if there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Removes and returns all buffered lines.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.lines)
    }
}
