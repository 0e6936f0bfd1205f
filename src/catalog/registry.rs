//! The set of endpoints, merged from changes that may arrive late, twice or with gaps.
//!
//! Entries of live endpoints expire while the store is unavailable, because they can't be
//! renewed, and reappear after it recovers. If expired entries were removed immediately, a
//! service would have no endpoints just when the store is back, and callers would be refused.
//! A removal at such a time therefore takes effect only after a grace period.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Endpoint;
use crate::clock::Time;
use crate::name::Name;

/// Time after the store's recovery within which an endpoint registers again; the platform
/// promises about two seconds.
const REREGISTER_GRACE: Duration = Duration::from_secs(2);

/// Limit on the tombstones of removed endpoints, which identify late changes as outdated. Ids are
/// never reused, so without a limit memory would grow with each restart of an endpoint.
const MAX_TOMBSTONES: usize = 4_096;

/// A version of an endpoint's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The endpoint's identity.
    pub id: Name,
    /// The version of the entry.
    pub version: u64,
    /// The endpoint; none when its entry was removed.
    pub endpoint: Option<Endpoint>,
}

#[derive(Clone, Debug)]
struct Known {
    /// Version of the entry as the endpoint wrote it.
    version: u64,
    endpoint: Arc<Endpoint>,
    /// Version of its removal, while the entry may still reappear. Peers are sent the entry's
    /// own version: with this one they would treat the removal as outdated, and keep the
    /// endpoint forever.
    lapsed: Option<u64>,
}

impl Known {
    fn newest(&self) -> u64 {
        self.lapsed.unwrap_or(self.version)
    }
}

/// The endpoints in this node's view.
#[derive(Debug, Default)]
pub struct Registry {
    known: BTreeMap<Name, Known>,
    tombstones: BTreeMap<Name, u64>,
    /// The version of the last complete list. An endpoint that it lacks was removed by then, so
    /// older entries of it, which peers may still send, are ignored.
    list_version: u64,
    /// Removals before this time may be expired entries of live endpoints.
    doubtful_until: Time,
}

impl Registry {
    /// Records that the store could not be read at `now`.
    pub fn store_failed(&mut self, now: Time) {
        // Extended with each failure, so that the grace period starts at the last one.
        self.doubtful_until = self.doubtful_until.max(now + REREGISTER_GRACE);
    }

    /// Applies one entry; returns false when it is outdated.
    pub fn apply(&mut self, now: Time, entry: Entry) -> bool {
        let newest = match self.known.get(&entry.id) {
            Some(known) => known.newest(),
            None => self.list_version,
        };
        let removed = self.tombstones.get(&entry.id).copied().unwrap_or(0);
        if newest.max(removed) >= entry.version {
            return false;
        }
        match entry.endpoint {
            Some(endpoint) => {
                self.tombstones.remove(&entry.id);
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

    /// Applies an entry that can't be decoded. The previous entry is no longer valid and the
    /// current one is unknown, so the endpoint gets no work, without any grace period.
    pub fn refuse(&mut self, id: &Name, version: u64) {
        let newest = self.known.get(id).map_or(self.list_version, Known::newest);
        if version > newest {
            self.remove_now(id, version);
        }
    }

    /// Applies the complete list as of `version`: endpoints that it lacks were removed.
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
        self.list_version = self.list_version.max(version);
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
        self.remove_now(id, version);
    }

    /// Removes an endpoint and keeps a tombstone.
    fn remove_now(&mut self, id: &Name, version: u64) {
        self.known.remove(id);
        self.tombstones.insert(id.clone(), version);
        if self.tombstones.len() > MAX_TOMBSTONES {
            // Late changes are least likely for the endpoint that was removed first.
            let oldest = self.tombstones.iter().min_by_key(|(_, version)| **version);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.tombstones.remove(&id);
            }
        }
    }

    /// Removes the endpoints that did not reappear in time; returns true when any was removed.
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
            self.remove_now(id, *version);
        }
        !lapsed.is_empty()
    }

    /// Returns the endpoints, including those that are leaving.
    pub fn endpoints(&self) -> BTreeMap<Name, Arc<Endpoint>> {
        self.known
            .iter()
            .map(|(id, known)| (id.clone(), Arc::clone(&known.endpoint)))
            .collect()
    }

    /// Returns all entries and tombstones, for a peer that can't reach the store.
    pub fn entries(&self) -> Vec<Entry> {
        let known = self.known.iter().map(|(id, known)| Entry {
            id: id.clone(),
            version: known.version,
            endpoint: Some(Endpoint::clone(&known.endpoint)),
        });
        let removed = self.tombstones.iter().map(|(id, version)| Entry {
            id: id.clone(),
            version: *version,
            endpoint: None,
        });
        known.chain(removed).collect()
    }
}
