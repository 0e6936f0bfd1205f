//! Keeps this holder's lease, and watches those of the others.

use std::rc::Rc;

use super::{Event, Platform, Runner};
use crate::clock::Time;
use crate::job::Execute;
use crate::job::key::Id;
use crate::job::record::{self, Job, State};
use crate::name::Name;
use crate::table::{Expect, Fault, Row, Store, Table, Transaction};

const PREFIX: &str = "session/";
/// Rows of a page that costs one read.
const PAGE: usize = 100;

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Renews the lease. One row of the node covers all its chunks, and a node
    /// that holds nothing needs none.
    pub(super) fn renew_due(&mut self, now: Time) {
        let wanted =
            !self.works.is_empty() || self.services.values().any(super::Search::is_promising);
        let due = !self.lease.taken || now.since(self.lease.renewed) >= self.setting.renew_interval;
        if self.lease.renewing || !wanted || !due {
            return;
        }
        self.lease.renewing = true;
        self.lease.renewed = now;
        let row = crate::job::key::session(&self.lease.session);
        let platform = self.platform.clone();
        let value = now.as_micros().to_le_bytes().to_vec();
        self.tasks.spawn_local(async move {
            // Only this holder puts the row, and any version but the last one
            // says that it lives, so neither a lost nor a late answer matters.
            let transaction = Transaction::default().put(row, value);
            Event::Renewed(platform.table.transact(transaction).await.is_ok())
        });
    }

    pub(super) fn renewed(&mut self, done: bool) {
        self.lease.renewing = false;
        self.lease.taken |= done;
        if !done {
            // Soon again, but not at once.
            let wait = self.setting.renew_interval / 10;
            self.lease.renewed = (self.now() + wait) - self.setting.renew_interval;
        }
    }

    /// Lists all leases while the index shows chunks of others.
    pub(super) fn list_due(&mut self, now: Time) {
        let session = &self.lease.session;
        let foreign = |search: &super::Search| {
            search
                .index
                .held()
                .any(|(_, held)| held.session != *session)
        };
        let due = now.since(self.due.listed) >= self.setting.lease_duration / 3;
        if self.due.listing || !due || !self.services.values().any(foreign) {
            return;
        }
        self.due.listing = true;
        self.due.listed = now;
        let platform = self.platform.clone();
        self.tasks
            .spawn_local(async move { Event::Listed(list(&platform).await) });
    }

    pub(super) fn listed(&mut self, list: Result<Vec<(Name, u64)>, Fault>) {
        self.due.listing = false;
        let now = self.now();
        match list {
            Ok(leases) => self.watch.list(now, &leases),
            Err(_) => self.watch.fail(),
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
            Event::Swept
        });
    }

    /// Looks at the rows of the jobs held, for cancellations whose push was
    /// lost.
    pub(super) fn check_due(&mut self, now: Time) {
        let due = now.since(self.due.checked) >= self.setting.check_interval;
        if self.due.checking || !due || self.works.is_empty() {
            return;
        }
        self.due.checking = true;
        self.due.checked = now;
        let mut ids: Vec<Id> = self.works.values().map(|work| work.id.clone()).collect();
        ids.sort_unstable();
        ids.dedup();
        let platform = self.platform.clone();
        self.tasks
            .spawn_local(async move { Event::Checked(check(&platform, ids).await) });
    }

    pub(super) fn checked(&mut self, over: &[Id]) {
        self.due.checking = false;
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
        let page = platform.table.scan(PREFIX, &after, PAGE).await?;
        after = page.rows.last().map_or(after, |row| row.key.clone());
        leases.extend(page.rows.iter().filter_map(lease));
        if !page.more {
            return Ok(leases);
        }
    }
}

fn lease(row: &Row) -> Option<(Name, u64)> {
    let session = row.key.strip_prefix(PREFIX)?;
    Some((session.into(), row.version))
}

/// The jobs that are no longer active.
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
