//! What travels to and from an engine; docs/design/engine.md has examples.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// `POST /v1/completions`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Completion {
    /// The model to ask.
    pub model: String,
    /// The text to complete.
    pub prompt: String,
    /// Length of the whole answer in tokens, those before `resume_from` among
    /// them.
    pub max_tokens: u32,
    /// True for an event stream, false for one body.
    pub stream: bool,
    /// Names this run, for cancelling and counting.
    pub request_id: String,
    /// The caller's identity of the request, which the counts show.
    pub key: String,
    /// Tokens that the caller has already.
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
    /// Tokens counted so far.
    pub usage: Usage,
}

/// The text of an event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The text.
    pub text: String,
    /// `length` on the last event, else null.
    pub finish_reason: Option<String>,
}

/// Tokens counted so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Of the prompt.
    pub prompt_tokens: u32,
    /// Of the answer, those before `resume_from` among them.
    pub completion_tokens: u32,
}

/// A model that an engine holds.
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

/// `POST /v1/orders` and the answer of `GET /v1/state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Order {
    /// The fencing number.
    pub fence: u64,
    /// The models to hold.
    pub hold: Vec<Model>,
    /// The engine's role.
    pub role: String,
}

/// What a test asks a stand-in for: everything that ever reached it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Arrivals by `request_id`.
    pub requests: BTreeMap<String, u64>,
    /// Arrivals by `key`.
    pub keys: BTreeMap<String, u64>,
    /// Arrivals by prompt or body, cut to 64 characters.
    pub prompts: BTreeMap<String, u64>,
    /// Tokens generated.
    pub tokens: u64,
    /// Answers that ended whole.
    pub completed: u64,
    /// Runs that were cancelled, or whose reader went away.
    pub cancelled: u64,
    /// Runs that broke off by a fault.
    pub broken: u64,
    /// Orders that took effect.
    pub orders: u64,
}

impl Counts {
    /// Counts an arrival.
    pub fn arrive(&mut self, request: &str, key: &str, text: &str) {
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
