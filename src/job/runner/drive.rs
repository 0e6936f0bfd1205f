//! Runs periodic work, and releases all chunks on stop.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

use super::work::Phase;
use super::{Backlog, Runner};
use crate::clock::Time;
use crate::event;
use crate::job::change::{self, Resolution};
use crate::job::index::Index;
use crate::job::order::Scheduler;
use crate::job::{Execute, key};
use crate::name::Name;
use crate::table::{Store, Table, Transaction};

impl Backlog {
    fn new(service: Name, scheduler: Scheduler, scanned: Time) -> Self {
        Self {
            index: Index::new(service),
            scheduler,
            scanned,
            scanning: false,
            claiming: BTreeSet::new(),
            unpolled: Rc::new(Cell::new(0)),
        }
    }

    /// Returns true if there may be a chunk to claim.
    pub(super) fn has_claimable(&self) -> bool {
        !self.claiming.is_empty()
            || self.index.free().next().is_some()
            || self.index.held().next().is_some()
    }
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Starts everything that is due now.
    pub(super) fn run_due(&mut self) {
        let now = self.now();
        let services = self.execute.services();
        for service in &services {
            self.ensure_service(service);
            self.start_items(now, service);
            self.find_work(now, service);
        }
        for work in self.works.values_mut() {
            work.chunk.start_isolation(now);
        }
        self.mark_items();
        self.renew_due(now);
        self.flush_due(now);
        self.list_due(now);
        self.check_due(now);
    }

    fn ensure_service(&mut self, service: &Name) {
        if !self.services.contains_key(service) {
            let mut scheduler = Scheduler::default();
            scheduler.set_weights(self.weights.clone());
            let scanned = self.now() - self.jitter(self.setting.poll_interval);
            let backlog = Backlog::new(service.clone(), scheduler, scanned);
            self.services.insert(service.clone(), backlog);
        }
    }

    /// Stops gracefully: claims nothing and sends no new items, lets running items finish within
    /// the drain timeout, flushes results, and releases every chunk, so that other nodes continue
    /// at once and not only after the lease expires.
    pub(super) async fn drain(&mut self) {
        self.stopping = true;
        let end = self.now() + self.setting.drain_timeout;
        while self.now() < end && self.is_busy() {
            self.wait().await;
        }
        let now = self.now();
        for work in self.works.values_mut() {
            work.interrupt(now);
        }
        while self.flush.is_busy() && self.now() < end {
            self.wait().await;
        }
        let now = self.now();
        self.flush(now);
        while self.flush.is_busy() && self.now() < end + self.setting.drain_timeout {
            self.wait().await;
        }
        if !self.flush.is_busy() {
            self.release().await;
        }
    }

    fn is_busy(&self) -> bool {
        let busy = |work: &super::Work| !work.running.is_empty() || work.phase != Phase::Idle;
        self.works.values().any(busy) || self.services.values().any(|s| !s.claiming.is_empty())
    }

    async fn wait(&mut self) {
        tokio::select! {
            Some(done) = self.tasks.join_next(), if !self.tasks.is_empty() => {
                if let Ok(event) = done {
                    self.event(event);
                }
            }
            () = tokio::time::sleep(super::MAX_TICK_INTERVAL) => {
                let now = self.now();
                self.renew_due(now);
                self.flush_due(now);
            }
        }
    }

    async fn release(&mut self) {
        let until = self.flush.next();
        let mut kept = false;
        for (_, work) in std::mem::take(&mut self.works) {
            let epoch = work.held.epoch;
            let unsent = work.chunk.unsent();
            let change = change::apply(&self.platform.table, &work.target, None, None, |lane| {
                lane.release(epoch, until, &unsent)
            })
            .await;
            if matches!(change, Resolution::Unknown(_)) {
                kept = true;
                continue;
            }
            self.count(|stats| stats.released += 1);
            log::info!("{} job={} epoch={epoch}", event::CHUNK_RELEASED, work.id);
        }
        // If a chunk could not be released, the lease stays, and other nodes take the chunk over
        // when it expires.
        if self.lease.acquired && !kept {
            let row = key::session(&self.lease.session);
            let transaction = Transaction::default().delete(row);
            let _ = self.platform.table.transact(transaction).await;
        }
    }
}
