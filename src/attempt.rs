//! One request of a caller on its way through endpoints, as a decision.
//!
//! It knows what of the request may already have run, and so which answers are
//! still true: "not run" only while no endpoint can have begun, another run
//! only where the request may be repeated and the runs are not used up. The
//! shell that acts on it is `edge::relay`; docs/design/attempt.md draws the
//! states.

use std::time::Duration;

use crate::clock::Time;

/// Times that endpoints may say that they did not run a request before it is
/// refused; each costs a few milliseconds.
const NOT_RUN_TRIES: u32 = 6;
/// With less time left than this, no further endpoint is tried: the first
/// event alone takes some 30 ms.
const LEAST_LEFT: Duration = Duration::from_millis(40);

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing: at most one run.
    Never,
    /// The whole request.
    Whole,
    /// The rest of a stream behind the last event that came.
    Resume,
}

/// How an endpoint failed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It surely did not run it.
    NotRun,
    /// It may have run it, wholly or in part.
    Lost,
    /// It ran it and answered with an error of its own.
    Answered,
}

/// What to do after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another endpoint.
    Again,
    /// Answer that it has not run.
    Refuse,
    /// Answer that it may have run.
    Fail,
    /// Pass on the endpoint's own error.
    Pass,
    /// Break off the answer that has begun, so that it can't look complete.
    Break,
}

/// A request on its way.
#[derive(Clone, Debug)]
pub struct Attempt {
    repeat: Repeat,
    /// Most endpoints that it may run at.
    most: u32,
    /// Endpoints at which it may have run.
    runs: u32,
    /// Endpoints that did not run it.
    not_run: u32,
    /// True once the caller has the head of an answer.
    begun: bool,
    /// The last event that the caller has.
    last: Option<u64>,
    /// False while the caller has something behind which no run can go on.
    placed: bool,
    /// When the caller's or the operator's time is up.
    deadline: Time,
}

impl Attempt {
    /// A request that may run at `most` endpoints until `deadline`; `last` is
    /// the event behind which the caller wants to go on.
    pub fn new(repeat: Repeat, most: u32, deadline: Time, last: Option<u64>) -> Self {
        Self {
            repeat,
            most,
            runs: 0,
            not_run: 0,
            begun: false,
            last,
            placed: true,
            deadline,
        }
    }

    /// When the caller's time is up.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Where the next endpoint goes on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// True once the caller has the head of an answer.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// True while no endpoint can have run it.
    pub fn is_not_run(&self) -> bool {
        self.runs == 0
    }

    /// True when a silent endpoint may be given up for another one.
    pub fn can_fail_over(&self) -> bool {
        let possible = match self.repeat {
            Repeat::Never => false,
            Repeat::Whole => !self.begun,
            Repeat::Resume => self.placed,
        };
        possible && self.runs < self.most
    }

    /// An endpoint is about to get the request.
    pub fn start_run(&mut self) {
        self.runs += 1;
    }

    /// The caller gets the head of an answer.
    pub fn start_answer(&mut self) {
        self.begun = true;
    }

    /// The caller gets more, up to the event `last`. What carries no number
    /// can't be gone on behind: the next run would repeat or skip it.
    pub fn forwarded(&mut self, last: Option<u64>) {
        self.placed = last.is_some();
        self.last = last.or(self.last);
    }

    /// The endpoint that got the request failed it.
    pub fn failed(&mut self, now: Time, failure: Failure) -> Next {
        if failure == Failure::NotRun {
            self.runs -= 1;
            self.not_run += 1;
        }
        let time = self.deadline.since(now) > LEAST_LEFT;
        let again = match failure {
            Failure::NotRun => self.not_run < NOT_RUN_TRIES,
            Failure::Lost | Failure::Answered => self.can_fail_over(),
        };
        if again && time {
            return Next::Again;
        }
        self.give_up(failure == Failure::Answered)
    }

    /// No endpoint can be found, or the time is up.
    pub fn give_up(&self, has_answer: bool) -> Next {
        match (self.begun, has_answer, self.runs) {
            (true, _, _) => Next::Break,
            (false, true, _) => Next::Pass,
            (false, false, 0) => Next::Refuse,
            (false, false, _) => Next::Fail,
        }
    }
}
