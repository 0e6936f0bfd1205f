//! Telling what is gone from what is only not known at the moment.

use std::time::Duration;

use crate::clock::Time;

/// Notes since when something has been missing without a break.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Absence {
    since: Option<Time>,
}

impl Absence {
    /// Takes what `now` shows; true once it has been missing for `grace`.
    pub fn look(&mut self, now: Time, present: bool, grace: Duration) -> bool {
        if present {
            self.since = None;
            return false;
        }
        now.since(*self.since.get_or_insert(now)) >= grace
    }
}
