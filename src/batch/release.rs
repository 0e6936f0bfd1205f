//! Handing jobs over when the node leaves, with what unfinished runs brought.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::item::Partial;
use super::ledger::Entry;
use super::record::{self, Record};
use super::shell::Jobs;
use super::work::Work;
use crate::event;
use crate::table::{Expect, Fault, Table as _, Transaction};

/// How long handing over is tried; after it the members see that the owner is
/// gone, which takes a few seconds longer.
const LIMIT: Duration = Duration::from_secs(4);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(150);
/// Bytes of unfinished output that go along; the store takes 1 MB at once.
const PARTIAL_BYTES: usize = 400 * 1024;
/// Rows of unfinished output that go along; the store takes 100 at once.
const PARTIAL_ROWS: usize = 80;

impl Jobs {
    /// Gives every job of this node to whoever takes it.
    pub(super) fn release(self: &Rc<Self>) {
        let works: Vec<Rc<Work>> = self.works.borrow().values().cloned().collect();
        for work in &works {
            // Ends the runs; what they brought stays in the partials.
            work.pause();
        }
        for work in works {
            let jobs = Rc::clone(self);
            actix_rt::spawn(async move { hand_over(&jobs, &work).await });
        }
    }
}

async fn hand_over(jobs: &Rc<Jobs>, work: &Rc<Work>) {
    let until = Instant::now() + LIMIT;
    while Instant::now() < until {
        // Results and failures first; the task that stores them ends by itself.
        if work.committing.get() || work.has_news() {
            jobs.commit(work);
            sleep(PAUSE / 4).await;
            continue;
        }
        if work.stopped.get() || work.entry.borrow().record.is_over() {
            return;
        }
        match try_hand_over(jobs, work).await {
            Ok(()) => {
                jobs.drop_work(work, "handed_over");
                return;
            }
            Err(fault) => {
                log::info!("{} job={} why=\"{fault}\"", event::STORE_CALL_LOST, work.id);
                sleep(PAUSE).await;
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

async fn try_hand_over(jobs: &Rc<Jobs>, work: &Rc<Work>) -> Result<(), Fault> {
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
        let fits =
            size < jobs.setup.row_bytes / 2 && bytes + size <= PARTIAL_BYTES && rows < PARTIAL_ROWS;
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
