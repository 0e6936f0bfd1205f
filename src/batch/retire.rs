//! Removes jobs whose results have passed their retention period.

use std::rc::Rc;
use std::time::Duration;

use super::record;
use super::shell::Jobs;
use crate::event;
use crate::name::Name;
use crate::table::{Fault, Store as _, Table as _, Transaction};

/// Results are kept this much longer than promised, so that a read at the very end succeeds
/// although clocks differ.
const RETENTION_SLACK: Duration = Duration::from_secs(60);
/// Rows removed in one transaction; the store accepts 100.
const MAX_ROWS: usize = 90;
/// Most jobs removed in one pass, which bounds the number of store calls.
const MAX_JOBS: usize = 4;

/// Removes finished jobs past the retention period. Each job is assigned to one member.
pub(super) async fn remove_expired(jobs: &Rc<Jobs>) {
    for job in expired(jobs) {
        if let Err(fault) = remove(jobs, &job).await {
            // The next pass retries.
            log::debug!("{} job={job} why=\"{fault}\"", event::STORE_CALL_LOST);
        }
    }
}

fn expired(jobs: &Jobs) -> Vec<Name> {
    let registry = jobs.registry.borrow();
    let Some(now) = registry.store_now(jobs.now()) else {
        return Vec::new();
    };
    let retention = jobs.setup.result_retention + RETENTION_SLACK;
    let retention = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
    let view = jobs.setup.view.read();
    registry
        .iter()
        .filter(|(_, entry)| entry.record.is_finished())
        .filter(|(_, entry)| now.saturating_sub(entry.record.accepted) > retention)
        .filter(|(job, _)| view.rank(job, &jobs.setup.me) == 0)
        .map(|(job, _)| job.clone())
        .take(MAX_JOBS)
        .collect()
}

/// Removes a job's results first and its own row last, so that an interrupted removal is found and
/// completed later.
async fn remove(jobs: &Rc<Jobs>, job: &Name) -> Result<(), Fault> {
    for prefix in [record::results(job), record::partials(job)] {
        loop {
            let page = jobs.setup.store.scan(&prefix, "", MAX_ROWS).await?;
            if page.rows.is_empty() {
                break;
            }
            let delete = |transaction: Transaction, key: String| transaction.delete(key);
            let keys = page.rows.into_iter().map(|row| row.key);
            let transaction = keys.fold(Transaction::default(), delete);
            jobs.setup.store.transact(transaction).await?;
        }
    }
    jobs.setup.store.delete(&record::object(job)).await?;
    let row = Transaction::default().delete(record::key(job));
    jobs.setup.store.transact(row).await?;
    Ok(())
}
