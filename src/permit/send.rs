//! Messages from a gateway to pools.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{Broker, Waiting};
use crate::clock::Time;
use crate::event;
use crate::name::Name;
use crate::pool::message::{End, MAX_RENEWALS, Renewal, Request};
use crate::pool::shard;
use crate::wire;

impl Broker {
    pub(super) fn send_renewals(&self, now: Time) {
        let mut by_pool: BTreeMap<Name, Vec<Renewal>> = BTreeMap::new();
        for held in self.held.borrow().values() {
            let mut renewal = held.renewal.clone();
            renewal.due = held.due.since(now);
            by_pool.entry(held.pool.clone()).or_default().push(renewal);
        }
        for (pool, renewals) in by_pool {
            let Some(owner) = self.owners.borrow_mut().owner(&pool) else {
                continue;
            };
            for some in renewals.chunks(MAX_RENEWALS) {
                let request = Request::Renew {
                    pool: pool.clone(),
                    renewals: some.to_vec(),
                };
                self.send(owner, &request);
            }
        }
    }

    pub(super) fn release(&self, seq: u64, pool: &Name, end: End) {
        let owner = match self.held.borrow_mut().remove(&seq) {
            Some(held) => held.owner,
            None => None,
        };
        let current = self.owners.borrow_mut().owner(pool);
        for owner in owner
            .into_iter()
            .chain(current.filter(|it| Some(*it) != owner))
        {
            self.send_release(owner, seq, pool, end);
        }
    }

    /// Releases a permit that is not needed, in every pool that may have granted it.
    pub(super) fn release_in_all_pools(&self, seq: u64, owner: SocketAddr) {
        let catalog = self.catalog.read();
        for service in catalog.endpoints.services() {
            for shard in shard::shards(&catalog, service) {
                self.send_release(owner, seq, &shard.pool, End::Left);
            }
        }
    }

    pub(super) fn send_release(&self, owner: SocketAddr, seq: u64, pool: &Name, end: End) {
        let pool = pool.clone();
        self.send(owner, &Request::Release { pool, seq, end });
    }

    pub(super) fn send_acquire(&self, now: Time, seq: u64, waiting: &mut Waiting) {
        let owner = self.owners.borrow_mut().owner(&waiting.pool);
        waiting.attempts.record_send(now, owner);
        let Some(owner) = owner else {
            return;
        };
        let waited = now.since(waiting.started);
        let mut requirements = waiting.claim.requirements.clone();
        requirements.max_wait = requirements.max_wait.saturating_sub(waited);
        requirements.due = requirements.due.saturating_sub(waited);
        let pool = waiting.pool.clone();
        self.send(
            owner,
            &Request::Acquire {
                pool,
                seq,
                requirements,
            },
        );
    }

    pub(super) fn send(&self, owner: SocketAddr, request: &Request) {
        match wire::encode(request) {
            // A datagram that does not fit into the socket's buffer is lost like any
            // other and repeated later.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, owner)),
            Err(error) => log::warn!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
        }
    }
}
