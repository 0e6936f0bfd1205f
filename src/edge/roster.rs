//! The nodes registered in the store, including this one.
//!
//! A node that replaces another finds the members there when all of its seed addresses are
//! gone.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::event;
use crate::member::TABLE;
use crate::table::{Fault, Feed, FeedError, Roster, Table, Transaction, Vm};

/// Shortest delay before registration is retried. Random jitter of up to the same length keeps
/// nodes that start together from retrying together.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Returns the row key of a node; a later process at the same address replaces the row.
pub fn key(control: &str) -> String {
    format!("{TABLE}/{}", control.replace(':', "-"))
}

/// The list of nodes as last read.
#[derive(Debug, Default)]
struct Rows {
    version: u64,
    vms: BTreeMap<String, Vm>,
}

impl Rows {
    fn put(&mut self, key: String, value: &[u8]) {
        match crate::wire::decode(value) {
            Ok(vm) => drop(self.vms.insert(key, vm)),
            Err(why) => log::warn!("{} key={key} why=\"{why}\"", event::ROW_UNREADABLE),
        }
    }
}

/// This node's row, and its copy of all rows.
pub struct Registration<S> {
    store: S,
    me: Vm,
    registered: Cell<bool>,
    rows: RefCell<Option<Rows>>,
}

impl<S> Registration<S>
where
    S: Table + Feed,
{
    /// Creates an unregistered node.
    pub fn new(store: S, me: Vm) -> Self {
        Self {
            store,
            me,
            registered: Cell::new(false),
            rows: RefCell::default(),
        }
    }

    /// Retries the registration until the store has the row.
    pub async fn register_until_stored(&self) {
        while !self.registered.get() {
            sleep(REGISTER_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
            if let Err(fault) = self.register().await {
                log::info!(
                    "{} table={TABLE} why=\"{fault}\"",
                    event::STORE_CALL_REFUSED
                );
            }
        }
    }

    async fn register(&self) -> Result<(), Fault> {
        if self.registered.get() {
            return Ok(());
        }
        let value = crate::wire::encode(&self.me).unwrap_or_default();
        let row = Transaction::default().put(key(&self.me.control), value);
        self.store.transact(row).await?;
        self.registered.set(true);
        Ok(())
    }

    async fn read_all(&self) -> Result<Rows, Fault> {
        let snapshot = self.store.snapshot(TABLE).await?;
        let mut rows = Rows {
            version: snapshot.version,
            ..Rows::default()
        };
        for row in snapshot.rows {
            rows.put(row.key, &row.value);
        }
        Ok(rows)
    }

    /// Updates a list with the changes since it was read. With 295 nodes a full read is large,
    /// and each node reads the list several times.
    async fn read_changes(&self, mut rows: Rows) -> Result<Rows, FeedError> {
        let wait = Duration::ZERO;
        let changes = self.store.changes(TABLE, rows.version, wait).await?;
        rows.version = changes.version;
        for change in changes.changes {
            match change.value {
                Some(value) => rows.put(change.key, &value),
                None => drop(rows.vms.remove(&change.key)),
            }
        }
        Ok(rows)
    }
}

impl<S> Roster for Rc<Registration<S>>
where
    S: Table + Feed,
{
    /// Registers before reading: of two nodes that start together, the one that reads later
    /// then finds the other. When all nodes restart, the store can't accept all their rows at
    /// once. A node whose row is rejected reads anyway, because the rows of the previous
    /// processes give the others' addresses. Otherwise it would see only part of the members
    /// for 15 s and run separate pools, and endpoints would reject its callers.
    async fn list(&self) -> Result<Vec<Vm>, Fault> {
        if let Err(fault) = self.register().await {
            log::info!(
                "{} table={TABLE} why=\"{fault}\"",
                event::STORE_CALL_REFUSED
            );
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
        let vms = rows.vms.values().cloned().collect();
        *self.rows.borrow_mut() = Some(rows);
        Ok(vms)
    }
}
