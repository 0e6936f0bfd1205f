//! What the log and the counters say of a request.

use std::time::Duration;

use hyper::StatusCode;

use super::Relay;
use crate::attempt::Next;
use crate::catalog::Endpoint;
use crate::clock::Uptime;
use crate::event;
use crate::identity;
use crate::name::Name;

impl Relay {
    /// Logs and counts a request that ends without a whole answer. `status` is none for a stream that
    /// has begun. The status may be an endpoint's, which is no rejection of this node.
    pub(super) fn log_refused(
        &self,
        next: Next,
        why: &'static str,
        status: Option<StatusCode>,
        retry_after: Duration,
    ) {
        let now = self.node.clock.now();
        let verdict = self.node.detector.condemned_by(&self.call.subject);
        log::info!(
            "{} id={} route={} print={} why={why} answer={next:?} status={} verdict={} waited_ms={} retry_after_ms={}",
            event::REQUEST_REFUSED,
            self.call.forward.id,
            self.call.route.name,
            self.call.subject.request,
            status.map_or(0, |it| it.as_u16()),
            verdict.map_or_else(|| "-".to_owned(), |it| it.to_string()),
            now.since(self.call.arrived).as_millis(),
            retry_after.as_millis(),
        );
        if let Some(status) = status.filter(|_| next != Next::Pass || verdict.is_some()) {
            self.node.count.reject(why, status);
        }
    }

    pub(super) fn log_granted(&self, endpoint: &Endpoint) {
        let now = self.node.clock.now();
        let catalog = self.node.catalog.read();
        log::info!(
            "{} id={} print={} organisation={} endpoint={} software={} waited_ms={} behind={:?} resumes={} known_ms={} config={} vouched_ms={:?}",
            event::REQUEST_GRANTED,
            self.call.forward.id,
            self.call.subject.request,
            self.call.organisation.as_ref().map_or("-", |it| &it.name),
            endpoint.id,
            endpoint.software.as_deref().unwrap_or("-"),
            now.since(self.call.arrived).as_millis(),
            self.attempt.last(),
            self.call.resumes.as_deref().unwrap_or("-"),
            now.since(catalog.confirmed).as_millis(),
            catalog.config.as_ref().map_or(0, |config| config.version),
            identity::age(&catalog, Uptime::now()).map(|age| age.as_millis()),
        );
    }

    /// Counts a run that resumes a stream.
    pub(super) fn count_resumption(&self, endpoint: &Endpoint) {
        if self.attempt.last().is_none() {
            return;
        }
        let by = if self.attempt.has_begun() {
            "node"
        } else {
            "caller"
        };
        let origin = self.attempt.software();
        let software = endpoint.software.as_ref();
        self.node.count.resumption(by, origin, software);
    }

    pub(super) fn log_done(&self, endpoint: &Name) {
        let took = self.node.clock.now().since(self.call.arrived);
        log::info!(
            "{} id={} route={} endpoint={endpoint} first_ms={:?} took_ms={} last={:?} framing={} end={}",
            event::REQUEST_DONE,
            self.call.forward.id,
            self.call.route.name,
            self.first.map(|first| first.as_millis()),
            took.as_millis(),
            self.attempt.last(),
            self.ending.map_or("-", |(framing, _)| framing.label()),
            self.ending.map_or("-", |(_, end)| end.label()),
        );
        self.node.count.done(took);
    }
}
