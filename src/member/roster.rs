//! When the platform's list of VMs is read again.

use std::collections::HashSet;
use std::time::Duration;

use crate::name::Name;
use crate::table::Vm;

/// Interval between reads once all VMs are known. With 330 nodes of about 250
/// bytes each, this takes 1.4 KB/s of the 13 KB/s that a node may use for control
/// traffic.
const STEADY_INTERVAL: Duration = Duration::from_secs(60);
/// Delay before the next read after one that brought new nodes. While a fleet starts, the
/// platform takes seconds to register all nodes, and two nodes that both stopped reading
/// before the other was on the list would not find each other.
const GROWING_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between reads while this node has no peers.
const ALONE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of doublings after which the delay between failed reads is at its longest.
const MAX_DOUBLINGS: u32 = 6;

/// Decides when the list is read again.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Control addresses that were on the list.
    known: HashSet<Name>,
    /// True until a read brings no new node.
    is_growing: bool,
    /// Consecutive failed reads.
    failures: u32,
}

impl Schedule {
    /// Records a list that was read.
    pub fn succeeded(&mut self, list: &[Vm]) {
        self.failures = 0;
        self.is_growing = false;
        for vm in list {
            self.is_growing |= self.known.insert(vm.control.clone());
        }
    }

    /// Records a failed read. It says nothing about whether the list grows.
    pub fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the delay before the next read. `is_alone` is true while this node has no peers.
    ///
    /// While the list grows, a failed read is repeated as soon as any other: until then the view
    /// is not complete, and jobs whose owners this node has not met are not taken over.
    pub fn delay(&self, is_alone: bool) -> Duration {
        if self.known.is_empty() {
            return ALONE_INTERVAL;
        }
        if self.is_growing {
            return GROWING_DELAY;
        }
        if is_alone {
            return ALONE_INTERVAL;
        }
        let Some(doublings) = self.failures.checked_sub(1) else {
            return STEADY_INTERVAL;
        };
        let backoff = GROWING_DELAY * 2_u32.pow(doublings.min(MAX_DOUBLINGS));
        backoff.min(STEADY_INTERVAL)
    }
}
