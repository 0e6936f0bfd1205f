//! The nodes that registered in the store, this one among them.
//!
//! A node that replaces another, and whose seeds are all gone, finds the members
//! there.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::event;
use crate::member::TABLE;
use crate::table::{Fault, Feed, FeedError, Roster, Table, Transaction, Vm};

/// Least pause before the store is asked again to take this node's row; up to
/// twice as long, so that nodes which start together don't ask together.
const REGISTER_AGAIN: Duration = Duration::from_millis(700);

/// The row of a node; a later process at the same address replaces it.
pub fn key(control: &str) -> String {
    format!("{TABLE}/{}", control.replace(':', "-"))
}

/// The list of nodes, as read so far.
#[derive(Debug, Default)]
struct Known {
    version: u64,
    vms: BTreeMap<String, Vm>,
}

impl Known {
    fn put(&mut self, key: String, value: &[u8]) {
        match crate::wire::decode(value) {
            Ok(vm) => drop(self.vms.insert(key, vm)),
            Err(why) => log::warn!("{} key={key} why=\"{why}\"", event::ROW_UNREADABLE),
        }
    }
}

/// This node's row, and its list of all rows.
pub struct Registration<S> {
    store: S,
    me: Vm,
    done: Cell<bool>,
    known: RefCell<Option<Known>>,
}

impl<S> Registration<S>
where
    S: Table + Feed,
{
    /// Not registered yet.
    pub fn new(store: S, me: Vm) -> Self {
        Self {
            store,
            me,
            done: Cell::new(false),
            known: RefCell::default(),
        }
    }

    /// Registers until the store has the row.
    pub async fn register_until_stored(&self) {
        while !self.done.get() {
            sleep(REGISTER_AGAIN.mul_f64(1.0 + rand::random::<f64>())).await;
            if let Err(fault) = self.register().await {
                log::info!(
                    "{} table={TABLE} why=\"{fault}\"",
                    event::STORE_CALL_REFUSED
                );
            }
        }
    }

    async fn register(&self) -> Result<(), Fault> {
        if self.done.get() {
            return Ok(());
        }
        let value = crate::wire::encode(&self.me).unwrap_or_default();
        let row = Transaction::default().put(key(&self.me.control), value);
        self.store.transact(row).await?;
        self.done.set(true);
        Ok(())
    }

    async fn read_all(&self) -> Result<Known, Fault> {
        let snapshot = self.store.snapshot(TABLE).await?;
        let mut known = Known {
            version: snapshot.version,
            ..Known::default()
        };
        for row in snapshot.rows {
            known.put(row.key, &row.value);
        }
        Ok(known)
    }

    /// The list with what changed since it was read. At 295 nodes the whole one
    /// is long, and each node reads it several times.
    async fn read_changes(&self, mut known: Known) -> Result<Known, FeedError> {
        let wait = Duration::ZERO;
        let changes = self.store.changes(TABLE, known.version, wait).await?;
        known.version = changes.version;
        for change in changes.changes {
            match change.value {
                Some(value) => known.put(change.key, &value),
                None => drop(known.vms.remove(&change.key)),
            }
        }
        Ok(known)
    }
}

impl<S> Roster for Rc<Registration<S>>
where
    S: Table + Feed,
{
    /// Registers first: of two nodes that start together, the one that reads
    /// later then finds the other. When all nodes restart, the store can't take
    /// all their rows at once; one that is refused reads all the same, since the
    /// rows of the processes before name the others' addresses. Otherwise it
    /// would know a part of the members for 15 s, keep pools of its own, and
    /// endpoints would turn its callers away.
    async fn list(&self) -> Result<Vec<Vm>, Fault> {
        if let Err(fault) = self.register().await {
            log::info!(
                "{} table={TABLE} why=\"{fault}\"",
                event::STORE_CALL_REFUSED
            );
        }
        // Left empty by a failure, so that the next reading is a whole one.
        let before = self.known.take();
        let known = match before {
            None => self.read_all().await?,
            Some(known) => match self.read_changes(known).await {
                Ok(known) => known,
                Err(FeedError::Gone) => self.read_all().await?,
                Err(FeedError::Fault(fault)) => return Err(fault),
            },
        };
        let vms = known.vms.values().cloned().collect();
        *self.known.borrow_mut() = Some(known);
        Ok(vms)
    }
}
