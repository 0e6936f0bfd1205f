//! What one node knows about requests that crash endpoints, in the form in which a node that has
//! just started receives it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::evidence::{Crash, Stage};

/// A verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request.
    #[serde(rename = "r")]
    pub request: Fingerprint,
    /// Time until it ends; zero for one that has ended and doubles the term of the next one.
    #[serde(rename = "l")]
    pub left: Duration,
    /// Number of verdicts on the request so far.
    #[serde(rename = "n")]
    pub times: u32,
}

/// A crash, and the requests that ran on the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incident {
    /// The crash.
    #[serde(rename = "c")]
    pub crash: Crash,
    /// How long ago it was observed.
    #[serde(rename = "a")]
    pub age: Duration,
    /// The requests, and the stage of each one's run.
    #[serde(rename = "r")]
    pub requests: Vec<(Fingerprint, Stage)>,
}

/// Verdicts and crashes that a node has recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The verdicts.
    #[serde(rename = "v")]
    pub verdicts: Vec<Verdict>,
    /// The crashes.
    #[serde(rename = "i")]
    pub incidents: Vec<Incident>,
}
