//! Accepts jobs, exactly once for each key.

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
/// Longest prompt of an item.
pub const MAX_PROMPT_BYTES: usize = 256 * 1024;
/// Due time of a job whose caller gives none.
const DEFAULT_DUE: Duration = Duration::from_secs(24 * 3_600);
/// Immediate retries of a step after lost answers.
const MAX_RETRIES: usize = 5;
/// A refusal with a shorter delay than this comes from the write limit and not from an outage.
const MAX_THROTTLE_WAIT: Duration = Duration::from_millis(250);
/// Number of times that one write waits for the write limit.
const MAX_THROTTLE_RETRIES: usize = 100;
/// Retry delay sent to the caller after a lost answer.
const LOST_ANSWER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A job as submitted by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The service that processes the items.
    pub service: Name,
    /// The organisation that submits the job.
    pub organisation: Name,
    /// The caller's idempotency key.
    pub key: Name,
    /// Items to process.
    pub items: Vec<Item>,
    /// Time from now until the job is due; zero means a day.
    pub due: Duration,
    /// True if each item must run at most once.
    pub once: bool,
}

/// A job that is stored in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Identity of the job.
    pub job: Id,
    /// Number of items.
    pub items: u32,
    /// True if a job with its key was accepted before.
    pub resent: bool,
}

/// Operations that callers may call on jobs. Cheap to clone if `T` and `S` are.
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
    /// Creates a service on that table and store.
    pub const fn new(table: T, store: S) -> Self {
        Self { table, store }
    }

    /// Accepts a job by one transaction that registers it under the caller's key. Its items are in
    /// the store before that, so that losing this node right afterwards loses nothing.
    ///
    /// While the platform cannot be reached, the answer is `NotRun` with a retry delay. If the
    /// answer to the registration was lost and the row cannot be read back either, it is
    /// `MayHaveRun`; submitting the job again with its key is safe.
    pub async fn submit(&self, now_unix_ms: u64, submission: Submission) -> Outcome<Accepted> {
        if let Err(refusal) = check(&submission) {
            return Outcome::NotRun(refusal);
        }
        let job = job(now_unix_ms, &submission);
        let row = job.id().row();
        match self.table.get(&row).await {
            Ok(Some(row)) => return match_existing(&job, &row.value, true),
            Ok(None) => {}
            Err(fault) => return Outcome::NotRun(platform_refusal(&fault)),
        }
        if let Err(fault) = self.upload(&job, &submission.items).await {
            return Outcome::NotRun(platform_refusal(&fault));
        }
        self.register(&job, &row).await
    }

    async fn upload(&self, job: &Job, items: &[Item]) -> Result<(), Fault> {
        let id = job.id();
        for (chunk, items) in (0..).zip(items.chunks(job.chunk as usize)) {
            let name = id.items(&job.digest, chunk);
            self.put_object(&name, &record::encode(&items)).await?;
        }
        Ok(())
    }

    /// Stores an object. Storing the same content again is harmless.
    async fn put_object(&self, name: &str, value: &bytes::Bytes) -> Result<(), Fault> {
        let mut lost = 0;
        for _ in 0..MAX_THROTTLE_RETRIES {
            match self.store.put(name, value.clone()).await {
                Err(Fault::Unknown) if lost < MAX_RETRIES => lost += 1,
                // Write limit reached: a large job has more objects than can be written in a
                // second, and could never be accepted if a refusal ended the submission.
                Err(Fault::Refused { retry_after }) if retry_after < MAX_THROTTLE_WAIT => {
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
            let span = job.chunk_range(lane);
            let lane = (job.open_lane(lane), Lane::new(span.start, span.end));
            transaction = transaction.put(lane.0, record::encode(&lane.1));
        }
        let mut lost_answers = 0;
        for _ in 0..MAX_THROTTLE_RETRIES {
            match self.table.transact(transaction.clone()).await {
                Ok(_) => return Outcome::Done(accepted(job, false)),
                Err(Fault::Unknown) if lost_answers < MAX_RETRIES => lost_answers += 1,
                Err(Fault::Refused { retry_after }) if retry_after < MAX_THROTTLE_WAIT => {
                    tokio::time::sleep(retry_after).await;
                }
                Err(Fault::Refused { retry_after }) if lost_answers == 0 => {
                    return Outcome::NotRun(platform_refusal(&Fault::Refused { retry_after }));
                }
                Err(Fault::Unknown | Fault::Refused { .. }) => break,
                // The key exists: written by an earlier attempt whose answer was lost, by a
                // resubmission to another node, or by a job with different content.
                Err(Fault::Conflict { .. }) => match self.table.get(row).await {
                    Ok(Some(row)) => return match_existing(job, &row.value, lost_answers == 0),
                    Ok(None) | Err(_) => lost_answers += 1,
                },
            }
        }
        let refusal = Refusal::new(Reason::Platform)
            .after(LOST_ANSWER_RETRY_AFTER)
            .with_message(
                "the platform did not confirm the job; submit it again with the same key",
            );
        Outcome::MayHaveRun(refusal)
    }
}

/// Refusal for a fault of the platform.
pub(super) fn platform_refusal(fault: &Fault) -> Refusal {
    Refusal::new(Reason::Platform).after(change::retry_after(fault))
}

fn check(submission: &Submission) -> Result<(), Refusal> {
    let names = [
        &submission.service,
        &submission.organisation,
        &submission.key,
    ];
    if let Some(name) = names.into_iter().find(|name| !name::is_valid(name)) {
        let message = format!(
            "{name:?} is not a valid name; use 1 to {} letters, digits, '-', '_', '.' or ':'",
            name::MAX_LEN
        );
        return Err(Refusal::new(Reason::Invalid).with_message(message));
    }
    if submission.items.is_empty() {
        return Err(
            Refusal::new(Reason::Invalid).with_message("the job has no items; submit at least one")
        );
    }
    if submission.items.len() > MAX_ITEMS {
        let message =
            format!("a job may have at most {MAX_ITEMS} items; split it into several jobs");
        return Err(Refusal::new(Reason::TooLarge).with_message(message));
    }
    let long = |item: &Item| item.prompt.len() > MAX_PROMPT_BYTES;
    if let Some(number) = submission.items.iter().position(long) {
        let message = format!(
            "the prompt of item {number} is longer than {MAX_PROMPT_BYTES} bytes; shorten it"
        );
        return Err(Refusal::new(Reason::TooLarge).with_message(message));
    }
    check_unique_keys(&submission.items)
}

fn check_unique_keys(items: &[Item]) -> Result<(), Refusal> {
    let mut keys: Vec<&str> = items.iter().map(|item| &*item.key).collect();
    keys.retain(|key| !key.is_empty());
    keys.sort_unstable();
    match keys.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => {
            let message = format!(
                "two items have the key {:?}; give each item a unique key",
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
        DEFAULT_DUE
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

/// Hash of the job's content. The due time is left out, because a resubmission counts it from a
/// later moment.
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

fn match_existing(wanted: &Job, bytes: &[u8], resent: bool) -> Outcome<Accepted> {
    let Some(found) = record::decode::<Job>(bytes) else {
        return Outcome::NotRun(Refusal::new(Reason::Internal));
    };
    if found.digest == wanted.digest {
        return Outcome::Done(accepted(&found, resent));
    }
    let message = "this key belongs to a job with different content; choose another key";
    Outcome::NotRun(Refusal::new(Reason::Conflict).with_message(message))
}

fn accepted(job: &Job, resent: bool) -> Accepted {
    Accepted {
        job: job.id(),
        items: job.items,
        resent,
    }
}
