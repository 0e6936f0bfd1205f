//! Items of a batch job, and their results.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::name::Name;
use crate::origin::Origin;

/// An item as submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Id, unique in its job.
    pub id: Name,
    /// Path of the request.
    pub path: Name,
    /// Headers of the request.
    pub headers: Vec<(Name, Name)>,
    /// Body of the request.
    pub body: Bytes,
    /// Tokens of its prompt plus its longest output.
    pub tokens: u32,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The output is complete.
    #[serde(rename = "d")]
    Done,
    /// The item cannot be completed, or was given up.
    #[serde(rename = "f")]
    Failed,
}

/// The final result of an item, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the item.
    #[serde(rename = "i")]
    pub id: Name,
    /// How it ended.
    #[serde(rename = "s")]
    pub state: State,
    /// The data of all events in order, separated by line feeds.
    #[serde(rename = "o")]
    pub output: String,
    /// The object that holds the output, if it is too long for a row.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub object: Option<String>,
    /// Length of that object in bytes. The end of its bytes does not prove that all have been read;
    /// none in rows of versions that did not store it.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub object_length: Option<usize>,
}

/// Output received so far; a later run resumes after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Id of the last event.
    #[serde(rename = "l")]
    pub last: Option<u64>,
    /// The data of the events, separated by line feeds.
    #[serde(rename = "o")]
    pub output: String,
    /// What wrote the first event; `None` if there is none, or if that is unknown.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

impl Partial {
    /// Returns true if there is no output.
    pub fn is_empty(&self) -> bool {
        self.last.is_none() && self.output.is_empty()
    }

    /// Appends the data of one event.
    pub fn push(&mut self, data: &str) {
        if !self.is_empty() {
            self.output.push('\n');
        }
        self.output.push_str(data);
    }
}
