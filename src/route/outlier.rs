//! Endpoints that do worse than their peers, found from our own traffic.
//!
//! A health check says that a process answers, not that it generates. What
//! goes wrong otherwise: a stuck or slow endpoint keeps its share of questions,
//! and each of them waits until its deadline. One notices by the tail of the
//! first-token time rising by that share.

use std::time::Duration;

use crate::clock::Time;

/// Failures one after the other that eject an endpoint.
const FAILURES_IN_A_ROW: u32 = 3;
/// Answers before an endpoint's mean counts.
const SAMPLES: u32 = 6;
/// How many times slower than its peers an endpoint may be.
const SLOW_FACTOR: f64 = 2.5;
/// What an endpoint may be slower than its peers in any case.
const SLOW_MARGIN: Duration = Duration::from_millis(100);
/// Share of a new sample in the mean.
const GAIN: f64 = 0.2;
/// No first token for this long, while questions wait, means stuck.
const STUCK: Duration = Duration::from_millis(1_500);
/// First time that an ejected endpoint is left alone; doubles each time.
const EJECTION: Duration = Duration::from_secs(3);
/// Longest time that an ejected endpoint is left alone.
const MAX_EJECTION: Duration = Duration::from_secs(48);

/// How an attempt at an endpoint went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It answered.
    Good,
    /// It was full and said so; no sign of illness.
    Full,
    /// It failed, broke off or can't be reached.
    Failed,
    /// The requester went away; says nothing of the endpoint.
    Withdrawn,
}

/// Why an endpoint was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It fails.
    Failing,
    /// Its first tokens come much later than its peers'.
    Slow,
    /// Questions wait there and no first token comes.
    Stuck,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected { until: Time },
    Probing { since: Time },
}

/// What is known of one endpoint's health.
#[derive(Clone, Debug)]
pub struct Record {
    state: State,
    times: u32,
    failures: u32,
    samples: u32,
    mean_us: f64,
    last_good: Time,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            state: State::Healthy,
            times: 0,
            failures: 0,
            samples: 0,
            mean_us: 0.0,
            last_good: Time::ZERO,
        }
    }
}

impl Record {
    /// True when it gets its share of traffic.
    pub fn is_healthy(&self) -> bool {
        self.state == State::Healthy
    }

    /// True when one request should be sent to see whether it has recovered.
    pub fn wants_probe(&self, now: Time) -> bool {
        match self.state {
            State::Healthy => false,
            State::Ejected { until } => now >= until,
            // The probe itself got lost.
            State::Probing { since } => now.since(since) >= MAX_EJECTION,
        }
    }

    /// A probe is under way.
    pub fn probe(&mut self, now: Time) {
        self.state = State::Probing { since: now };
    }

    /// Mean first-token time in microseconds, once enough is known.
    pub fn mean_us(&self) -> Option<f64> {
        (self.samples >= SAMPLES).then_some(self.mean_us)
    }

    /// A first token came.
    pub fn first_token(&mut self, now: Time, took: Duration, peers_us: Option<f64>) {
        self.last_good = now;
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

    /// An attempt failed.
    pub fn fail(&mut self, now: Time) {
        self.failures += 1;
        if !self.is_healthy() {
            self.eject(now);
        }
    }

    /// An attempt ended without telling anything; a probe is due again.
    pub fn unclear(&mut self, now: Time) {
        if matches!(self.state, State::Probing { .. }) {
            self.state = State::Ejected { until: now };
        }
    }

    /// What is wrong with it, seen against its peers' median first-token time
    /// and the oldest question that waits there.
    pub fn fault(&self, now: Time, peers_us: Option<f64>, oldest: Option<Time>) -> Option<Cause> {
        if self.failures >= FAILURES_IN_A_ROW {
            return Some(Cause::Failing);
        }
        let bound = stuck_after(peers_us);
        if oldest.is_some_and(|sent| now.since(sent.max(self.last_good)) >= bound) {
            return Some(Cause::Stuck);
        }
        let slow = self.mean_us().is_some_and(|mean| is_slow(mean, peers_us));
        slow.then_some(Cause::Slow)
    }

    /// Takes it out of the choice for a while that doubles each time.
    pub fn eject(&mut self, now: Time) {
        let wait = EJECTION * 2_u32.saturating_pow(self.times);
        self.state = State::Ejected {
            until: now + wait.min(MAX_EJECTION),
        };
        self.times = (self.times + 1).min(8);
        self.samples = 0;
        self.failures = 0;
    }

    fn restore(&mut self) {
        self.state = State::Healthy;
        self.times = self.times.saturating_sub(1);
        self.samples = 0;
    }
}

fn is_slow(micros: f64, peers_us: Option<f64>) -> bool {
    let margin = SLOW_MARGIN.as_secs_f64() * 1e6;
    peers_us.is_some_and(|peers| micros > (peers * SLOW_FACTOR).max(peers + margin))
}

fn stuck_after(peers_us: Option<f64>) -> Duration {
    let slow = peers_us.unwrap_or(0.0) * 2.0 * SLOW_FACTOR;
    STUCK.max(Duration::from_secs_f64(slow / 1e6))
}
