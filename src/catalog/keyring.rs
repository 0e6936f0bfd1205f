//! The configured organisations, and the API keys of each.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::key::Digest;
use crate::limit::Rate;
use crate::name::Name;

/// An organisation that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name, which endpoints receive.
    pub name: Name,
    /// Overrides the priority of a route; 0 is the highest.
    pub priority: Option<u8>,
    /// Its rate limit over all nodes; none means unlimited.
    pub rate: Option<Rate>,
}

/// An organisation with the digests of its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    /// The organisation.
    pub organisation: Arc<Organisation>,
    /// Its keys.
    pub keys: Vec<Digest>,
}

/// All organisations, indexed by their keys. The lookup time does not depend on their number,
/// and reveals nothing about existing keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "Vec<Holder>", into = "Vec<Holder>")]
pub struct Keyring {
    holders: Vec<Holder>,
    by_key: HashMap<Digest, Arc<Organisation>>,
    shared: usize,
}

impl Keyring {
    /// Returns the organisation of a key.
    pub fn find(&self, key: &Digest) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.holders.iter().map(|holder| &holder.organisation)
    }

    /// Returns the number of keys that are configured for several organisations.
    pub fn shared(&self) -> usize {
        self.shared
    }
}

impl PartialEq for Keyring {
    fn eq(&self, other: &Self) -> bool {
        self.holders == other.holders
    }
}

/// A key that is configured for two organisations is valid for neither: with either choice, the
/// other organisation's requests would be counted and answered as those of the chosen one.
impl From<Vec<Holder>> for Keyring {
    fn from(holders: Vec<Holder>) -> Self {
        let mut by_key: HashMap<Digest, Arc<Organisation>> = HashMap::new();
        let mut shared = HashSet::new();
        for holder in &holders {
            for key in &holder.keys {
                let before = by_key.insert(*key, Arc::clone(&holder.organisation));
                if before.is_some_and(|other| other.name != holder.organisation.name) {
                    shared.insert(*key);
                }
            }
        }
        by_key.retain(|key, _| !shared.contains(key));
        Self {
            holders,
            by_key,
            shared: shared.len(),
        }
    }
}

impl From<Keyring> for Vec<Holder> {
    fn from(keyring: Keyring) -> Self {
        keyring.holders
    }
}
