//! Log lines on their way to the standard output stream.
//!
//! A collector that stops reading must not stop requests, and a flood of lines
//! must not grow memory: lines wait in a bounded buffer that a thread of its own
//! empties, a second has a budget of lines, and what does not fit is counted.

use std::io::{self, Write};
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that may wait.
const BUFFER: usize = 256 * 1024;
/// Lines a second; a node at its peak decides on some 100 requests a second.
const LINES: u32 = 400;
/// How often waiting lines are written: seldom enough that their thread costs
/// next to nothing.
const EVERY: Duration = Duration::from_millis(100);

struct Waiting {
    lines: Vec<u8>,
    second: Option<Instant>,
    count: u32,
    dropped: u64,
}

static WAITING: Mutex<Waiting> = Mutex::new(Waiting {
    lines: Vec::new(),
    second: None,
    count: 0,
    dropped: 0,
});
static WRITER: Once = Once::new();

/// Where the logger writes, a line a call.
pub(super) struct Pipe;

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WRITER.call_once(|| {
            // Without a thread lines are written at the end only.
            let _ = thread::Builder::new().name("log".into()).spawn(|| {
                loop {
                    thread::sleep(EVERY);
                    drain();
                }
            });
        });
        let mut waiting = lock();
        waiting.admit(Instant::now(), line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Waiting {
    fn admit(&mut self, now: Instant, line: &[u8]) {
        let fresh = self
            .second
            .is_none_or(|since| now.duration_since(since) >= Duration::from_secs(1));
        if fresh {
            self.second = Some(now);
            self.count = 0;
            if self.dropped > 0 {
                let note = format!("log_lines_dropped count={}\n", self.dropped);
                self.dropped = 0;
                self.lines.extend_from_slice(note.as_bytes());
            }
        }
        if self.count >= LINES || self.lines.len() + line.len() > BUFFER {
            self.dropped += 1;
            return;
        }
        self.count += 1;
        self.lines.extend_from_slice(line);
    }
}

/// Writes all that waits; blocks only the thread that calls it.
pub(super) fn drain() {
    let lines = std::mem::take(&mut lock().lines);
    if !lines.is_empty() {
        // A stream that is gone has no reader to tell.
        let _ = io::stdout().write_all(&lines);
    }
}

fn lock() -> MutexGuard<'static, Waiting> {
    WAITING.lock().unwrap_or_else(PoisonError::into_inner)
}
