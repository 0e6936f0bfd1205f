//! Which endpoints there are, out of changes that come late, twice or in gaps.
//!
//! Entries of live endpoints lapse while the store is away, because they can't
//! be renewed, and come back after it returns. Taking them for gone at once
//! would leave a service without endpoints just when the store is back, which
//! callers notice as refusals; so a removal counts only after a time of grace.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Endpoint;
use crate::clock::Time;
use crate::name::Name;

/// How long after the store's return an endpoint may take to register again;
/// the platform promises about two seconds.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Removed endpoints that are remembered, so that late news of them is known
/// for late. Identities are never used again; without a bound the memory of a
/// node would grow with each restart of an endpoint.
const MOST_REMOVED: usize = 4_096;

/// What the store said of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The endpoint's identity.
    pub id: Name,
    /// The version of this statement.
    pub version: u64,
    /// The endpoint; none when its entry was removed.
    pub endpoint: Option<Endpoint>,
}

#[derive(Clone, Debug)]
struct Known {
    version: u64,
    endpoint: Arc<Endpoint>,
    /// Set while the entry is missing and may come back.
    lapsed: Option<Time>,
}

/// The endpoints as this node believes them to be.
#[derive(Debug, Default)]
pub struct Book {
    known: BTreeMap<Name, Known>,
    removed: BTreeMap<Name, u64>,
    /// Removals before this time may be lapses.
    doubtful_until: Time,
}

impl Book {
    /// The store could not be read at `now`.
    pub fn store_failed(&mut self, now: Time) {
        // Moves on with each failure, so that it ends a grace after the last.
        self.doubtful_until = now + RETURN_GRACE;
    }

    /// Takes one statement; false when it is older than what is known.
    pub fn apply(&mut self, now: Time, entry: Entry) -> bool {
        let newest = self
            .known
            .get(&entry.id)
            .map(|known| known.version)
            .max(self.removed.get(&entry.id).copied());
        if newest.is_some_and(|newest| newest >= entry.version) {
            return false;
        }
        match entry.endpoint {
            Some(endpoint) => {
                self.removed.remove(&entry.id);
                let known = Known {
                    version: entry.version,
                    endpoint: Arc::new(endpoint),
                    lapsed: None,
                };
                self.known.insert(entry.id, known);
            }
            None => self.remove(now, &entry.id, entry.version),
        }
        true
    }

    /// Takes the whole list as of `version`: what is missing was removed.
    pub fn replace(&mut self, now: Time, entries: Vec<Entry>, version: u64) {
        let missing: Vec<Name> = self
            .known
            .iter()
            .filter(|(id, known)| {
                known.version <= version && !entries.iter().any(|entry| entry.id == **id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.remove(now, &id, version);
        }
        for entry in entries {
            self.apply(now, entry);
        }
    }

    fn remove(&mut self, now: Time, id: &Name, version: u64) {
        let doubtful = now < self.doubtful_until;
        if let Some(known) = self.known.get_mut(id) {
            known.version = version;
            if doubtful && known.endpoint.ready {
                known.lapsed.get_or_insert(now);
                return;
            }
            self.known.remove(id);
        }
        self.removed.insert(id.clone(), version);
        if self.removed.len() > MOST_REMOVED {
            // News of the longest gone is the least likely still to come.
            let oldest = self.removed.iter().min_by_key(|(_, version)| **version);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.removed.remove(&id);
            }
        }
    }

    /// Drops what did not come back in time; true when something changed.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.known.len();
        let until = self.doubtful_until;
        self.known
            .retain(|_, known| known.lapsed.is_none() || now < until);
        before != self.known.len()
    }

    /// The endpoints, leaving ones among them.
    pub fn endpoints(&self) -> BTreeMap<Name, Arc<Endpoint>> {
        self.known
            .iter()
            .map(|(id, known)| (id.clone(), Arc::clone(&known.endpoint)))
            .collect()
    }

    /// Everything that is known, for a peer that can't reach the store.
    pub fn entries(&self) -> Vec<Entry> {
        let known = self.known.iter().map(|(id, known)| Entry {
            id: id.clone(),
            version: known.version,
            endpoint: Some(Endpoint::clone(&known.endpoint)),
        });
        let removed = self.removed.iter().map(|(id, version)| Entry {
            id: id.clone(),
            version: *version,
            endpoint: None,
        });
        known.chain(removed).collect()
    }
}
