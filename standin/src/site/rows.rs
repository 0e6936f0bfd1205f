//! The store's rows and their change history, without any I/O.

use std::collections::{BTreeMap, VecDeque};

/// Table, part and key.
pub type Id = (String, String, String);

/// A row or its tombstone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Id of the row.
    pub id: Id,
    /// Its value in base64; `None` if it was removed.
    pub value: Option<String>,
    /// Version of the transaction that wrote or removed it.
    pub version: u64,
}

/// Conditions and changes that are applied atomically.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Rows with the version that each must have; 0 for a row that must not exist.
    pub expect: Vec<(Id, u64)>,
    /// New values.
    pub set: Vec<(Id, String)>,
    /// Rows to remove.
    pub remove: Vec<Id>,
}

/// The requested part of the history has been compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Compacted;

/// The rows of all tables, with the history of their changes.
#[derive(Debug, Default)]
pub struct Rows {
    current: BTreeMap<Id, (String, u64)>,
    history: VecDeque<Entry>,
    /// Changes up to this version have been compacted.
    dropped: u64,
    version: u64,
}

impl Rows {
    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a transaction atomically if all of its conditions hold.
    ///
    /// # Errors
    /// Returns the current rows of the conditions if one of them does not hold.
    pub fn transact(&mut self, transaction: Transaction) -> Result<u64, Vec<Entry>> {
        let version_of = |id: &Id| self.current.get(id).map_or(0, |(_, version)| *version);
        if transaction
            .expect
            .iter()
            .any(|(id, version)| version_of(id) != *version)
        {
            let ids = transaction.expect.iter().map(|(id, _)| id);
            return Err(ids.filter_map(|id| self.entry(id)).collect());
        }
        self.version += 1;
        let version = self.version;
        for (id, value) in transaction.set {
            self.current.insert(id.clone(), (value.clone(), version));
            self.record(id, Some(value));
        }
        for id in transaction.remove {
            if self.current.remove(&id).is_some() {
                self.record(id, None);
            }
        }
        Ok(version)
    }

    fn record(&mut self, id: Id, value: Option<String>) {
        let version = self.version;
        self.history.push_back(Entry { id, value, version });
    }

    fn entry(&self, id: &Id) -> Option<Entry> {
        let (value, version) = self.current.get(id)?;
        Some(Entry {
            id: id.clone(),
            value: Some(value.clone()),
            version: *version,
        })
    }

    /// Returns rows of a part of a table, from the key `from` up to but without `to` (unbounded if
    /// empty), and whether more follow.
    pub fn get(
        &self,
        (table, part): (&str, &str),
        from: &str,
        to: &str,
        limit: usize,
    ) -> (Vec<Entry>, bool) {
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut rows = self
            .current
            .range(start..)
            .take_while(|((row_table, row_part, key), _)| {
                row_table == table && row_part == part && (to.is_empty() || **key < *to)
            })
            .filter_map(|(id, _)| self.entry(id));
        let page: Vec<_> = rows.by_ref().take(limit).collect();
        (page, rows.next().is_some())
    }

    /// Returns the changes of a table after a version.
    ///
    /// # Errors
    /// Returns [`Compacted`] if some of them have been compacted.
    pub fn feed(&self, table: &str, after: u64) -> Result<Vec<Entry>, Compacted> {
        if after < self.dropped {
            return Err(Compacted);
        }
        let entries = self.history.iter();
        Ok(entries
            .filter(|entry| entry.version > after && entry.id.0 == table)
            .cloned()
            .collect())
    }

    /// Drops the history up to the newest version.
    pub fn compact(&mut self) {
        self.dropped = self.version;
        self.history.clear();
    }
}
