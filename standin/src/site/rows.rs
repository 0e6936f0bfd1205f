//! The store's rows and their history, without any input or output.

use std::collections::{BTreeMap, VecDeque};

/// Table, part and key.
pub type Id = (String, String, String);

/// A row, or what is left of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Which row.
    pub id: Id,
    /// Its value in base64; none when it was removed.
    pub value: Option<String>,
    /// The transaction that made it so.
    pub version: u64,
}

/// Conditions and changes that take effect together.
#[derive(Clone, Debug, Default)]
pub struct Change {
    /// Rows and the version each must have, 0 for none.
    pub expect: Vec<(Id, u64)>,
    /// New values.
    pub set: Vec<(Id, String)>,
    /// Rows that go.
    pub remove: Vec<Id>,
}

/// The requested history was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// All rows.
#[derive(Debug, Default)]
pub struct Rows {
    present: BTreeMap<Id, (String, u64)>,
    history: VecDeque<Entry>,
    /// Changes up to this version were dropped.
    dropped: u64,
    version: u64,
}

impl Rows {
    /// The newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a change whole, or tells the present rows of its conditions.
    ///
    /// # Errors
    /// The rows when a condition does not hold.
    pub fn transact(&mut self, change: Change) -> Result<u64, Vec<Entry>> {
        let version_of = |id: &Id| self.present.get(id).map_or(0, |(_, version)| *version);
        if change
            .expect
            .iter()
            .any(|(id, version)| version_of(id) != *version)
        {
            let ids = change.expect.iter().map(|(id, _)| id);
            return Err(ids.filter_map(|id| self.entry(id)).collect());
        }
        self.version += 1;
        let version = self.version;
        for (id, value) in change.set {
            self.present.insert(id.clone(), (value.clone(), version));
            self.log(id, Some(value));
        }
        for id in change.remove {
            if self.present.remove(&id).is_some() {
                self.log(id, None);
            }
        }
        Ok(version)
    }

    fn log(&mut self, id: Id, value: Option<String>) {
        let version = self.version;
        self.history.push_back(Entry { id, value, version });
    }

    fn entry(&self, id: &Id) -> Option<Entry> {
        let (value, version) = self.present.get(id)?;
        Some(Entry {
            id: id.clone(),
            value: Some(value.clone()),
            version: *version,
        })
    }

    /// Rows of a part of a table from the key `from` to before `to`, where it is not empty,
    /// and whether more follow.
    pub fn get(
        &self,
        (table, part): (&str, &str),
        from: &str,
        to: &str,
        limit: usize,
    ) -> (Vec<Entry>, bool) {
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut rows = self
            .present
            .range(start..)
            .take_while(|((name, of, key), _)| {
                name == table && of == part && (to.is_empty() || **key < *to)
            })
            .filter_map(|(id, _)| self.entry(id));
        let page: Vec<_> = rows.by_ref().take(limit).collect();
        (page, rows.next().is_some())
    }

    /// The changes of a table after a version.
    ///
    /// # Errors
    /// [`Gone`] when some of them were dropped.
    pub fn feed(&self, table: &str, after: u64) -> Result<Vec<Entry>, Gone> {
        if after < self.dropped {
            return Err(Gone);
        }
        let news = self.history.iter();
        Ok(news
            .filter(|entry| entry.version > after && entry.id.0 == table)
            .cloned()
            .collect())
    }

    /// Drops the history.
    pub fn compact(&mut self) {
        self.dropped = self.version;
        self.history.clear();
    }
}
