//! The way of a question from its caller to the dispatcher of an endpoint,
//! and of the answer back.
//!
//! One gateway lives on each traffic thread. It tries again only where that is
//! legal: after `NotRun` always, after `MayHaveRun` only for a request that may
//! be repeated, and then from where the answer broke off.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::clock::{Clock, Time};
use crate::config::{Document, Kind};
use crate::dispatch::handle::Event;
use crate::dispatch::{Handle, Load};
use crate::event;
use crate::link::Pool;
use crate::member::View;
use crate::metric::Metrics;
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::{Answer, Body, Class, Piece, Request};
use crate::snapshot;

/// Most endpoints that one question is tried at.
const ATTEMPTS: usize = 3;
/// When to come back to a node that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// What a gateway shares with the rest of its node.
#[derive(Clone)]
pub struct Shared {
    /// This node's name.
    pub node: Name,
    /// The monotonic clock.
    pub clock: Clock,
    /// The configuration in force.
    pub config: Arc<snapshot::Cell<Document>>,
    /// The members.
    pub view: Arc<snapshot::Cell<View>>,
    /// The dispatchers of this node.
    pub dispatch: Handle,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// The gateway of one traffic thread.
pub struct Gateway {
    shared: Shared,
    links: Rc<Pool>,
    loads: RefCell<HashMap<Name, Load>>,
}

impl Gateway {
    /// A gateway that has heard of no endpoint's load yet.
    pub fn new(shared: Shared) -> Rc<Self> {
        let links = Pool::new(shared.node.clone());
        Rc::new(Self {
            shared,
            links,
            loads: RefCell::default(),
        })
    }

    /// Asks one question and hands the pieces of its answer to `pieces`.
    ///
    /// The whole answer is also in the outcome, so that a caller who wants no
    /// pieces can drop the other end.
    pub async fn ask(&self, request: Request, pieces: mpsc::Sender<Piece>) -> Outcome<Answer> {
        let class = request.class;
        let outcome = self.try_endpoints(request, pieces).await;
        if let Outcome::NotRun(refusal) | Outcome::MayHaveRun(refusal) = &outcome {
            self.shared.metrics.refuse(class, refusal.reason);
            log::debug!("{} {refusal}", event::REQUEST_REFUSED);
        }
        outcome
    }

    async fn try_endpoints(
        &self,
        mut request: Request,
        pieces: mpsc::Sender<Piece>,
    ) -> Outcome<Answer> {
        if let Err(refusal) = self.complete(&mut request) {
            return Outcome::NotRun(refusal);
        }
        let arrived = self.shared.clock.now();
        let deadline = arrived + request.time_left;
        let mut stream = Stream::new(arrived, pieces);
        let mut tried: Vec<Name> = Vec::new();
        let mut ran = false;
        loop {
            let now = self.shared.clock.now();
            if now >= deadline {
                let refusal = Refusal::new(Reason::Deadline);
                return verdict(ran, refusal);
            }
            request.time_left = deadline.since(now);
            request.resume_from = stream.tokens;
            request.resume_text = stream.text.as_str().into();
            let Some((endpoint, node)) = self.choose(&request, &tried) else {
                let refusal = Refusal::new(Reason::NoEndpoint).after(NOT_READY_RETRY);
                return verdict(ran, refusal);
            };
            let outcome = self
                .attempt(&endpoint, &node, &request, &mut stream, deadline)
                .await;
            tried.push(endpoint);
            let (refusal, again) = match outcome {
                Outcome::Done(answer) => return Outcome::Done(answer),
                Outcome::NotRun(refusal) => (refusal, true),
                Outcome::MayHaveRun(refusal) => {
                    ran = true;
                    (refusal, !request.once)
                }
            };
            if !again || !may_help(refusal.reason) || tried.len() >= ATTEMPTS {
                return verdict(ran, refusal);
            }
            self.shared.metrics.retry(request.class, refusal.reason);
            log::debug!("{} {refusal}", event::REQUEST_RETRIED);
        }
    }

