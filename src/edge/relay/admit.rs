//! Whether a request may be sent now, and where: its organisation's limit, and a
//! place at an endpoint.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::TryFutureExt as _;
use futures_util::future::try_join;
use hyper::StatusCode;

use super::{Head, Relay, START};
use crate::clock::Time;
use crate::event;
use crate::permit::count::{Denial, Limited};
use crate::permit::{Permit, Refusal, Want};
use crate::platform::call;
use crate::pool::message::{Ask, Class};
use crate::quarantine::evidence::Standing;

/// Why there is no place.
pub(super) enum Denied {
    /// The pool refused.
    Place(Refusal),
    /// Its organisation's limit.
    Count(Denial),
}

impl Relay {
    /// Finds a place, and counts the request once against its organisation's
    /// limit. Both go on at the same time, but for an organisation that was over
    /// its limit a moment ago.
    pub(super) async fn admit(&mut self, want: Want) -> Result<Permit, Denied> {
        let desk = Rc::clone(&self.node.desk);
        let limited = self.limited().filter(|_| self.token.is_none());
        let Some(limited) = limited else {
            return desk.acquire(want).await.map_err(Denied::Place);
        };
        if desk.is_suspicious(&limited) {
            self.token = Some(desk.count(limited).await.map_err(Denied::Count)?);
            return desk.acquire(want).await.map_err(Denied::Place);
        }
        let count = desk.count(limited).map_err(Denied::Count);
        let place = desk.acquire(want).map_err(Denied::Place);
        let (token, permit) = try_join(count, place).await?;
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

    /// Notes whether the request counts against its organisation's limit.
    pub(super) fn spend(&mut self, may_have_run: bool) {
        if let Some(token) = &mut self.token {
            token.spend(may_have_run);
        }
    }

    pub(super) fn want(&self, now: Time, left: Duration) -> Want {
        let goal = self.call.arrived + self.call.route.goal;
        // A stream that has begun must go on; everything else is better told
        // to come back than kept waiting past its aim.
        let patience = if self.attempt.has_begun() || !self.attempt.is_unrun() {
            left
        } else {
            goal.since(now).saturating_sub(START)
        };
        Want {
            service: self.call.service.clone(),
            ask: Ask {
                class: Class::Online,
                priority: self.priority(),
                zone: self.node.zone.clone(),
                patience,
                due: left,
                prefix: self.call.prefix,
                // Its limit keeps an organisation from taking others' places.
                organisation: 0,
                request: self.call.print,
                suspect: self.is_suspect(),
                avoid: self.avoid.clone(),
            },
        }
    }

    fn is_suspect(&self) -> bool {
        self.node.ward.standing(self.call.print) != Standing::Clear
    }

    /// An organisation's own priority goes before its route's.
    pub(super) fn priority(&self) -> u8 {
        let own = self.call.organisation.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.call.route.priority)
    }

    pub(super) async fn refused(self, refusal: Refusal) {
        let (why, retry_after) = match refusal {
            Refusal::Busy(retry_after) => ("busy", retry_after),
            Refusal::NoEndpoint(retry_after) => ("no_endpoint", retry_after),
        };
        self.end(why, retry_after).await;
    }

    /// The organisation sends more than its limit.
    pub(super) fn over(mut self, wait: Duration) {
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
            wait.as_millis(),
        );
        self.node.count.refuse(why);
        if let Some(organisation) = organisation {
            self.node.count.over_limit(&organisation.name);
        }
        let mut response = call::refuse(
            StatusCode::TOO_MANY_REQUESTS,
            "not run; your organisation is over its limit, come back later",
            wait,
        );
        self.finish_head(response.headers_mut());
        if let Some(head) = self.head.take() {
            // A failure means that the caller has gone.
            let _ = head.send(Head::Whole(response));
        }
    }
}
