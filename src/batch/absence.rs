//! Grace period for something that may be missing only temporarily.

use std::time::Duration;

use crate::clock::Time;

/// Records since when something has been missing without interruption.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Absence {
    since: Option<Time>,
}

impl Absence {
    /// Records whether it is present at `now`; returns true once it has been missing for `grace`.
    pub fn update(&mut self, now: Time, present: bool, grace: Duration) -> bool {
        if present {
            self.since = None;
            return false;
        }
        now.since(*self.since.get_or_insert(now)) >= grace
    }
}
