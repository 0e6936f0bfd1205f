//! The endpoints of all services as an immutable map. Versions of it share what they have in
//! common, so publishing one and comparing two cost as much as what changed between them.

use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::OrdMap;
use imbl::ordmap::DiffItem;

use super::Endpoint;
use crate::name::Name;

/// Slots of the ready endpoints, by availability zone.
pub type Slots = BTreeMap<Name, u32>;

/// The endpoints of a service that have the same software.
#[derive(Clone, Debug, Default)]
struct Version {
    /// Their number, also of those that are leaving.
    endpoints: u32,
    slots: Slots,
}

/// A difference between two versions of [`Endpoints`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Difference<'a> {
    /// The endpoint was added or changed.
    Put(&'a Arc<Endpoint>),
    /// The endpoint was removed.
    Removed(&'a Name),
}

/// Endpoints by id.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    by_id: OrdMap<Name, Arc<Endpoint>>,
    /// By service. Kept with each change, because every request needs it and counting the slots
    /// of thousands of endpoints each time would cost more than serving the request.
    slots: Arc<BTreeMap<Name, Slots>>,
    /// By service and version of the software, for requests that need one version.
    versions: Arc<BTreeMap<Name, BTreeMap<Option<Name>, Version>>>,
}

impl Endpoints {
    /// Returns the endpoint with this id.
    pub fn get(&self, id: &str) -> Option<&Arc<Endpoint>> {
        self.by_id.get(id)
    }

    /// Iterates over all endpoints, including those that are leaving, in order of id.
    pub fn values(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.by_id.values()
    }

    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// True if there is none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the slots of a service; none if it has no ready endpoint.
    pub fn slots(&self, service: &str) -> Option<&Slots> {
        self.slots.get(service)
    }

    /// Returns the slots of the endpoints of a service that have this software; none if none of them
    /// is ready.
    pub fn slots_of(&self, service: &str, software: &Name) -> Option<&Slots> {
        let versions = self.versions.get(service)?;
        let version = versions.get(&Some(software.clone()))?;
        (!version.slots.is_empty()).then_some(&version.slots)
    }

    /// Returns the version of the software that all endpoints of a service have, also those that
    /// are leaving; none if they differ or an entry names none.
    pub fn only_software(&self, service: &str) -> Option<&Name> {
        let versions = self.versions.get(service)?;
        match versions.first_key_value()? {
            (Some(software), _) if versions.len() == 1 => Some(software),
            _ => None,
        }
    }

    /// Iterates over the services that have a ready endpoint.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.slots.keys()
    }

    /// True if both are the same version.
    pub fn is_same(&self, other: &Self) -> bool {
        self.by_id.ptr_eq(&other.by_id)
    }

    /// Adds an endpoint, or replaces the one with its id.
    pub fn put(&mut self, endpoint: Arc<Endpoint>) {
        self.count(&endpoint, u32::saturating_add);
        let old = self.by_id.insert(endpoint.id.clone(), endpoint);
        if let Some(old) = old {
            self.count(&old, u32::saturating_sub);
        }
    }

    /// Removes an endpoint and returns it.
    pub fn remove(&mut self, id: &str) -> Option<Arc<Endpoint>> {
        let removed = self.by_id.remove(id)?;
        self.count(&removed, u32::saturating_sub);
        Some(removed)
    }

    /// Iterates over what changed from `old` to this version. Takes time in proportion to the
    /// changes if one version was derived from the other.
    pub fn changes_since<'a>(&'a self, old: &'a Self) -> impl Iterator<Item = Difference<'a>> {
        old.by_id.diff(&self.by_id).map(|item| match item {
            DiffItem::Add(_, new) | DiffItem::Update { new: (_, new), .. } => Difference::Put(new),
            DiffItem::Remove(id, _) => Difference::Removed(id),
        })
    }

    fn count(&mut self, endpoint: &Endpoint, change: fn(u32, u32) -> u32) {
        self.count_version(endpoint, change);
        if !endpoint.ready {
            return;
        }
        let all = Arc::make_mut(&mut self.slots);
        let zones = all.entry(endpoint.service.clone()).or_default();
        count_slots(zones, endpoint, change);
        if zones.is_empty() {
            all.remove(&endpoint.service);
        }
    }

    fn count_version(&mut self, endpoint: &Endpoint, change: fn(u32, u32) -> u32) {
        let all = Arc::make_mut(&mut self.versions);
        let versions = all.entry(endpoint.service.clone()).or_default();
        let version = versions.entry(endpoint.software.clone()).or_default();
        version.endpoints = change(version.endpoints, 1);
        if endpoint.ready {
            count_slots(&mut version.slots, endpoint, change);
        }
        if version.endpoints > 0 {
            return;
        }
        versions.remove(&endpoint.software);
        if versions.is_empty() {
            all.remove(&endpoint.service);
        }
    }
}

fn count_slots(zones: &mut Slots, endpoint: &Endpoint, change: fn(u32, u32) -> u32) {
    let slots = zones.entry(endpoint.zone.clone()).or_default();
    *slots = change(*slots, endpoint.slots);
    if *slots == 0 {
        zones.remove(&endpoint.zone);
    }
}

impl FromIterator<Endpoint> for Endpoints {
    fn from_iter<I>(endpoints: I) -> Self
    where
        I: IntoIterator<Item = Endpoint>,
    {
        let mut all = Self::default();
        for endpoint in endpoints {
            all.put(Arc::new(endpoint));
        }
        all
    }
}
