//! What became of an endpoint that did not end a run.

use std::time::Duration;

use crate::catalog::{Catalog, Endpoint};
use crate::connect::{self, Listener};
use crate::event;
use crate::name::Name;
use crate::quarantine::Fingerprint;

/// Most time for a connection that only tells whether something listens.
const PROBE: Duration = Duration::from_millis(60);

/// An endpoint's entry, as this node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Ready,
    Draining,
    /// It has none, or that of a later process.
    Gone,
}

fn entry(catalog: &Catalog, endpoint: &Endpoint) -> Entry {
    match catalog.endpoints.get(&endpoint.id) {
        Some(known) if known.incarnation != endpoint.incarnation => Entry::Gone,
        Some(known) if known.ready => Entry::Ready,
        Some(_) => Entry::Draining,
        None => Entry::Gone,
    }
}

/// Looks at an endpoint that did not end the run of `id`, and logs what it finds.
pub async fn examine(
    catalog: &Catalog,
    endpoint: &Endpoint,
    id: &Name,
    print: Fingerprint,
    why: &'static str,
) -> Listener {
    let entry = entry(catalog, endpoint);
    let listener = connect::probe(endpoint.address, PROBE).await;
    log::info!(
        "{} id={id} print={print} endpoint={} incarnation={} why={why} listener={listener:?} entry={entry:?}",
        event::RUN_LOST,
        endpoint.id,
        endpoint.incarnation,
    );
    listener
}
