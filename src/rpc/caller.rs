//! Conversion and validation of online requests: the methods of `auburnspoke.v1.Caller` that run a
//! single request.

use std::time::Duration;

use futures_util::Stream;
use tokio::sync::mpsc;

use super::error;
use super::v1;
use crate::name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::{Answer, Body, Class, Piece, Request};

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Validates a call and converts it to a request; its prompt may have up to `prompt_bytes`
/// bytes.
///
/// # Errors
/// A refusal that names the field and what to send instead.
pub fn request(ask: v1::AskRequest, prompt_bytes: usize) -> Result<Request, Refusal> {
    if !name::is_valid(&ask.service) {
        return Err(invalid(
            "service",
            "send the name of a service, such as `payment-run`",
        ));
    }
    if !ask.organisation.is_empty() && !name::is_valid(&ask.organisation) {
        return Err(invalid("organisation", "use letters, digits and -_.:"));
    }
    if !ask.key.is_empty() && !name::is_valid(&ask.key) {
        return Err(invalid("key", "use up to 128 letters, digits and -_.:"));
    }
    if ask.once && ask.key.is_empty() {
        return Err(invalid(
            "key",
            "a request that must not be repeated needs a unique key",
        ));
    }
    if ask.prompt.len() > prompt_bytes {
        return Err(Refusal::new(Reason::TooLarge).with_message(format!(
            "the prompt has {} bytes; send at most {prompt_bytes}",
            ask.prompt.len()
        )));
    }
    let time_left = Duration::from_millis(ask.deadline_ms.into());
    if time_left > MAX_DEADLINE {
        return Err(invalid("deadline_ms", "send at most 600000"));
    }
    Ok(Request {
        service: ask.service.as_str().into(),
        organisation: ask.organisation.as_str().into(),
        key: ask.key.as_str().into(),
        once: ask.once,
        class: Class::Online,
        time_left,
        body: body(ask.prompt, ask.max_tokens, &ask.path, ask.body)?,
        spills: false,
        resume_from: 0,
        resume_text: "".into(),
    })
}

fn body(prompt: String, max_tokens: u32, path: &str, body: bytes::Bytes) -> Result<Body, Refusal> {
    match (prompt.is_empty(), path.is_empty()) {
        (true, true) => Err(invalid("prompt", "send a prompt, or a path and a body")),
        (false, false) => Err(invalid("path", "send a prompt or a path, not both")),
        (false, true) => Ok(Body::Prompt {
            prompt: prompt.into(),
            max_tokens,
        }),
        (true, false) if !is_path(path) => Err(invalid(
            "path",
            "start with / and use no spaces or control characters",
        )),
        (true, false) => Ok(Body::Call {
            path: path.into(),
            body,
        }),
    }
}

fn is_path(path: &str) -> bool {
    path.starts_with('/') && path.bytes().all(|byte| byte.is_ascii_graphic())
}

fn invalid(field: &str, advice: &str) -> Refusal {
    Refusal::new(Reason::Invalid).with_message(format!("{field}: {advice}"))
}

/// Converts an answer to its schema message.
pub fn answer(answer: Answer) -> v1::AskResponse {
    v1::AskResponse {
        text: answer.text,
        tokens: answer.tokens,
        http_status: answer.status.into(),
        body: answer.body,
        endpoint: answer.endpoint,
    }
}

/// Returns the messages of a streamed answer: its pieces, then its end or a refusal.
pub fn pieces<F>(
    outcome_future: F,
    pieces: mpsc::Receiver<Piece>,
) -> impl Stream<Item = v1::AskPiece>
where
    F: Future<Output = Outcome<Answer>>,
{
    // The stream polls the future together with the channel, so that dropping the stream, as
    // when the caller disconnects, cancels the request.
    let state = (Box::pin(outcome_future), pieces, None, false);
    futures_util::stream::unfold(
        state,
        |(mut outcome_future, mut pieces, mut outcome, ended)| async move {
            if ended {
                return None;
            }
            loop {
                if outcome.is_none() {
                    tokio::select! {
                        biased;
                        piece = pieces.recv() => if let Some(piece) = piece {
                            let message = piece_message(piece);
                            return Some((message, (outcome_future, pieces, outcome, false)));
                        } else {
                            outcome = Some(outcome_future.as_mut().await);
                        },
                        done = outcome_future.as_mut() => outcome = Some(done),
                    }
                } else if let Ok(piece) = pieces.try_recv() {
                    let message = piece_message(piece);
                    return Some((message, (outcome_future, pieces, outcome, false)));
                } else {
                    let last = outcome.take().map(end_message)?;
                    return Some((last, (outcome_future, pieces, None, true)));
                }
            }
        },
    )
}

fn piece_message(piece: Piece) -> v1::AskPiece {
    v1::AskPiece {
        offset: piece.offset,
        text: piece.text,
        ..v1::AskPiece::default()
    }
}

fn end_message(outcome: Outcome<Answer>) -> v1::AskPiece {
    match outcome {
        Outcome::Done(done) => v1::AskPiece {
            offset: done.tokens,
            end: Some(answer(done)),
            ..v1::AskPiece::default()
        },
        Outcome::NotRun(refusal) => refusal_message(true, &refusal),
        Outcome::MayHaveRun(refusal) => refusal_message(false, &refusal),
    }
}

fn refusal_message(not_run: bool, refusal: &Refusal) -> v1::AskPiece {
    v1::AskPiece {
        refusal: Some(error::refusal(not_run, refusal)),
        ..v1::AskPiece::default()
    }
}
