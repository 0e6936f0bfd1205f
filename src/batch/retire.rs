//! Removing jobs whose results nobody may ask for any more.

use std::rc::Rc;
use std::time::Duration;

use super::record;
use super::shell::Jobs;
use crate::event;
use crate::name::Name;
use crate::table::{Fault, Store as _, Table as _, Transaction};

/// How much longer than promised results stay, so that a reader at the very end
/// still gets them although clocks differ.
const SLACK: Duration = Duration::from_secs(60);
/// Rows removed in one transaction; the store takes 100.
const ROWS: usize = 90;
/// Jobs that one look removes at most, so that it never takes many calls.
const JOBS: usize = 4;

/// Removes jobs that are over and older than results are kept; each falls to
/// one member.
pub(super) async fn retire(jobs: &Rc<Jobs>) {
    for job in due(jobs) {
        if let Err(fault) = remove(jobs, &job).await {
            // It is tried again at the next look.
            log::debug!("{} job={job} why=\"{fault}\"", event::STORE_CALL_LOST);
        }
    }
}

fn due(jobs: &Jobs) -> Vec<Name> {
    let ledger = jobs.ledger.borrow();
    let Some(now) = ledger.store_now(jobs.now()) else {
        return Vec::new();
    };
    let kept = jobs.setup.result_retention + SLACK;
    let kept = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
    let view = jobs.setup.view.read();
    ledger
        .iter()
        .filter(|(_, entry)| entry.record.is_over())
        .filter(|(_, entry)| now.saturating_sub(entry.record.accepted) > kept)
        .filter(|(job, _)| view.rank(job, &jobs.setup.me) == 0)
        .map(|(job, _)| job.clone())
        .take(JOBS)
        .collect()
}

/// Removes a job's results first and its own row last, so that what is left
/// after a break is found again.
async fn remove(jobs: &Rc<Jobs>, job: &Name) -> Result<(), Fault> {
    for prefix in [record::results(job), record::partials(job)] {
        loop {
            let page = jobs.setup.store.scan(&prefix, "", ROWS).await?;
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
