//! Changes a lane's row, and resolves changes whose answer was lost.
//!
//! After a lost answer the row is read again. Every change is recognisable in the row, so it is
//! either found there or tried again under the version just read. An earlier attempt that is still
//! in flight then fails on that version.

use std::time::Duration;

use super::key;
use super::lane::{Decision, Lane};
use super::record::{self, Job, State};
use crate::table::{Check, Expect, Fault, Row, Table, Transaction};

/// Immediate attempts after conflicts or lost answers, before the caller has to retry later.
const MAX_ATTEMPTS: usize = 12;
/// Retry delay after lost answers.
const LOST_ANSWER_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The job and lane to change, with the version of the job's row.
#[derive(Clone, Debug)]
pub struct Target {
    /// The job's row.
    pub job: Job,
    /// Version of the row, read while the job was active.
    pub version: u64,
    /// Index of the lane.
    pub lane: u32,
}

/// Result of a change, after lost answers were resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The change is in the row.
    Applied,
    /// The change can never take effect: another holder has the chunk.
    Superseded,
    /// The change can never take effect: the job is no longer active.
    Inactive,
    /// Not known yet; retry after this delay.
    Unknown(Duration),
}

/// Applies `decide` to the lane's row until the result is certain. `known` is the row as last read;
/// `guard` is a further condition on the write.
pub async fn apply<T, F>(
    table: &T,
    target: &Target,
    known: Option<Row>,
    guard: Option<&Check>,
    decide: F,
) -> Resolution
where
    T: Table,
    F: Fn(&Lane) -> Decision,
{
    let open = target.job.open_lane(target.lane);
    let mut known = known;
    for _ in 0..MAX_ATTEMPTS {
        let row = match known.take() {
            Some(row) => row,
            None => match table.get(&open).await {
                Ok(Some(row)) => row,
                Ok(None) => return resolve_closed(table, target, decide).await,
                Err(fault) => return unknown(&fault),
            },
        };
        let Some(lane) = record::decode::<Lane>(&row.value) else {
            return Resolution::Superseded;
        };
        let next = match decide(&lane) {
            Decision::Applied => return Resolution::Applied,
            Decision::Superseded => return Resolution::Superseded,
            Decision::Write(next) => next,
        };
        let mut transaction = transaction(target, &open, row.version, &next);
        transaction.checks.extend(guard.cloned());
        match table.transact(transaction).await {
            Ok(_) => return Resolution::Applied,
            Err(Fault::Conflict { key, .. }) if guard.is_some_and(|guard| guard.key == key) => {
                return Resolution::Superseded;
            }
            // The cancellation behind this conflict may have come after this change, whose answer
            // was lost, so the lane is read once more.
            Err(Fault::Conflict { key, .. }) if key == target.job.id().row() => {
                return resolve_inactive(table, target, decide).await;
            }
            Err(Fault::Conflict { .. } | Fault::Unknown) => {}
            Err(Fault::Refused { retry_after }) => return Resolution::Unknown(retry_after),
        }
    }
    Resolution::Unknown(LOST_ANSWER_RETRY_AFTER)
}

/// Moves a lane of a job that is no longer active out of the index, with its committed chunks.
/// Returns whether it was moved.
pub async fn close<T>(table: &T, target: &Target) -> bool
where
    T: Table,
{
    let open = target.job.open_lane(target.lane);
    let Ok(Some(row)) = table.get(&open).await else {
        return false;
    };
    let Some(mut lane) = record::decode::<Lane>(&row.value) else {
        return false;
    };
    lane.held.clear();
    lane.freed.clear();
    lane.end = lane.next;
    let transaction = Transaction::default()
        .check(&open, Expect::Version(row.version))
        .delete(&open)
        .put(target.job.closed_lane(target.lane), record::encode(&lane));
    table.transact(transaction).await.is_ok()
}

