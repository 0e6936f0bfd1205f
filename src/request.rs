//! One request or batch item on its way to an endpoint.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::quarantine::Fingerprint;

/// The two kinds of work that share the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Somebody is waiting for the answer.
    Online,
    /// An item of a batch job.
    Batch,
}

impl Class {
    /// Both classes, the urgent one first.
    pub const ALL: [Self; 2] = [Self::Online, Self::Batch];

    /// The label in metrics and logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Online => "online",
            Self::Batch => "batch",
        }
    }
}

/// What the endpoint is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Complete a prompt on a model engine.
    Prompt {
        /// The text to complete.
        prompt: Name,
        /// Most tokens to generate.
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

/// A request as the nodes pass it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The service that must answer.
    pub service: Name,
    /// The organisation that asks, for limits and fairness.
    pub organisation: Name,
    /// The caller's identity of the request; may be empty if it is repeatable.
    pub key: Name,
    /// True when it must run at most once.
    pub once: bool,
    /// Online or batch.
    pub class: Class,
    /// Time left until the caller gives up. A duration, not a time of day,
    /// because VMs' clocks differ; each hop subtracts what it spent.
    pub time_left: Duration,
    /// What to do.
    pub body: Body,
    /// True when its gateway has another endpoint for it and would rather be
    /// told at once that this one is crowded than wait.
    pub spills: bool,
    /// Tokens of the answer that the caller has already, when a broken stream
    /// is resumed on another path.
    pub resume_from: u32,
    /// The text of those tokens, which the engine continues.
    pub resume_text: Name,
}

impl Request {
    /// Which request it is, whatever its key: the same service, organisation and body.
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

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The generated text, or empty for a plain service.
    pub text: String,
    /// Tokens generated.
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
    /// Tokens of the answer before this piece.
    pub offset: u32,
    /// Tokens in this piece.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}
