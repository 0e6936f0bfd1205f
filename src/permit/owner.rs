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
/// For how long a silent pool is passed over.
const SILENT: Duration = Duration::from_millis(1_500);

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
    /// Until when silent ones are passed over.
    silent: HashMap<SocketAddr, Time>,
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
        self.silent.insert(owner, now + SILENT);
    }

    /// The member that keeps a pool, as far as this node knows.
    pub fn owner(&mut self, now: Time, pool: &Name) -> Option<SocketAddr> {
        let view = self.view.take();
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
            .find(|owner| self.silent.get(owner).is_none_or(|until| now >= *until))
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
