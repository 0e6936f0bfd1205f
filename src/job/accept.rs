//! Accepts jobs, once for each key.

use std::time::Duration;

use sha2::{Digest, Sha256};

use super::change;
use super::key::{self, Id};
use super::lane::Lane;
use super::record::{self, Item, Job, State};
use crate::name::{self, Name};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::table::{Expect, Fault, Store, Table, Transaction};

/// Most items of a job.
pub const MAX_ITEMS: usize = 1_000_000;
/// Longest prompt of an item, in bytes.
pub const MAX_PROMPT_BYTES: usize = 256 * 1024;
/// When a job is due if its caller does not say.
const DUE: Duration = Duration::from_secs(24 * 3_600);
/// Times that a step is tried again at once after a lost answer.
const TRIES: usize = 5;
/// A refusal that asks for less than this is the write limit and not an outage.
const THROTTLED: Duration = Duration::from_millis(250);
/// Times that one object waits for the write limit.
const MAX_THROTTLED: usize = 100;
/// When to come back after an answer was lost.
const LOST_ANSWER_WAIT: Duration = Duration::from_secs(1);

/// A job as its caller asks for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The service that must answer its items.
    pub service: Name,
    /// Who asks.
    pub organisation: Name,
    /// The caller's identity of the job.
    pub key: Name,
    /// The items.
    pub items: Vec<Item>,
    /// Due this long from now; zero means a day.
    pub due: Duration,
    /// True when each item must run at most once.
    pub once: bool,
}

/// A job that is in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Its identity.
    pub job: Id,
    /// Number of its items.
    pub items: u32,
    /// True when its key was accepted before.
    pub resent: bool,
}

/// What callers can ask about jobs. Cheap to clone when `T` and `S` are.
#[derive(Clone, Debug)]
pub struct Jobs<T, S> {
    pub(super) table: T,
    pub(super) store: S,
}

impl<T, S> Jobs<T, S>
where
    T: Table,
    S: Store,
{
    /// Serves callers from that table and store.
    pub const fn new(table: T, store: S) -> Self {
        Self { table, store }
    }

    /// Accepts a job. It is accepted when one transaction has registered it
    /// under the caller's key; its items are in the store before that, so that
    /// the loss of this node right afterwards loses nothing.
    ///
    /// Refused as not run, with when to come back, while the platform can't be
    /// reached. When the answer to the registration was lost and can't be read
    /// back either, it says that it may have been accepted; sending it again with
    /// its key is safe.
    pub async fn submit(&self, now_unix_ms: u64, submission: Submission) -> Outcome<Accepted> {
        if let Err(refusal) = check(&submission) {
            return Outcome::NotRun(refusal);
        }
        let job = job(now_unix_ms, &submission);
        let row = job.id().row();
        match self.table.get(&row).await {
            Ok(Some(row)) => return compare(&job, &row.value, true),
            Ok(None) => {}
            Err(fault) => return Outcome::NotRun(platform(&fault)),
        }
        if let Err(fault) = self.upload(&job, &submission.items).await {
            return Outcome::NotRun(platform(&fault));
        }
        self.register(&job, &row).await
    }

    async fn upload(&self, job: &Job, items: &[Item]) -> Result<(), Fault> {
        let id = job.id();
        for (chunk, items) in (0..).zip(items.chunks(job.chunk as usize)) {
            let name = id.items(&job.digest, chunk);
            self.keep(&name, &record::encode(&items)).await?;
        }
        Ok(())
    }

    /// Stores an object; storing the same content twice is harmless.
    async fn keep(&self, name: &str, value: &bytes::Bytes) -> Result<(), Fault> {
        let mut lost = 0;
        for _ in 0..MAX_THROTTLED {
            match self.store.put(name, value.clone()).await {
                Err(Fault::Unknown) if lost < TRIES => lost += 1,
                // The write limit: a large job has more objects than fit into a
                // second, and would never be accepted if each refusal ended it.
                Err(Fault::Refused { retry_after }) if retry_after < THROTTLED => {
                    tokio::time::sleep(retry_after).await;
                }
                other => return other,
            }
        }
        Err(Fault::Unknown)
    }

    async fn register(&self, job: &Job, row: &str) -> Outcome<Accepted> {
        let mut transaction = Transaction::default()
            .check(row, Expect::Absent)
            .put(row, record::encode(job));
        for lane in 0..job.lanes {
            let span = job.span(lane);
            let lane = (job.open_lane(lane), Lane::new(span.start, span.end));
            transaction = transaction.put(lane.0, record::encode(&lane.1));
        }
        let mut doubts = 0;
        for _ in 0..MAX_THROTTLED {
            match self.table.transact(transaction.clone()).await {
                Ok(_) => return Outcome::Done(accepted(job, false)),
                Err(Fault::Unknown) if doubts < TRIES => doubts += 1,
                Err(Fault::Refused { retry_after }) if retry_after < THROTTLED => {
                    tokio::time::sleep(retry_after).await;
                }
                Err(Fault::Refused { retry_after }) if doubts == 0 => {
                    return Outcome::NotRun(platform(&Fault::Refused { retry_after }));
                }
                Err(Fault::Unknown | Fault::Refused { .. }) => break,
                // The key is taken: by our own try whose answer was lost, by a
                // resend to another node, or by another content.
                Err(Fault::Conflict { .. }) => match self.table.get(row).await {
                    Ok(Some(row)) => return compare(job, &row.value, doubts == 0),
                    Ok(None) | Err(_) => doubts += 1,
                },
            }
        }
        let refusal = Refusal::new(Reason::Platform)
            .after(LOST_ANSWER_WAIT)
            .with_message("the platform's answer was lost; send the job again with the same key");
        Outcome::MayHaveRun(refusal)
    }
}

