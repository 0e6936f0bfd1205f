//! Writes the node's log.

use super::{Event, Runner};
use crate::clock::Time;
use crate::job::segment::{Attempt, Segment};
use crate::job::{Execute, change, key, record};
use crate::table::{Store, Table};

/// The state of the log.
#[derive(Debug, Default)]
pub(super) struct Flush {
    next: u64,
    busy: bool,
    done: Time,
}

/// What a segment in the store has settled.
pub(super) struct Flushed {
    parts: Vec<Part>,
}

/// Its part for one chunk.
struct Part {
    work: u64,
    attempts: Vec<Attempt>,
    replies: Vec<u32>,
}

impl Flush {
    /// The segment that will be written next.
    pub(super) const fn next(&self) -> u64 {
        self.next
    }

    /// True while a segment is under way.
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
    /// Flushes when the period is over, or at once when an item waits for its
    /// attempt to be recorded.
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
            // The same content under the same name until it is there: the log
            // must not have a gap, for its reader stops at the first one.
            while let Err(fault) = platform.store.put(&name, object.clone()).await {
                tokio::time::sleep(change::wait(&fault)).await;
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
