//! Admission of a request: its organisation's rate limit, and a slot at an endpoint.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::TryFutureExt as _;
use futures_util::future::try_join;
use hyper::StatusCode;

use super::{Head, Relay, START_RESERVE};
use crate::clock::Time;
use crate::event;
use crate::permit::count::{Denial, Limited};
use crate::permit::{Claim, Permit, Refusal};
use crate::platform::call;
use crate::pool::message::{Class, Requirements};
use crate::quarantine::evidence::Status;

/// Why a request was not admitted.
pub(super) enum Denied {
    /// The pool granted no slot.
    Slot(Refusal),
    /// The organisation's rate limit is exceeded or could not be checked.
    Count(Denial),
}

impl Relay {
    /// Acquires a slot, and counts the request once against its organisation's rate limit. Both
    /// run concurrently, except for an organisation that was over its limit a moment ago, which
    /// must pass the limit first.
    pub(super) async fn admit(&mut self, claim: Claim) -> Result<Permit, Denied> {
        let broker = Rc::clone(&self.node.broker);
        let limited = self.limited().filter(|_| self.token.is_none());
        let Some(limited) = limited else {
            return broker.acquire(claim).await.map_err(Denied::Slot);
        };
        if broker.was_over_limit(&limited) {
            self.token = Some(broker.count(limited).await.map_err(Denied::Count)?);
            return broker.acquire(claim).await.map_err(Denied::Slot);
        }
        let count = broker.count(limited).map_err(Denied::Count);
        let permit = broker.acquire(claim).map_err(Denied::Slot);
        let (token, permit) = try_join(count, permit).await?;
        self.token = Some(token);
        Ok(permit)
    }

    pub(super) fn limited(&self) -> Option<Limited> {
        let organisation = self.call.organisation.as_ref()?;
        Some(Limited {
            rate: organisation.rate?,
            organisation: Arc::clone(organisation),
            version: self.call.version,
        })
    }

    /// Records whether the request counts against its organisation's rate limit.
    pub(super) fn mark_spent(&mut self, may_have_run: bool) {
        if let Some(token) = &mut self.token {
            token.spend(may_have_run);
        }
    }

    pub(super) fn claim(&self, now: Time, left: Duration, max_wait: Duration) -> Claim {
        let goal = self.call.arrived + self.call.route.goal;
        // A stream that has begun must be completed, so it may wait until the deadline. Any
        // other request is rejected with a retry delay once its latency goal can't be met.
        let useful_wait = if self.attempt.has_begun() || !self.attempt.is_not_run() {
            left
        } else {
            goal.since(now).saturating_sub(START_RESERVE)
        };
        Claim {
            service: self.call.service.clone(),
            requirements: Requirements {
                class: Class::Online,
                priority: self.priority(),
                zone: self.node.zone.clone(),
                max_wait: useful_wait.min(max_wait),
                due: left,
                prefix: self.call.prefix,
                // The rate limit already keeps an organisation from taking others' slots.
                organisation: 0,
                request: self.node.detector.admitted_as(&self.call.subject),
                suspect: self.is_suspect(),
                avoid: self.tried.clone(),
                software: self.attempt.software().cloned(),
            },
        }
    }

    fn is_suspect(&self) -> bool {
        self.node.detector.status(&self.call.subject) != Status::Clear
    }

    /// An organisation's own priority overrides that of its route.
    pub(super) fn priority(&self) -> u8 {
        let own = self.call.organisation.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.call.route.priority)
    }

    pub(super) async fn reject(&mut self, refusal: Refusal) {
        let (why, retry_after) = match refusal {
            Refusal::Busy(retry_after) => ("busy", retry_after),
            Refusal::NoEndpoint(retry_after) => ("no_endpoint", retry_after),
        };
        self.end(why, retry_after).await;
    }

    /// Rejects a request of an organisation that is over its rate limit.
    pub(super) fn reject_over_limit(&mut self, retry_after: Duration) {
        let why = "over_limit";
        let organisation = self.call.organisation.as_ref();
        let limit = organisation.and_then(|it| it.rate);
        log::info!(
            "{} id={} route={} why={why} organisation={} per_second={:?} burst={:?} config={} retry_after_ms={}",
            event::REQUEST_REFUSED,
            self.call.forward.id,
            self.call.route.name,
            organisation.map_or("-", |it| &it.name),
            limit.map(|it| it.per_second),
            limit.map(|it| it.burst),
            self.call.version,
            retry_after.as_millis(),
        );
        self.node.count.refuse(why);
        if let Some(organisation) = organisation {
            self.node.count.over_limit(&organisation.name);
        }
        let mut response = call::refuse(
            StatusCode::TOO_MANY_REQUESTS,
            "not run; your organisation is over its rate limit, retry later",
            retry_after,
        );
        self.finish_head(response.headers_mut());
        if let Some(head) = self.head.take() {
            // An error means that the caller has disconnected.
            let _ = head.send(Head::Whole(response));
        }
    }
}
