//! The set of endpoints, merged from changes that may arrive late, twice or with gaps.
//!
//! Entries of live endpoints expire while the store is unavailable, because they can't be
//! renewed, and reappear after it recovers. If expired entries were removed immediately, a
//! service would have no endpoints just when the store is back, and callers would be refused.
//! A removal at such a time therefore takes effect only after a grace period.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Endpoint;
use super::endpoints::Endpoints;
use crate::clock::Time;
use crate::name::Name;

/// Time after the store's recovery within which an endpoint registers again; the platform
/// promises about two seconds.
const REREGISTER_GRACE: Duration = Duration::from_secs(2);

/// Limit on the tombstones of removed endpoints, which identify late changes as outdated. Ids are
/// never reused, so without a limit memory would grow with each restart of an endpoint.
const MAX_TOMBSTONES: usize = 4_096;

/// A version of an endpoint's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Entry {
    /// The endpoint's identity.
    pub id: Name,
    /// The version of the entry.
    pub version: u64,
    /// The endpoint; none when its entry was removed.
    pub endpoint: Option<Endpoint>,
}

/// An entry as it is sent, without names of fields: all entries have to fit into one frame.
#[derive(Serialize, Deserialize)]
struct Packed(Name, u64, Option<PackedEndpoint>);

/// Service, address, availability zone, slots, whether it is ready, incarnation, and version of the
/// software.
#[derive(Serialize, Deserialize)]
struct PackedEndpoint(
    Name,
    SocketAddr,
    Name,
    u32,
    bool,
    u64,
    #[serde(default)] Option<Name>,
);

impl From<Entry> for Packed {
    fn from(entry: Entry) -> Self {
        let endpoint = entry.endpoint.map(|it| {
            let Endpoint {
                id: _,
                service,
                address,
                zone,
                slots,
                ready,
                incarnation,
                software,
            } = it;
            PackedEndpoint(service, address, zone, slots, ready, incarnation, software)
        });
        Self(entry.id, entry.version, endpoint)
    }
}

impl From<Packed> for Entry {
    fn from(Packed(id, version, endpoint): Packed) -> Self {
        let endpoint = endpoint.map(|it| {
            let PackedEndpoint(service, address, zone, slots, ready, incarnation, software) = it;
            Endpoint {
                id: id.clone(),
                service,
                address,
                zone,
                slots,
                ready,
                incarnation,
                software,
            }
        });
        Self {
            id,
            version,
            endpoint,
        }
    }
}

