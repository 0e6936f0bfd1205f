//! A lane: a run of neighbouring chunks of one job, in one row.
//!
//! Every change of a chunk is a change of its lane's row under the version that
//! was read, so that of two holders who both believe in themselves one finds
//! the row changed. Each change can be told from the row afterwards, which is
//! how a lost answer is resolved.

use serde::{Deserialize, Serialize};

use super::record::Counts;
use crate::name::Name;

/// A stretch of a holder's log that may have results of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    /// Whose log.
    pub session: Name,
    /// Its first segment.
    pub from: u64,
    /// The segment after its last one; none after a loss, when the log is read
    /// to its end.
    pub until: Option<u64>,
}

/// A chunk that somebody runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Which chunk of the job.
    pub chunk: u32,
    /// Unique in the lane; a holder with an older one is refused.
    pub epoch: u32,
    /// The holder's session.
    pub session: Name,
    /// The first segment of its log that may have results of the chunk.
    pub from: u64,
    /// Holders that were lost before this one.
    pub losses: u32,
    /// Logs of the holders before this one.
    pub trails: Vec<Trail>,
    /// Items that must run at most once and may have been sent.
    pub marked: Vec<u32>,
}

/// A chunk that a stopping holder gave back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freed {
    /// Which chunk of the job.
    pub chunk: u32,
    /// Holders that were lost.
    pub losses: u32,
    /// Logs of the holders so far.
    pub trails: Vec<Trail>,
    /// Items that must run at most once and may have been sent.
    pub marked: Vec<u32>,
}

/// A chunk whose results are committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Which chunk of the job.
    pub chunk: u32,
    /// The epoch that names its results.
    pub epoch: u32,
    /// How its items ended.
    pub counts: Counts,
}

/// A lane's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lane {
    /// The first chunk that nobody has claimed yet.
    pub next: u32,
    /// The chunk after the last one.
    pub end: u32,
    /// The epoch given last.
    pub epoch: u32,
    /// Chunks that were given back.
    pub freed: Vec<Freed>,
    /// Chunks that somebody runs.
    pub held: Vec<Held>,
    /// Chunks that are committed.
    pub committed: Vec<Committed>,
}

/// What a wanted change comes to, given the row as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this.
    Write(Lane),
    /// It has taken effect already; its answer was lost.
    Already,
    /// It can't take effect any more.
    Lost,
}

impl Lane {
    /// A lane of which nothing is claimed.
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

    /// True when a chunk can be claimed.
    pub fn is_free(&self) -> bool {
        self.next < self.end || !self.freed.is_empty()
    }

    /// True when every chunk is committed.
    pub fn is_over(&self) -> bool {
        !self.is_free() && self.held.is_empty()
    }

    /// The sum over its committed chunks.
    pub fn counts(&self) -> Counts {
        self.committed
            .iter()
            .fold(Counts::default(), |sum, chunk| sum.plus(chunk.counts))
    }

    /// The holding of that epoch, while nobody else has taken it.
    pub fn holding(&self, epoch: u32) -> Option<&Held> {
        self.held.iter().find(|held| held.epoch == epoch)
    }

    /// Claims a chunk that was given back, or else the next one.
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

    /// Takes a chunk from a holder that is taken for lost.
    pub fn take_over(&self, epoch: u32, session: &Name, from: u64) -> Option<(Self, Held)> {
        let mut lane = self.clone();
        let at = lane.held.iter().position(|held| held.epoch == epoch)?;
        let lost = lane.held.remove(at);
        let mut freed = free(lost, None);
        freed.losses += 1;
        let held = lane.hold(freed, session, from);
        Some((lane, held))
    }

    /// Takes up a chunk that this very session holds without knowing it, because
    /// the answer to its claim was lost. The new epoch keeps the claim from being
    /// taken up twice.
    pub fn resume(&self, epoch: u32, session: &Name, from: u64) -> Option<(Self, Held)> {
        let mut lane = self.clone();
        let at = lane.held.iter().position(|held| held.epoch == epoch)?;
        let freed = free(lane.held.remove(at), Some(from));
        let held = lane.hold(freed, session, from);
        Some((lane, held))
    }

    /// Records that items which must run at most once are about to be sent,
    /// and forgets those whose results are in the log.
    pub fn mark(&self, epoch: u32, items: &[u32], settled: &[u32]) -> Step {
        let Some(at) = self.held.iter().position(|held| held.epoch == epoch) else {
            return Step::Lost;
        };
        let marked = &self.held[at].marked;
        if items.iter().all(|item| marked.contains(item)) {
            return Step::Already;
        }
        let mut lane = self.clone();
        let marked = &mut lane.held[at].marked;
        marked.retain(|item| !settled.contains(item));
        marked.extend(
            items
                .iter()
                .filter(|item| !self.held[at].marked.contains(item)),
        );
        Step::Write(lane)
    }

    /// Commits a chunk under the epoch of its holder.
    ///
    /// A holder that was paused past its lease comes back and finishes a chunk
    /// which another has taken, and perhaps committed. Its epoch is no longer
    /// among the held ones, so its results are never seen.
    pub fn commit(&self, done: Committed) -> Step {
        if self
            .committed
            .iter()
            .any(|c| c.chunk == done.chunk && c.epoch == done.epoch)
        {
            return Step::Already;
        }
        let Some(at) = self.position(done.chunk, done.epoch) else {
            return Step::Lost;
        };
        let mut lane = self.clone();
        lane.held.remove(at);
        lane.committed.push(done);
        Step::Write(lane)
    }

    /// Gives a chunk back with the log written so far. `unsent` are marked
    /// items that were not sent after all.
    pub fn release(&self, epoch: u32, until: u64, unsent: &[u32]) -> Step {
        let Some(at) = self.held.iter().position(|held| held.epoch == epoch) else {
            return Step::Lost;
        };
        let mut lane = self.clone();
        let mut freed = free(lane.held.remove(at), Some(until));
        freed.marked.retain(|item| !unsent.contains(item));
        lane.freed.push(freed);
        Step::Write(lane)
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

fn free(held: Held, until: Option<u64>) -> Freed {
    let mut trails = held.trails;
    trails.push(Trail {
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
