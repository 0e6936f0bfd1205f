//! Commits a change in one conditional transaction, and reads back its outcome if
//! the answer is lost.

use std::time::Duration;

use super::check::Problem;
use super::row::{self, Change, DOCUMENT_KEY, MAX_HISTORY_ROWS, POINTER_KEY, Pointer};
use super::{Document, diff};
use crate::member::{State, View};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::table::{Expect, Fault, Table, Transaction};

/// Attempts to commit or read back before the outcome of the change is reported
/// as unknown.
const MAX_ATTEMPTS: u32 = 6;
/// Delay between attempts, so that a throttled table is not loaded further.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(150);
/// Retry delay if the platform gave none.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A change requested by an operator.
#[derive(Clone, Debug)]
pub struct Request {
    /// Version that it is based on; 0 if there was none.
    pub expect: u64,
    /// The new document; its version is ignored.
    pub document: Document,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub note: String,
    /// Random identifier of this change.
    pub id: u64,
    /// Wall-clock time in milliseconds since 1970, for display only.
    pub at_ms: u64,
    /// Validate and compare only.
    pub dry_run: bool,
}

/// A change that was accepted, or would be in a dry run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The committed document with its version or, in a dry run, the current one.
    pub document: Document,
    /// One line for each difference.
    pub diff: Vec<String>,
}

/// Reason why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The document is invalid; nothing changed.
    Invalid(Vec<Problem>),
    /// The configuration was changed concurrently; nothing changed.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The platform refused the change; nothing changed.
    Refused {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// Too few nodes acknowledged the change; nothing changed.
    Isolated,
    /// The platform's answer was lost, and reading back failed as well.
    Unknown,
}

impl Error {
    /// Converts the error into the outcome that is returned to callers.
    pub fn into_outcome<T>(self) -> Outcome<T> {
        match self {
            Self::Invalid(problems) => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                Outcome::NotRun(Refusal::new(Reason::Invalid).with_message(lines.join("\n")))
            }
            Self::Conflict { current } => {
                Outcome::NotRun(Refusal::new(Reason::Conflict).with_message(format!(
                    "the current version is {current}; read it and try again"
                )))
            }
            Self::Refused { retry_after } => {
                Outcome::NotRun(Refusal::new(Reason::Platform).after(retry_after))
            }
            Self::Isolated => {
                Outcome::NotRun(Refusal::new(Reason::NotReady).with_message(
                    "this node reaches fewer than half of the others; use another one",
                ))
            }
            Self::Unknown => Outcome::MayHaveRun(
                Refusal::new(Reason::Platform)
                    .after(RETRY_AFTER)
                    .with_message("the change may have been accepted; check the history"),
            ),
        }
    }
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Refused { retry_after } => Self::Refused { retry_after },
            // A read has no effect, so a lost answer is a refusal.
            Fault::Unknown | Fault::Conflict { .. } => Self::Refused {
                retry_after: RETRY_AFTER,
            },
        }
    }
}

/// Nodes that acknowledged an announcement, including the announcing node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Number of nodes that acknowledged it.
    pub acknowledged: usize,
    /// Number of nodes in the fleet.
    pub total: usize,
}

/// Announces to other nodes that a version is about to be committed.
///
/// During a platform outage, nodes continue with a configuration that cannot have
/// been superseded (see [`super::follow`]). Without the announcement, a node on
/// the smaller side of a partition that still reaches the table could commit a
/// change while the larger side, which does not reach it, mistakes the partition
/// for an outage and continues with the old configuration.
pub trait Announce {
    /// Announces the version to as many nodes as possible and returns once at
    /// least half of the fleet has acknowledged it or a few seconds have passed.
    async fn announce(&self, version: u64) -> Reach;
}

/// Weaker implementation for nodes that cannot be queried: every member that is
/// alive counts as acknowledged. It does not cover the seconds before a partition
/// is detected.
impl Announce for View {
    async fn announce(&self, _version: u64) -> Reach {
        let counted = self
            .members
            .iter()
            .filter(|member| member.state != State::Leaving);
        let alive = counted
            .clone()
            .filter(|member| member.state == State::Alive);
        Reach {
            acknowledged: alive.count(),
            total: counted.count(),
        }
    }
}

/// Current content of the table.
struct Current {
    pointer: Pointer,
    pointer_version: Option<u64>,
    document: Document,
}

/// Reads the current document; version 0 if there is none yet.
///
/// # Errors
/// [`Error::Refused`] if the table cannot be read.
pub async fn read<T>(table: &T) -> Result<Document, Error>
where
    T: Table,
{
    Ok(current(table).await?.document)
}

