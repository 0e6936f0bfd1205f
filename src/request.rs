//! A request or batch item to be run by an endpoint.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::quarantine::Fingerprint;

/// Class of work; both classes share the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// A caller is waiting for the answer.
    Online,
    /// An item of a batch job.
    Batch,
}

impl Class {
    /// Both classes, the more urgent one first.
    pub const ALL: [Self; 2] = [Self::Online, Self::Batch];

    /// Returns the label in metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Online => "online",
            Self::Batch => "batch",
        }
    }
}

/// The work to be done by the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Complete a prompt on a model engine.
    Prompt {
        /// The text to complete.
        prompt: Name,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// One HTTP call to a plain service.
    Call {
        /// The path to POST to, with its leading slash.
        path: Name,
        /// The body to send.
        body: Bytes,
    },
}

/// A request as it is sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The service that it is for.
    pub service: Name,
    /// The organisation that sent it, for limits and fairness.
    pub organisation: Name,
    /// The caller's idempotency key; may be empty if the request is repeatable.
    pub key: Name,
    /// True when it must run at most once.
    pub once: bool,
    /// Online or batch.
    pub class: Class,
    /// Time left until the caller's deadline. A duration rather than a time of day, because the
    /// clocks of VMs differ; each hop subtracts the time it spent.
    pub time_left: Duration,
    /// The work to be done.
    pub body: Body,
    /// True when its gateway has another endpoint for it, so that a busy endpoint should refuse
    /// it immediately instead of queueing it.
    pub spills: bool,
    /// Number of tokens that the caller already has, when a broken stream is resumed.
    pub resume_from: u32,
    /// The text of those tokens, from which the engine continues.
    pub resume_text: Name,
}

impl Request {
    /// Returns the hash of service, organisation and body, independent of the key.
    pub fn fingerprint(&self) -> Fingerprint {
        let organisation = Some(&*self.organisation);
        match &self.body {
            Body::Prompt { prompt, .. } => {
                Fingerprint::of(&self.service, organisation, "", prompt.as_bytes())
            }
            Body::Call { path, body } => Fingerprint::of(&self.service, organisation, path, body),
        }
    }
}

/// A complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The generated text, or empty for a plain service.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// HTTP status of a plain service; 0 for a model.
    pub status: u16,
    /// Body of a plain service.
    pub body: Bytes,
    /// The endpoint that answered.
    pub endpoint: String,
}

/// A part of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Number of tokens of the answer before this piece.
    pub offset: u32,
    /// Number of tokens in this piece.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}
