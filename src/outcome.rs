//! Outcome of a request: done, certainly not run, or unknown.
//!
//! The three are distinguished because a request that ran must never be reported as "not run",
//! and because a retry is legal after `NotRun` for every request, but after `MayHaveRun` only
//! for repeatable ones. See docs/design/outcomes.md.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::quarantine::evidence::Crash;

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// The request completed.
    Done(T),
    /// No byte of the request has reached an endpoint, and none will.
    NotRun(Refusal),
    /// The request may have run, completely or in part.
    MayHaveRun(Refusal),
}

/// Reason why a request was not completed, and when to retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The cause; each has its own counter.
    pub reason: Reason,
    /// Delay after which the caller should retry; none when a retry would not help.
    pub retry_after: Option<Duration>,
    /// Error message for people: what went wrong and what to do next. [`Reason::advice`] is used
    /// when it is empty.
    pub message: String,
    /// The endpoint process that ended while running the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crash: Option<Crash>,
}

/// Cause of a refusal or retry. Each has a label in the metrics and a number in the schema.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The request is invalid.
    Invalid,
    /// The configuration has no such service.
    UnknownService,
    /// There is no such job.
    UnknownJob,
    /// The key or the version is already used by something else.
    Conflict,
    /// The body, the prompt or the job exceeds its size limit.
    TooLarge,
    /// The deadline has passed or can't be met.
    Deadline,
    /// Every endpoint is full.
    Overloaded,
    /// The organisation exceeds its rate or concurrency limit.
    Limited,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// The platform's table or store can't be reached, or throttles requests.
    Platform,
    /// This node is leaving, or has no configuration yet.
    NotReady,
    /// The caller or an operator cancelled it.
    Cancelled,
    /// The endpoint answered with an error or broke the connection.
    EndpointFailed,
    /// The idempotency key of the request has been used before.
    AlreadyRun,
    /// The link between two nodes broke.
    LinkFailed,
    /// An invariant was violated; the log has the event.
    Internal,
}

impl Reason {
    /// Every reason, to create the counters at start.
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

    /// Returns the label in metrics and logs.
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

    /// Returns what the user should do next.
    pub const fn advice(self) -> &'static str {
        match self {
            Self::Invalid => "correct the request and send it again",
            Self::UnknownService => "run `auburnspoke service list` to see the services",
            Self::UnknownJob => "check the job's name; `auburnspoke job list` shows the jobs",
            Self::Conflict => "read the current state and choose another key or version",
            Self::TooLarge => "reduce the size, or split the request",
            Self::Deadline => "allow more time, or retry when the load is lower",
            Self::Overloaded => "retry after the given time",
            Self::Limited => "reduce the request rate; the organisation exceeds its limit",
            Self::NoEndpoint => "retry later; no endpoint of the service can be reached",
            Self::Platform => "retry later; the platform's service can't be reached",
            Self::NotReady => "use another address; this node is starting or leaving",
            Self::Cancelled => "no action needed; it was cancelled",
            Self::EndpointFailed | Self::LinkFailed => "retry if the request may be repeated",
            Self::AlreadyRun => "check the first request with this key; the key has been used",
            Self::Internal => "report this error together with the node's log",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl Refusal {
    /// Creates a refusal without a retry delay and message.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
            message: String::new(),
            crash: None,
        }
    }

    /// Sets the delay after which to retry.
    #[must_use]
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets a message with more detail than the reason's advice.
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
            write!(f, " (retry after {} ms)", wait.as_millis())?;
        }
        Ok(())
    }
}

impl<T> Outcome<T> {
    /// Applies `f` to the value of a completed outcome.
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

    /// True when certainly nothing ran.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_))
    }
}
