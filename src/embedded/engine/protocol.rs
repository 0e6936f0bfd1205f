//! The messages of the engine's HTTP API; docs/design/engine.md has examples.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Completion {
    /// The model that should answer.
    pub model: String,
    /// The text to complete.
    pub prompt: String,
    /// Length of the complete answer in tokens, including those before `resume_from`.
    pub max_tokens: u32,
    /// True for an event stream, false for a single event.
    pub stream: bool,
    /// Identifies this run, for cancellation and counting.
    pub request_id: String,
    /// The caller's idempotency key, which the counts show.
    pub key: String,
    /// Number of tokens that the caller has received already.
    pub resume_from: u32,
    /// Their text.
    pub resume_text: String,
}

/// One event of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The run's `request_id`.
    pub id: String,
    /// Always `text_completion`.
    pub object: String,
    /// Tokens of the answer before this event.
    pub offset: u32,
    /// Tokens in this event.
    pub tokens: u32,
    /// One choice with the text.
    pub choices: Vec<Choice>,
    /// Token counts so far.
    pub usage: Usage,
}

/// The text of an event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The text.
    pub text: String,
    /// `length` in the last event, else null.
    pub finish_reason: Option<String>,
}

/// Token counts so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer, including those before `resume_from`.
    pub completion_tokens: u32,
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Model {
    /// Its name.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Its adapters.
    pub adapters: Vec<String>,
}

/// Body of `POST /v1/orders`, and response of `GET /v1/state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// The fencing token of the sender's lease.
    pub fence: u64,
    /// The models to load.
    pub hold: Vec<Model>,
    /// The engine's role.
    pub role: String,
}

/// Counts of all requests that reached a stand-in, for tests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests by `request_id`.
    pub requests: BTreeMap<String, u64>,
    /// Requests by `key`.
    pub keys: BTreeMap<String, u64>,
    /// Requests by prompt or body, truncated to 64 characters.
    pub prompts: BTreeMap<String, u64>,
    /// Tokens generated.
    pub tokens: u64,
    /// Completed answers.
    pub completed: u64,
    /// Runs that were cancelled, or whose client disconnected.
    pub cancelled: u64,
    /// Runs that were broken off by a fault.
    pub broken: u64,
    /// Orders that were applied.
    pub orders: u64,
}

impl Counts {
    /// Counts a request.
    pub fn add(&mut self, request: &str, key: &str, text: &str) {
        self.arrived += 1;
        let text: String = text.chars().take(64).collect();
        for (map, name) in [
            (&mut self.requests, request),
            (&mut self.keys, key),
            (&mut self.prompts, &text),
        ] {
            if !name.is_empty() {
                *map.entry(name.to_owned()).or_default() += 1;
            }
        }
    }
}
