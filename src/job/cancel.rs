//! Cancels jobs.

use super::accept::{self, Jobs};
use super::change::{self, Place};
use super::key::Id;
use super::record::{self, Job, State};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::table::{Expect, Fault, Store, Table, Transaction};

/// Times that a step is tried again at once after a lost answer or a collision.
const TRIES: usize = 5;

impl<T, S> Jobs<T, S>
where
    T: Table,
    S: Store,
{
    /// Cancels a job and returns the state that everybody sees from then on:
    /// [`State::Cancelled`], or [`State::Ended`] when its last commit was first.
    ///
    /// Claims and commits check the version of the job's row, so that from the
    /// moment of the change on none of either takes effect. Holders learn of it
    /// by push or by their own check; docs/BATCH.md states the bound.
    ///
    /// Refused as not run while the platform can't be reached. After a lost
    /// answer that can't be read back it says that it may have been cancelled.
    pub async fn cancel(&self, id: &Id) -> Outcome<State> {
        let mut lost = false;
        for _ in 0..TRIES {
            let (job, version) = match self.job(id).await {
                Ok(Some(found)) => found,
                Ok(None) => return Outcome::NotRun(Refusal::new(Reason::UnknownJob)),
                Err(fault) => return given_up(lost, &fault),
            };
            match change::end(&self.table, &job, version).await {
                Ok(State::Active) => {}
                Ok(state) => return Outcome::Done(state),
                Err(fault) => return given_up(lost, &fault),
            }
            let cancelled = Job {
                state: State::Cancelled,
                ..job.clone()
            };
            let transaction = Transaction::default()
                .check(id.row(), Expect::Version(version))
                .put(id.row(), record::encode(&cancelled));
            match self.table.transact(transaction).await {
                Ok(_) => {
                    self.sweep(job, version).await;
                    return Outcome::Done(State::Cancelled);
                }
                // Both are resolved by reading the row again.
                Err(Fault::Conflict { .. }) => {}
                Err(Fault::Unknown) => lost = true,
                Err(fault) => return given_up(lost, &fault),
            }
        }
        given_up(lost, &Fault::Unknown)
    }

    /// Takes the lanes out of the index, as far as the platform lets us; nodes
    /// that meet what is left do the same.
    async fn sweep(&self, job: Job, version: u64) {
        for lane in 0..job.lanes {
            let place = Place {
                job: job.clone(),
                version,
                lane,
            };
            change::close(&self.table, &place).await;
        }
    }

    /// The job's row and its version.
    pub(super) async fn job(&self, id: &Id) -> Result<Option<(Job, u64)>, Fault> {
        let row = self.table.get(&id.row()).await?;
        Ok(row.and_then(|row| Some((record::decode(&row.value)?, row.version))))
    }
}

fn given_up(lost: bool, fault: &Fault) -> Outcome<State> {
    let refusal = accept::platform(fault);
    if lost {
        let message = "the platform's answer was lost; cancel again to learn what became of it";
        return Outcome::MayHaveRun(refusal.with_message(message));
    }
    Outcome::NotRun(refusal)
}
