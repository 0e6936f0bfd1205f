//! Detection of a pause of this process, after which jobs may have been ended that it still
//! considers open.

use std::time::Duration;

use crate::clock::Uptime;

/// Longest gap between two steps that is not a pause. News from the store is up to 1.4 s old as it
/// is, and a job's items must stop to start within 3 s of its end.
const MAX_STEP_GAP: Duration = Duration::from_secs(1);
/// How long items wait for news after a pause. While the store answers, however slowly, there is
/// some within 2.4 s, and a reader may have asked the store 0.8 s before that. A node that has
/// none by then does not reach the store, and goes on as it does in any outage.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Tells whether this process was paused and has not read the jobs since. Times are uptimes, as a
/// suspension of the VM is a pause, too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lag {
    stepped: Option<Uptime>,
    /// When the last pause was noticed, until the jobs are read.
    resumed: Option<Uptime>,
}

impl Lag {
    /// Records that this process runs at `now`.
    pub fn step(&mut self, now: Uptime) {
        let last = self.stepped.replace(now);
        if last.is_some_and(|last| now.since(last) > MAX_STEP_GAP) {
            self.resumed = Some(now);
        }
    }

    /// Records that the jobs are known as of `asked`, when the store was asked for them. An answer
    /// that arrived during a pause may be much older than its receipt.
    pub fn read(&mut self, asked: Uptime) {
        if self.resumed.is_some_and(|resumed| asked >= resumed) {
            self.resumed = None;
        }
    }

    /// Returns true while no item may start.
    pub fn must_wait(&self, now: Uptime) -> bool {
        self.resumed
            .is_some_and(|resumed| now.since(resumed) < MAX_WAIT)
    }
}
