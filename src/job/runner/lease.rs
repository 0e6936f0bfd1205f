//! Renews the lease of this holder, and observes those of the others.

use std::rc::Rc;

use super::{Event, Platform, Runner};
use crate::clock::Time;
use crate::job::Execute;
use crate::job::key::Id;
use crate::job::record::{self, Job, State};
use crate::name::Name;
use crate::table::{Expect, Fault, Row, Store, Table, Transaction};

const SESSION_PREFIX: &str = "session/";
/// Rows of a page, which costs one read.
const PAGE_ROWS: usize = 100;

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Renews the lease if it is due. One row covers all chunks of the node, and a node without
    /// chunks needs no lease.
    pub(super) fn renew_due(&mut self, now: Time) {
        let wanted =
            !self.works.is_empty() || self.services.values().any(super::Backlog::has_claimable);
        let due =
            !self.lease.acquired || now.since(self.lease.renewed) >= self.setting.renew_interval;
        if self.lease.renewing || !wanted || !due {
            return;
        }
        self.lease.renewing = true;
        self.lease.renewed = now;
        let row = crate::job::key::session(&self.lease.session);
        let platform = self.platform.clone();
        let value = now.as_micros().to_le_bytes().to_vec();
        self.tasks.spawn_local(async move {
            // Only this holder writes the row, and any new version shows that it is alive, so
            // neither a lost nor a late answer matters.
            let transaction = Transaction::default().put(row, value);
            Event::Renewed(platform.table.transact(transaction).await.is_ok())
        });
    }

    pub(super) fn renewed(&mut self, done: bool) {
        self.lease.renewing = false;
        self.lease.acquired |= done;
        if !done {
            // Retry soon, but not at once.
            let wait = self.setting.renew_interval / 10;
            self.lease.renewed = (self.now() + wait) - self.setting.renew_interval;
        }
    }

    /// Lists all leases while the index shows chunks of other holders.
    pub(super) fn list_due(&mut self, now: Time) {
        let session = &self.lease.session;
        let foreign = |backlog: &super::Backlog| {
            backlog
                .index
                .held()
                .any(|(_, held)| held.session != *session)
        };
        let due = now.since(self.timers.listed) >= self.setting.lease_duration / 3;
        if self.timers.listing || !due || !self.services.values().any(foreign) {
            return;
        }
        self.timers.listing = true;
        self.timers.listed = now;
        let platform = self.platform.clone();
        self.tasks
            .spawn_local(async move { Event::Listed(list(&platform).await) });
    }

    pub(super) fn listed(&mut self, list: Result<Vec<(Name, u64)>, Fault>) {
        self.timers.listing = false;
        let now = self.now();
        match list {
            Ok(leases) => self.watch.update(now, &leases),
            Err(_) => self.watch.reset(),
        }
        let stale = self.watch.stale(now).next();
        let Some((session, version)) = stale.map(|(name, version)| (name.clone(), version)) else {
            return;
        };
        let row = crate::job::key::session(&session);
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let transaction = Transaction::default()
                .check(&row, Expect::Version(version))
                .delete(&row);
            let _ = platform.table.transact(transaction).await;
            Event::LeaseRemoved
        });
    }

    /// Reads the rows of the jobs held, to detect cancellations whose push was lost.
    pub(super) fn check_due(&mut self, now: Time) {
        let due = now.since(self.timers.checked) >= self.setting.check_interval;
        if self.timers.checking || !due || self.works.is_empty() {
            return;
        }
        self.timers.checking = true;
        self.timers.checked = now;
        let mut ids: Vec<Id> = self.works.values().map(|work| work.id.clone()).collect();
        ids.sort_unstable();
        ids.dedup();
        let platform = self.platform.clone();
        self.tasks
            .spawn_local(async move { Event::Checked(check(&platform, ids).await) });
    }

    pub(super) fn checked(&mut self, over: &[Id]) {
        self.timers.checking = false;
        for id in over {
            self.drop_job(id);
        }
    }
}

async fn list<T, S>(platform: &Rc<Platform<T, S>>) -> Result<Vec<(Name, u64)>, Fault>
where
    T: Table,
{
    let mut leases = Vec::new();
    let mut after = String::new();
    loop {
        let page = platform
            .table
            .scan(SESSION_PREFIX, &after, PAGE_ROWS)
            .await?;
        after = page.rows.last().map_or(after, |row| row.key.clone());
        leases.extend(page.rows.iter().filter_map(lease));
        if !page.more {
            return Ok(leases);
        }
    }
}

fn lease(row: &Row) -> Option<(Name, u64)> {
    let session = row.key.strip_prefix(SESSION_PREFIX)?;
    Some((session.into(), row.version))
}

/// Returns the jobs that were cancelled.
async fn check<T, S>(platform: &Rc<Platform<T, S>>, ids: Vec<Id>) -> Vec<Id>
where
    T: Table,
{
    let mut over = Vec::new();
    for id in ids {
        let Ok(Some(row)) = platform.table.get(&id.row()).await else {
            continue;
        };
        let job: Option<Job> = record::decode(&row.value);
        if job.is_some_and(|job| job.state == State::Cancelled) {
            over.push(id);
        }
    }
    over
}
