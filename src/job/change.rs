//! Changes a lane's row, and finds out what became of it when an answer is
//! lost.
//!
//! A lost answer is never guessed: the row is read back, and because every
//! change can be told from the row, the change is either seen there or tried
//! again under the version just read. An earlier try that is still on its way
//! then fails on that version.

use std::time::Duration;

use super::key;
use super::lane::{Lane, Step};
use super::record::{self, Job, State};
use crate::table::{Check, Expect, Fault, Row, Table, Transaction};

/// Times that a change is tried again at once, after a collision or a lost
/// answer, before the caller is told to come back.
const TRIES: usize = 12;
/// When to come back after lost answers.
const LOST_ANSWER_WAIT: Duration = Duration::from_millis(250);

/// The job and lane to change, with the job's version as it was read.
#[derive(Clone, Debug)]
pub struct Place {
    /// The job's row.
    pub job: Job,
    /// Its version while it is active.
    pub version: u64,
    /// Which of its lanes.
    pub lane: u32,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is in the row.
    Settled,
    /// It is not and never will be: another holder has the chunk.
    Lost,
    /// It is not and never will be: the job is no longer active.
    Over,
    /// Not known yet; ask again after this long.
    Unsure(Duration),
}

/// Applies `decide` to the lane's row until its answer is certain. `known` is
/// the row as it was read last; `guard` must hold besides.
pub async fn apply<T, F>(
    table: &T,
    place: &Place,
    known: Option<Row>,
    guard: Option<&Check>,
    decide: F,
) -> Change
where
    T: Table,
    F: Fn(&Lane) -> Step,
{
    let open = place.job.open_lane(place.lane);
    let mut known = known;
    for _ in 0..TRIES {
        let row = match known.take() {
            Some(row) => row,
            None => match table.get(&open).await {
                Ok(Some(row)) => row,
                Ok(None) => return finished(table, place, decide).await,
                Err(fault) => return unsure(&fault),
            },
        };
        let Some(lane) = record::decode::<Lane>(&row.value) else {
            return Change::Lost;
        };
        let next = match decide(&lane) {
            Step::Already => return Change::Settled,
            Step::Lost => return Change::Lost,
            Step::Write(next) => next,
        };
        let mut transaction = transaction(place, &open, row.version, &next);
        transaction.checks.extend(guard.cloned());
        match table.transact(transaction).await {
            Ok(_) => return Change::Settled,
            Err(Fault::Conflict { key, .. }) if guard.is_some_and(|guard| guard.key == key) => {
                return Change::Lost;
            }
            // The cancellation that this conflict tells of may come after our
            // own change whose answer was lost, so the lane is looked at once more.
            Err(Fault::Conflict { key, .. }) if key == place.job.id().row() => {
                return over(table, place, decide).await;
            }
            Err(Fault::Conflict { .. } | Fault::Unknown) => {}
            Err(Fault::Refused { retry_after }) => return Change::Unsure(retry_after),
        }
    }
    Change::Unsure(LOST_ANSWER_WAIT)
}

/// Moves a lane of a job that is no longer active out of the index, with what
/// was committed, and returns whether it is out of it.
pub async fn close<T>(table: &T, place: &Place) -> bool
where
    T: Table,
{
    let open = place.job.open_lane(place.lane);
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
        .put(place.job.closed_lane(place.lane), record::encode(&lane));
    table.transact(transaction).await.is_ok()
}

fn transaction(place: &Place, open: &str, version: u64, next: &Lane) -> Transaction {
    let job = place.job.id().row();
    let base = Transaction::default()
        .check(open, Expect::Version(version))
        .check(&job, Expect::Version(place.version));
    if !next.is_over() {
        return base.put(open, record::encode(next));
    }
    let moved = base
        .delete(open)
        .put(place.job.closed_lane(place.lane), record::encode(next));
    if place.job.lanes > 1 {
        return moved;
    }
    // A job of one lane ends in the same transaction, so that the many small
    // jobs cost no further look at their rows.
    let ended = Job {
        state: State::Ended,
        ..place.job.clone()
    };
    moved.put(job, record::encode(&ended))
}

async fn finished<T, F>(table: &T, place: &Place, decide: F) -> Change
where
    T: Table,
    F: Fn(&Lane) -> Step,
{
    match table.get(&place.job.closed_lane(place.lane)).await {
        Ok(row) => match row.and_then(|row| record::decode::<Lane>(&row.value)) {
            Some(lane) if decide(&lane) == Step::Already => Change::Settled,
            _ => Change::Lost,
        },
        Err(fault) => unsure(&fault),
    }
}

async fn over<T, F>(table: &T, place: &Place, decide: F) -> Change
where
    T: Table,
    F: Fn(&Lane) -> Step,
{
    let open = place.job.open_lane(place.lane);
    match table.get(&open).await {
        Ok(Some(row)) => match record::decode::<Lane>(&row.value) {
            Some(lane) if decide(&lane) == Step::Already => Change::Settled,
            _ => Change::Over,
        },
        Ok(None) => match finished(table, place, decide).await {
            Change::Lost => Change::Over,
            change => change,
        },
        Err(fault) => unsure(&fault),
    }
}

fn unsure(fault: &Fault) -> Change {
    Change::Unsure(wait(fault))
}

/// When to come back after a fault.
pub fn wait(fault: &Fault) -> Duration {
    match fault {
        Fault::Refused { retry_after } => *retry_after,
        Fault::Conflict { .. } | Fault::Unknown => LOST_ANSWER_WAIT,
    }
}

/// Ends a job of several lanes when none is open any more, and returns its
/// state as the row has it afterwards.
///
/// Whoever commits a lane's last chunk calls this; when that node is lost
/// before it does, whoever asks for the job's status does. There is no counter
/// row that all holders would have to change.
///
/// # Errors
/// [`Fault::Refused`] or [`Fault::Unknown`] when the table can't be asked now.
pub async fn end<T>(table: &T, job: &Job, version: u64) -> Result<State, Fault>
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
        // Another ended or cancelled it, or our own answer was lost.
        Err(Fault::Conflict { .. } | Fault::Unknown) => {
            let row = table.get(&row).await?;
            let job = row.and_then(|row| record::decode::<Job>(&row.value));
            Ok(job.map_or(State::Active, |job| job.state))
        }
    }
}

/// Whose lease must be unchanged for a chunk to be taken over.
pub fn guard(session: &str, version: Option<u64>) -> Check {
    Check {
        key: key::session(session),
        expect: version.map_or(Expect::Absent, Expect::Version),
    }
}
