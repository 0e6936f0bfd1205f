//! Guards that release counters however a request ends.
//!
//! A caller that disconnects drops the request's future at any await point. Without these
//! guards its slot would stay taken, and a gateway would refuse more and more requests until it
//! was restarted.

use super::Gateway;
use crate::dispatch::Load;
use crate::name::Name;
use crate::outcome::Refusal;
use crate::request::Request;
use crate::route::Verdict;

/// A request's slot at the admission and within its organisation's limits.
pub struct Admission<'a> {
    gateway: &'a Gateway,
    organisation: Name,
}

impl<'a> Admission<'a> {
    /// Acquires a slot.
    ///
    /// # Errors
    /// The refusal of the admission or of the organisation's limits; nothing ran.
    pub fn enter(gateway: &'a Gateway, request: &Request) -> Result<Self, Refusal> {
        let organisation = request.organisation.clone();
        let now = gateway.shared.clock.now();
        gateway.limiter.borrow_mut().admit(now, &organisation)?;
        let mut admission = gateway.admission.borrow_mut();
        if let Err(refusal) = admission.admit(request.class, &organisation) {
            gateway.limiter.borrow_mut().release(&organisation);
            return Err(refusal);
        }
        Ok(Self {
            gateway,
            organisation,
        })
    }
}

impl Drop for Admission<'_> {
    fn drop(&mut self) {
        self.gateway
            .admission
            .borrow_mut()
            .release(&self.organisation);
        self.gateway
            .limiter
            .borrow_mut()
            .release(&self.organisation);
    }
}

/// One attempt in flight, as counted by the router.
pub struct Attempt<'a> {
    gateway: &'a Gateway,
    id: u64,
    ended: bool,
}

impl<'a> Attempt<'a> {
    /// Registers an attempt that is about to be sent.
    pub fn start(gateway: &'a Gateway, endpoint: &str, blocks: &[u64]) -> Self {
        let id = gateway.last_attempt.get() + 1;
        gateway.last_attempt.set(id);
        let now = gateway.shared.clock.now();
        let mut router = gateway.router.borrow_mut();
        router.sent(now, id, endpoint, blocks);
        Self {
            gateway,
            id,
            ended: false,
        }
    }

    /// Records a token. The first one of a run carries the endpoint's load.
    pub fn first_token(&self, endpoint: &str, load: Option<Load>) {
        let now = self.gateway.shared.clock.now();
        let mut router = self.gateway.router.borrow_mut();
        router.first_token(now, self.id);
        if let Some(load) = load {
            router.record_load(now, endpoint, load);
        }
    }

    /// Records the end of the attempt.
    pub fn end(mut self, verdict: Verdict, load: Option<Load>) {
        self.ended = true;
        self.record_end(verdict, load);
    }

    fn record_end(&self, verdict: Verdict, load: Option<Load>) {
        let now = self.gateway.shared.clock.now();
        let mut router = self.gateway.router.borrow_mut();
        router.ended(now, self.id, verdict, load);
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.record_end(Verdict::Withdrawn, None);
        }
    }
}
