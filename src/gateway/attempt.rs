//! One attempt of a request at one endpoint, and the answer across all attempts.

use std::time::Duration;

use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Gateway, History, Shared, guard};
use crate::clock::Time;
use crate::config::Document;
use crate::dispatch::Load;
use crate::dispatch::handle::Event;
use crate::member::{Member, View};
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::{Answer, Body, Class, Piece, Request};
use crate::retry::{Assembly, Push};
use crate::route::{self, Query, Verdict};

/// Size of a prompt block, matching one block of an engine's prefix cache: 16 tokens of about
/// four bytes.
const BLOCK_BYTES: usize = 64;
/// How long a node is avoided after a link to it failed; by then membership has detected
/// whether the node is gone.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Number of leading blocks considered for routing; further blocks do not improve the choice.
const MAX_BLOCKS: usize = 32;

impl Gateway {
    /// Returns the endpoint to try next.
    pub(super) fn pick(&self, request: &Request, history: &History) -> Option<Name> {
        let now = self.shared.clock.now();
        let blocks = blocks(&request.body);
        let pick = |tried: &[Name]| {
            let query = Query {
                service: &request.service,
                blocks: &blocks,
                tried,
                repeatable: !request.once,
            };
            self.router.borrow_mut().pick(now, &query)
        };
        let skipped = history.failed.iter().chain(&history.crowded);
        let skipped: Vec<Name> = skipped.cloned().collect();
        let choice = pick(&skipped).or_else(|| pick(&history.failed))?;
        Some(choice.endpoint)
    }

    /// Returns the node through which to reach an endpoint: its dispatcher, or an alternative
    /// if the link to the dispatcher failed recently.
    fn dispatcher<'a>(&self, view: &'a View, endpoint: &str, zone: &str) -> Option<&'a Member> {
        let now = self.shared.clock.now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, until| now < *until);
        let avoid = |member: &Member| avoided.contains_key(&member.name);
        route::dispatcher_excluding(view, endpoint, zone, avoid)
            .or_else(|| route::dispatcher(view, endpoint, zone))
    }

    /// Tries one endpoint through its dispatcher.
    pub(super) async fn attempt(
        &self,
        config: &Document,
        endpoint: &Name,
        request: &Request,
        stream: &mut Stream,
        deadline: Time,
    ) -> Outcome<Answer> {
        let Some((node, mut events)) = self.submit(config, endpoint, request) else {
            return Outcome::NotRun(Refusal::new(Reason::NoEndpoint));
        };
        let attempt = guard::Attempt::start(self, endpoint, &blocks(&request.body));
        let (outcome, load) = loop {
            let remaining = deadline.since(self.shared.clock.now());
            match tokio::time::timeout(remaining, events.recv()).await {
                Err(_) => {
                    let refusal = Refusal::new(Reason::Deadline);
                    break (Outcome::MayHaveRun(refusal), None);
                }
                Ok(None) => {
                    let refusal = Refusal::new(Reason::LinkFailed);
                    break (Outcome::MayHaveRun(refusal), None);
                }
                Ok(Some(Event::Piece(piece, load))) => {
                    attempt.first_token(endpoint, load);
                    if !stream.push(&self.shared, request.class, piece).await {
                        let refusal = Refusal::new(Reason::EndpointFailed)
                            .with_message("the pieces of the answer contradict each other");
                        break (Outcome::MayHaveRun(refusal), None);
                    }
                }
                Ok(Some(Event::End(outcome, load))) => break (outcome, Some(load)),
            }
        };
        // A broken link reports the default load, which carries no information.
        let load = load.filter(|load| *load != Load::default());
        attempt.end(health_verdict(&outcome), load);
        if let Outcome::NotRun(refusal) | Outcome::MayHaveRun(refusal) = &outcome
            && matches!(refusal.reason, Reason::LinkFailed | Reason::NotReady)
        {
            let until = self.shared.clock.now() + AVOID_TIME;
            self.avoided.borrow_mut().insert(node, until);
        }
        outcome
    }

    /// Submits the request to the endpoint's dispatcher, locally or on a peer.
    fn submit(
        &self,
        config: &Document,
        endpoint: &Name,
        request: &Request,
    ) -> Option<(Name, mpsc::Receiver<Event>)> {
        let view = self.shared.view.read();
        let zone = &config.endpoints.get(endpoint)?.zone;
        let member = self.dispatcher(&view, endpoint, zone)?;
        let request = request.clone();
        let endpoint = endpoint.clone();
        let events = if member.name == self.shared.node {
            self.shared.dispatch.submit(endpoint, request)
        } else {
            self.links.submit(&member.link, endpoint, request)
        };
        Some((member.name.clone(), events))
    }
}

/// Returns the effect of an outcome on the endpoint's health rating.
fn health_verdict(outcome: &Outcome<Answer>) -> Verdict {
    let (Outcome::NotRun(refusal) | Outcome::MayHaveRun(refusal)) = outcome else {
        return Verdict::Good;
    };
    match refusal.reason {
        Reason::Overloaded | Reason::Limited | Reason::Deadline => Verdict::Full,
        Reason::NoEndpoint | Reason::EndpointFailed => Verdict::Failed,
        // The dispatcher or the path to it is at fault, not the endpoint.
        _ => Verdict::Withdrawn,
    }
}

/// Returns hashes of a prompt's leading blocks; each also covers all preceding text.
fn blocks(body: &Body) -> Vec<u64> {
    let Body::Prompt { prompt, .. } = body else {
        return Vec::new();
    };
    let mut seed = 0;
    let chunks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    chunks
        .map(|chunk| {
            seed = xxh3_64_with_seed(chunk, seed);
            seed
        })
        .collect()
}

/// The part of an answer that the caller has received, across all attempts.
pub(super) struct Stream {
    pieces: mpsc::Sender<Piece>,
    assembly: Assembly,
    last: Time,
}

impl Stream {
    pub(super) fn new(now: Time, pieces: mpsc::Sender<Piece>) -> Self {
        Self {
            pieces,
            assembly: Assembly::default(),
            last: now,
        }
    }

    /// Prepares a request to resume after what the caller has received.
    pub(super) fn resume(&mut self, request: &mut Request) {
        self.assembly.restart();
        request.resume_from = self.assembly.tokens();
        request.resume_text = self.assembly.text().into();
    }

    /// Sends a piece to the caller; returns false if it contradicts what the caller has.
    pub(super) async fn push(&mut self, shared: &Shared, class: Class, piece: Piece) -> bool {
        let first = self.assembly.tokens() == 0;
        let next = match self.assembly.push(piece) {
            Push::Next(next) => next,
            Push::Nothing => return true,
            Push::Broken => return false,
        };
        let now = shared.clock.now();
        let took = now.since(self.last);
        self.last = now;
        if class == Class::Online && first {
            shared.metrics.record_first_token(took);
        } else if class == Class::Online {
            shared.metrics.record_between_tokens(took);
        }
        for piece in next {
            // An error means that the caller does not stream.
            let _ = self.pieces.send(piece).await;
        }
        true
    }

    /// Sends the rest of the answer if the end arrived before some piece.
    pub(super) async fn finish(&mut self, answer: &Answer) {
        let have = self.assembly.tokens();
        let rest = answer.text.strip_prefix(self.assembly.text());
        let Some(rest) = rest.filter(|_| answer.tokens > have) else {
            return;
        };
        let piece = Piece {
            offset: have,
            tokens: answer.tokens - have,
            text: rest.to_owned(),
        };
        let _ = self.pieces.send(piece).await;
    }
}
