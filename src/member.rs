//! Which nodes there are, as this node sees it.
//!
//! [`gossip`] decides, [`shell`] acts, and docs/design/members.md weighs the
//! ways.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;
use crate::table::Vm;

pub mod broadcast;
pub mod gossip;
pub mod probe;
pub mod record;
pub mod shell;
pub mod tuning;

/// The table in which nodes register, for those who look for members.
pub const TABLE: &str = "node";

/// How a node seems to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer lately; it is given time to say that it lives.
    Suspect,
    /// It is taken for gone.
    Dead,
    /// It said that it is leaving.
    Leaving,
}

/// A node as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// Where callers reach it, as ip:port.
    pub address: Name,
    /// Where other nodes send it requests, as ip:port.
    pub link: Name,
    /// Where other nodes send it control messages, as ip:port.
    pub control: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Counts up when it restarts or contradicts a suspicion.
    pub incarnation: u64,
    /// How it seems to be.
    pub state: State,
    /// The configuration version that it has in force.
    pub config_version: u64,
    /// Its processor, in thousandths of a core; 0 where it is not known.
    pub power: u16,
}

impl Member {
    /// What the list of VMs says of it.
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

/// An immutable list of members, sorted by name, this node among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The members.
    pub members: Vec<Member>,
}

impl View {
    /// The members that may be given work: alive or only suspected.
    ///
    /// A suspected one stays, because dropping a node that is merely slow would
    /// move its endpoints to others and back again.
    pub fn usable(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| matches!(member.state, State::Alive | State::Suspect))
    }

    /// How many live members go before this one for a matter that one of them is to
    /// see to.
    pub fn rank(&self, matter: &str, me: &str) -> u32 {
        let seed = xxh3_64_with_seed(matter.as_bytes(), 0);
        let score = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let own = score(me);
        let before = self
            .usable()
            .filter(|member| member.state == State::Alive && score(&member.name) > own)
            .count();
        u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// The processes that may own work: not known to be gone, and not replaced by
    /// a later process at the same address. A leaving one still hands its work on.
    /// Each node looks five times a second, so members are not compared with each
    /// other.
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

    /// The member of that name, whatever its state.
    pub fn find(&self, name: &str) -> Option<&Member> {
        self.members
            .binary_search_by(|member| (*member.name).cmp(name))
            .ok()
            .map(|at| &self.members[at])
    }
}