/// The refusal for a fault of the platform.
pub(super) fn platform(fault: &Fault) -> Refusal {
    Refusal::new(Reason::Platform).after(change::wait(fault))
}

fn check(submission: &Submission) -> Result<(), Refusal> {
    let names = [
        &submission.service,
        &submission.organisation,
        &submission.key,
    ];
    if let Some(name) = names.into_iter().find(|name| !name::is_valid(name)) {
        let message = format!(
            "{name:?} can't be a name: use 1 to {} letters, digits, '-', '_', '.' or ':'",
            name::MAX_LEN
        );
        return Err(Refusal::new(Reason::Invalid).with_message(message));
    }
    if submission.items.is_empty() {
        return Err(Refusal::new(Reason::Invalid).with_message("a job needs at least one item"));
    }
    if submission.items.len() > MAX_ITEMS {
        let message = format!("a job may have {MAX_ITEMS} items; split it");
        return Err(Refusal::new(Reason::TooLarge).with_message(message));
    }
    let long = |item: &Item| item.prompt.len() > MAX_PROMPT_BYTES;
    if let Some(number) = submission.items.iter().position(long) {
        let message = format!("item {number} has a prompt above {MAX_PROMPT_BYTES} bytes");
        return Err(Refusal::new(Reason::TooLarge).with_message(message));
    }
    distinct(&submission.items)
}

fn distinct(items: &[Item]) -> Result<(), Refusal> {
    let mut keys: Vec<&str> = items.iter().map(|item| &*item.key).collect();
    keys.retain(|key| !key.is_empty());
    keys.sort_unstable();
    match keys.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => {
            let message = format!(
                "two items have the key {:?}; keys name one item each",
                pair[0]
            );
            Err(Refusal::new(Reason::Invalid).with_message(message))
        }
        None => Ok(()),
    }
}

fn job(now_unix_ms: u64, submission: &Submission) -> Job {
    let items = u32::try_from(submission.items.len()).unwrap_or(u32::MAX);
    let chunk = record::chunk_len(items);
    let due = if submission.due.is_zero() {
        DUE
    } else {
        submission.due
    };
    Job {
        service: submission.service.clone(),
        organisation: submission.organisation.clone(),
        key: submission.key.clone(),
        digest: digest(submission),
        items,
        chunk,
        lanes: record::lanes(items.div_ceil(chunk)),
        accepted_at_ms: now_unix_ms,
        due_at_ms: now_unix_ms + u64::try_from(due.as_millis()).unwrap_or(u64::MAX / 2),
        once: submission.once,
        state: State::Active,
    }
}

/// Hash of what the caller wants done. The due time is left out, because a
/// caller who sends a job again counts it from another moment.
fn digest(submission: &Submission) -> Name {
    let mut hash = Sha256::new();
    hash.update(submission.service.as_bytes());
    hash.update([0, u8::from(submission.once)]);
    for item in &submission.items {
        for part in [&item.key, &item.prompt] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(item.max_tokens.to_le_bytes());
    }
    key::hex(&hash.finalize(), 32).into()
}

fn compare(wanted: &Job, bytes: &[u8], resent: bool) -> Outcome<Accepted> {
    let Some(found) = record::decode::<Job>(bytes) else {
        return Outcome::NotRun(Refusal::new(Reason::Internal));
    };
    if found.digest == wanted.digest {
        return Outcome::Done(accepted(&found, resent));
    }
    let message = "this key is taken by a job with other content; choose another key";
    Outcome::NotRun(Refusal::new(Reason::Conflict).with_message(message))
}

fn accepted(job: &Job, resent: bool) -> Accepted {
    Accepted {
        job: job.id(),
        items: job.items,
        resent,
    }
}
