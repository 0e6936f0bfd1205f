//! Cluster membership as seen by this node.
//!
//! [`gossip`] holds the protocol as a pure state machine and [`shell`] runs it on
//! a socket. docs/design/members.md compares the alternatives.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;
use crate::table::Vm;

pub mod broadcast;
pub mod gossip;
pub mod probe;
pub mod record;
pub mod report;
pub mod roster;
pub mod shell;
pub mod tuning;

use report::Reporter;

/// Table in which nodes register so that others can discover them.
pub const TABLE: &str = "node";

/// Returns the name of a process's VM. Where each process is a member of its own, a member's
/// name is that of its VM followed by a dot and a number.
pub fn vm_name(process: &str) -> &str {
    process.rsplit_once('.').map_or(process, |(vm, _)| vm)
}

/// State of a member as seen by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Failed a probe and has until the suspicion timeout to refute it.
    Suspect,
    /// Considered failed.
    Dead,
    /// Announced that it is leaving.
    Leaving,
}

/// A node as advertised to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Address for callers, as ip:port.
    pub address: Name,
    /// Address for requests from other nodes, as ip:port.
    pub link: Name,
    /// Address for control messages from other nodes, as ip:port.
    pub control: Name,
    /// Availability zone.
    pub zone: Name,
    /// Incremented when the node restarts or refutes a suspicion.
    pub incarnation: u64,
    /// State of the member.
    pub state: State,
    /// Configuration version that the node has in force.
    pub config_version: u64,
    /// Processor capacity in thousandths of a core; 0 if unknown.
    pub power: u16,
}

impl Member {
    /// Returns the entry of this member in the list of VMs.
    pub fn vm(&self) -> Vm {
        Vm {
            name: self.name.clone(),
            link: self.link.clone(),
            control: self.control.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            leaving: false,
        }
    }
}

/// An immutable list of members, sorted by name and including this node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Members in name order.
    pub members: Vec<Member>,
    /// True once this node has met the nodes on the platform's list. Until then a member
    /// that is missing may be alive.
    pub is_complete: bool,
    /// Where readers of the view report members that do not answer them.
    pub reporter: Reporter,
}

impl From<Vec<Member>> for View {
    /// Returns a view that may be incomplete. The members must be in name order.
    fn from(members: Vec<Member>) -> Self {
        Self {
            members,
            is_complete: false,
            reporter: Reporter::default(),
        }
    }
}

impl View {
    /// Returns the members that may be assigned work: alive or suspect.
    ///
    /// Suspect members are included, because excluding a node that is merely slow
    /// would move its endpoints to other nodes and back again.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| matches!(member.state, State::Alive | State::Suspect))
    }

    /// Returns the number of live members that rank before `me` in the rendezvous
    /// hash of `task`, which a single member should handle.
    pub fn rank(&self, task: &str, me: &str) -> u32 {
        let seed = xxh3_64_with_seed(task.as_bytes(), 0);
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let own = score(me);
        let before = self
            .usable()
            .filter(|member| member.state == State::Alive && score(&member.name) > own)
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Returns the processes that may own work: not dead and not replaced by a
    /// later process at the same address. A leaving process is included while it
    /// hands its work over.
    ///
    /// Each node calls this five times a second, so it avoids comparing members
    /// pairwise.
    pub fn owners(&self) -> HashSet<&Name> {
        let mut newest: HashMap<&Name, u64> = HashMap::with_capacity(self.members.len());
        for member in self.usable() {
            let known = newest.entry(&member.control).or_default();
            *known = member.incarnation.max(*known);
        }
        let replaced = |member: &&Member| {
            newest
                .get(&member.control)
                .is_some_and(|newest| *newest > member.incarnation)
        };
        self.members
            .iter()
            .filter(|member| member.state != State::Dead && !replaced(member))
            .map(|member| &member.name)
            .collect()
    }

    /// True if the process that owns work is gone: this node knows that it died or was
    /// replaced, or has met all nodes without finding it. `owners` are [`Self::owners`].
    pub fn is_gone(&self, owners: &HashSet<&Name>, owner: &Name) -> bool {
        !owners.contains(owner) && (self.is_complete || self.find(owner).is_some())
    }

    /// Returns the member with this name, in any state.
    pub fn find(&self, name: &str) -> Option<&Member> {
        self.members
            .binary_search_by(|member| (*member.name).cmp(name))
            .ok()
            .map(|at| &self.members[at])
    }
}
