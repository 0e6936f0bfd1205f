//! Stores outcomes and failures: the job's row and its results change in one transaction,
//! conditional on the version of the row that this node has.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::item::Outcome;
use super::record::{self, Record};
use super::registry::Entry;
use super::shell::Jobs;
use super::work::{Slot, Work};
use crate::event;
use crate::table::{Expect, Fault, Store as _, Table as _, Transaction, size};

/// Most outcomes in one transaction, so that a long one does not delay other writes.
const MAX_OUTCOMES: usize = 24;
/// Bytes that the encoding of a row may add to an output.
const ROW_OVERHEAD_BYTES: usize = 1_024;
/// Delay before an item is run again after a failure, so that a fault common to all endpoints does
/// not cause a retry storm.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before a call that the store did not answer is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);

impl Jobs {
    /// Starts a task that stores everything not stored yet, unless one is running.
    pub(super) fn commit(self: &Rc<Self>, work: &Rc<Work>) {
        if !work.has_unstored() || work.committing.replace(true) {
            return;
        }
        let (jobs, work) = (Rc::clone(self), Rc::clone(work));
        actix_rt::spawn(async move {
            while !work.stopped.get() && work.has_unstored() {
                if let Err(fault) = store(&jobs, &work).await {
                    log::info!("{} job={} why=\"{fault}\"", event::STORE_CALL_LOST, work.id);
                    sleep(STORE_RETRY_DELAY).await;
                    reconcile(&jobs, &work).await;
                }
            }
            work.committing.set(false);
            if work.entry.borrow().record.is_finished() {
                log::info!("{} job={}", event::JOB_ENDED, work.id);
                jobs.works.borrow_mut().remove(&work.id);
            }
        });
    }
}

async fn store(jobs: &Rc<Jobs>, work: &Rc<Work>) -> Result<(), Fault> {
    let Entry { version, record } = work.entry.borrow().clone();
    let unstored: Vec<(usize, Outcome)> = work
        .unstored
        .borrow()
        .iter()
        .take(MAX_OUTCOMES)
        .cloned()
        .collect();
    let mut next = record.clone();
    let key = record::key(&work.id);
    let mut transaction = Transaction::default().check(key.clone(), Expect::Version(version));
    let job_bytes = size::entry_bytes(&key, jobs.setup.row_bytes);
    for (item, outcome) in &unstored {
        let row = record::result(&work.id, next.done.len());
        let bytes = size::entry_bytes(&row, value_bytes(jobs, outcome));
        if !transaction.has_room(2, bytes + job_bytes) {
            break;
        }
        next.done.push(u16::try_from(*item).unwrap_or(u16::MAX));
        let value = encode_outcome(jobs, work, *item, outcome, record.epoch).await?;
        transaction = transaction.put(row, value);
    }
    next.failures = work.unfinished_failures(&next.done);
    transaction = transaction.put(key, next.encode());
    let version = jobs.setup.store.transact(transaction).await?;
    apply_commit(jobs, work, version, next);
    Ok(())
}

/// Returns true if an output is too long for a row.
fn needs_object(jobs: &Jobs, outcome: &Outcome) -> bool {
    outcome.output.len() + ROW_OVERHEAD_BYTES > jobs.setup.row_bytes
}

/// Returns an upper bound of the length of an outcome's row.
fn value_bytes(jobs: &Jobs, outcome: &Outcome) -> usize {
    if needs_object(jobs, outcome) {
        return ROW_OVERHEAD_BYTES;
    }
    outcome.output.len() + ROW_OVERHEAD_BYTES
}

/// Encodes an outcome as a row. An output too long for a row goes into an object of its own.
async fn encode_outcome(
    jobs: &Jobs,
    work: &Work,
    item: usize,
    outcome: &Outcome,
    epoch: u64,
) -> Result<Vec<u8>, Fault> {
    if !needs_object(jobs, outcome) {
        return Ok(record::encode(outcome));
    }
    let name = format!("result-{}-{item}-{epoch}", work.id);
    let output = Bytes::copy_from_slice(outcome.output.as_bytes());
    jobs.setup.store.put(&name, output).await?;
    let row = Outcome {
        output: String::new(),
        object: Some(name),
        object_length: Some(outcome.output.len()),
        ..outcome.clone()
    };
    Ok(record::encode(&row))
}

/// Takes `record` as the job's row and removes its outcomes from the unstored ones.
fn apply_commit(jobs: &Rc<Jobs>, work: &Rc<Work>, version: u64, record: Record) {
    let known = work.entry.borrow().record.done.len();
    for (position, item) in record.done.iter().enumerate().skip(known) {
        let item = usize::from(*item);
        let mut unstored = work.unstored.borrow_mut();
        if let Some(at) = unstored.iter().position(|(other, _)| *other == item) {
            let (_, outcome) = unstored.remove(at);
            let mut cache = jobs.cache.borrow_mut();
            cache.put(&work.id, position, Rc::new(outcome));
        }
        work.set(item, Slot::Done);
    }
    work.mark_failures_stored(&record, jobs.now() + RETRY_DELAY);
    *work.entry.borrow_mut() = Entry {
        version,
        record: record.clone(),
    };
    jobs.apply(&work.id, version, record);
    jobs.changed.notify_waiters();
}

/// Reads the row again after a change whose answer was lost or refused.
async fn reconcile(jobs: &Rc<Jobs>, work: &Rc<Work>) {
    match jobs.setup.store.get_row(&record::key(&work.id)).await {
        Ok(Some(row)) => match Record::decode(&row.value) {
            Ok(record) => {
                let epoch = work.entry.borrow().record.epoch;
                if jobs.is_mine(&record) && record.epoch == epoch {
                    apply_commit(jobs, work, row.version, record);
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
