//! What a gateway decides by itself: whether it may use an endpoint that a pool
//! named, and which one it takes when no pool answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::{Broker, Granted, NO_ENDPOINT_RETRY, Refusal, hash};
use crate::catalog::Endpoint;
use crate::clock::Time;
use crate::event;
use crate::name::Name;

impl Broker {
    /// The endpoint, unless this node's catalog says that it takes no work. One
    /// that a fresh catalog lacks is gone; one that an old catalog lacks may be
    /// new.
    pub(super) fn usable(
        &self,
        now: Time,
        id: &Name,
        service: &Name,
        address: SocketAddr,
    ) -> Option<Arc<Endpoint>> {
        /// A catalog is fresh while its source confirms it about each second.
        const FRESH: Duration = Duration::from_millis(2_500);
        let catalog = self.catalog.read();
        if let Some(endpoint) = catalog.endpoints.get(id) {
            return endpoint.ready.then(|| Arc::clone(endpoint));
        }
        if now.since(catalog.confirmed) < FRESH {
            return None;
        }
        Some(Arc::new(Endpoint {
            id: id.clone(),
            service: service.clone(),
            address,
            zone: "".into(),
            slots: 1,
            ready: true,
            incarnation: 0,
        }))
    }

    /// No pool answers: takes the endpoint that this node uses least.
    pub(super) fn admit_alone(&self, now: Time, seq: u64) {
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
        let best = catalog
            .endpoints
            .values()
            .filter(|endpoint| {
                endpoint.ready
                    && endpoint.service == waiting.want.service
                    && !waiting.want.requirements.avoid.contains(&endpoint.id)
            })
            .min_by_key(|endpoint| (used(&endpoint.id), seq ^ hash(&endpoint.id)));
        log::info!(
            "{} alone=true waited_ms={} service={}",
            event::POOL_CHANGED,
            now.since(waiting.since).as_millis(),
            waiting.want.service,
        );
        let result = match best {
            Some(endpoint) => Ok(Granted {
                endpoint: Arc::clone(endpoint),
                owner: None,
            }),
            None => Err(Refusal::NoEndpoint(NO_ENDPOINT_RETRY)),
        };
        // A failure means that the asker has gone.
        let _ = waiting.reply.send(result);
    }
}
