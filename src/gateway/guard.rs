//! Counts that must be given back however a request ends.
//!
//! A caller that goes away drops the request's future in the middle. Without
//! these guards its place would stay taken, and a gateway would refuse more and
//! more until it was restarted.

use super::Gateway;
use crate::dispatch::Load;
use crate::name::Name;
use crate::outcome::Refusal;
use crate::request::Request;
use crate::route::Verdict;

/// A request's place at the gate and within its organisation's limits.
pub struct Passage<'a> {
    gateway: &'a Gateway,
    organisation: Name,
}

impl<'a> Passage<'a> {
    /// Takes a place.
    ///
    /// # Errors
    /// The refusal of the gate or of the organisation's limits; nothing ran.
    pub fn enter(gateway: &'a Gateway, request: &Request) -> Result<Self, Refusal> {
        let organisation = request.organisation.clone();
        let now = gateway.shared.clock.now();
        gateway.limiter.borrow_mut().admit(now, &organisation)?;
        let mut gate = gateway.gate.borrow_mut();
        if let Err(refusal) = gate.enter(request.class, &organisation) {
            gateway.limiter.borrow_mut().release(&organisation);
            return Err(refusal);
        }
        Ok(Self {
            gateway,
            organisation,
        })
    }
}

impl Drop for Passage<'_> {
    fn drop(&mut self) {
        self.gateway.gate.borrow_mut().leave(&self.organisation);
        self.gateway
            .limiter
            .borrow_mut()
            .release(&self.organisation);
    }
}

/// One attempt, as the router counts it.
pub struct Flight<'a> {
    gateway: &'a Gateway,
    id: u64,
    ended: bool,
}

impl<'a> Flight<'a> {
    /// The request is about to be sent.
    pub fn start(gateway: &'a Gateway, endpoint: &str, blocks: &[u64]) -> Self {
        let id = gateway.last_flight.get() + 1;
        gateway.last_flight.set(id);
        let now = gateway.shared.clock.now();
        let mut router = gateway.router.borrow_mut();
        router.sent(now, id, endpoint, blocks);
        Self {
            gateway,
            id,
            ended: false,
        }
    }

    /// A token came; with the first one of a run comes the endpoint's load.
    pub fn first_token(&self, endpoint: &str, load: Option<Load>) {
        let now = self.gateway.shared.clock.now();
        let mut router = self.gateway.router.borrow_mut();
        router.first_token(now, self.id);
        if let Some(load) = load {
            router.loaded(now, endpoint, load);
        }
    }

    /// The attempt ended.
    pub fn end(mut self, verdict: Verdict, load: Option<Load>) {
        self.ended = true;
        self.tell(verdict, load);
    }

    fn tell(&self, verdict: Verdict, load: Option<Load>) {
        let now = self.gateway.shared.clock.now();
        let mut router = self.gateway.router.borrow_mut();
        router.ended(now, self.id, verdict, load);
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(Verdict::Withdrawn, None);
        }
    }
}
