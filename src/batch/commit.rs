//! Stores outcomes and failures: the job's row and its results in one transaction, under the
//! condition that the row is as this node knows it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::item::Outcome;
use super::ledger::Entry;
use super::record::{self, Record};
use super::shell::Jobs;
use super::work::{Slot, Work};
use crate::event;
use crate::table::{Expect, Fault, Store as _, Table as _, Transaction};

/// Outcomes in one transaction; some 15 KB each, so that it stays well below
/// the store's 1 MB.
const MOST: usize = 24;
/// Bytes of a row that its encoding may add to an output.
const ROOM: usize = 1_024;
/// How long an item waits after a failure, so that a fault that every endpoint
/// shares does not turn into a storm.
pub(super) const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// Pause before a store that did not answer is tried again.
const PAUSE: Duration = Duration::from_millis(150);

impl Jobs {
    /// Stores what is not stored yet, in a task of its own.
    pub(super) fn commit(self: &Rc<Self>, work: &Rc<Work>) {
        if !work.has_news() || work.committing.replace(true) {
            return;
        }
        let (jobs, work) = (Rc::clone(self), Rc::clone(work));
        actix_rt::spawn(async move {
            while !work.stopped.get() && work.has_news() {
                if let Err(fault) = store(&jobs, &work).await {
                    log::info!("{} job={} why=\"{fault}\"", event::STORE_CALL_LOST, work.id);
                    sleep(PAUSE).await;
                    reread(&jobs, &work).await;
                }
            }
            work.committing.set(false);
            if work.entry.borrow().record.is_over() {
                log::info!("{} job={}", event::JOB_ENDED, work.id);
                jobs.works.borrow_mut().remove(&work.id);
            }
        });
    }
}

async fn store(jobs: &Rc<Jobs>, work: &Rc<Work>) -> Result<(), Fault> {
    let Entry { version, record } = work.entry.borrow().clone();
    let fresh: Vec<(usize, Outcome)> = work.fresh.borrow().iter().take(MOST).cloned().collect();
    let mut next = record.clone();
    let key = record::key(&work.id);
    let mut transaction = Transaction::default().check(key.clone(), Expect::Version(version));
    for (item, outcome) in &fresh {
        let row = record::result(&work.id, next.done.len());
        next.done.push(u16::try_from(*item).unwrap_or(u16::MAX));
        let value = row_of(jobs, work, *item, outcome, record.epoch).await?;
        transaction = transaction.put(row, value);
    }
    next.failures = work.failed(&next.done);
    transaction = transaction.put(key, next.encode());
    let version = jobs.setup.store.transact(transaction).await?;
    stored(jobs, work, version, next);
    Ok(())
}

/// The row of an outcome; a long output goes into an object of its own.
async fn row_of(
    jobs: &Jobs,
    work: &Work,
    item: usize,
    outcome: &Outcome,
    epoch: u64,
) -> Result<Vec<u8>, Fault> {
    if outcome.output.len() + ROOM <= jobs.setup.row_bytes {
        return Ok(record::encode(outcome));
    }
    let name = format!("result-{}-{item}-{epoch}", work.id);
    let output = Bytes::copy_from_slice(outcome.output.as_bytes());
    jobs.setup.store.put(&name, output).await?;
    let row = Outcome {
        output: String::new(),
        object: Some(name),
        ..outcome.clone()
    };
    Ok(record::encode(&row))
}

/// The job's row is now `record`: moves what it lists out of the fresh ones.
fn stored(jobs: &Rc<Jobs>, work: &Rc<Work>, version: u64, record: Record) {
    let known = work.entry.borrow().record.done.len();
    for (position, item) in record.done.iter().enumerate().skip(known) {
        let item = usize::from(*item);
        let mut fresh = work.fresh.borrow_mut();
        if let Some(at) = fresh.iter().position(|(other, _)| *other == item) {
            let (_, outcome) = fresh.remove(at);
            let mut cache = jobs.cache.borrow_mut();
            cache.put(&work.id, position, Rc::new(outcome));
        }
        work.set(item, Slot::Done);
    }
    work.failures_stored(&record, jobs.now() + FAILED_PAUSE);
    *work.entry.borrow_mut() = Entry {
        version,
        record: record.clone(),
    };
    jobs.apply(&work.id, version, record);
    jobs.changed.notify_waiters();
}

/// Finds out what became of a change whose answer was lost or refused.
async fn reread(jobs: &Rc<Jobs>, work: &Rc<Work>) {
    match jobs.setup.store.get_row(&record::key(&work.id)).await {
        Ok(Some(row)) => match Record::decode(&row.value) {
            Ok(record) => {
                let epoch = work.entry.borrow().record.epoch;
                if jobs.is_mine(&record) && record.epoch == epoch {
                    stored(jobs, work, row.version, record);
                } else {
                    jobs.apply(&work.id, row.version, record);
                    jobs.drop_work(work, "another_owner");
                }
            }
            Err(why) => log::warn!("{} job={} why=\"{why}\"", event::ROW_UNREADABLE, work.id),
        },
        Ok(None) => jobs.drop_work(work, "removed"),
        Err(fault) => log::debug!("{} job={} why=\"{fault}\"", event::STORE_CALL_LOST, work.id),
    }
}
