//! Outlier detection: finds endpoints that perform worse than their peers, from
//! regular traffic.
//!
//! A health check shows that a process answers, not that it generates tokens.
//! Without outlier detection, a stalled or slow endpoint keeps its share of online
//! requests, and each of them waits until its deadline. This shows in the tail of
//! the time to the first token.

use std::time::Duration;

use crate::clock::Time;

/// Consecutive failures after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Minimum number of answers before an endpoint's mean is used.
const MIN_SAMPLES: u32 = 6;
/// Factor by which an endpoint may be slower than its peers.
const SLOW_FACTOR: f64 = 2.5;
/// Margin by which an endpoint may always be slower than its peers.
const SLOW_MARGIN: Duration = Duration::from_millis(100);
/// Weight of a new sample in the moving average.
const GAIN: f64 = 0.2;
/// Time without a first token after which an endpoint with waiting requests counts as
/// stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Initial duration of an ejection; doubles each time.
const INITIAL_EJECTION: Duration = Duration::from_secs(3);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(48);

/// Result of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint answered.
    Good,
    /// The endpoint reported that it is full, which is not a fault.
    Full,
    /// The endpoint failed, truncated its answer or was unreachable.
    Failed,
    /// The requester disconnected, which proves nothing about the endpoint.
    Withdrawn,
}

/// Why an endpoint was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Consecutive attempts failed.
    Failing,
    /// Its first tokens take much longer than those of its peers.
    Slow,
    /// Requests wait for a first token that does not arrive.
    Stuck,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected { until: Time },
    Probing { since: Time },
}

/// Health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    state: State,
    ejections: u32,
    failures: u32,
    samples: u32,
    mean_us: f64,
    last_answer: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Healthy,
            ejections: 0,
            failures: 0,
            samples: 0,
            mean_us: 0.0,
            last_answer: Time::ZERO,
        }
    }
}

impl Health {
    /// True when the endpoint gets regular traffic.
    pub fn is_healthy(&self) -> bool {
        self.state == State::Healthy
    }

    /// True when a request should probe whether the endpoint has recovered.
    pub fn wants_probe(&self, now: Time) -> bool {
        match self.state {
            State::Healthy => false,
            State::Ejected { until } => now >= until,
            // The previous probe was lost.
            State::Probing { since } => now.since(since) >= MAX_EJECTION,
        }
    }

    /// Records that a probe was sent.
    pub fn start_probe(&mut self, now: Time) {
        self.state = State::Probing { since: now };
    }

    /// Mean time to the first token in microseconds, or `None` while there are too few
    /// samples.
    pub fn mean_us(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_us)
    }

    /// Records a first token.
    pub fn record_first_token(&mut self, now: Time, took: Duration, peers_us: Option<f64>) {
        self.last_answer = now;
        self.failures = 0;
        let micros = took.as_secs_f64() * 1e6;
        if matches!(self.state, State::Probing { .. }) {
            if is_slow(micros, peers_us) {
                self.eject(now);
            } else {
                self.restore();
            }
        }
        self.samples += 1;
        let gain = if self.samples == 1 { 1.0 } else { GAIN };
        self.mean_us += gain * (micros - self.mean_us);
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        if !self.is_healthy() {
            self.eject(now);
        }
    }

    /// Makes a probe due again after an attempt that proved nothing.
    pub fn reprobe(&mut self, now: Time) {
        if matches!(self.state, State::Probing { .. }) {
            self.state = State::Ejected { until: now };
        }
    }

    /// Returns the cause if the endpoint should be ejected, given its peers' median time
    /// to the first token and when its oldest waiting request was sent.
    pub fn detect_fault(
        &self,
        now: Time,
        peers_us: Option<f64>,
        oldest: Option<Time>,
    ) -> Option<Cause> {
        if self.failures >= MAX_CONSECUTIVE_FAILURES {
            return Some(Cause::Failing);
        }
        let bound = stall_timeout(peers_us);
        if oldest.is_some_and(|sent| now.since(sent.max(self.last_answer)) >= bound) {
            return Some(Cause::Stuck);
        }
        let slow = self.mean_us().is_some_and(|mean| is_slow(mean, peers_us));
        slow.then_some(Cause::Slow)
    }

    /// Ejects the endpoint, for twice as long each time.
    pub fn eject(&mut self, now: Time) {
        let wait = INITIAL_EJECTION * 2_u32.saturating_pow(self.ejections);
        self.state = State::Ejected {
            until: now + wait.min(MAX_EJECTION),
        };
        self.ejections = (self.ejections + 1).min(8);
        self.samples = 0;
        self.failures = 0;
    }

    fn restore(&mut self) {
        self.state = State::Healthy;
        self.ejections = self.ejections.saturating_sub(1);
        self.samples = 0;
    }
}

fn is_slow(micros: f64, peers_us: Option<f64>) -> bool {
    let margin = SLOW_MARGIN.as_secs_f64() * 1e6;
    peers_us.is_some_and(|peers| micros > (peers * SLOW_FACTOR).max(peers + margin))
}

fn stall_timeout(peers_us: Option<f64>) -> Duration {
    let slow = peers_us.unwrap_or(0.0) * 2.0 * SLOW_FACTOR;
    STALL_TIMEOUT.max(Duration::from_secs_f64(slow / 1e6))
}
