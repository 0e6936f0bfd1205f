//! The nodes registered in the store, including this one.
//!
//! A node that replaces another finds the members there when all of its seed addresses are
//! gone.
//!
//! A row is its key, the control address: with a thousand nodes each reads a thousand rows, and a
//! node that is contacted there tells the rest about itself.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use crate::event;
use crate::member::TABLE;
use crate::name::Name;
use crate::table::{Fault, Feed, FeedError, Roster, Table, Transaction, Vm};

/// Shortest delay before registration is retried. Random jitter of up to the same length keeps
/// nodes that start together from retrying together.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Value of a row; only its key matters.
const ROW_VALUE: &[u8] = b"1";
/// Number of times that this delay is doubled. A store that takes 200 rows a second would
/// otherwise be kept busy by a thousand nodes whose calls have timed out before their turn.
const MAX_DOUBLINGS: u32 = 3;

/// Returns the row key of a node; a later process at the same address replaces the row.
pub fn key(control: &str) -> String {
    format!("{TABLE}/{}", row_name(control))
}

/// Returns the row key of a node without the table's name.
fn row_name(control: &str) -> String {
    control.replace(':', "-")
}

/// Returns the node of a row; `None` if another program wrote the row.
fn vm(row_name: &str) -> Option<Vm> {
    let (ip, port) = row_name.rsplit_once('-')?;
    let control = format!("{ip}:{port}");
    control.parse::<SocketAddr>().ok()?;
    Some(Vm {
        name: "".into(),
        link: "".into(),
        control: control.into(),
        address: "".into(),
        zone: "".into(),
        leaving: false,
    })
}

/// The list of nodes as last read.
#[derive(Debug, Default)]
struct Rows {
    version: u64,
    names: BTreeSet<String>,
}

/// This node's row, and its copy of all rows.
pub struct Registration<S> {
    store: S,
    /// This node's control address.
    control: Name,
    registered: Cell<bool>,
    rows: RefCell<Option<Rows>>,
}

impl<S> Registration<S>
where
    S: Table + Feed,
{
    /// Creates an unregistered node.
    pub fn new(store: S, control: Name) -> Self {
        Self {
            store,
            control,
            registered: Cell::new(false),
            rows: RefCell::default(),
        }
    }

    /// Retries the registration until the store has the row. A call whose answer was lost may
    /// have stored it, which [`Roster::list`] finds out.
    pub async fn register_until_stored(&self) {
        let mut doublings = 0;
        while !self.registered.get() {
            let delay = REGISTER_RETRY_DELAY * 2_u32.pow(doublings);
            sleep(delay.mul_f64(1.0 + rand::random::<f64>())).await;
            doublings = (doublings + 1).min(MAX_DOUBLINGS);
            self.register().await;
        }
    }

    /// Stores this node's row unless it is stored already.
    async fn register(&self) {
        if self.registered.get() {
            return;
        }
        if let Err(fault) = self.put_row().await {
            log::info!(
                "{} table={TABLE} why=\"{fault}\"",
                event::STORE_CALL_REFUSED
            );
        }
    }

    async fn put_row(&self) -> Result<(), Fault> {
        let row = Transaction::default().put(key(&self.control), Bytes::from_static(ROW_VALUE));
        self.store.transact(row).await?;
        self.registered.set(true);
        Ok(())
    }

    /// True if this node's address is on the list, in its own row or in that of an earlier
    /// process.
    fn is_listed(&self, rows: &Rows) -> bool {
        rows.names.contains(&row_name(&self.control))
    }

    async fn read_all(&self) -> Result<Rows, Fault> {
        let snapshot = self.store.snapshot(TABLE).await?;
        Ok(Rows {
            version: snapshot.version,
            names: snapshot.rows.into_iter().map(|row| row.key).collect(),
        })
    }

    /// Updates a list with the changes since it was read. With 295 nodes a full read is large,
    /// and each node reads the list several times.
    async fn read_changes(&self, mut rows: Rows) -> Result<Rows, FeedError> {
        let wait = Duration::ZERO;
        let changes = self.store.changes(TABLE, rows.version, wait).await?;
        rows.version = changes.version;
        for change in changes.changes {
            match change.value {
                Some(_) => rows.names.insert(change.key),
                None => rows.names.remove(&change.key),
            };
        }
        Ok(rows)
    }
}

impl<S> Roster for Rc<Registration<S>>
where
    S: Table + Feed,
{
    /// Registers before the first read: of two nodes that start together, the one that reads
    /// later then finds the other. When all nodes restart, the store can't accept all their
    /// rows at once. A node whose row is rejected reads anyway, because the rows of the previous
    /// processes give the others' addresses. Otherwise it would see only part of the members
    /// for 15 s and run separate pools, and endpoints would reject its callers.
    async fn list(&self) -> Result<Vec<Vm>, Fault> {
        if self.rows.borrow().is_none() {
            self.register().await;
        }
        // Stays empty after a failure, so that the next read is a full one.
        let last_read = self.rows.take();
        let rows = match last_read {
            None => self.read_all().await?,
            Some(rows) => match self.read_changes(rows).await {
                Ok(rows) => rows,
                Err(FeedError::Gone) => self.read_all().await?,
                Err(FeedError::Fault(fault)) => return Err(fault),
            },
        };
        if self.is_listed(&rows) {
            self.registered.set(true);
        }
        let vms = rows.names.iter().filter_map(|name| vm(name)).collect();
        *self.rows.borrow_mut() = Some(rows);
        Ok(vms)
    }
}
