//! State machine of one caller's request across endpoints. Performs no I/O.
//!
//! It tracks how much of the request may already have run, which determines the valid answers:
//! "not run" only while no endpoint can have started it, and another run only where the request
//! may be repeated and runs are left. `edge::relay` acts on it; docs/design/attempt.md shows the
//! states.

use std::time::Duration;

use crate::clock::Time;
use crate::name::Name;

/// Number of endpoints that may report a request as not run before it is refused; each attempt
/// costs a few milliseconds.
const MAX_NOT_RUN: u32 = 6;
/// Minimum remaining time for another endpoint: the first event alone takes about 30 ms.
const MIN_TIME_LEFT: Duration = Duration::from_millis(40);

/// Which part of a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing: at most one run.
    Never,
    /// The whole request.
    Whole,
    /// The rest of a stream, after the last event received.
    Resume,
}

/// How an endpoint failed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint certainly did not run it.
    NotRun,
    /// The endpoint may have run it, completely or in part.
    Lost,
    /// The endpoint ran it and answered with an error of its own.
    Answered,
}

/// Action after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another endpoint.
    Again,
    /// Answer that it has not run.
    Refuse,
    /// Answer that it may have run.
    Fail,
    /// Forward the endpoint's own error.
    Pass,
    /// Abort the answer that has begun, so that it does not look complete.
    Break,
}

/// What is known of the software that wrote the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Writer {
    /// Its version, at which alone the stream may be resumed.
    Version(Name),
    /// Nothing; the stream can't be resumed.
    Unknown,
}

/// A request that is being attempted.
#[derive(Clone, Debug)]
pub struct Attempt {
    repeat: Repeat,
    /// Maximum number of endpoints that it may run at.
    max_runs: u32,
    /// Endpoints at which it may have run.
    runs: u32,
    /// Endpoints that did not run it.
    not_run: u32,
    /// True once the caller has the head of an answer.
    begun: bool,
    /// Number of the last event that the caller has.
    last_event: Option<u64>,
    /// What wrote the first event; `None` before that.
    writer: Option<Writer>,
    /// False when the caller has data after which no run can resume.
    resumable: bool,
    /// The caller's or the operator's deadline.
    deadline: Time,
}

impl Attempt {
    /// Creates the state of a request that may run at `max_runs` endpoints until `deadline`. The
    /// caller wants to resume after the event `last_event`.
    pub fn new(repeat: Repeat, max_runs: u32, deadline: Time, last_event: Option<u64>) -> Self {
        Self {
            repeat,
            max_runs,
            runs: 0,
            not_run: 0,
            begun: false,
            last_event,
            writer: None,
            resumable: true,
            deadline,
        }
    }

    /// Returns the caller's deadline.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns the event after which the next endpoint resumes.
    pub fn last(&self) -> Option<u64> {
        self.last_event
    }

    /// Sets the version of the software that wrote the event after which the caller resumes.
    pub fn resume_at(&mut self, software: Name) {
        self.writer = Some(Writer::Version(software));
    }

    /// True while nobody has an event of the stream.
    pub fn is_unwritten(&self) -> bool {
        self.writer.is_none()
    }

    /// Returns the version of the software at which alone the next run may be made, if any.
    pub fn software(&self) -> Option<&Name> {
        match self.writer.as_ref()? {
            Writer::Version(software) => Some(software),
            Writer::Unknown => None,
        }
    }

    /// True once the caller has the head of an answer.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// True while no endpoint can have run the request.
    pub fn is_not_run(&self) -> bool {
        self.runs == 0
    }

    /// True when a silent endpoint may be abandoned for another one.
    pub fn can_fail_over(&self) -> bool {
        let possible = match self.repeat {
            Repeat::Never => false,
            Repeat::Whole => !self.begun,
            Repeat::Resume => self.resumable && self.writer != Some(Writer::Unknown),
        };
        possible && self.runs < self.max_runs
    }

    /// Records that the request is about to be sent to an endpoint.
    pub fn start_run(&mut self) {
        self.runs += 1;
    }

    /// Records that the caller gets the head of an answer.
    pub fn start_answer(&mut self) {
        self.begun = true;
    }

    /// Records that the caller gets more data, up to the event `last_event`, from an endpoint with
    /// this software. Data without an event number can't be resumed after: the next run would
    /// repeat or skip it.
    pub fn forwarded(&mut self, last_event: Option<u64>, software: Option<&Name>) {
        self.writer.get_or_insert_with(|| match software {
            Some(software) => Writer::Version(software.clone()),
            None => Writer::Unknown,
        });
        self.resumable = last_event.is_some();
        self.last_event = last_event.or(self.last_event);
    }

    /// Records a failure of the endpoint that has the request, and returns the next action.
    pub fn failed(&mut self, now: Time, failure: Failure) -> Next {
        if failure == Failure::NotRun {
            self.runs -= 1;
            self.not_run += 1;
        }
        let has_time = self.deadline.since(now) > MIN_TIME_LEFT;
        let again = match failure {
            Failure::NotRun => self.not_run < MAX_NOT_RUN,
            Failure::Lost | Failure::Answered => self.can_fail_over(),
        };
        if again && has_time {
            return Next::Again;
        }
        self.give_up(failure == Failure::Answered)
    }

    /// Returns the final action when there is no endpoint, or the deadline has passed.
    pub fn give_up(&self, has_answer: bool) -> Next {
        match (self.begun, has_answer, self.runs) {
            (true, _, _) => Next::Break,
            (false, true, _) => Next::Pass,
            (false, false, 0) => Next::Refuse,
            (false, false, _) => Next::Fail,
        }
    }
}
