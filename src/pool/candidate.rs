//! State of one endpoint within a pool.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::fault::ErrorRates;
use super::message::{Class, Requirements};
use crate::catalog::Endpoint;
use crate::clock::Time;
use crate::name::Name;

/// How long an endpoint is paused after its first failure; each further one
/// doubles it.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of strikes, which limits the pause so that a restarted endpoint is
/// used again within 4 s.
const MAX_STRIKES: u32 = 4;
/// How long an endpoint that reported that it is full is paused.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// Maximum number of prompt prefixes remembered per endpoint. An endpoint whose cache
/// holds 100,000 tokens keeps a few hundred prefixes of about 200 tokens.
const MAX_PREFIXES: usize = 256;
/// Bonus on the score for a cached prefix, as a fraction of the endpoint's slots. It
/// saves about 4 ms of prefill, far less than the cost of queueing.
const PREFIX_BONUS: f64 = 0.2;
/// Penalty on the score of an endpoint in another availability zone, in the same unit.
const ZONE_COST: f64 = 0.05;

/// Part of the score of endpoints in a zone.
pub(super) fn zone_cost(zone: &Name, requirements: &Requirements) -> f64 {
    if *zone == requirements.zone {
        0.0
    } else {
        ZONE_COST
    }
}

#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) endpoint: Arc<Endpoint>,
    /// Slots used by online requests.
    pub(super) online: u32,
    /// Slots used by batch runs, without those that are being preempted.
    pub(super) batch: u32,
    paused_until: Time,
    /// Number of consecutive ejections; not zero while the endpoint is on trial.
    strikes: u32,
    error_rates: ErrorRates,
    prefixes: VecDeque<u64>,
}

impl Candidate {
    pub(super) fn new(endpoint: Arc<Endpoint>) -> Self {
        Self {
            endpoint,
            online: 0,
            batch: 0,
            paused_until: Time::ZERO,
            strikes: 0,
            error_rates: ErrorRates::default(),
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

    pub(super) fn occupy(&mut self, class: Class) {
        match class {
            Class::Online => self.online += 1,
            Class::Batch => self.batch += 1,
        }
    }

    pub(super) fn vacate(&mut self, class: Class) {
        let held = match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        };
        *held = held.saturating_sub(1);
    }

    pub(super) fn is_available(&self, now: Time) -> bool {
        self.endpoint.ready && now >= self.paused_until
    }

    /// Slots that are not in use, also while the endpoint is paused or on trial.
    pub(super) fn unused(&self) -> u32 {
        self.slots().saturating_sub(self.online + self.batch)
    }

    /// True while fewer slots may be free than unused.
    pub(super) fn is_impaired(&self) -> bool {
        self.strikes > 0 || self.paused_until > Time::ZERO
    }

    /// Slots that can be granted now.
    pub(super) fn free(&self, now: Time) -> u32 {
        if !self.is_available(now) {
            return 0;
        }
        // After a failure only trial slots are available.
        let slots = match self.strikes {
            0 => self.slots(),
            _ => self.error_rates.trial_slots(self.slots()),
        };
        slots.saturating_sub(self.online + self.batch)
    }

    /// Part of the score that is the same for all requests: the share of the slots in use, and
    /// more after failures.
    pub(super) fn load(&self) -> f64 {
        let load = f64::from(self.online + self.batch) / f64::from(self.slots().max(1));
        load + f64::from(self.strikes)
    }

    /// Score of the endpoint for a request; lower is better.
    pub(super) fn score(&self, requirements: &Requirements) -> f64 {
        let mut score = self.load();
        if requirements.class == Class::Online && self.has_prefix(requirements.prefix) {
            score -= PREFIX_BONUS;
        }
        score + zone_cost(&self.endpoint.zone, requirements)
    }

    /// True if the catalog entry is that of another process than the current one.
    pub(super) fn incarnation_differs(&self, endpoint: &Endpoint) -> bool {
        self.endpoint.incarnation != endpoint.incarnation
    }

    /// Updates the endpoint's catalog entry. If its process has restarted, all other state is
    /// reset. Failures, used slots and cached prefixes of the previous process would misdirect
    /// requests.
    pub(super) fn update(&mut self, endpoint: &Arc<Endpoint>) {
        if self.incarnation_differs(endpoint) {
            *self = Self::new(Arc::clone(endpoint));
        } else {
            self.endpoint = Arc::clone(endpoint);
        }
    }

    pub(super) fn has_prefix(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    pub(super) fn prefixes(&self) -> impl Iterator<Item = u64> {
        self.prefixes.iter().copied()
    }

    /// Records a cached prefix, and returns the one that it displaces.
    pub(super) fn remember_prefix(&mut self, prefix: u64) -> Option<u64> {
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > MAX_PREFIXES {
            return self.prefixes.pop_front();
        }
        None
    }

    /// Records a good answer. Returns true when it ends the endpoint's trial, which
    /// takes several good answers, so that an endpoint that fails some of its requests
    /// stays on trial.
    pub(super) fn record_success(&mut self, class: Class) -> bool {
        self.error_rates.record(class, true);
        if self.strikes == 0 || !self.error_rates.is_healthy() {
            return false;
        }
        self.strikes = 0;
        true
    }

    /// Records an error, and returns the error rate.
    pub(super) fn record_error(&mut self, class: Class) -> f64 {
        self.error_rates.record(class, false);
        self.error_rates.rate(class)
    }

    pub(super) fn error_rate(&self, class: Class) -> f64 {
        self.error_rates.rate(class)
    }

    /// Error rate in thousandths, for the log.
    pub(super) fn error_permille(&self, class: Class) -> u32 {
        // The rate is between 0 and 1.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = (self.error_rates.rate(class) * 1_000.0) as u32;
        thousandths
    }

    /// Pauses the endpoint and returns for how long. Failures of requests that were sent
    /// before the pause are ignored; otherwise an endpoint that loses eight runs at
    /// once would be paused for 4 s.
    pub(super) fn pause(&mut self, now: Time) -> Option<Duration> {
        if now < self.paused_until {
            return None;
        }
        let pause = INITIAL_PAUSE * 2_u32.pow(self.strikes.min(MAX_STRIKES - 1));
        self.paused_until = now + pause;
        self.strikes = (self.strikes + 1).min(MAX_STRIKES);
        Some(pause)
    }

    pub(super) fn strikes(&self) -> u32 {
        self.strikes
    }

    pub(super) fn pause_full(&mut self, now: Time) {
        self.paused_until = self.paused_until.max(now + FULL_PAUSE);
    }
}
