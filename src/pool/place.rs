//! One endpoint as the pool sees it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::fault::Faults;
use super::message::{Class, Requirements};
use crate::catalog::Endpoint;
use crate::clock::Time;

/// How long an endpoint is left out after its first failure; each further one
/// doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Most doublings, so that a restarted endpoint is found within 4 s.
const MOST_STRIKES: u32 = 4;
/// How long an endpoint that said that it is full is left out.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// Prompt prefixes that are remembered an endpoint; an endpoint of 100,000
/// tokens keeps a few hundred prefixes of some 200 tokens.
const PREFIXES: usize = 256;
/// What a remembered prefix is worth, in slots' shares: it saves some 4 ms of
/// reading, far less than a queue costs.
const PREFIX_WORTH: f64 = 0.2;
/// What another availability zone costs, in the same measure.
const ZONE_COST: f64 = 0.05;

#[derive(Debug)]
pub(super) struct Place {
    pub(super) endpoint: Arc<Endpoint>,
    /// Slots that hold online requests.
    pub(super) online: u32,
    /// Slots that hold batch runs which were not told to stop.
    pub(super) batch: u32,
    closed_until: Time,
    strikes: u32,
    faults: Faults,
    prefixes: VecDeque<u64>,
}

impl Place {
    pub(super) fn new(endpoint: Arc<Endpoint>) -> Self {
        Self {
            endpoint,
            online: 0,
            batch: 0,
            closed_until: Time::ZERO,
            strikes: 0,
            faults: Faults::default(),
            prefixes: VecDeque::new(),
        }
    }

    pub(super) fn slots(&self) -> u32 {
        if self.endpoint.ready {
            self.endpoint.slots
        } else {
            0
        }
    }

    pub(super) fn add(&mut self, class: Class) {
        match class {
            Class::Online => self.online += 1,
            Class::Batch => self.batch += 1,
        }
    }

    pub(super) fn take(&mut self, class: Class) {
        let held = match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        *held = held.saturating_sub(1);
    }

    pub(super) fn is_open(&self, now: Time) -> bool {
        self.endpoint.ready && now >= self.closed_until
    }

    pub(super) fn free(&self, now: Time) -> u32 {
        if !self.is_open(now) {
            return 0;
        }
        // After a failure a single request tries it first.
        let slots = match self.strikes {
            0 => self.slots(),
            _ => self.faults.trial(self.slots()),
        };
        slots.saturating_sub(self.online + self.batch)
    }

    /// Less is better.
    pub(super) fn score(&self, requirements: &Requirements) -> f64 {
        let load = f64::from(self.online + self.batch) / f64::from(self.slots().max(1));
        let mut score = load + f64::from(self.strikes);
        if requirements.class == Class::Online && self.prefixes.contains(&requirements.prefix) {
            score -= PREFIX_WORTH;
        }
        if self.endpoint.zone != requirements.zone {
            score += ZONE_COST;
        }
        score
    }

    /// Takes the endpoint as its entry now is. One that started again knows
    /// nothing of before: what its earlier process failed at, was full of or kept
    /// of prompts would send work away from it, or to it in vain. True when it did.
    pub(super) fn renew(&mut self, endpoint: &Arc<Endpoint>) -> bool {
        let restarted = self.endpoint.incarnation != endpoint.incarnation;
        if restarted {
            *self = Self::new(Arc::clone(endpoint));
        } else {
            self.endpoint = Arc::clone(endpoint);
        }
        restarted
    }

    pub(super) fn granted(&mut self, prefix: u64) {
        if prefix == 0 || self.prefixes.contains(&prefix) {
            return;
        }
        if self.prefixes.len() >= PREFIXES {
            self.prefixes.pop_front();
        }
        self.prefixes.push_back(prefix);
    }

    /// One that fails a part of its requests stays on trial after a good answer,
    /// until several have come.
    /// True when that ends its trial.
    pub(super) fn succeeded(&mut self, class: Class) -> bool {
        self.faults.answered(class, true);
        if self.strikes == 0 || !self.faults.is_sound() {
            return false;
        }
        self.strikes = 0;
        true
    }

    pub(super) fn erred(&mut self, class: Class) {
        self.faults.answered(class, false);
    }

    pub(super) fn error_rate(&self, class: Class) -> f64 {
        self.faults.rate(class)
    }

    /// The same in thousandths, for the log.
    pub(super) fn errors(&self, class: Class) -> u32 {
        // A rate lies between 0 and 1.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = (self.faults.rate(class) * 1_000.0) as u32;
        thousandths
    }

    /// Closes it for a while, and returns for how long. What was sent before it
    /// was closed, and fails only now, tells nothing new: an endpoint with eight
    /// runs that all break off at once would otherwise stay closed for 4 s.
    pub(super) fn failed(&mut self, now: Time) -> Option<Duration> {
        if now < self.closed_until {
            return None;
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.strikes.min(MOST_STRIKES - 1));
        self.closed_until = now + pause;
        self.strikes = (self.strikes + 1).min(MOST_STRIKES);
        Some(pause)
    }

    pub(super) fn strikes(&self) -> u32 {
        self.strikes
    }

    pub(super) fn full(&mut self, now: Time) {
        self.closed_until = self.closed_until.max(now + FULL_PAUSE);
    }
}
