//! Determines whether an endpoint process crashed after a run failed there.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use crate::catalog::{Catalog, Endpoint};
use crate::connect::{self, Reachability};

/// Time limit of the connection attempt that checks whether anything listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Delay before the listener is probed again. A process that ends may close its listener
/// slightly later than its connections.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// State of an endpoint's entry in this node's catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The endpoint accepts work.
    Ready,
    /// The endpoint is leaving.
    Draining,
    /// There is no entry.
    Gone,
    /// The entry belongs to a later process.
    Replaced,
}

/// Conclusion about the process on which a run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The process ended unexpectedly.
    Crashed,
    /// The process is alive, or ended as planned.
    NotCrashed,
    /// Not known yet: the entry may still be removed or replaced.
    Undecided,
}

/// Returns the entry state of the process that a run was sent to.
pub fn entry(catalog: &Catalog, endpoint: &Endpoint) -> Entry {
    match catalog.endpoints.get(&endpoint.id) {
        Some(known) if known.incarnation != endpoint.incarnation => Entry::Replaced,
        Some(known) if known.ready => Entry::Ready,
        Some(_) => Entry::Draining,
        None => Entry::Gone,
    }
}

/// Checks whether anything listens at the endpoint's address.
pub async fn probe(endpoint: &Endpoint) -> Reachability {
    connect::probe(endpoint.address, PROBE_TIMEOUT).await
}

/// Checks whether anything listens at an address where a run has just failed, or has ended as a
/// crash would end it. A listener that is
/// found open is checked once more, since the process may be ending.
pub async fn probe_after_failure(address: SocketAddr) -> Reachability {
    match connect::probe(address, PROBE_TIMEOUT).await {
        Reachability::Open => {
            sleep(PROBE_RETRY_DELAY).await;
            connect::probe(address, PROBE_TIMEOUT).await
        }
        other => other,
    }
}

/// Classifies a failed run by the entry and the listener right after the failure. An endpoint
/// that is leaving, or has left, aborts its unfinished runs; a lost answer, a reset or cut
/// connection and a corrupt answer leave the process running. None of these is a crash.
pub fn classify(entry: Entry, listener: Reachability) -> Finding {
    match (entry, listener) {
        (Entry::Replaced, _) | (Entry::Ready, Reachability::Refused) => Finding::Crashed,
        (Entry::Ready, Reachability::Open | Reachability::Silent) => Finding::Undecided,
        (Entry::Draining | Entry::Gone, _) => Finding::NotCrashed,
    }
}

/// Returns true if the process at which an answer ended with its connection has ended as well, so
/// that the answer may have been cut off. Unlike in [`classify`], a planned end counts too: a leaving
/// endpoint cuts off what it has not finished.
pub fn has_ended(entry: Entry, listener: Reachability) -> bool {
    match (entry, listener) {
        (Entry::Replaced, _)
        | (_, Reachability::Refused)
        | (Entry::Draining | Entry::Gone, Reachability::Silent) => true,
        (Entry::Ready, Reachability::Silent) | (_, Reachability::Open) => false,
    }
}

/// Classifies a failed run while its endpoint is watched. An endpoint that leaves without
/// announcing it keeps serving after its entry is removed, so it is no crash.
pub fn classify_later(entry: Entry, listener: Reachability) -> Finding {
    match (entry, listener) {
        (Entry::Replaced, _) | (Entry::Gone, Reachability::Refused | Reachability::Silent) => {
            Finding::Crashed
        }
        (Entry::Ready, _) => Finding::Undecided,
        (Entry::Draining, _) | (Entry::Gone, Reachability::Open) => Finding::NotCrashed,
    }
}
