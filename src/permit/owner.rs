//! Which member keeps a pool, as one node sees it.

use std::collections::HashMap;
use std::hash::{Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::clock::Time;
use crate::member::View;
use crate::name::Name;
use crate::pool::shard;
use crate::snapshot::Cell;

/// Members that a pool is looked for at, one after the other.
const OWNERS: usize = 4;
/// How often a silent member is asked whether it is there again. No request waits
/// for it meanwhile, and all gateways return to it within this: while some are back
/// and others not, two members keep one pool, or count for one limit.
const PROBE: Duration = Duration::from_millis(250);
/// A silent member that left the view is forgotten after this.
const FORGET: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Silent {
    since: Time,
    probed: Time,
}

/// The members that may keep each pool, and which of them did not answer.
#[derive(Debug)]
pub struct Owners {
    view: Arc<Cell<View>>,
    /// The port that pools listen on, the same on every node.
    port: u16,
    /// The view that `ranked` was worked out of.
    seen: Option<Arc<View>>,
    /// Best first.
    ranked: HashMap<Name, Vec<SocketAddr>>,
    /// Those that are passed over: since when, and when last asked.
    silent: HashMap<SocketAddr, Silent>,
}

impl Owners {
    /// Nobody is silent yet.
    pub fn new(view: Arc<Cell<View>>, port: u16) -> Self {
        Self {
            view,
            port,
            seen: None,
            ranked: HashMap::new(),
            silent: HashMap::new(),
        }
    }

    /// A pool answered.
    pub fn heard(&mut self, owner: SocketAddr) {
        self.silent.remove(&owner);
    }

    /// A pool did not answer.
    pub fn silent(&mut self, now: Time, owner: SocketAddr) {
        let silent = Silent {
            since: now,
            probed: now,
        };
        self.silent.entry(owner).or_insert(silent);
    }

    /// The silent members that are to be asked now whether they are there again.
    pub fn probes(&mut self, now: Time) -> Vec<SocketAddr> {
        self.silent
            .retain(|_, silent| now.since(silent.since) < FORGET);
        let mut due = Vec::new();
        for (owner, silent) in &mut self.silent {
            if now.since(silent.probed) >= PROBE {
                silent.probed = now;
                due.push(*owner);
            }
        }
        due
    }

    /// The member that keeps a pool, as far as this node knows.
    pub fn owner(&mut self, pool: &Name) -> Option<SocketAddr> {
        let view = self.view.load();
        if self
            .seen
            .as_ref()
            .is_none_or(|seen| !Arc::ptr_eq(seen, &view))
        {
            self.ranked.clear();
            self.seen = Some(Arc::clone(&view));
        }
        let port = self.port;
        let owners = self
            .ranked
            .entry(pool.clone())
            .or_insert_with(|| rank_all(&view, pool, port));
        owners
            .iter()
            .find(|owner| !self.silent.contains_key(*owner))
            .or(owners.first())
            .copied()
    }
}

/// The members that may keep a pool, best first: strong VMs, in the pool's own
/// zone where it has one.
fn rank_all(view: &View, pool: &Name, port: u16) -> Vec<SocketAddr> {
    let strongest = view.usable().map(|member| member.power).max().unwrap_or(0);
    let zone = shard::zone(pool);
    let mut ranked: Vec<_> = view
        .usable()
        .filter_map(|member| {
            let control: SocketAddr = member.control.parse().ok()?;
            let owner = SocketAddr::new(control.ip(), port);
            let strong = u32::from(member.power) * 2 >= u32::from(strongest);
            let near = zone.is_none_or(|zone| *member.zone == *zone);
            Some((strong, near, rank(pool, &owner), owner))
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.dedup_by_key(|(_, _, _, owner)| *owner);
    ranked.truncate(OWNERS);
    ranked.into_iter().map(|(_, _, _, owner)| owner).collect()
}

/// How strongly rendezvous hashing favours `owner` for `pool`.
fn rank(pool: &Name, owner: &SocketAddr) -> u64 {
    let mut hasher = Xxh3::new();
    pool.hash(&mut hasher);
    owner.hash(&mut hasher);
    hasher.finish()
}