fn transaction(target: &Target, open: &str, version: u64, next: &Lane) -> Transaction {
    let job = target.job.id().row();
    let base = Transaction::default()
        .check(open, Expect::Version(version))
        .check(&job, Expect::Version(target.version));
    if !next.is_finished() {
        return base.put(open, record::encode(next));
    }
    let moved = base
        .delete(open)
        .put(target.job.closed_lane(target.lane), record::encode(next));
    if target.job.lanes > 1 {
        return moved;
    }
    // A job with one lane ends in the same transaction, which saves the many small jobs another
    // read of their rows.
    let ended = Job {
        state: State::Ended,
        ..target.job.clone()
    };
    moved.put(job, record::encode(&ended))
}

async fn resolve_closed<T, F>(table: &T, target: &Target, decide: F) -> Resolution
where
    T: Table,
    F: Fn(&Lane) -> Decision,
{
    match table.get(&target.job.closed_lane(target.lane)).await {
        Ok(row) => match row.and_then(|row| record::decode::<Lane>(&row.value)) {
            Some(lane) if decide(&lane) == Decision::Applied => Resolution::Applied,
            _ => Resolution::Superseded,
        },
        Err(fault) => unknown(&fault),
    }
}

async fn resolve_inactive<T, F>(table: &T, target: &Target, decide: F) -> Resolution
where
    T: Table,
    F: Fn(&Lane) -> Decision,
{
    let open = target.job.open_lane(target.lane);
    match table.get(&open).await {
        Ok(Some(row)) => match record::decode::<Lane>(&row.value) {
            Some(lane) if decide(&lane) == Decision::Applied => Resolution::Applied,
            _ => Resolution::Inactive,
        },
        Ok(None) => match resolve_closed(table, target, decide).await {
            Resolution::Superseded => Resolution::Inactive,
            change => change,
        },
        Err(fault) => unknown(&fault),
    }
}

fn unknown(fault: &Fault) -> Resolution {
    Resolution::Unknown(retry_after(fault))
}

/// Delay after which to retry a call that failed with `fault`.
pub fn retry_after(fault: &Fault) -> Duration {
    match fault {
        Fault::Refused { retry_after } => *retry_after,
        Fault::Conflict { .. } | Fault::Unknown => LOST_ANSWER_RETRY_AFTER,
    }
}

/// Ends a job of several lanes if no lane is open any more, and returns the state in its row
/// afterwards.
///
/// The holder that commits a lane's last chunk calls this. If it is lost before that, the next
/// status request for the job does. This needs no counter row that every holder would have to
/// change.
///
/// # Errors
/// [`Fault::Refused`] or [`Fault::Unknown`] if the table cannot be reached.
pub async fn end_if_complete<T>(table: &T, job: &Job, version: u64) -> Result<State, Fault>
where
    T: Table,
{
    if job.state != State::Active {
        return Ok(job.state);
    }
    let lanes = table.scan(&job.open_lanes(), "", 1).await?;
    if !lanes.rows.is_empty() {
        return Ok(State::Active);
    }
    let row = job.id().row();
    let ended = Job {
        state: State::Ended,
        ..job.clone()
    };
    let transaction = Transaction::default()
        .check(&row, Expect::Version(version))
        .put(&row, record::encode(&ended));
    match table.transact(transaction).await {
        Ok(_) => Ok(State::Ended),
        Err(Fault::Refused { retry_after }) => Err(Fault::Refused { retry_after }),
        // Another node ended or cancelled it, or the answer to this change was lost.
        Err(Fault::Conflict { .. } | Fault::Unknown) => {
            let row = table.get(&row).await?;
            let job = row.and_then(|row| record::decode::<Job>(&row.value));
            Ok(job.map_or(State::Active, |job| job.state))
        }
    }
}

/// Condition that the lease of `session` is unchanged, for a takeover.
pub fn guard(session: &str, version: Option<u64>) -> Check {
    Check {
        key: key::session(session),
        expect: version.map_or(Expect::Absent, Expect::Version),
    }
}
