//! The streaming completion protocol of model engines.
//!
//! docs/design/engine.md specifies it: one POST, answered by an event stream whose events carry
//! the offset of their tokens.

use std::cell::Cell;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::error::PayloadError;
use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use serde::{Deserialize, Serialize};

use super::{Client, Failure, STALL_TIMEOUT, Target};
use crate::request::Piece;

/// Marks the end of an event stream.
const DONE: &str = "[DONE]";
/// Largest error body that is read.
const MAX_ERROR_BYTES: usize = 4 * 1024;
/// Most bytes without the end of an event. A faulty engine may send bytes without end.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A completion request.
#[derive(Clone, Debug, Serialize)]
pub struct Prompt<'a> {
    /// The model.
    pub model: &'a str,
    /// The text to complete.
    pub prompt: &'a str,
    /// Maximum number of tokens of the whole answer.
    pub max_tokens: u32,
    /// Always true: answers are streamed.
    pub stream: bool,
    /// The caller's idempotency key, for the engine's log.
    pub key: &'a str,
    /// Number of tokens that the caller already has.
    pub resume_from: u32,
    /// The text of those tokens.
    pub resume_text: &'a str,
}

#[derive(Debug, Deserialize)]
struct Event {
    offset: u32,
    tokens: u32,
    choices: [Choice; 1],
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

/// Runs a prompt and passes each piece to `on_piece`.
///
/// Dropping the future closes the connection, which cancels the run at the engine. `first_wait`
/// limits the time to the first piece, which may be queued behind other requests at the engine.
///
/// # Errors
/// [`Failure`], which distinguishes whether anything may have run.
pub async fn run<F, A>(
    client: &Client,
    target: &Target,
    prompt: &Prompt<'_>,
    first_wait: Duration,
    mut on_piece: F,
) -> Result<(), Failure>
where
    F: FnMut(Piece) -> A,
    A: Future<Output = ()>,
{
    let url = format!("http://{}/v1/completions", target.address);
    let mut response = client
        .engines
        .post(url)
        .timeout(first_wait)
        .send_json(prompt)
        .await
        .map_err(|error| Failure::from_send(&error))?;
    if response.status() != StatusCode::OK {
        let body = response
            .body()
            .limit(MAX_ERROR_BYTES)
            .await
            .unwrap_or_default();
        let text = format!(
            "{} {}",
            response.status(),
            String::from_utf8_lossy(&body).trim()
        );
        return Err(if is_permanent(response.status()) {
            Failure::Rejected(text)
        } else {
            Failure::Broken(text)
        });
    }
    // Bytes since the last event ended.
    let unread = Cell::new(0);
    let body = response.map(|bytes| {
        let bytes = bytes?;
        unread.set(unread.get() + bytes.len());
        if unread.get() > MAX_EVENT_BYTES {
            return Err(PayloadError::Overflow);
        }
        Ok(bytes)
    });
    let mut events = body.eventsource();
    let mut wait = first_wait;
    let mut finished = false;
    loop {
        let next = tokio::time::timeout(wait, events.next()).await;
        let event = match next {
            Err(_) => return Err(Failure::Broken("the stream stalled".into())),
            Ok(None) => return Err(Failure::Broken("the stream ended early".into())),
            Ok(Some(Err(error))) => return Err(Failure::Broken(error.to_string())),
            Ok(Some(Ok(event))) => event,
        };
        unread.set(0);
        wait = STALL_TIMEOUT;
        if event.data == DONE {
            // A crashing engine can close a stream cleanly; only the finish reason proves that
            // the answer is complete.
            if finished {
                return Ok(());
            }
            return Err(Failure::Broken(
                "the stream ended without a finish reason".into(),
            ));
        }
        let event: Event = serde_json::from_str(&event.data)
            .map_err(|error| Failure::Broken(format!("invalid event: {error}")))?;
        let [choice] = event.choices;
        match choice.finish_reason.as_deref() {
            Some("error") => return Err(Failure::Rejected(choice.text)),
            Some(_) => finished = true,
            None => {}
        }
        if event.tokens > 0 {
            on_piece(Piece {
                offset: event.offset,
                tokens: event.tokens,
                text: choice.text,
            })
            .await;
        }
    }
}

/// Returns true for a status that any other engine would return as well.
fn is_permanent(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE | StatusCode::UNPROCESSABLE_ENTITY
    )
}
