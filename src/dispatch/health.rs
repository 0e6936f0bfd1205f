//! Circuit breaker of one endpoint.
//!
//! Without it, an endpoint that is gone or stalled holds every request sent to
//! it until its deadline, and keeps receiving more. This shows as requests that
//! fail with `deadline` on a single endpoint. The queue sees all streams of its
//! endpoint, so it detects the failure first.

use std::time::Duration;

use crate::clock::Time;

/// Consecutive failures that open the circuit breaker.
const MAX_FAILURES: u32 = 3;
/// Minimum time without a token after which a busy endpoint counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The same in mean decoding steps, for endpoints with slow steps.
const STALL_STEPS: u32 = 30;
/// A stall that is detected this late indicates that this node itself was paused.
const PAUSE_DETECTION: Duration = Duration::from_millis(500);
/// Time added to the stall timeout for each prompt token that is being prefilled.
const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(300);
/// Initial time in the open state; doubles each time the circuit breaker trips.
const OPEN_TIME: Duration = Duration::from_millis(500);
/// Maximum time in the open state.
const MAX_OPEN_TIME: Duration = Duration::from_secs(8);

/// State of the circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// All requests are sent.
    Closed,
    /// No requests are sent.
    Open {
        /// When a single trial request may be sent.
        until: Time,
    },
    /// A single trial request may be sent.
    HalfOpen {
        /// True while the trial request is in flight.
        sent: bool,
    },
}

/// Health of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    state: State,
    failures: u32,
    trips: u32,
    last_progress: Time,
    step: Duration,
}

impl Health {
    /// Creates the record of an endpoint that is assumed to be healthy.
    pub fn new(now: Time) -> Self {
        Self {
            state: State::Closed,
            failures: 0,
            trips: 0,
            last_progress: now,
            step: Duration::ZERO,
        }
    }

    /// Returns the current state, which becomes half-open once the open time is over.
    pub fn state(&mut self, now: Time) -> State {
        if let State::Open { until } = self.state
            && now >= until
        {
            self.state = State::HalfOpen { sent: false };
        }
        self.state
    }

    /// Retry delay for refused requests, or `None` if requests are accepted.
    pub fn retry_after(&self, now: Time) -> Option<Duration> {
        match self.state {
            State::Closed | State::HalfOpen { sent: false } => None,
            State::Open { until } => Some(until.since(now).max(OPEN_TIME / 10)),
            State::HalfOpen { sent: true } => Some(OPEN_TIME),
        }
    }

    /// True while no requests are accepted.
    pub fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed | State::HalfOpen { sent: false })
    }

    /// When a trial request is due.
    pub fn wake(&self) -> Option<Time> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed | State::HalfOpen { .. } => None,
        }
    }

    /// Records that nothing runs any more. A withdrawn trial request proves nothing, so
    /// another one is allowed.
    pub fn idle(&mut self) {
        if let State::HalfOpen { sent } = &mut self.state {
            *sent = false;
        }
    }

    /// Records a start while the endpoint was idle or on trial.
    pub fn run_started(&mut self, now: Time) {
        self.last_progress = now;
        if let State::HalfOpen { sent } = &mut self.state {
            *sent = true;
        }
    }

    /// Records a token or a complete answer, which closes the circuit breaker.
    pub fn record_progress(&mut self, now: Time) {
        let gap = now.since(self.last_progress);
        self.last_progress = now;
        self.failures = 0;
        if self.state != State::Closed {
            self.state = State::Closed;
        }
        if gap > Duration::from_millis(1) && gap < STALL_TIMEOUT {
            self.step = (self.step * 15 + gap) / 16;
            self.trips = 0;
        }
    }

    /// Records a failed run. Returns true when this trips the circuit breaker.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures += 1;
        let half_open = matches!(self.state, State::HalfOpen { .. });
        if !half_open && (self.state != State::Closed || self.failures < MAX_FAILURES) {
            return false;
        }
        self.trip(now);
        true
    }

    /// When the endpoint counts as stalled, while something runs and prompts of
    /// `tokens` in total are being prefilled.
    pub fn stall_deadline(&self, tokens: u32) -> Time {
        self.last_progress
            + STALL_TIMEOUT.max(self.step * STALL_STEPS)
            + PREFILL_TIME_PER_TOKEN * tokens
    }

    /// True when no token has arrived by `stall_deadline`. After a pause of this node,
    /// the tokens that arrived meanwhile have not been read yet, so the timeout
    /// starts again. Otherwise each pause of a node would abandon every stream of
    /// its endpoints.
    pub fn is_stalled(&mut self, now: Time, stall_deadline: Time) -> bool {
        if now >= stall_deadline + PAUSE_DETECTION {
            self.last_progress = now;
            return false;
        }
        now >= stall_deadline
    }

    /// Opens the circuit breaker, for longer each time.
    pub fn trip(&mut self, now: Time) {
        let open_time = OPEN_TIME * 2_u32.saturating_pow(self.trips);
        self.state = State::Open {
            until: now + open_time.min(MAX_OPEN_TIME),
        };
        self.trips = (self.trips + 1).min(10);
        self.failures = 0;
    }
}
