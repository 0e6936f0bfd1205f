//! All endpoint processes that ended, whatever ran there. When several end at the same time, their
//! requests are less likely to be the cause.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Crash, MAX_CRASHES};
use crate::clock::Time;

/// Crashes observed within this time count as simultaneous. It covers the delay of gossip.
const SIMULTANEOUS: Duration = Duration::from_secs(1);

/// Endpoint processes that ended, with the time when this node first learned of each.
#[derive(Debug, Default)]
pub(super) struct Ends(BTreeMap<Crash, Time>);

impl Ends {
    /// Records the end of a process. The oldest one is dropped when there is no room.
    pub(super) fn add(&mut self, now: Time, crash: &Crash) {
        if self.0.contains_key(crash) {
            return;
        }
        self.0.insert(crash.clone(), now);
        if self.0.len() > MAX_CRASHES {
            let oldest = self.0.iter().min_by_key(|(_, at)| **at);
            if let Some(crash) = oldest.map(|(crash, _)| crash.clone()) {
                self.0.remove(&crash);
            }
        }
    }

    /// Returns the number of other processes that ended at about the same time as one of these.
    pub(super) fn beside(&self, crashes: &[Crash]) -> usize {
        let times: Vec<Time> = crashes
            .iter()
            .filter_map(|crash| self.0.get(crash).copied())
            .collect();
        let is_near = |at: Time| times.iter().any(|own| is_simultaneous(*own, at));
        let others = self.0.iter().filter(|(crash, _)| !crashes.contains(crash));
        others.filter(|(_, at)| is_near(**at)).count()
    }

    /// Returns how many of these processes ended beside no other one, leaving out others whose end is
    /// explained.
    pub(super) fn lone<E>(&self, crashes: &[Crash], is_explained: E) -> usize
    where
        E: Fn(&Crash) -> bool,
    {
        let others = self.0.iter().filter(|(crash, _)| !crashes.contains(crash));
        let others = others.filter(|(crash, _)| !is_explained(crash));
        let others: Vec<Time> = others.map(|(_, at)| *at).collect();
        let own = crashes.iter().filter_map(|crash| self.0.get(crash));
        own.filter(|at| !others.iter().any(|other| is_simultaneous(**at, *other)))
            .count()
    }
}

fn is_simultaneous(one: Time, other: Time) -> bool {
    // One of the two differences is zero.
    one.since(other).max(other.since(one)) <= SIMULTANEOUS
}
