//! Decisions that a gateway makes locally: whether it may use a granted endpoint, and
//! which one it uses when no pool answers.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Broker, Claim, Granted, NO_ENDPOINT_RETRY_DELAY, Named, Refusal};
use crate::catalog::Endpoint;
use crate::clock::Time;
use crate::event;
use crate::name::Name;

impl Broker {
    /// Returns the granted endpoint if this node may use it. An endpoint that is missing
    /// from a fresh catalog is gone; one that is missing from a stale catalog, or from one that
    /// is still being read, may be new.
    pub(super) fn usable(&self, now: Time, named: &Named, claim: &Claim) -> Option<Arc<Endpoint>> {
        /// Age up to which a catalog is fresh. Its source confirms it about every second.
        const MAX_FRESH_AGE: Duration = Duration::from_millis(2_500);
        let catalog = self.catalog.read();
        let accepts = |software: &Option<Name>| claim.requirements.accepts(software.as_ref());
        if let Some(endpoint) = catalog.endpoints.get(&named.id) {
            let is_usable = endpoint.ready && accepts(&endpoint.software);
            return is_usable.then(|| Arc::clone(endpoint));
        }
        let is_confirmed = catalog.confirmed > Time::ZERO;
        if is_confirmed && now.since(catalog.confirmed) < MAX_FRESH_AGE {
            return None;
        }
        if !accepts(&named.software) {
            return None;
        }
        Some(Arc::new(Endpoint {
            id: named.id.clone(),
            service: claim.service.clone(),
            address: named.address,
            zone: "".into(),
            slots: 1,
            ready: true,
            incarnation: 0,
            software: named.software.clone(),
        }))
    }

    /// Grants the endpoint that this node uses least, when no pool answers.
    pub(super) fn admit_locally(&self, now: Time, seq: u64) {
        let Some(waiting) = self.waiting.borrow_mut().remove(&seq) else {
            return;
        };
        let catalog = self.catalog.read();
        let held = self.held.borrow();
        let used = |id: &Name| {
            held.values()
                .filter(|held| held.renewal.endpoint == *id)
                .count()
        };
        // Endpoints that have failed the request are used again if all have, as a pool does.
        let has_failed = |id: &Name| waiting.claim.requirements.avoid.contains(id);
        let best = catalog
            .endpoints
            .values()
            .filter(|endpoint| {
                let software = endpoint.software.as_ref();
                endpoint.ready
                    && endpoint.service == waiting.claim.service
                    && waiting.claim.requirements.accepts(software)
            })
            .min_by_key(|endpoint| {
                let id = &endpoint.id;
                (has_failed(id), used(id), rank(seq, id))
            });
        log::info!(
            "{} alone=true waited_ms={} service={}",
            event::POOL_CHANGED,
            now.since(waiting.started).as_millis(),
            waiting.claim.service,
        );
        let result = match best {
            Some(endpoint) => Ok(Granted {
                endpoint: Arc::clone(endpoint),
                owner: None,
            }),
            None => Err(Refusal::NoEndpoint(NO_ENDPOINT_RETRY_DELAY)),
        };
        // Fails only if the requester is gone.
        let _ = waiting.reply.send(result);
    }
}

/// Ranks an endpoint for one decision. Each decision has an order of its own: nodes and requests
/// that shared an order would all use the same endpoint.
fn rank(seq: u64, endpoint: &Name) -> u64 {
    xxh3_64_with_seed(endpoint.as_bytes(), seq)
}
