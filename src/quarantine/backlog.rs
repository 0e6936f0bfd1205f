//! Detection of a pause of this process, after which observations of other nodes are still unread.

use std::time::Duration;

use crate::clock::Time;

/// Longest usual interval between two steps of the task that applies observations, which takes
/// one each 100 ms.
const MAX_STEP_GAP: Duration = Duration::from_millis(300);
/// Time from the first step after a pause until what arrived meanwhile is applied.
const READ_TIME: Duration = Duration::from_millis(100);

/// Tells whether observations that arrived during a pause of this process are applied. Requests
/// that arrived meanwhile wait for them, because other nodes may have condemned them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    stepped: Time,
    /// When what arrived during the last pause is applied.
    applied: Time,
}

impl Backlog {
    /// Records a step of the task that applies observations.
    pub fn step(&mut self, now: Time) {
        if now.since(self.stepped) > MAX_STEP_GAP {
            self.applied = now + READ_TIME;
        }
        self.stepped = now;
    }

    /// Returns how long to wait before looking again; none if all is applied.
    pub fn wait(&self, now: Time) -> Option<Duration> {
        if now.since(self.stepped) > MAX_STEP_GAP {
            return Some(READ_TIME);
        }
        let left = self.applied.since(now);
        (!left.is_zero()).then_some(left)
    }
}
