//! What one gateway takes on at a time, shed by class and fairly.

use std::collections::HashMap;
use std::time::Duration;

use crate::name::Name;
use crate::outcome::{Reason, Refusal};
use crate::request::Class;

/// Part of the capacity above which batch work is refused.
const BATCH_PART: f64 = 0.7;
/// Part of the capacity above which organisations are held to equal parts.
const FAIR_PART: f64 = 0.8;
/// When a refused request should come back.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Counts what is under way at one gateway.
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
    /// A gate for `capacity` requests at a time.
    pub fn new(capacity: u32) -> Self {
        Self {
            capacity: capacity.max(1),
            total: 0,
            running: HashMap::new(),
        }
    }

    /// Lets a request in, which [`Admission::leave`] must end.
    ///
    /// # Errors
    /// [`Reason::Overloaded`] with when to come back; nothing has run.
    pub fn admit(&mut self, class: Class, organisation: &Name) -> Result<(), Refusal> {
        let own = self.running.get(organisation).copied().unwrap_or(0);
        if !self.admits(class, own) {
            return Err(Refusal::new(Reason::Overloaded).after(RETRY_AFTER));
        }
        self.total += 1;
        *self.running.entry(Name::clone(organisation)).or_default() += 1;
        Ok(())
    }

    /// A request that was let in has ended.
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

    /// Requests under way.
    pub fn total(&self) -> u32 {
        self.total
    }

    fn admits(&self, class: Class, own: u32) -> bool {
        let part = f64::from(self.total) / f64::from(self.capacity);
        if part >= 1.0 || (class == Class::Batch && part >= BATCH_PART) {
            return false;
        }
        if part < FAIR_PART {
            return true;
        }
        // One more than are here, so that there is a place for a newcomer.
        let sharing = self.running.len() + 1;
        f64::from(own) < f64::from(self.capacity) / sharing as f64
    }
}
