//! Admission control of a gateway: a limit on concurrent requests, with load shedding by class
//! and fairness between organisations.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::Name;
use crate::outcome::{Reason, Refusal};
use crate::request::Class;

/// Fraction of the capacity from which on batch work is refused.
const BATCH_FRACTION: f64 = 0.7;
/// Fraction of the capacity from which on organisations are limited to equal parts.
const FAIR_FRACTION: f64 = 0.8;
/// Delay after which a refused request should be retried.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Counts the requests in flight at one gateway.
///
/// Without it an overloaded gateway would run out of memory, and one noisy
/// organisation could fill it for all others.
#[derive(Debug)]
pub struct Admission {
    capacity: u32,
    total: u32,
    running: HashMap<Name, u32>,
}

impl Admission {
    /// Creates the admission control for `capacity` concurrent requests.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity.max(1),
            total: 0,
            running: HashMap::new(),
        }
    }

    /// Admits a request; [`Admission::release`] must be called when it ends.
    ///
    /// # Errors
    /// [`Reason::Overloaded`] with the delay until a retry; nothing has run.
    pub fn admit(&mut self, class: Class, organisation: &Name) -> Result<(), Refusal> {
        let own = self.running.get(organisation).copied().unwrap_or(0);
        if !self.admits(class, own) {
            return Err(Refusal::new(Reason::Overloaded).after(RETRY_AFTER));
        }
        self.total += 1;
        *self.running.entry(Name::clone(organisation)).or_default() += 1;
        Ok(())
    }

    /// Records that an admitted request has ended.
    pub fn release(&mut self, organisation: &str) {
        let Some(own) = self.running.get_mut(organisation) else {
            return;
        };
        *own -= 1;
        self.total -= 1;
        if *own == 0 {
            self.running.remove(organisation);
        }
    }

    /// Returns the number of requests in flight.
    pub fn total(&self) -> u32 {
        self.total
    }

    fn admits(&self, class: Class, own: u32) -> bool {
        let load = f64::from(self.total) / f64::from(self.capacity);
        if load >= 1.0 || (class == Class::Batch && load >= BATCH_FRACTION) {
            return false;
        }
        if load < FAIR_FRACTION {
            return true;
        }
        // One more than are present, to reserve room for another organisation.
        let sharing = self.running.len() + 1;
        f64::from(own) < f64::from(self.capacity) / sharing as f64
    }
}
