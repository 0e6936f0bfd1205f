//! One run of a request at an endpoint.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::sync::mpsc;

use super::handle::Event;
use super::{End, Load};
use crate::config::{Document, Kind};
use crate::endpoint::{Client, Failure, Target, completion, plain};
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::{Answer, Body, Piece, Request};

/// Progress of an answer over all of its runs.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Tokens so far, including those received before the request came here.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

impl Progress {
    /// Returns the progress that a request arrives with.
    pub fn resumed(request: &Request) -> Self {
        Self {
            tokens: request.resume_from,
            text: request.resume_text.to_string(),
        }
    }

    /// Appends a piece if it continues the answer. Returns false otherwise.
    ///
    /// This keeps tokens that an engine repeats or skips after a resume from
    /// corrupting the answer.
    pub fn take(&mut self, piece: &Piece) -> bool {
        if piece.offset != self.tokens {
            return false;
        }
        self.tokens += piece.tokens;
        self.text.push_str(&piece.text);
        true
    }
}

/// Returns the target of a request, or `None` when its service is not configured.
pub fn target(config: &Document, endpoint: &str, request: &Request) -> Option<Target> {
    let endpoint = config.endpoints.get(endpoint)?;
    let service = config.services.get(&request.service)?;
    let fits = matches!(
        (&request.body, service.kind),
        (Body::Prompt { .. }, Kind::Model) | (Body::Call { .. }, Kind::Plain)
    );
    fits.then(|| Target {
        name: endpoint.name.clone(),
        address: endpoint.address.clone(),
        model: service.model.clone(),
    })
}

/// Runs a request to completion, or until `left` has passed.
pub async fn run<F>(
    client: &Client,
    target: &Target,
    request: &Request,
    progress: &RefCell<Progress>,
    reply: &mpsc::Sender<Event>,
    left: Duration,
    tokens: F,
) -> (Outcome<Answer>, End)
where
    F: Fn(u32) -> Load,
{
    let running = once(client, target, request, progress, reply, left, tokens);
    match tokio::time::timeout(left, running).await {
        Ok(Ok(answer)) => (Outcome::Done(answer), End::Complete),
        Ok(Err(failure)) => {
            let end = match failure {
                Failure::Rejected(_) => End::Complete,
                Failure::Broken(_) | Failure::Unreachable(_) => End::Failed,
            };
            (failure.outcome(), end)
        }
        Err(_) => {
            let refusal = Refusal::new(Reason::Deadline);
            (Outcome::MayHaveRun(refusal), End::Failed)
        }
    }
}

async fn once<F>(
    client: &Client,
    target: &Target,
    request: &Request,
    progress: &RefCell<Progress>,
    reply: &mpsc::Sender<Event>,
    left: Duration,
    tokens: F,
) -> Result<Answer, Failure>
where
    F: Fn(u32) -> Load,
{
    let (prompt, max_tokens) = match &request.body {
        Body::Call { path, body } => {
            let body = body.clone();
            return plain::call(client, target, path, &request.key, body, left).await;
        }
        Body::Prompt { prompt, max_tokens } => (prompt, *max_tokens),
    };
    let so_far = progress.borrow().clone();
    let prompt = completion::Prompt {
        model: &target.model,
        prompt,
        max_tokens,
        stream: true,
        key: &request.key,
        resume_from: so_far.tokens,
        resume_text: &so_far.text,
    };
    let tokens = &tokens;
    let first = Cell::new(true);
    let first = &first;
    completion::run(client, target, &prompt, left, move |piece| async move {
        if progress.borrow_mut().take(&piece) {
            let load = tokens(piece.tokens);
            let load = first.replace(false).then_some(load);
            // A slow reader blocks only its own stream, and with it its connection
            // to the engine.
            let _ = reply.send(Event::Piece(piece, load)).await;
        }
    })
    .await?;
    let progress = progress.borrow();
    Ok(Answer {
        text: progress.text.clone(),
        tokens: progress.tokens,
        endpoint: target.name.to_string(),
        ..Answer::default()
    })
}
