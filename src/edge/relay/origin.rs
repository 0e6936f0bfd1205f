//! Where a stream that its caller resumes may go on.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{RETRY_DELAY, Relay};
use crate::catalog::{Endpoint, Kind};
use crate::name::Name;
use crate::origin::{Key, Origin};
use crate::platform::call;
use crate::quarantine::Subject;

/// Age up to which the list of endpoints shows that only one version serves. A store that answers
/// confirms the list within 950 ms, so that some streams wait for that.
const MAX_LIST_AGE: Duration = Duration::from_millis(700);
/// How long a stream waits for the list to be confirmed. A node that the store does not answer asks
/// other members after 1.5 s.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks of the age.
const CONFIRMATION_POLL: Duration = Duration::from_millis(20);

impl Relay {
    /// Finds out at which software version a stream goes on that the caller resumes. Returns false
    /// if that is unknown; the request has then been refused.
    pub(super) async fn settle_origin(&mut self) -> bool {
        let is_stream = matches!(self.call.route.kind, Kind::Stream { .. });
        if !is_stream || self.attempt.last().is_none() {
            return true;
        }
        match self.find_origin().await {
            Ok(origin) => {
                if self.call.service != origin.service {
                    self.move_to(origin.service);
                }
                self.attempt.resume_at(origin.software);
                true
            }
            Err(why) => {
                self.end(why, RETRY_DELAY).await;
                false
            }
        }
    }

    /// Sends the request to another service of its route.
    fn move_to(&mut self, service: Name) {
        let call = &mut self.call;
        let organisation = call.organisation.as_ref().map(|it| &*it.name);
        let parts = call::shared_parts(&call.forward.headers);
        call.subject = Subject::new(call.subject.request, &service, organisation, parts);
        call.service = service;
    }

    async fn find_origin(&self) -> Result<Origin, &'static str> {
        let Some(resumed) = &self.call.resumes else {
            if !self.has_recent_list().await {
                return Err("endpoints_unconfirmed");
            }
            return self.only_origin().ok_or("origin_unnamed");
        };
        let left = self.attempt.deadline().since(self.node.clock.now());
        let asked = self.node.broker.find_origin(self.key(resumed));
        let found = timeout(left, asked).await.ok().flatten();
        let origin = found.ok_or("origin_unknown")?;
        // The configuration may have moved the route since.
        let targets = &self.call.route.targets;
        let is_allowed = targets
            .iter()
            .any(|it| it.service == origin.service && it.weight > 0);
        is_allowed.then_some(origin).ok_or("origin_moved")
    }

    /// Waits until the list of endpoints is recent, and returns false if it is not in time. A node that is
    /// cut off or was paused does not know the endpoints of versions that joined meanwhile.
    async fn has_recent_list(&self) -> bool {
        let is_recent = || {
            let now = self.node.clock.now();
            now.since(self.node.catalog.read().confirmed) <= MAX_LIST_AGE
        };
        let left = self.attempt.deadline().since(self.node.clock.now());
        let wait = async {
            while !is_recent() {
                sleep(CONFIRMATION_POLL).await;
            }
        };
        timeout(left.min(CONFIRMATION_TIMEOUT), wait).await.is_ok()
    }

    /// Returns the only origin that a stream can have whose caller doesn't name the request that
    /// began it.
    fn only_origin(&self) -> Option<Origin> {
        let service = self.call.service.clone();
        let catalog = self.node.catalog.read();
        let software = catalog.endpoints.only_software(&service)?.clone();
        Some(Origin { service, software })
    }

    /// Tells other nodes what begins the answer, before its caller has the first event.
    pub(super) fn tell_origin(&self, endpoint: &Endpoint) {
        let Some(software) = &endpoint.software else {
            return;
        };
        let origin = Origin {
            service: self.call.service.clone(),
            software: software.clone(),
        };
        let key = self.key(&self.call.forward.id);
        self.node.broker.tell_origin(key, &origin);
    }

    fn key(&self, id: &Name) -> Key {
        let organisation = self.call.organisation.as_ref();
        let organisation = organisation.map(|it| &*it.name);
        Key::of(&self.call.route.host, organisation, id)
    }
}
