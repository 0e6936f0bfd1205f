//! Releases jobs when the node leaves, together with the output of unfinished runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::item::Partial;
use super::record::{self, Record};
use super::registry::Entry;
use super::shell::Jobs;
use super::work::Work;
use crate::event;
use crate::table::{Expect, Fault, Table as _, Transaction};

/// Longest time for which releasing a job is retried. After it, the other members detect that the
/// owner is gone, which takes a few seconds longer.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Bytes of unfinished output stored on release; the store accepts 1 MB in a transaction.
const MAX_PARTIAL_BYTES: usize = 400 * 1024;
/// Rows of unfinished output stored on release; the store accepts 100 in a transaction.
const MAX_PARTIAL_ROWS: usize = 80;

impl Jobs {
    /// Releases every job of this node, so that other nodes can claim them. It is called again and
    /// again, since a submission that is under way when the node begins to leave adds one later.
    pub(super) fn release(self: &Rc<Self>) {
        let works: Vec<Rc<Work>> = self.works.borrow().values().cloned().collect();
        let kept: Vec<Rc<Work>> = works
            .into_iter()
            .filter(|work| !work.releasing.replace(true))
            .collect();
        for work in &kept {
            // Their output so far stays in the partials.
            work.abort_runs();
        }
        for work in kept {
            let jobs = Rc::clone(self);
            actix_rt::spawn(async move { release_job(&jobs, &work).await });
        }
    }
}

async fn release_job(jobs: &Rc<Jobs>, work: &Rc<Work>) {
    let until = Instant::now() + RELEASE_TIMEOUT;
    while Instant::now() < until {
        // Results and failures are stored first, by a task that ends when nothing is left.
        if work.committing.get() || work.has_unstored() {
            jobs.commit(work);
            sleep(RETRY_DELAY / 4).await;
            continue;
        }
        if work.stopped.get() || work.entry.borrow().record.is_finished() {
            return;
        }
        match try_release(jobs, work).await {
            Ok(()) => {
                jobs.drop_work(work, "handed_over");
                return;
            }
            Err(fault) => {
                log::info!("{} job={} why=\"{fault}\"", event::STORE_CALL_LOST, work.id);
                sleep(RETRY_DELAY).await;
                if let Ok(Some(entry)) = jobs.reload(&work.id).await {
                    if jobs.is_mine(&entry.record) {
                        *work.entry.borrow_mut() = entry;
                    } else {
                        jobs.drop_work(work, "handed_over");
                        return;
                    }
                }
            }
        }
    }
}

async fn try_release(jobs: &Rc<Jobs>, work: &Rc<Work>) -> Result<(), Fault> {
    let Entry { version, record } = work.entry.borrow().clone();
    let released = Record {
        owner: None,
        ..record
    };
    let key = record::key(&work.id);
    let mut transaction = Transaction::default()
        .check(key.clone(), Expect::Version(version))
        .put(key, released.encode());
    let mut bytes = 0;
    let mut rows = 0;
    for (item, partial) in work.partials.borrow().iter().enumerate() {
        let done = released.done.iter().any(|done| usize::from(*done) == item);
        let size = partial.output.len();
        let fits = size < jobs.setup.row_bytes / 2
            && bytes + size <= MAX_PARTIAL_BYTES
            && rows < MAX_PARTIAL_ROWS;
        if done || *partial == Partial::default() || !fits {
            continue;
        }
        bytes += size;
        rows += 1;
        transaction = transaction.put(record::partial(&work.id, item), record::encode(partial));
    }
    let version = jobs.setup.store.transact(transaction).await?;
    jobs.apply(&work.id, version, released);
    Ok(())
}
