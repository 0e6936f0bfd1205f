//! Cancels jobs.

use super::accept::{self, Jobs};
use super::change::{self, Target};
use super::key::Id;
use super::record::{self, Job, State};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::table::{Expect, Fault, Store, Table, Transaction};

/// Immediate attempts after lost answers or conflicts.
const MAX_ATTEMPTS: usize = 5;

impl<T, S> Jobs<T, S>
where
    T: Table,
    S: Store,
{
    /// Cancels a job and returns its final state: [`State::Cancelled`], or [`State::Ended`] if its
    /// last commit came first.
    ///
    /// Claims and commits check the version of the job's row, so none of them takes effect after
    /// the change. Holders are notified by push, or detect it by their own check; docs/BATCH.md
    /// states the bound.
    ///
    /// While the platform cannot be reached, the answer is `NotRun`. If the answer was lost and the
    /// row cannot be read back, it is `MayHaveRun`.
    pub async fn cancel(&self, id: &Id) -> Outcome<State> {
        let mut lost = false;
        for _ in 0..MAX_ATTEMPTS {
            let (job, version) = match self.load_job(id).await {
                Ok(Some(found)) => found,
                Ok(None) => return Outcome::NotRun(Refusal::new(Reason::UnknownJob)),
                Err(fault) => return refuse(lost, &fault),
            };
            match change::end_if_complete(&self.table, &job, version).await {
                Ok(State::Active) => {}
                Ok(state) => return Outcome::Done(state),
                Err(fault) => return refuse(lost, &fault),
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
                    self.close_lanes(job, version).await;
                    return Outcome::Done(State::Cancelled);
                }
                // Reading the row again resolves both.
                Err(Fault::Conflict { .. }) => {}
                Err(Fault::Unknown) => lost = true,
                Err(fault) => return refuse(lost, &fault),
            }
        }
        refuse(lost, &Fault::Unknown)
    }

    /// Removes the lanes from the index, as far as the platform allows. Nodes that find a remaining
    /// one remove it too.
    async fn close_lanes(&self, job: Job, version: u64) {
        for lane in 0..job.lanes {
            let target = Target {
                job: job.clone(),
                version,
                lane,
            };
            change::close(&self.table, &target).await;
        }
    }

    /// Reads the job's row and its version.
    pub(super) async fn load_job(&self, id: &Id) -> Result<Option<(Job, u64)>, Fault> {
        let row = self.table.get(&id.row()).await?;
        Ok(row.and_then(|row| Some((record::decode(&row.value)?, row.version))))
    }
}

fn refuse(lost: bool, fault: &Fault) -> Outcome<State> {
    let refusal = accept::platform_refusal(fault);
    if lost {
        let message =
            "the platform did not confirm the cancellation; cancel the job again to get its state";
        return Outcome::MayHaveRun(refusal.with_message(message));
    }
    Outcome::NotRun(refusal)
}
