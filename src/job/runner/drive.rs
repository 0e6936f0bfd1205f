//! Does what is due, and gives everything back at the end.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

use super::work::Phase;
use super::{Runner, Search};
use crate::clock::Time;
use crate::event;
use crate::job::change::{self, Change};
use crate::job::index::Index;
use crate::job::order::Ledger;
use crate::job::{Execute, key};
use crate::name::Name;
use crate::table::{Store, Table, Transaction};

impl Search {
    fn new(service: Name, ledger: Ledger, scanned: Time) -> Self {
        Self {
            index: Index::new(service),
            ledger,
            scanned,
            scanning: false,
            claiming: BTreeSet::new(),
            unseen: Rc::new(Cell::new(0)),
        }
    }

    /// True when there may be something to claim.
    pub(super) fn is_promising(&self) -> bool {
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
    /// Does everything that is due now.
    pub(super) fn drive(&mut self) {
        let now = self.now();
        let services = self.execute.services();
        for service in &services {
            self.know(service);
            self.start_items(now, service);
            self.seek(now, service);
        }
        for work in self.works.values_mut() {
            work.chunk.record_alone(now);
        }
        self.mark_items();
        self.renew_due(now);
        self.flush_due(now);
        self.list_due(now);
        self.check_due(now);
    }

    fn know(&mut self, service: &Name) {
        if !self.services.contains_key(service) {
            let mut ledger = Ledger::default();
            ledger.weigh(self.weights.clone());
            let scanned = self.now() - self.phase(self.setting.poll_interval);
            let search = Search::new(service.clone(), ledger, scanned);
            self.services.insert(service.clone(), search);
        }
    }

    /// Ends in order: no new claim and no new item; what runs may finish within
    /// the grace; what is done is flushed; every chunk is given back, so that
    /// others go on with it at once and not after the lease.
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
            () = tokio::time::sleep(super::TICK) => {
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
            let change = change::apply(&self.platform.table, &work.place, None, None, |lane| {
                lane.release(epoch, until, &unsent)
            })
            .await;
            if matches!(change, Change::Unsure(_)) {
                kept = true;
                continue;
            }
            self.count(|stats| stats.released += 1);
            log::info!("{} job={} epoch={epoch}", event::CHUNK_RELEASED, work.id);
        }
        // With chunks that could not be given back the lease stays, and others
        // take them over when it has expired.
        if self.lease.taken && !kept {
            let row = key::session(&self.lease.session);
            let transaction = Transaction::default().delete(row);
            let _ = self.platform.table.transact(transaction).await;
        }
    }
}
