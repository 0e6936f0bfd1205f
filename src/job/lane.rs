//! A lane: a range of consecutive chunks of one job, stored in one row.
//!
//! Every change of a chunk is conditional on the version of its lane's row. If two sessions both
//! consider themselves the holder of a chunk, one of them finds the row changed. When the answer to
//! a change is lost, the row shows whether the change was made.

use serde::{Deserialize, Serialize};

use super::record::Counts;
use crate::name::Name;

/// A range of a holder's log that may contain results of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRange {
    /// Session of the holder that wrote the log.
    pub session: Name,
    /// Its first segment.
    pub from: u64,
    /// The segment after its last one; `None` after a loss, when the log is read to its end.
    pub until: Option<u64>,
}

/// A chunk that a holder runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Index of the chunk in the job.
    pub chunk: u32,
    /// Unique in the lane; a holder with an older epoch is refused.
    pub epoch: u32,
    /// Session of the holder.
    pub session: Name,
    /// The first segment of the holder's log that may contain results of the chunk.
    pub from: u64,
    /// Number of holders lost before this one.
    pub losses: u32,
    /// Logs of the earlier holders.
    pub trails: Vec<LogRange>,
    /// Items that must run at most once and may have been sent.
    pub marked: Vec<u32>,
}

/// A chunk that a stopping holder released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freed {
    /// Index of the chunk in the job.
    pub chunk: u32,
    /// Number of holders lost so far.
    pub losses: u32,
    /// Logs of the earlier holders.
    pub trails: Vec<LogRange>,
    /// Items that must run at most once and may have been sent.
    pub marked: Vec<u32>,
}

/// A chunk whose results are committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Index of the chunk in the job.
    pub chunk: u32,
    /// Epoch in the name of the object with its results.
    pub epoch: u32,
    /// How its items ended.
    pub counts: Counts,
}

/// A lane's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lane {
    /// The first chunk that was never claimed.
    pub next: u32,
    /// The chunk after the last one.
    pub end: u32,
    /// The last epoch assigned.
    pub epoch: u32,
    /// Chunks that were released.
    pub freed: Vec<Freed>,
    /// Chunks that a holder runs.
    pub held: Vec<Held>,
    /// Chunks whose results are committed.
    pub committed: Vec<Committed>,
}

/// Effect of an intended change on the current row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The row has to be replaced by this one.
    Write(Lane),
    /// The change is in the row already; its answer was lost.
    Applied,
    /// The change can never take effect, because the chunk has another holder.
    Superseded,
}

impl Lane {
    /// Creates a lane without claims.
    pub const fn new(next: u32, end: u32) -> Self {
        Self {
            next,
            end,
            epoch: 0,
            freed: Vec::new(),
            held: Vec::new(),
            committed: Vec::new(),
        }
    }

    /// Returns true if a chunk can be claimed.
    pub fn is_free(&self) -> bool {
        self.next < self.end || !self.freed.is_empty()
    }

    /// Returns true if every chunk is committed.
    pub fn is_finished(&self) -> bool {
        !self.is_free() && self.held.is_empty()
    }

    /// Sum of the counts of its committed chunks.
    pub fn counts(&self) -> Counts {
        self.committed
            .iter()
            .fold(Counts::default(), |sum, chunk| sum.plus(chunk.counts))
    }

    /// Returns the held chunk with that epoch, unless another holder has taken it over.
    pub fn find_held(&self, epoch: u32) -> Option<&Held> {
        self.held.iter().find(|held| held.epoch == epoch)
    }

    /// Claims a released chunk, or else the next unclaimed one.
    pub fn claim(&self, session: &Name, from: u64) -> Option<(Self, Held)> {
        let mut lane = self.clone();
        let freed = if lane.freed.is_empty() {
            if lane.next >= lane.end {
                return None;
            }
            lane.next += 1;
            Freed {
                chunk: lane.next - 1,
                losses: 0,
                trails: Vec::new(),
                marked: Vec::new(),
            }
        } else {
            lane.freed.remove(0)
        };
        let held = lane.hold(freed, session, from);
        Some((lane, held))
    }

