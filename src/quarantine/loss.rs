//! What became of an endpoint that did not end a run.

use std::time::Duration;

use crate::catalog::{Catalog, Endpoint};
use crate::connect::{self, Reachability};

/// Most time for a connection that only tells whether something listens.
const PROBE: Duration = Duration::from_millis(60);

/// An endpoint's entry, as this node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It takes work.
    Ready,
    /// It leaves.
    Draining,
    /// It has none.
    Gone,
    /// It is that of a later process.
    Replaced,
}

/// What is made of a lost run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The process that ran it has ended, and not as planned.
    Crashed,
    /// The process lives, or ended as planned.
    NotCrashed,
    /// Not known yet: its entry may still go or be replaced.
    Undecided,
}

/// The entry of the endpoint's process that a run was sent to.
pub fn entry(catalog: &Catalog, endpoint: &Endpoint) -> Entry {
    match catalog.endpoints.get(&endpoint.id) {
        Some(known) if known.incarnation != endpoint.incarnation => Entry::Replaced,
        Some(known) if known.ready => Entry::Ready,
        Some(_) => Entry::Draining,
        None => Entry::Gone,
    }
}

/// Looks whether anything listens where the endpoint was.
pub async fn probe(endpoint: &Endpoint) -> Reachability {
    connect::probe(endpoint.address, PROBE).await
}

/// What the entry and the listener say just after a run was lost. An endpoint that
/// leaves, or had left, breaks off what it has not ended by then; a lost answer, a
/// reset or cut path and a spoiled answer leave the process where it is.
pub fn classify(entry: Entry, listener: Reachability) -> Finding {
    match (entry, listener) {
        (Entry::Replaced, _) | (Entry::Ready, Reachability::Refused) => Finding::Crashed,
        (Entry::Ready, Reachability::Open | Reachability::Silent) => Finding::Undecided,
        (Entry::Draining | Entry::Gone, _) => Finding::NotCrashed,
    }
}

/// The same while it is watched further. An endpoint that leaves without saying so
/// serves on when its entry has gone.
pub fn classify_later(entry: Entry, listener: Reachability) -> Finding {
    match (entry, listener) {
        (Entry::Replaced, _) | (Entry::Gone, Reachability::Refused | Reachability::Silent) => {
            Finding::Crashed
        }
        (Entry::Ready, _) => Finding::Undecided,
        (Entry::Draining, _) | (Entry::Gone, Reachability::Open) => Finding::NotCrashed,
    }
}
