//! Services of the platform: a transactional table, an object store, a list of
//! VMs and a weight store, each behind a small trait.
//!
//! A change has one of three outcomes: it took effect, it certainly did not, or
//! its answer was lost and it may have taken effect. The error type distinguishes
//! the last two, because exactly-once processing depends on it; see
//! docs/design/table.md.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::clock::Uptime;
use crate::name::Name;

pub mod fault;
pub mod http;
pub mod memory;
pub mod protocol;
pub mod size;

/// A row of the table. Keys sort by their bytes and have parts separated by `/`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Incremented with every change of the row; never 0.
    pub version: u64,
    /// Value as written.
    pub value: Bytes,
}

/// Condition on a row for a transaction to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(u64),
    /// The row exists with any version.
    Present,
}

/// A condition on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The condition.
    pub expect: Expect,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Inserts or replaces the row.
    Put {
        /// The row's key.
        key: String,
        /// New value of the row.
        value: Bytes,
    },
    /// Removes the row if it exists.
    Delete {
        /// The row's key.
        key: String,
    },
}

impl Write {
    /// Returns the key of the row that is changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// Changes that take effect atomically if every check holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions on rows.
    pub checks: Vec<Check>,
    /// Changes of rows.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn check<K>(mut self, key: K, expect: Expect) -> Self
    where
        K: Into<String>,
    {
        self.checks.push(Check {
            key: key.into(),
            expect,
        });
        self
    }

    /// Adds an insert or a replacement.
    #[must_use]
    pub fn put<K, V>(mut self, key: K, value: V) -> Self
    where
        K: Into<String>,
        V: Into<Bytes>,
    {
        self.writes.push(Write::Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn delete<K>(mut self, key: K) -> Self
    where
        K: Into<String>,
    {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// An error of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A check failed; nothing changed. Contains the first key whose check failed
    /// and its current version, 0 if the row is absent.
    Conflict {
        /// The key whose check failed.
        key: String,
        /// Current version of the row.
        version: u64,
    },
    /// Refused before any effect, because the platform is throttled or
    /// unreachable. Retry later.
    Refused {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The answer was lost; the change may or may not have taken effect.
    Unknown,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { key, version } => {
                write!(
                    f,
                    "row {key} has version {version} instead of the expected one"
                )
            }
            Self::Refused { retry_after } => write!(
                f,
                "the platform refused the operation; retry after {} ms",
                retry_after.as_millis()
            ),
            Self::Unknown => f.write_str("the platform's answer was lost"),
        }
    }
}

impl std::error::Error for Fault {}

/// One page of a scan.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// True if more rows follow the last one.
    pub more: bool,
}

/// The transactional table. It sustains several hundred writes and about two
/// thousand reads per second for the whole fleet, and has outages.
pub trait Table {
    /// Applies the transaction atomically and returns the version given to every
    /// row that it put.
    ///
    /// # Errors
    /// [`Fault`]; only [`Fault::Unknown`] leaves open whether it took effect.
    async fn transact(&self, transaction: Transaction) -> Result<u64, Fault>;

    /// Reads one row; reads reflect every committed change.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`] if it cannot be read.
    async fn get(&self, key: &str) -> Result<Option<Row>, Fault>;

    /// Reads up to `limit` rows whose key starts with `prefix` and sorts after
    /// `after`, in key order. A page counts as one read per 100 rows.
    ///
    /// # Errors
    /// As for [`Table::get`].
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Fault>;
}

/// All rows of one table as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The rows; each key omits the table's name.
    pub rows: Vec<Row>,
    /// The newest version reflected in the rows.
    pub version: u64,
    /// The store's monotonic clock, in milliseconds.
    pub clock: u64,
    /// Time at which the request was sent to the store; the rows reflect
    /// everything committed until then.
    pub asked: Option<Uptime>,
}

/// The first rows of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FirstPage {
    /// The rows read.
    pub snapshot: Snapshot,
    /// True if these are all rows.
    pub is_whole: bool,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the row without the table's name.
    pub key: String,
    /// Version that the change gave to the row.
    pub version: u64,
    /// New value; `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// Changes of a table since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Changes in the order in which they were made.
    pub changes: Vec<Change>,
    /// Version to continue from.
    pub version: u64,
    /// The store's monotonic clock at its answer, in milliseconds.
    pub clock: u64,
    /// Age of the store's answer; not zero if another node forwarded it.
    pub age: Duration,
    /// How long ago the store last failed to answer the node that forwarded this.
    pub failed_ago: Option<Duration>,
    /// How long before forwarding the request was sent to the store; `None` if
    /// the store answered directly.
    #[serde(default)]
    pub asked_ago: Option<Duration>,
    /// Time at which the request was sent to the store, by this VM's clock; these
    /// are all changes committed until then. The time of the answer would be too
    /// late, since a change may be committed between the store's read and the
    /// arrival of its answer.
    #[serde(skip)]
    pub asked: Option<Uptime>,
}

/// Reason why a feed returned no changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The history before that version was dropped; take a new snapshot.
    Gone,
    /// The store did not answer or failed.
    Fault(Fault),
}

/// Follows a table, so that a node learns of changes without reading it
/// repeatedly. docs/design/table.md describes how gaps and stale answers are
/// handled.
pub trait Feed {
    /// Reads the whole table.
    ///
    /// # Errors
    /// As for [`Table::get`].
    async fn snapshot(&self, table: &str) -> Result<Snapshot, Fault>;

    /// Reads as many rows as one call returns, for a node that has none yet.
    ///
    /// # Errors
    /// As for [`Table::get`].
    async fn first_page(&self, table: &str) -> Result<FirstPage, Fault> {
        let snapshot = self.snapshot(table).await?;
        Ok(FirstPage {
            snapshot,
            is_whole: true,
        })
    }

    /// Waits up to `wait` for changes after `version`.
    ///
    /// # Errors
    /// [`FeedError::Gone`] if the changes are no longer available.
    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Changes, FeedError>;
}

/// The object store. Objects are immutable, and their names must be unique.
pub trait Store {
    /// Stores an object; storing the same name again replaces it.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`].
    async fn put(&self, name: &str, value: Bytes) -> Result<(), Fault>;

    /// Reads an object; `None` if it is absent.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`].
    async fn get(&self, name: &str) -> Result<Option<Bytes>, Fault>;

    /// Removes an object if it exists.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`].
    async fn delete(&self, name: &str) -> Result<(), Fault>;
}

/// A VM on the platform's list, which lags behind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the node.
    pub name: Name,
    /// Address for requests from other nodes, as ip:port.
    pub link: Name,
    /// Address for control messages from other nodes, as ip:port.
    pub control: Name,
    /// Address for callers, as ip:port.
    pub address: Name,
    /// Availability zone.
    pub zone: Name,
    /// True if the platform is about to remove the VM.
    pub leaving: bool,
}

/// The platform's list of VMs, which lags by seconds.
pub trait Roster {
    /// Reads the list.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`].
    async fn list(&self) -> Result<Vec<Vm>, Fault>;
}

/// The rate-limited weight store, from which endpoints load models.
pub trait Weight {
    /// Requests permission to load one model now.
    ///
    /// # Errors
    /// [`Fault::Refused`] with a retry delay, or [`Fault::Unknown`].
    async fn admit(&self, model: &str) -> Result<(), Fault>;
}
