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
    /// Of the entry as the endpoint wrote it.
    version: u64,
    endpoint: Arc<Endpoint>,
    /// The version of its removal, while the entry may still come back. What
    /// peers are told is the entry's own version: they would take the removal
    /// for older news otherwise, and keep the endpoint for good.
    lapsed: Option<u64>,
}

impl Known {
    fn newest(&self) -> u64 {
        self.lapsed.unwrap_or(self.version)
    }
}

/// The endpoints as this node believes them to be.
#[derive(Debug, Default)]
pub struct Registry {
    known: BTreeMap<Name, Known>,
    removed: BTreeMap<Name, u64>,
    /// The version of the last whole list. What it lacked was gone by then, so
    /// older news of it, which peers may still tell, is not taken.
    whole: u64,
    /// Removals before this time may be lapses.
    doubtful_until: Time,
}

impl Registry {
    /// The store could not be read at `now`.
    pub fn store_failed(&mut self, now: Time) {
        // Moves on with each failure, so that it ends a grace after the last.
        self.doubtful_until = self.doubtful_until.max(now + RETURN_GRACE);
    }

    /// Takes one statement; false when it is older than what is known.
    pub fn apply(&mut self, now: Time, entry: Entry) -> bool {
        let newest = match self.known.get(&entry.id) {
            Some(known) => known.newest(),
            None => self.whole,
        };
        let removed = self.removed.get(&entry.id).copied().unwrap_or(0);
        if newest.max(removed) >= entry.version {
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

    /// Takes a statement that can't be read. Whatever was known of the endpoint is
    /// no longer so, and what it is now is not known: it gets no work, also where
    /// a removal would be doubted.
    pub fn refuse(&mut self, id: &Name, version: u64) {
        let newest = self.known.get(id).map_or(self.whole, Known::newest);
        if version > newest {
            self.forget(id, version);
        }
    }

    /// Takes the whole list as of `version`: what is missing was removed.
    pub fn replace(&mut self, now: Time, entries: Vec<Entry>, version: u64) {
        let missing: Vec<Name> = self
            .known
            .iter()
            .filter(|(id, known)| {
                known.newest() <= version && !entries.iter().any(|entry| entry.id == **id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.remove(now, &id, version);
        }
        for entry in entries {
            self.apply(now, entry);
        }
        self.whole = self.whole.max(version);
    }

    fn remove(&mut self, now: Time, id: &Name, version: u64) {
        let doubtful = now < self.doubtful_until;
        if let Some(known) = self.known.get_mut(id)
            && doubtful
            && known.endpoint.ready
        {
            known.lapsed = Some(version);
            return;
        }
        self.forget(id, version);
    }

    /// Takes an endpoint out, and remembers that it was removed.
    fn forget(&mut self, id: &Name, version: u64) {
        self.known.remove(id);
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
        if now < self.doubtful_until {
            return false;
        }
        let lapsed: Vec<(Name, u64)> = self
            .known
            .iter()
            .filter_map(|(id, known)| Some((id.clone(), known.lapsed?)))
            .collect();
        for (id, version) in &lapsed {
            self.forget(id, *version);
        }
        !lapsed.is_empty()
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
