//! Writes the node's log.

use super::{Event, Runner};
use crate::clock::Time;
use crate::job::segment::{Attempt, Segment};
use crate::job::{Execute, change, key, record};
use crate::table::{Store, Table};

/// State of the log.
#[derive(Debug, Default)]
pub(super) struct Flush {
    next: u64,
    busy: bool,
    done: Time,
}

/// The data of a segment that was written.
pub(super) struct Flushed {
    parts: Vec<Part>,
}

/// The part of a segment that belongs to one chunk.
struct Part {
    work: u64,
    attempts: Vec<Attempt>,
    replies: Vec<u32>,
}

impl Flush {
    /// Number of the segment to write next.
    pub(super) const fn next(&self) -> u64 {
        self.next
    }

    /// Returns true while a segment is being written.
    pub(super) const fn is_busy(&self) -> bool {
        self.busy
    }
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Flushes when the interval has elapsed, or at once if an item waits for its attempt to be
    /// logged.
    pub(super) fn flush_due(&mut self, now: Time) {
        let urgent = self.works.values().any(|work| work.chunk.is_recording());
        let due = now.since(self.flush.done) >= self.setting.flush_interval;
        if (due || urgent) && !self.flush.busy {
            self.flush(now);
        }
    }

    /// Writes one segment with everything that is not in the log yet.
    pub(super) fn flush(&mut self, now: Time) {
        let mut segment = Segment::default();
        let mut parts = Vec::new();
        for (number, work) in &mut self.works {
            let Some(entry) = work.chunk.take_unwritten(&work.id.hash) else {
                continue;
            };
            parts.push(Part {
                work: *number,
                attempts: entry.attempts.clone(),
                replies: entry.replies.iter().map(|reply| reply.number).collect(),
            });
            segment.entries.push(entry);
        }
        self.flush.done = now;
        if segment.entries.is_empty() {
            return;
        }
        self.flush.busy = true;
        let name = key::segment(&self.lease.session, self.flush.next);
        self.flush.next += 1;
        let object = record::encode(&segment);
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            // Retries with the same content and name until it is stored: the log must have no gap,
            // because its reader stops at the first one.
            while let Err(fault) = platform.store.put(&name, object.clone()).await {
                tokio::time::sleep(change::retry_after(&fault)).await;
            }
            Event::Flushed(Flushed { parts })
        });
    }

    pub(super) fn flushed(&mut self, flushed: &Flushed) {
        self.flush.busy = false;
        self.count(|stats| stats.flushed += 1);
        for part in &flushed.parts {
            if let Some(work) = self.works.get_mut(&part.work) {
                work.chunk.written(&part.attempts, &part.replies);
            }
        }
    }
}