/// Entries that one node sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// True if these are all entries; otherwise only those that the receiver lacks.
    pub is_whole: bool,
    /// The version up to which the sender knows the store's table.
    pub version: u64,
    /// The entries and tombstones.
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Known {
    /// Version of the entry as the endpoint wrote it. Peers are sent this one while the entry
    /// has lapsed: with that of its removal they would treat the removal as outdated, and keep
    /// the endpoint forever.
    version: u64,
    /// Version of its removal, while the entry may still reappear.
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
    known: HashMap<Name, Known>,
    endpoints: Endpoints,
    /// Ids of the known entries that have lapsed.
    lapsed: BTreeSet<Name>,
    tombstones: HashMap<Name, u64>,
    /// The tombstones by version, to find the oldest.
    tombstones_by_version: BTreeSet<(u64, Name)>,
    /// The newest version of a dropped tombstone. Of removals up to then not all are known.
    forgotten: u64,
    /// The version up to which the store's table is known. An endpoint that it lacks was
    /// removed by then, so older entries of it, which peers may still send, are ignored.
    table_version: u64,
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
            None => self.table_version,
        };
        let removed = self.tombstones.get(&entry.id).copied().unwrap_or(0);
        if newest.max(removed) >= entry.version {
            return false;
        }
        match entry.endpoint {
            Some(endpoint) => {
                self.remove_tombstone(&entry.id);
                self.lapsed.remove(&entry.id);
                let known = Known {
                    version: entry.version,
                    lapsed: None,
                };
                self.known.insert(entry.id, known);
                self.endpoints.put(Arc::new(endpoint));
            }
            None => self.remove(now, &entry.id, entry.version),
        }
        true
    }

    /// Records that all changes of the store's table up to `version` were applied.
    pub fn advance(&mut self, version: u64) {
        self.table_version = self.table_version.max(version);
    }

    /// The version up to which the store's table is known.
    pub fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Applies an entry that can't be decoded. The previous entry is no longer valid and the
    /// current one is unknown, so the endpoint gets no work, without any grace period.
    pub fn refuse(&mut self, id: &Name, version: u64) {
        let newest = self.known.get(id).map_or(self.table_version, Known::newest);
        if version > newest {
            self.remove_now(id, version);
        }
    }

    /// Applies the complete list as of `version`: endpoints that it lacks were removed.
    pub fn replace(&mut self, now: Time, entries: Vec<Entry>, version: u64) {
        let listed: HashSet<&Name> = entries.iter().map(|entry| &entry.id).collect();
        let missing: Vec<Name> = self
            .known
            .iter()
            .filter(|(id, known)| known.newest() <= version && !listed.contains(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.remove(now, &id, version);
        }
        for entry in entries {
            self.apply(now, entry);
        }
        self.advance(version);
    }

    fn remove(&mut self, now: Time, id: &Name, version: u64) {
        let is_doubtful = now < self.doubtful_until;
        let is_ready = self.endpoints.get(id).is_some_and(|it| it.ready);
        if let Some(known) = self.known.get_mut(id)
            && is_doubtful
            && is_ready
        {
            known.lapsed = Some(version);
            self.lapsed.insert(id.clone());
            return;
        }
        self.remove_now(id, version);
    }

    /// Removes an endpoint and keeps a tombstone.
    fn remove_now(&mut self, id: &Name, version: u64) {
        self.known.remove(id);
        self.lapsed.remove(id);
        self.endpoints.remove(id);
        self.remove_tombstone(id);
        self.tombstones.insert(id.clone(), version);
        self.tombstones_by_version.insert((version, id.clone()));
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some((version, id)) = self.tombstones_by_version.pop_first()
        {
            // Late changes are least likely for the endpoint that was removed first.
            self.tombstones.remove(&id);
            self.forgotten = self.forgotten.max(version);
        }
    }

    fn remove_tombstone(&mut self, id: &Name) {
        if let Some(version) = self.tombstones.remove(id) {
            self.tombstones_by_version.remove(&(version, id.clone()));
        }
    }

    /// Removes the endpoints that did not reappear in time; returns true when any was removed.
    pub fn expire(&mut self, now: Time) -> bool {
        if now < self.doubtful_until || self.lapsed.is_empty() {
            return false;
        }
        for id in std::mem::take(&mut self.lapsed) {
            if let Some(version) = self.known.get(&id).and_then(|known| known.lapsed) {
                self.remove_now(&id, version);
            }
        }
        true
    }

    /// Returns the endpoints, including those that are leaving.
    pub fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Returns all entries and tombstones, for a peer that can't reach the store.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries_since(0)
    }

    /// Returns the entries and tombstones that are newer than `version`.
    fn entries_since(&self, version: u64) -> Vec<Entry> {
        let known = self.known.iter().filter(|(_, it)| it.version > version);
        let known = known.map(|(id, it)| Entry {
            id: id.clone(),
            version: it.version,
            endpoint: self.endpoints.get(id).map(|it| Endpoint::clone(it)),
        });
        let after = (version.saturating_add(1), Name::from(""));
        let removed = self.tombstones_by_version.range(after..);
        let removed = removed.map(|(version, id)| Entry {
            id: id.clone(),
            version: *version,
            endpoint: None,
        });
        known.chain(removed).collect()
    }

    /// Returns what a peer lacks that knows the store's table up to `version`.
    pub fn export(&self, version: u64) -> Export {
        if version == 0 || version < self.forgotten {
            return Export {
                is_whole: true,
                version: self.table_version,
                entries: self.entries(),
            };
        }
        Export {
            is_whole: false,
            version: self.table_version,
            entries: self.entries_since(version),
        }
    }

    /// Applies what a peer sent.
    pub fn import(&mut self, now: Time, export: Export) {
        if export.is_whole {
            self.replace(now, export.entries, export.version);
            return;
        }
        for entry in export.entries {
            self.apply(now, entry);
        }
    }
}
