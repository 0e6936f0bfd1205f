//! Clients of endpoints: model engines and plain services.
//!
//! A run reports its progress to the dispatcher and how certain its failure is. Only a failure
//! to connect proves that nothing ran; any later failure is ambiguous, because an endpoint may
//! have processed a request whose answer was lost. See docs/design/outcomes.md.

use std::fmt;
use std::time::Duration;

use awc::error::SendRequestError;

use crate::connect;
use crate::http;
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::Answer;

pub mod completion;
pub mod plain;

/// An endpoint that sends nothing for this long has stalled, even if it still answers health
/// checks. Its stream is closed so that it can be resumed elsewhere.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay after an endpoint failed.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A client of endpoints for one thread.
#[derive(Clone)]
pub struct Client {
    engines: awc::Client,
    connect_timeout: Duration,
}

impl Client {
    /// Creates a client that waits at most `connect_timeout` for a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            engines: http::client(connect_timeout),
            connect_timeout,
        }
    }
}

/// The endpoint to run a request at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The endpoint's name.
    pub name: Name,
    /// Its listening address, as ip:port.
    pub address: Name,
    /// The model to request; empty for a plain service.
    pub model: Name,
}

/// Why a run failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made, so no byte reached the endpoint.
    Unreachable(String),
    /// It failed after bytes may have reached the endpoint.
    Broken(String),
    /// The endpoint reports that the request can never succeed.
    Rejected(String),
}

impl Failure {
    /// Classifies an error of the HTTP client by whether bytes may have been sent.
    pub fn from_send(error: &SendRequestError) -> Self {
        if http::was_unsent(error) {
            Self::Unreachable(error.to_string())
        } else {
            Self::Broken(error.to_string())
        }
    }

    /// Converts the failure to the outcome of the request.
    pub fn outcome(self) -> Outcome<Answer> {
        match self {
            Self::Unreachable(what) => {
                Outcome::NotRun(Refusal::new(Reason::NoEndpoint).after(RETRY_AFTER).with_message(
                    format!("the endpoint can't be reached ({what}); retry later"),
                ))
            }
            Self::Broken(what) => Outcome::MayHaveRun(
                Refusal::new(Reason::EndpointFailed)
                    .after(RETRY_AFTER)
                    .with_message(format!(
                        "the endpoint failed during the run ({what}); retry if the request may be repeated"
                    )),
            ),
            Self::Rejected(what) => Outcome::MayHaveRun(Refusal::new(Reason::Invalid).with_message(
                format!("the endpoint rejected the request: {what}; correct it"),
            )),
        }
    }
}

impl From<connect::Failure> for Failure {
    fn from(failure: connect::Failure) -> Self {
        match failure {
            connect::Failure::Unsent(what) => Self::Unreachable(what),
            connect::Failure::Broken(what) => Self::Broken(what),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(what) => write!(f, "unreachable: {what}"),
            Self::Broken(what) => write!(f, "broken: {what}"),
            Self::Rejected(what) => write!(f, "rejected: {what}"),
        }
    }
}
