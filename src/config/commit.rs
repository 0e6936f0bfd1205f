//! Accepting a change: one conditional transaction, and reading back when its
//! answer is lost.

use std::time::Duration;

use super::check::Problem;
use super::row::{self, Change, DOCUMENT_KEY, MAX_HISTORY_ROWS, POINTER_KEY, Pointer};
use super::{Document, diff};
use crate::member::{State, View};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::table::{Expect, Fault, Table, Transaction};

/// Tries to commit or to read back before the operator is told that the fate
/// of the change is unknown.
const TRIES: u32 = 6;
/// Pause between tries, so that a throttled table is not pressed further.
const PAUSE: Duration = Duration::from_millis(150);
/// When to come back after the platform gave no time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A change that an operator wants.
#[derive(Clone, Debug)]
pub struct Request {
    /// The version that it was made from; 0 when there was none.
    pub expect: u64,
    /// The new document; its version is of no matter.
    pub document: Document,
    /// Who makes it.
    pub author: String,
    /// Why.
    pub note: String,
    /// Identity of the change: random, and used for this change alone.
    pub id: u64,
    /// Wall-clock time in milliseconds since 1970, for people.
    pub at_ms: u64,
    /// Check and compare only.
    pub dry_run: bool,
}

/// A change that was accepted, or would be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The document with its version: the committed one, or in a dry run the
    /// one that is current.
    pub document: Document,
    /// One line for each thing that changed.
    pub diff: Vec<String>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The document is wrong; nothing changed.
    Invalid(Vec<Problem>),
    /// Somebody else changed the configuration first; nothing changed.
    Conflict {
        /// The version that is current.
        current: u64,
    },
    /// The platform refused; nothing changed.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
    /// This node hears too few others to accept a change; nothing changed.
    Isolated,
    /// The platform's answer was lost, and reading back failed as well.
    Unknown,
}

impl Error {
    /// The same as every refusal is told to those who ask.
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
            Self::Isolated => Outcome::NotRun(
                Refusal::new(Reason::NotReady)
                    .with_message("this node hears fewer than half of the others; ask another one"),
            ),
            Self::Unknown => Outcome::MayHaveRun(
                Refusal::new(Reason::Platform)
                    .after(RETRY_AFTER)
                    .with_message("the change may have been accepted; look at the history"),
            ),
        }
    }
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Refused { retry_after } => Self::Refused { retry_after },
            // A read changes nothing, whatever became of its answer.
            Fault::Unknown | Fault::Conflict { .. } => Self::Refused {
                retry_after: RETRY_AFTER,
            },
        }
    }
}

/// How much of the fleet acknowledged an announcement, the announcing node
/// included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Nodes that know of it.
    pub acknowledged: usize,
    /// Nodes that there are.
    pub total: usize,
}

/// Tells other nodes that a version is about to be committed.
///
/// During a platform outage, nodes go on by a configuration that nobody can
/// have superseded (see [`super::follow`]). Without the announcement, a node on
/// the smaller side of a cut that still reaches the table could accept a change
/// while the larger side, which does not, took the cut for an outage and went
/// on by the old configuration.
pub trait Announce {
    /// Tells as many nodes as can be reached, and returns once at least half of
    /// the fleet has acknowledged or a few seconds have passed.
    async fn announce(&self, version: u64) -> Reach;
}

/// The weaker rule for nodes that can't be asked: whoever seems alive is taken
/// to know. It leaves open the seconds in which a cut has not been noticed.
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

/// What the table holds now.
struct Current {
    pointer: Pointer,
    row_version: Option<u64>,
    document: Document,
}

/// Reads the current document; version 0 when there is none yet.
///
/// # Errors
/// [`Error::Refused`] when the table can't be read.
pub async fn read<T>(table: &T) -> Result<Document, Error>
where
    T: Table,
{
    Ok(current(table).await?.document)
}

/// Accepts or refuses a change.
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
    // The two rows may be read on either side of somebody's commit; reading
    // again settles it.
    for _ in 0..TRIES {
        let Some(pointer_row) = table.get(POINTER_KEY).await? else {
            return Ok(Current {
                pointer: Pointer {
                    version: 0,
                    change: 0,
                },
                row_version: None,
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
                row_version: Some(pointer_row.version),
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
    let expect = current.row_version.map_or(Expect::Absent, Expect::Version);
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

/// Sends the transaction until its fate is known.
///
/// Sending it again is safe: both copies demand the same version of the
/// pointer row, so that at most one of them takes effect, even when the first
/// one was only delayed.
async fn commit<T>(table: &T, transaction: Transaction, request: &Request) -> Result<(), Error>
where
    T: Table,
{
    let mut in_doubt = false;
    let mut refused = RETRY_AFTER;
    for _ in 0..TRIES {
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
        actix_rt::time::sleep(PAUSE).await;
    }
    if in_doubt {
        return Err(Error::Unknown);
    }
    Err(Error::Refused {
        retry_after: refused,
    })
}

/// After a conflict: whether it was this very change that took effect, or
/// somebody else's; nothing when that can't be read.
async fn read_back<T>(table: &T, request: &Request, in_doubt: bool) -> Option<Result<(), Error>>
where
    T: Table,
{
    let made = request.expect + 1;
    if in_doubt {
        // Others may have changed it further, so that history is asked, not
        // the pointer.
        let found = table.get(&row::history_key(made)).await.ok()?;
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
