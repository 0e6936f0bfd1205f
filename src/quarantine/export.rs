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
    /// Time since it has ended.
    #[serde(rename = "e", default, skip_serializing_if = "Duration::is_zero")]
    pub ended: Duration,
    /// Number of verdicts on the request so far.
    #[serde(rename = "n")]
    pub times: u32,
    /// Whether the crashes may have had another cause.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub is_doubtful: bool,
}

/// Lets a field that is rarely true be left out.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "required by serde")]
pub(super) fn is_false(value: &bool) -> bool {
    !value
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
    /// The parts of their prompts that may be to blame.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<Part>,
}

/// A part of prompts that requests had that ran at a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The part.
    #[serde(rename = "p")]
    pub part: Fingerprint,
    /// Its place in the prompt.
    #[serde(rename = "n")]
    pub position: usize,
    /// How long before the crash the last of the runs had begun.
    #[serde(rename = "d")]
    pub ran: Duration,
    /// The requests.
    #[serde(rename = "r")]
    pub requests: Vec<Fingerprint>,
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
