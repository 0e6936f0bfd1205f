//! What became of a request: done, surely not run, or in doubt.
//!
//! The three are kept apart because the brief promises that "not run" is never
//! said of a request that ran, and because a retry is legal after `NotRun` for
//! every request but after `MayHaveRun` only for repeatable ones. See
//! docs/design/outcomes.md.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quarantine::evidence::Crash;

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// It ran to its end.
    Done(T),
    /// No byte of it has reached an endpoint, and none will.
    NotRun(Refusal),
    /// It may have run, wholly or in part.
    MayHaveRun(Refusal),
}

/// Why a request was not done, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The cause, which has a counter of its own.
    pub reason: Reason,
    /// When the caller should come back; none when it would not help.
    pub retry_after: Option<Duration>,
    /// For people: what went wrong and what to do next. Empty takes
    /// [`Reason::advice`].
    pub message: String,
    /// The endpoint's process that ended while it ran the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crash: Option<Crash>,
}

/// The causes of refusals and retries. Each has a label in the metrics and a
/// number in the schema.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The request itself is wrong.
    Invalid,
    /// The configuration has no such service.
    UnknownService,
    /// There is no such job.
    UnknownJob,
    /// The key, or the version, belongs to something else.
    Conflict,
    /// The body, the prompt or the job is above its bound.
    TooLarge,
    /// The deadline passed or can't be met.
    Deadline,
    /// Every endpoint is full.
    Overloaded,
    /// The organisation is above its rate or concurrency.
    Limited,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// The platform's table or store can't be reached or throttles.
    Platform,
    /// This node is leaving or does not know the configuration yet.
    NotReady,
    /// The caller or an operator cancelled it.
    Cancelled,
    /// The endpoint answered with an error or broke off.
    EndpointFailed,
    /// A request that must not be repeated has been seen before.
    AlreadyRun,
    /// The link between two nodes broke.
    LinkFailed,
    /// A broken invariant; the log has the event.
    Internal,
}

impl Reason {
    /// Every reason, for counters made at start.
    pub const ALL: [Self; 16] = [
        Self::Invalid,
        Self::UnknownService,
        Self::UnknownJob,
        Self::Conflict,
        Self::TooLarge,
        Self::Deadline,
        Self::Overloaded,
        Self::Limited,
        Self::NoEndpoint,
        Self::Platform,
        Self::NotReady,
        Self::Cancelled,
        Self::EndpointFailed,
        Self::AlreadyRun,
        Self::LinkFailed,
        Self::Internal,
    ];

    /// The label in metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::UnknownService => "unknown_service",
            Self::UnknownJob => "unknown_job",
            Self::Conflict => "conflict",
            Self::TooLarge => "too_large",
            Self::Deadline => "deadline",
            Self::Overloaded => "overloaded",
            Self::Limited => "limited",
            Self::NoEndpoint => "no_endpoint",
            Self::Platform => "platform",
            Self::NotReady => "not_ready",
            Self::Cancelled => "cancelled",
            Self::EndpointFailed => "endpoint_failed",
            Self::AlreadyRun => "already_run",
            Self::LinkFailed => "link_failed",
            Self::Internal => "internal",
        }
    }

    /// What a person should do next.
    pub const fn advice(self) -> &'static str {
        match self {
            Self::Invalid => "correct the request and send it again",
            Self::UnknownService => "ask `auburnspoke service list` which services there are",
            Self::UnknownJob => "check the job's name; `auburnspoke job list` names them",
            Self::Conflict => "read the current state and choose another key or version",
            Self::TooLarge => "send less, or split it",
            Self::Deadline => "allow more time, or come back when the fleet is less busy",
            Self::Overloaded => "come back after the time that is named",
            Self::Limited => "slow down; the organisation is above its limit",
            Self::NoEndpoint => "come back later; no endpoint of the service can be reached",
            Self::Platform => "come back later; the platform's service can't be reached",
            Self::NotReady => "use another address; this node is starting or leaving",
            Self::Cancelled => "nothing; it was cancelled",
            Self::EndpointFailed | Self::LinkFailed => "send it again if it may be repeated",
            Self::AlreadyRun => "ask about the first request; this key has been used",
            Self::Internal => "report it with the node's log",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl Refusal {
    /// A refusal for which coming back does not help.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
            message: String::new(),
            crash: None,
        }
    }

    /// The same, naming when to come back.
    #[must_use]
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// The same, telling a person more than the reason does.
    #[must_use]
    pub fn with_message<M>(mut self, message: M) -> Self
    where
        M: Into<String>,
    {
        self.message = message.into();
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = if self.message.is_empty() {
            self.reason.advice()
        } else {
            &self.message
        };
        write!(f, "{}: {text}", self.reason)?;
        if let Some(wait) = self.retry_after {
            write!(f, " (come back after {} ms)", wait.as_millis())?;
        }
        Ok(())
    }
}

impl<T> Outcome<T> {
    /// Applies `f` to the value of a done outcome.
    pub fn map<U, F>(self, f: F) -> Outcome<U>
    where
        F: FnOnce(T) -> U,
    {
        match self {
            Self::Done(value) => Outcome::Done(f(value)),
            Self::NotRun(refusal) => Outcome::NotRun(refusal),
            Self::MayHaveRun(refusal) => Outcome::MayHaveRun(refusal),
        }
    }

    /// True when it is certain that nothing ran.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_))
    }
}
