//! The client's side of endpoints: model engines and plain services.
//!
//! A run tells the dispatcher how far it came and what can be said of it
//! afterwards. Only a connection that could not be made proves that nothing
//! ran; everything later is in doubt, because an endpoint may have acted on a
//! request whose answer never came. See docs/design/outcomes.md.

use std::fmt;
use std::time::Duration;

use awc::error::SendRequestError;

use crate::http;
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::Answer;

pub mod completion;
pub mod plain;

/// An endpoint that sends nothing for this long has stalled, even if it still
/// answers health checks; its stream is given up so that it can be resumed
/// elsewhere.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// When to come back after an endpoint failed.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Where a run goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The endpoint's name.
    pub name: Name,
    /// Where it listens, as ip:port.
    pub address: Name,
    /// The model to ask for; empty for a plain service.
    pub model: Name,
}

/// Why a run did not come to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made, so no byte has reached the endpoint.
    Unreachable(String),
    /// It failed after bytes may have reached the endpoint.
    Broken(String),
    /// The endpoint says that this request can never be done.
    Rejected(String),
}

impl Failure {
    /// Sorts an error of the HTTP client by whether bytes may have been sent.
    pub fn of_send(error: &SendRequestError) -> Self {
        if http::was_unsent(error) {
            Self::Unreachable(error.to_string())
        } else {
            Self::Broken(error.to_string())
        }
    }

    /// What may be told of the request.
    pub fn outcome(self) -> Outcome<Answer> {
        match self {
            Self::Unreachable(what) => {
                Outcome::NotRun(Refusal::new(Reason::NoEndpoint).after(RETRY_AFTER).because(
                    format!("the endpoint can't be reached ({what}); come back later"),
                ))
            }
            Self::Broken(what) => Outcome::MayHaveRun(
                Refusal::new(Reason::EndpointFailed)
                    .after(RETRY_AFTER)
                    .because(format!(
                        "the endpoint broke off ({what}); send it again if it may be repeated"
                    )),
            ),
            Self::Rejected(what) => Outcome::MayHaveRun(Refusal::new(Reason::Invalid).because(
                format!("the endpoint rejects it: {what}; correct the request"),
            )),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(what) => write!(f, "unreached: {what}"),
            Self::Broken(what) => write!(f, "broken: {what}"),
            Self::Rejected(what) => write!(f, "rejected: {what}"),
        }
    }
}