    /// Takes over a chunk from a holder that is presumed lost.
    pub fn take_over(&self, epoch: u32, session: &Name, from: u64) -> Option<(Self, Held)> {
        let mut lane = self.clone();
        let at = lane.held.iter().position(|held| held.epoch == epoch)?;
        let lost = lane.held.remove(at);
        let mut freed = to_freed(lost, None);
        freed.losses += 1;
        let held = lane.hold(freed, session, from);
        Some((lane, held))
    }

    /// Resumes a chunk that this session holds by a claim whose answer was lost. The new epoch
    /// prevents resuming the claim twice.
    pub fn resume(&self, epoch: u32, session: &Name, from: u64) -> Option<(Self, Held)> {
        let mut lane = self.clone();
        let at = lane.held.iter().position(|held| held.epoch == epoch)?;
        let freed = to_freed(lane.held.remove(at), Some(from));
        let held = lane.hold(freed, session, from);
        Some((lane, held))
    }

    /// Marks items that must run at most once before they are sent, and removes the marks of items
    /// whose results are in the log.
    pub fn mark(&self, epoch: u32, items: &[u32], logged: &[u32]) -> Decision {
        let Some(at) = self.held.iter().position(|held| held.epoch == epoch) else {
            return Decision::Superseded;
        };
        let marked = &self.held[at].marked;
        if items.iter().all(|item| marked.contains(item)) {
            return Decision::Applied;
        }
        let mut lane = self.clone();
        let marked = &mut lane.held[at].marked;
        marked.retain(|item| !logged.contains(item));
        marked.extend(
            items
                .iter()
                .filter(|item| !self.held[at].marked.contains(item)),
        );
        Decision::Write(lane)
    }

    /// Commits a chunk under the epoch of its holder.
    ///
    /// A holder that was paused past its lease may finish a chunk that another holder has taken
    /// over or even committed. Its epoch is no longer in the row, so its results never become
    /// readable.
    pub fn commit(&self, done: Committed) -> Decision {
        if self
            .committed
            .iter()
            .any(|c| c.chunk == done.chunk && c.epoch == done.epoch)
        {
            return Decision::Applied;
        }
        let Some(at) = self.position(done.chunk, done.epoch) else {
            return Decision::Superseded;
        };
        let mut lane = self.clone();
        lane.held.remove(at);
        lane.committed.push(done);
        Decision::Write(lane)
    }

    /// Releases a chunk together with the log written so far. `unsent` are marked items that were
    /// not sent.
    pub fn release(&self, epoch: u32, until: u64, unsent: &[u32]) -> Decision {
        let Some(at) = self.held.iter().position(|held| held.epoch == epoch) else {
            return Decision::Superseded;
        };
        let mut lane = self.clone();
        let mut freed = to_freed(lane.held.remove(at), Some(until));
        freed.marked.retain(|item| !unsent.contains(item));
        lane.freed.push(freed);
        Decision::Write(lane)
    }

    fn position(&self, chunk: u32, epoch: u32) -> Option<usize> {
        self.held
            .iter()
            .position(|held| held.chunk == chunk && held.epoch == epoch)
    }

    fn hold(&mut self, freed: Freed, session: &Name, from: u64) -> Held {
        self.epoch += 1;
        let held = Held {
            chunk: freed.chunk,
            epoch: self.epoch,
            session: session.clone(),
            from,
            losses: freed.losses,
            trails: freed.trails,
            marked: freed.marked,
        };
        self.held.push(held.clone());
        held
    }
}

fn to_freed(held: Held, until: Option<u64>) -> Freed {
    let mut trails = held.trails;
    trails.push(LogRange {
        session: held.session,
        from: held.from,
        until,
    });
    Freed {
        chunk: held.chunk,
        losses: held.losses,
        trails,
        marked: held.marked,
    }
}
