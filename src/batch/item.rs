//! One item of a batch job.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::name::Name;

/// An item as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Unique in its job.
    pub id: Name,
    /// Where it is sent.
    pub path: Name,
    /// The headers it is sent with.
    pub headers: Vec<(Name, Name)>,
    /// The body it is sent with.
    pub body: Bytes,
    /// Tokens of its prompt and its longest output.
    pub tokens: u32,
}

/// What became of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It has its whole output.
    #[serde(rename = "d")]
    Done,
    /// It can't be done, or was given up.
    #[serde(rename = "f")]
    Failed,
}

/// The final result of an item, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The item's id.
    #[serde(rename = "i")]
    pub id: Name,
    /// What became of it.
    #[serde(rename = "s")]
    pub state: State,
    /// The data of all events in order, separated by line feeds.
    #[serde(rename = "o")]
    pub output: String,
    /// The object that holds the output, where it is too long for a row.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
}

/// What a run has brought so far; a later run goes on behind it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// The number of the last event.
    #[serde(rename = "l")]
    pub last: Option<u64>,
    /// The data of the events, separated by line feeds.
    #[serde(rename = "o")]
    pub output: String,
}

impl Partial {
    /// Adds the data of one event.
    pub fn push(&mut self, data: &str) {
        if self.last.is_some() || !self.output.is_empty() {
            self.output.push('\n');
        }
        self.output.push_str(data);
    }
}