    /// Fills in the service's own bounds where the caller named none.
    fn complete(&self, request: &mut Request) -> Result<(), Refusal> {
        let config = self.shared.config.read();
        if config.version == 0 {
            return Err(Refusal::new(Reason::NotReady).after(NOT_READY_RETRY));
        }
        let Some(service) = config.services.get(&request.service) else {
            return Err(Refusal::new(Reason::UnknownService).because(format!(
                "there is no service `{}`; `auburnspoke service list` names them",
                request.service
            )));
        };
        if request.time_left.is_zero() {
            request.time_left = Duration::from_millis(service.deadline_ms.into());
        }
        match (&mut request.body, service.kind) {
            (Body::Prompt { max_tokens, .. }, Kind::Model) => {
                if *max_tokens == 0 || *max_tokens > service.max_tokens {
                    *max_tokens = service.max_tokens;
                }
                Ok(())
            }
            (Body::Call { .. }, Kind::Plain) => Ok(()),
            (Body::Prompt { .. }, Kind::Plain) => Err(Refusal::new(Reason::Invalid)
                .because("the service is a plain one; name a path and a body, not a prompt")),
            (Body::Call { .. }, Kind::Model) => Err(Refusal::new(Reason::Invalid)
                .because("the service is a model; name a prompt, not a path")),
        }
    }

    /// The endpoint to try next and the node that dispatches it.
    fn choose(&self, request: &Request, tried: &[Name]) -> Option<(Name, Name)> {
        let config = self.shared.config.read();
        let view = self.shared.view.read();
        let loads = self.loads.borrow();
        let endpoint = config
            .endpoints_of(&request.service)
            .filter(|endpoint| !tried.contains(&endpoint.name))
            .min_by_key(|endpoint| loads.get(&endpoint.name).map_or(0, |l| l.online + l.queued))?;
        let node = view
            .usable()
            .max_by_key(|member| {
                let pair = format!("{}/{}", endpoint.name, member.name);
                xxhash_rust::xxh3::xxh3_64(pair.as_bytes())
            })?
            .name
            .clone();
        Some((endpoint.name.clone(), node))
    }

    async fn attempt(
        &self,
        endpoint: &Name,
        node: &Name,
        request: &Request,
        stream: &mut Stream,
        deadline: Time,
    ) -> Outcome<Answer> {
        let mut events = if *node == self.shared.node {
            let dispatch = &self.shared.dispatch;
            dispatch.submit(endpoint.clone(), request.clone())
        } else {
            let Some(link) = self.link_of(node) else {
                return Outcome::NotRun(Refusal::new(Reason::LinkFailed));
            };
            self.links.submit(&link, endpoint.clone(), request.clone())
        };
        loop {
            let left = deadline.since(self.shared.clock.now());
            match tokio::time::timeout(left, events.recv()).await {
                Err(_) => return Outcome::MayHaveRun(Refusal::new(Reason::Deadline)),
                Ok(None) => return Outcome::MayHaveRun(Refusal::new(Reason::LinkFailed)),
                Ok(Some(Event::Piece(piece))) => {
                    stream.take(&self.shared, request.class, piece).await;
                }
                Ok(Some(Event::End(outcome, load))) => {
                    self.loads.borrow_mut().insert(endpoint.clone(), load);
                    return outcome;
                }
            }
        }
    }

    fn link_of(&self, node: &str) -> Option<Name> {
        let view = self.shared.view.read();
        view.find(node).map(|member| member.link.clone())
    }
}

/// What a caller has of an answer, over all attempts.
struct Stream {
    pieces: mpsc::Sender<Piece>,
    tokens: u32,
    text: String,
    last: Time,
}

impl Stream {
    fn new(now: Time, pieces: mpsc::Sender<Piece>) -> Self {
        Self {
            pieces,
            tokens: 0,
            text: String::new(),
            last: now,
        }
    }

    /// Passes a piece on if it is the next one: pieces that come late, twice or
    /// out of order never reach the caller.
    async fn take(&mut self, shared: &Shared, class: Class, piece: Piece) {
        if piece.offset != self.tokens {
            return;
        }
        let now = shared.clock.now();
        if class == Class::Online {
            if self.tokens == 0 {
                shared.metrics.first_token(now.since(self.last));
            } else {
                shared.metrics.between_tokens(now.since(self.last));
            }
        }
        self.last = now;
        self.tokens += piece.tokens;
        self.text.push_str(&piece.text);
        let _ = self.pieces.send(piece).await;
    }
}

/// A refusal after some attempt may have run is never said to be `NotRun`.
fn verdict(ran: bool, refusal: Refusal) -> Outcome<Answer> {
    if ran {
        Outcome::MayHaveRun(refusal)
    } else {
        Outcome::NotRun(refusal)
    }
}

/// True for causes that another endpoint may not share.
fn may_help(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overloaded
            | Reason::NoEndpoint
            | Reason::NotReady
            | Reason::EndpointFailed
            | Reason::LinkFailed
    )
}
