//! What the platform gives: a transactional table, an object store, a list of
//! VMs and a weight store, each behind a small trait.
//!
//! Every change may suffer the same three fates: it took effect, it certainly
//! did not, or its answer was lost after it may have taken effect. The error
//! type keeps the last two apart, because exactly-once rests on it; see
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

/// A row of the table. Keys sort by their bytes; `/` separates their parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Counts up with every change of the row; never 0.
    pub version: u64,
    /// Whatever the writer put there.
    pub value: Bytes,
}

/// What must hold of a row for a transaction to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(u64),
    /// The row exists, whatever its version.
    Present,
}

/// A condition on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// What must hold of it.
    pub expect: Expect,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Insert or replace it.
    Put {
        /// The row's key.
        key: String,
        /// Its new value.
        value: Bytes,
    },
    /// Remove it, if it is there.
    Delete {
        /// The row's key.
        key: String,
    },
}

impl Write {
    /// The key of the row that it changes.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// Changes that take effect together, and only if every check holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<Check>,
    /// What changes.
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

/// Why the platform did not do as it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A check failed; nothing changed. Names the first key that failed and
    /// its present version, 0 when the row is absent.
    Conflict {
        /// The key whose check failed.
        key: String,
        /// Its present version.
        version: u64,
    },
    /// Refused before any effect: throttled or unreachable. Come back later.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
    /// The answer was lost; the change may or may not have taken effect.
    Unknown,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { key, version } => {
                write!(f, "row {key} has version {version}, not the expected one")
            }
            Self::Refused { retry_after } => write!(
                f,
                "the platform refused; come back after {} ms",
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
    /// True when more rows follow the last one.
    pub more: bool,
}

/// The transactional table: several hundred writes and about two thousand
/// reads a second for the whole fleet, with outages.
pub trait Table {
    /// Applies the whole transaction or none of it, and returns the version
    /// given to every row it put.
    ///
    /// # Errors
    /// [`Fault`]; only [`Fault::Unknown`] leaves open whether it took effect.
    async fn transact(&self, transaction: Transaction) -> Result<u64, Fault>;

    /// Reads one row; reads see every committed change.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`] when it can't be read now.
    async fn get(&self, key: &str) -> Result<Option<Row>, Fault>;

    /// Reads up to `limit` rows whose key starts with `prefix` and sorts after
    /// `after`, in key order. One page counts as one read for each 100 rows.
    ///
    /// # Errors
    /// As for [`Table::get`].
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Fault>;
}

/// Every row of one table as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The rows; each key is the part behind the table's name.
    pub rows: Vec<Row>,
    /// The newest version that the rows reflect.
    pub version: u64,
    /// The store's own steady clock, in milliseconds.
    pub clock: u64,
    /// When the store was asked: the rows reflect all that it had then.
    pub asked: Option<Uptime>,
}

/// One row that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The row's key behind the table's name.
    pub key: String,
    /// The version that the change gave it.
    pub version: u64,
    /// The new value; none when the row was removed.
    pub value: Option<Bytes>,
}

/// The changes of a table since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// In the order in which they were made.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub version: u64,
    /// The store's own steady clock when it said so, in milliseconds.
    pub clock: u64,
    /// How long ago the store said so; not zero where another node passed it on.
    pub age: Duration,
    /// How long ago the store last failed to answer the node that passed it on.
    pub failed_ago: Option<Duration>,
    /// How long before it was passed on the store had been asked; none where
    /// the store told it itself.
    #[serde(default)]
    pub asked_ago: Option<Duration>,
    /// When the store was asked, by this VM's clock: these are all changes that
    /// it had then. An answer's own time would promise too much, since a change
    /// may come between the store's reading and its answer's arrival.
    #[serde(skip)]
    pub asked: Option<Uptime>,
}

/// Why a feed gave no changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The history behind that version was dropped; take a new snapshot.
    Gone,
    /// The store did not answer as it should.
    Fault(Fault),
}

/// Following a table, so that a node learns of changes without reading it over
/// and over. docs/design/table.md tells how gaps and stale answers are met.
pub trait Feed {
    /// Reads the whole table.
    ///
    /// # Errors
    /// As for [`Table::get`].
    async fn snapshot(&self, table: &str) -> Result<Snapshot, Fault>;

    /// Waits up to `wait` for changes after `version`.
    ///
    /// # Errors
    /// [`FeedError::Gone`] when the changes can't be told any more.
    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Changes, FeedError>;
}

/// The object store. An object never changes once it is there: names carry
/// whatever makes them unique.
pub trait Store {
    /// Stores an object; storing the same name again replaces it.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`].
    async fn put(&self, name: &str, value: Bytes) -> Result<(), Fault>;

    /// Reads an object, or nothing if it is absent.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`].
    async fn get(&self, name: &str) -> Result<Option<Bytes>, Fault>;

    /// Removes an object if it is there.
    ///
    /// # Errors
    /// [`Fault::Refused`] or [`Fault::Unknown`].
    async fn delete(&self, name: &str) -> Result<(), Fault>;
}

/// A VM as the platform's lagging list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The node's name.
    pub name: Name,
    /// Where other nodes send it requests, as ip:port.
    pub link: Name,
    /// Where other nodes send it control messages, as ip:port.
    pub control: Name,
    /// Where callers reach it, as ip:port.
    pub address: Name,
    /// Its availability zone.
    pub zone: Name,
    /// True when the platform is taking it away.
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
    /// Asks for the right to load one model now.
    ///
    /// # Errors
    /// [`Fault::Refused`] with when to come back, or [`Fault::Unknown`].
    async fn admit(&self, model: &str) -> Result<(), Fault>;
}
