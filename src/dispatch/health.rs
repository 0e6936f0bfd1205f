//! Whether the endpoint seems to work, seen from its one queue.
//!
//! What goes wrong without it: an endpoint that is gone or stuck keeps
//! everything that was sent there until each deadline, and gets more. One
//! notices by requests that fail by `deadline` on one endpoint only. The queue
//! sees every stream of the endpoint, so it is the first to know.

use std::time::Duration;

use crate::clock::Time;

/// Failures one after the other that close the endpoint.
const FAILURES: u32 = 3;
/// Silence that counts as stuck, while something runs.
const SILENCE: Duration = Duration::from_millis(800);
/// Silence that counts as stuck, in steps as they usually take.
const SILENT_STEPS: u32 = 30;
/// Waking up this late means that this node itself was paused.
const OVERSLEPT: Duration = Duration::from_millis(500);
/// Silence that each token of a prompt excuses, until it has been computed.
const PROMPT_TOKEN: Duration = Duration::from_micros(300);
/// First time for which nothing is sent; doubles each time.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which nothing is sent.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// What the queue may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Everything.
    Up,
    /// Nothing until then.
    Down {
        /// When one request may try it.
        until: Time,
    },
    /// One request, which is under way when true.
    Trial {
        /// True while the request is under way.
        sent: bool,
    },
}

/// What is known of the endpoint's health.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    state: State,
    failures: u32,
    pauses: u32,
    heard: Time,
    step: Duration,
}

impl Health {
    /// An endpoint that is taken to be well.
    pub fn new(now: Time) -> Self {
        Self {
            state: State::Up,
            failures: 0,
            pauses: 0,
            heard: now,
            step: Duration::ZERO,
        }
    }

    /// What the queue may send now.
    pub fn state(&mut self, now: Time) -> State {
        if let State::Down { until } = self.state
            && now >= until
        {
            self.state = State::Trial { sent: false };
        }
        self.state
    }

    /// When requests should come back, if none is taken now.
    pub fn retry_after(&self, now: Time) -> Option<Duration> {
        match self.state {
            State::Up | State::Trial { sent: false } => None,
            State::Down { until } => Some(until.since(now).max(PAUSE / 10)),
            State::Trial { sent: true } => Some(PAUSE),
        }
    }

    /// True while nothing is taken.
    pub fn is_closed(&self) -> bool {
        !matches!(self.state, State::Up | State::Trial { sent: false })
    }

    /// When a closed endpoint may be tried.
    pub fn wake(&self) -> Option<Time> {
        match self.state {
            State::Down { until } => Some(until),
            State::Up | State::Trial { .. } => None,
        }
    }

    /// Nothing runs any more; a trial that was given up tells nothing.
    pub fn idle(&mut self) {
        if let State::Trial { sent } = &mut self.state {
            *sent = false;
        }
    }

    /// Something was sent while nothing else ran.
    pub fn woken(&mut self, now: Time) {
        self.heard = now;
        if let State::Trial { sent } = &mut self.state {
            *sent = true;
        }
    }

    /// A token or a whole answer came.
    pub fn heard(&mut self, now: Time) {
        let gap = now.since(self.heard);
        self.heard = now;
        self.failures = 0;
        if self.state != State::Up {
            self.state = State::Up;
        }
        if gap > Duration::from_millis(1) && gap < SILENCE {
            self.step = (self.step * 15 + gap) / 16;
            self.pauses = 0;
        }
    }

    /// A run failed. True when the endpoint is closed by it.
    pub fn failed(&mut self, now: Time) -> bool {
        self.failures += 1;
        let trial = matches!(self.state, State::Trial { .. });
        if !trial && (self.state != State::Up || self.failures < FAILURES) {
            return false;
        }
        self.close(now);
        true
    }

    /// When silence will count as stuck, while something runs and prompts of
    /// `tokens` are being computed.
    pub fn stuck_at(&self, tokens: u32) -> Time {
        self.heard + SILENCE.max(self.step * SILENT_STEPS) + PROMPT_TOKEN * tokens
    }

    /// True when silence has lasted until `stuck_at`. After a pause of this node
    /// the tokens that came meanwhile have not been read yet, so the endpoint
    /// gets the time once more; otherwise each pause of a node would abandon
    /// every stream of its endpoints.
    pub fn is_stuck(&mut self, now: Time, stuck_at: Time) -> bool {
        if now >= stuck_at + OVERSLEPT {
            self.heard = now;
            return false;
        }
        now >= stuck_at
    }

    /// Sends nothing for a while.
    pub fn close(&mut self, now: Time) {
        let pause = PAUSE * 2_u32.saturating_pow(self.pauses);
        self.state = State::Down {
            until: now + pause.min(MAX_PAUSE),
        };
        self.pauses = (self.pauses + 1).min(10);
        self.failures = 0;
    }
}