/// Commits or rejects a change.
///
/// # Errors
/// [`Error`]; only [`Error::Unknown`] leaves open whether it was accepted.
pub async fn apply<T, A>(table: &T, announce: &A, request: Request) -> Result<Accepted, Error>
where
    T: Table,
    A: Announce,
{
    let current = current(table).await?;
    if current.pointer.version != request.expect {
        return Err(Error::Conflict {
            current: current.pointer.version,
        });
    }
    let diff = diff::lines(&current.document, &request.document);
    if request.dry_run || diff.is_empty() {
        return Ok(Accepted {
            document: current.document,
            diff,
        });
    }
    let mut document = request.document.clone();
    document.version = request.expect + 1;
    let reach = announce.announce(document.version).await;
    if reach.acknowledged * 2 < reach.total {
        return Err(Error::Isolated);
    }
    let transaction = transaction(&current, &document, &request, diff.clone());
    commit(table, transaction, &request).await?;
    Ok(Accepted { document, diff })
}

async fn current<T>(table: &T) -> Result<Current, Error>
where
    T: Table,
{
    // The two rows may be read before and after a concurrent commit; reading them
    // again resolves the mismatch.
    for _ in 0..MAX_ATTEMPTS {
        let Some(pointer_row) = table.get(POINTER_KEY).await? else {
            return Ok(Current {
                pointer: Pointer {
                    version: 0,
                    change: 0,
                },
                pointer_version: None,
                document: Document::default(),
            });
        };
        let document_row = table.get(DOCUMENT_KEY).await?;
        let pointer = row::decode::<Pointer>(&pointer_row.value);
        let document = document_row.and_then(|found| row::decode::<Document>(&found.value));
        if let (Some(pointer), Some(document)) = (pointer, document)
            && pointer.version == document.version
        {
            return Ok(Current {
                pointer,
                pointer_version: Some(pointer_row.version),
                document,
            });
        }
    }
    Err(Error::Refused {
        retry_after: RETRY_AFTER,
    })
}

fn transaction(
    current: &Current,
    document: &Document,
    request: &Request,
    diff: Vec<String>,
) -> Transaction {
    let version = document.version;
    let pointer = Pointer {
        version,
        change: request.id,
    };
    let change = Change {
        version,
        id: request.id,
        author: request.author.clone(),
        note: request.note.clone(),
        at_ms: request.at_ms,
        diff,
    };
    let expect = current
        .pointer_version
        .map_or(Expect::Absent, Expect::Version);
    let transaction = Transaction::default()
        .check(POINTER_KEY, expect)
        .put(POINTER_KEY, row::encode(&pointer))
        .put(DOCUMENT_KEY, row::encode(document))
        .put(row::history_key(version), row::encode(&change));
    match version.checked_sub(MAX_HISTORY_ROWS) {
        None | Some(0) => transaction,
        Some(old) => transaction.delete(row::history_key(old)),
    }
}

/// Sends the transaction until its outcome is known.
///
/// Repeating it is safe: all copies require the same version of the pointer row,
/// so at most one of them takes effect, even if an earlier one was only delayed.
async fn commit<T>(table: &T, transaction: Transaction, request: &Request) -> Result<(), Error>
where
    T: Table,
{
    let mut in_doubt = false;
    let mut refused = RETRY_AFTER;
    for _ in 0..MAX_ATTEMPTS {
        match table.transact(transaction.clone()).await {
            Ok(_) => return Ok(()),
            Err(Fault::Unknown) => in_doubt = true,
            Err(Fault::Refused { retry_after }) => refused = retry_after,
            Err(Fault::Conflict { .. }) => {
                if let Some(verdict) = read_back(table, request, in_doubt).await {
                    return verdict;
                }
            }
        }
        actix_rt::time::sleep(ATTEMPT_INTERVAL).await;
    }
    if in_doubt {
        return Err(Error::Unknown);
    }
    Err(Error::Refused {
        retry_after: refused,
    })
}

/// Returns whether a conflict was caused by this change itself or by a concurrent
/// one; `None` if that cannot be read.
async fn read_back<T>(table: &T, request: &Request, in_doubt: bool) -> Option<Result<(), Error>>
where
    T: Table,
{
    let committed_version = request.expect + 1;
    if in_doubt {
        // The configuration may have changed again since, so the history is read
        // instead of the pointer.
        let found = table.get(&row::history_key(committed_version)).await.ok()?;
        let change = found.and_then(|found| row::decode::<Change>(&found.value));
        if change.is_some_and(|change| change.id == request.id) {
            return Some(Ok(()));
        }
    }
    let found = table.get(POINTER_KEY).await.ok()?;
    let pointer = found.and_then(|found| row::decode::<Pointer>(&found.value));
    let current = pointer.map_or(0, |pointer| pointer.version);
    Some(Err(Error::Conflict { current }))
}
