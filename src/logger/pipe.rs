//! Writes log lines to the standard output stream: a separate thread writes the lines that
//! [`Buffer`] admitted.

use std::io::{self, Write};
use std::sync::{Condvar, Mutex, MutexGuard, Once, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::buffer::Buffer;

/// Interval between writes of buffered lines, long enough that the thread costs almost no
/// processor time.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

static BUFFER: Mutex<Buffer> = Mutex::new(Buffer::new());
/// Notified when a line was admitted.
static ADMITTED: Condvar = Condvar::new();
static WRITER: Once = Once::new();

/// The target of the logger, which writes one line per call.
pub(super) struct Pipe;

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WRITER.call_once(|| {
            // If the thread can't be started, lines are written only by the final flush.
            let _ = thread::Builder::new().name("log".into()).spawn(|| {
                loop {
                    await_lines();
                    thread::sleep(WRITE_INTERVAL);
                    drain();
                }
            });
        });
        lock().admit(Instant::now(), line);
        ADMITTED.notify_one();
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes all buffered lines; blocks only the calling thread.
pub(super) fn drain() {
    let lines = lock().take();
    if !lines.is_empty() {
        // A closed stream has no reader, so the error can't be reported.
        let _ = io::stdout().write_all(&lines);
    }
}

/// Blocks the writing thread until there is something to write.
fn await_lines() {
    let buffer = ADMITTED.wait_while(lock(), |buffer| buffer.is_empty());
    drop(buffer.unwrap_or_else(PoisonError::into_inner));
}

fn lock() -> MutexGuard<'static, Buffer> {
    BUFFER.lock().unwrap_or_else(PoisonError::into_inner)
}
