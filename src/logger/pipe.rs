//! Log lines on their way to the standard output stream: a thread of its own
//! writes what [`Buffer`] has admitted.

use std::io::{self, Write};
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::buffer::Buffer;

/// How often waiting lines are written: seldom enough that their thread costs
/// next to nothing.
const EVERY: Duration = Duration::from_millis(100);

static WAITING: Mutex<Buffer> = Mutex::new(Buffer::new());
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
        lock().admit(Instant::now(), line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes all that waits; blocks only the thread that calls it.
pub(super) fn drain() {
    let lines = lock().take();
    if !lines.is_empty() {
        // A stream that is gone has no reader to tell.
        let _ = io::stdout().write_all(&lines);
    }
}

fn lock() -> MutexGuard<'static, Buffer> {
    WAITING.lock().unwrap_or_else(PoisonError::into_inner)
}
