//! Decodes batch jobs as callers submit them, and encodes their results.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::{call, organisation};
use crate::batch::item::{Item, State};
use crate::name::Name;

/// Maximum number of items of a job.
const MAX_ITEMS: usize = 200;

#[derive(Deserialize)]
struct Submission {
    requests: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    id: Name,
    path: Name,
    #[serde(default)]
    headers: std::collections::BTreeMap<Name, Name>,
    #[serde(default)]
    body: String,
    /// Sum of the prompt's tokens and the maximum output tokens.
    #[serde(default)]
    tokens: u32,
}

/// Decodes the items of a submitted job.
///
/// # Errors
/// A message for the caller about what is wrong with the job.
pub fn decode(body: &[u8]) -> Result<Vec<Item>, String> {
    let submission: Submission = serde_json::from_slice(body)
        .map_err(|error| format!("the body is not a valid job: {error}"))?;
    let entries = submission.requests;
    if entries.is_empty() || entries.len() > MAX_ITEMS {
        return Err(format!(
            "a job must have 1 to {MAX_ITEMS} items; this one has {}",
            entries.len()
        ));
    }
    let mut ids: Vec<&Name> = entries.iter().map(|entry| &entry.id).collect();
    ids.sort();
    let count = ids.len();
    ids.dedup();
    if ids.len() < count {
        return Err("two items have the same id; give each item its own id".into());
    }
    entries.into_iter().map(item).collect()
}

fn item(entry: Entry) -> Result<Item, String> {
    let body = STANDARD
        .decode(&entry.body)
        .map_err(|error| format!("the body of item {} is not valid base64: {error}", entry.id))?;
    // Items are written to the store, which must never hold a key.
    if entry
        .headers
        .keys()
        .any(|name| organisation::is_credential(name))
    {
        return Err(format!(
            "item {} carries a key; send the key only with the job's own request",
            entry.id
        ));
    }
    Ok(Item {
        id: entry.id,
        path: entry.path,
        headers: entry.headers.into_iter().collect(),
        body: body.into(),
        tokens: entry.tokens,
    })
}

#[derive(Serialize)]
struct Page<'a> {
    /// The number of items.
    total: usize,
    /// The position after the last result of this page.
    next: usize,
    results: Vec<ResultEntry<'a>>,
}

#[derive(Serialize)]
struct ResultEntry<'a> {
    id: &'a str,
    state: &'static str,
    output: &'a str,
}

/// One result of a page.
pub struct Listed<'a> {
    /// The item's id.
    pub id: &'a str,
    /// The item's final state.
    pub state: State,
    /// The item's output; empty unless it is done.
    pub output: &'a str,
}

/// Builds a page of results that starts at the position `after`.
pub fn page(total: usize, after: usize, results: &[Listed<'_>]) -> Response<Bytes> {
    let entries = results
        .iter()
        .map(|result| ResultEntry {
            id: result.id,
            state: match result.state {
                State::Done => "complete",
                State::Failed => "errored",
            },
            output: result.output,
        })
        .collect();
    let page = Page {
        total,
        next: after + results.len(),
        results: entries,
    };
    call::json(StatusCode::OK, &page)
}

/// Builds the response to a submission whose job is stored.
pub fn accepted() -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::ACCEPTED;
    response
}
