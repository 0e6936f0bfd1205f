//! Takes one request of a caller to an endpoint and its answer back.
//!
//! [`Attempt`] decides; this acts. A task of its own does it, which ends when
//! the caller leaves: its connection to the endpoint closes, and the endpoint
//! stops.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

use super::body::{Body, Broken, Guard, Piece};
use super::node::Node;
use crate::attempt::{Attempt, Failure, Next, Repeat};
use crate::catalog::keyring::Organisation;
use crate::catalog::{Endpoint, Kind, Route};
use crate::clock::{Time, Uptime};
use crate::connect::{self, Conn};
use crate::event;
use crate::identity;
use crate::name::Name;
use crate::permit::Permit;
use crate::permit::count::{Denial, Token};
use crate::platform::call;
use crate::platform::forward::{self, Forward, Verdict};
use crate::pool::message::End;
use crate::quarantine::Fingerprint;
use crate::quarantine::evidence::Standing;
use crate::quarantine::loss::Finding;
use crate::quarantine::ward::Run;
use crate::split::Splitter;

mod admit;

use admit::Denied;

/// Most time to connect to an endpoint, which takes some 2 ms; one that is off
/// does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// An endpoint that sends no first event for so long is given up where the
/// request may go on elsewhere. It takes some 40 ms, and 150 ms at an endpoint
/// that is five times as slow.
const FIRST_SILENCE: Duration = Duration::from_millis(200);
/// The same between events, which come every 20 ms. An answer is on time while
/// no pause is above 400 ms, and the next endpoint needs some 50 ms.
const NEXT_SILENCE: Duration = Duration::from_millis(280);
/// Of the time within which a first event is on time, so much is needed after
/// a place is found.
const START: Duration = Duration::from_millis(70);
/// Pieces of an answer that may wait for a slow caller.
const PIECES: usize = 16;
/// When to come back after "not run" for another reason than load.
const RETRY: Duration = Duration::from_millis(150);

/// A request for an endpoint, read whole.
pub struct Call {
    /// Which request it is, whatever its id.
    pub print: Fingerprint,
    /// The request.
    pub forward: Forward,
    /// Its route.
    pub route: Arc<Route>,
    /// Whose it is; none where callers need no key.
    pub organisation: Option<Arc<Organisation>>,
    /// The version of the configuration that let it through.
    pub version: u64,
    /// The service that answers it.
    pub service: Name,
    /// When it arrived.
    pub arrived: Time,
    /// How long its caller waits; none if it did not say.
    pub timeout: Option<Duration>,
    /// The event behind which a stream goes on.
    pub last: Option<u64>,
    /// The prompt's shared prefix, 0 for none.
    pub prefix: u64,
}

/// Serves a request; dropping the future or the body ends all work on it.
pub async fn serve(node: &Rc<Node>, call: Call) -> Response<Body> {
    let (head, answer) = oneshot::channel();
    let (pieces, body) = mpsc::channel(PIECES);
    let relay = Relay::new(Rc::clone(node), call, head, pieces);
    let guard = Guard(actix_rt::spawn(relay.run()));
    match answer.await {
        Ok(Head::Stream(head)) => head.map(|()| Body::Pieces(body, guard)),
        Ok(Head::Whole(response)) => response.map(Body::from),
        // The relay ends without a word only if it panicked.
        Err(_) => call::error(StatusCode::BAD_GATEWAY, "the request may have run").map(Body::from),
    }
}

enum Head {
    Stream(Response<()>),
    Whole(Response<Bytes>),
}

/// How the exchange with one endpoint ended.
enum Ended {
    /// The answer is complete.
    Whole,
    /// The endpoint failed.
    Failed(Failure, End, &'static str),
    /// The endpoint answered with an error of its own.
    Error(Response<Bytes>),
    /// The caller's time is up.
    Late,
    /// The caller has gone.
    Left,
}

struct Relay {
    node: Rc<Node>,
    call: Call,
    attempt: Attempt,
    head: Option<oneshot::Sender<Head>>,
    pieces: mpsc::Sender<Piece>,
    avoid: Vec<Name>,
    error: Option<Response<Bytes>>,
    /// How long after its arrival the answer began.
    first: Option<Duration>,
    /// The request as it was counted against its organisation's limit.
    token: Option<Token>,
}

impl Relay {
    fn new(
        node: Rc<Node>,
        call: Call,
        head: oneshot::Sender<Head>,
        pieces: mpsc::Sender<Piece>,
    ) -> Self {
        let limit = match call.timeout {
            Some(timeout) => timeout.min(call.route.timeout),
            None => call.route.timeout,
        };
        let repeat = match call.route.kind {
            Kind::Idempotent => Repeat::Whole,
            Kind::Stream {
                resumable: true, ..
            } => Repeat::Resume,
            Kind::Once | Kind::Stream { .. } | Kind::Batch(_) => Repeat::Never,
        };
        let deadline = call.arrived + limit;
        let attempt = Attempt::new(repeat, call.route.attempts, deadline, call.last);
        Self {
            node,
            call,
            attempt,
            head: Some(head),
            pieces,
            avoid: Vec::new(),
            error: None,
            first: None,
            token: None,
        }
    }

    async fn run(mut self) {
        let ward = Rc::clone(&self.node.ward);
        let request = self.call.print;
        loop {
            let now = self.node.clock.now();
            let left = self.attempt.deadline().since(now);
            if let Standing::Held(wait) = ward.standing(request) {
                sleep(wait.min(left)).await;
            }
            let left = self.attempt.deadline().since(self.node.clock.now());
            let want = self.want(now, left);
            let admitted = tokio::select! {
                biased;
                () = ward.condemned(request) => return self.condemned().await,
                admitted = timeout(left, self.admit(want)) => admitted,
            };
            let permit = match admitted {
                Ok(Ok(permit)) => permit,
                Ok(Err(Denied::Place(refusal))) => return self.refused(refusal).await,
                Ok(Err(Denied::Count(Denial::Over(until_room)))) => {
                    return self.over(until_room);
                }
                Ok(Err(Denied::Count(Denial::Unsettled))) => {
                    return self.end("limit_unsettled", RETRY).await;
                }
                Err(_) => return self.end("deadline", RETRY).await,
            };
            let endpoint = permit.endpoint.id.clone();
            self.log_granted(&endpoint);
            let began = self.node.clock.now();
            let ended = tokio::select! {
                biased;
                () = ward.condemned(request) => return self.condemned().await,
                ended = self.exchange(&permit) => ended,
            };
            let (next, why) = match ended {
                Ended::Whole => {
                    permit.finish(End::Done);
                    ward.sound(request);
                    return self.log_done(&endpoint);
                }
                Ended::Left => return,
                Ended::Late => {
                    permit.finish(End::Left);
                    return self.end("deadline", RETRY).await;
                }
                Ended::Error(response) => {
                    permit.finish(End::Error);
                    self.error = Some(response);
                    let now = self.node.clock.now();
                    (
                        self.attempt.failed(now, Failure::Answered),
                        "endpoint_error",
                    )
                }
                Ended::Failed(failure, end, why) => {
                    let end = match failure {
                        Failure::Lost => self.look_into(&permit.endpoint, began, why).await,
                        Failure::NotRun | Failure::Answered => end,
                    };
                    permit.finish(end);
                    let now = self.node.clock.now();
                    let next = self.attempt.failed(now, failure);
                    self.spend(!self.attempt.is_unrun());
                    (next, why)
                }
            };
            log::info!(
                "{} id={} print={} endpoint={endpoint} why={why} next={next:?} last={:?} left_ms={}",
                event::REQUEST_RETRIED,
                self.call.forward.id,
                self.call.print,
                self.attempt.last(),
                left.as_millis(),
            );
            self.node.count.retry(why);
            if next != Next::Again {
                return self.give_up(next, why, RETRY).await;
            }
            self.avoid.push(endpoint);
        }
    }

    /// One endpoint's part in the request.
    async fn exchange(&mut self, permit: &Permit) -> Ended {
        let deadline = self.attempt.deadline();
        let endpoint = &permit.endpoint;
        self.attempt.sending();
        // Before anything is sent: this task may end at any point.
        self.spend(true);
        let opened = connect::open(endpoint.address, CONNECT_TIMEOUT).await;
        let Ok(mut conn) = opened else {
            return Ended::Failed(Failure::NotRun, End::Failed, "connect");
        };
        let left = deadline.since(self.node.clock.now());
        let last = self.attempt.last();
        let Ok(request) = self.call.forward.request(endpoint, Some(left), last) else {
            return Ended::Failed(Failure::NotRun, End::Left, "request_target");
        };
        let silence = self.silence(FIRST_SILENCE, left);
        let response = match timeout(silence, conn.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(connect::Failure::Unsent(_))) => {
                return Ended::Failed(Failure::NotRun, End::Failed, "connect");
            }
            Ok(Err(connect::Failure::Broken(_))) => {
                return Ended::Failed(Failure::Lost, End::Error, "broken_before_head");
            }
            Err(_) => return self.silent("silent_before_head"),
        };
        match forward::verdict(&response, &self.call.forward.id) {
            Verdict::Full => Ended::Failed(Failure::NotRun, End::Full, "full"),
            Verdict::Elsewhere => Ended::Failed(Failure::NotRun, End::Failed, "elsewhere"),
            Verdict::Foreign => Ended::Failed(Failure::Lost, End::Error, "foreign_answer"),
            Verdict::Failed => self.whole(response, &conn).await,
            Verdict::Answer | Verdict::Impossible => self.answer(permit, response, conn).await,
        }
    }

    /// How long an endpoint may be silent: for good where nothing else can be
    /// tried.
    fn silence(&self, usual: Duration, left: Duration) -> Duration {
        if self.attempt.may_move() {
            usual.min(left)
        } else {
            left
        }
    }

    fn silent(&self, why: &'static str) -> Ended {
        let left = self.attempt.deadline().since(self.node.clock.now());
        if left.is_zero() {
            return Ended::Late;
        }
        Ended::Failed(Failure::Lost, End::Error, why)
    }

    /// Reads an error whole, to pass it on if nothing better comes. The
    /// connection is lent so that it stays open meanwhile.
    async fn whole(&mut self, response: Response<Incoming>, _conn: &Conn) -> Ended {
        let head = forward::head(&response);
        let left = self.attempt.deadline().since(self.node.clock.now());
        match timeout(left, response.into_body().collect()).await {
            Ok(Ok(body)) => Ended::Error(head.map(|()| body.to_bytes())),
            Ok(Err(_)) => Ended::Failed(Failure::Lost, End::Error, "broken_error"),
            Err(_) => Ended::Late,
        }
    }

    /// Passes an answer on as it comes. The connection closes at the end, which
    /// tells an endpoint that is not done to stop.
    async fn answer(
        &mut self,
        permit: &Permit,
        response: Response<Incoming>,
        _conn: Conn,
    ) -> Ended {
        let mut head = forward::head(&response);
        let stream = forward::is_stream(head.headers()) && response.status().is_success();
        let mut body = response.into_body();
        let mut splitter = (stream && self.may_resume()).then(Splitter::default);
        if splitter.is_some() {
            // It may go on at another endpoint, whose part has another length.
            head.headers_mut().remove(CONTENT_LENGTH);
        }
        let mut first = true;
        loop {
            let left = self.attempt.deadline().since(self.node.clock.now());
            let usual = if first { FIRST_SILENCE } else { NEXT_SILENCE };
            let limit = if splitter.is_some() {
                self.silence(usual, left)
            } else {
                left
            };
            let frame = match timeout(limit, body.frame()).await {
                Err(_) => return self.silent("silent"),
                Ok(None) => break,
                Ok(Some(Err(_))) => {
                    return Ended::Failed(Failure::Lost, End::Error, "broken_stream");
                }
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if std::mem::take(&mut first) {
                permit.begun();
            }
            let bytes = match &mut splitter {
                None => {
                    self.attempt.passed(None);
                    bytes
                }
                Some(splitter) => match splitter.push(&bytes) {
                    Ok(None) => continue,
                    Ok(Some(events)) => {
                        if self.is_repeated(events.first) {
                            return Ended::Failed(Failure::Lost, End::Error, "event_order");
                        }
                        self.attempt.passed(events.last);
                        events.bytes
                    }
                    Err(_) => return Ended::Failed(Failure::Lost, End::Error, "event_size"),
                },
            };
            self.send_head(&mut head);
            if self.pieces.send(Ok(bytes)).await.is_err() {
                return Ended::Left;
            }
        }
        self.send_head(&mut head);
        if let Some(splitter) = splitter {
            let rest = splitter.rest();
            if !rest.is_empty() && self.pieces.send(Ok(rest)).await.is_err() {
                return Ended::Left;
            }
        }
        Ended::Whole
    }

    /// Before it is run again, it must be known whether it ended the endpoint.
    async fn look_into(&self, endpoint: &Arc<Endpoint>, began: Time, why: &'static str) -> End {
        let run = Run {
            id: &self.call.forward.id,
            request: self.call.print,
            ran: self.node.clock.now().since(began),
            why,
        };
        match self.node.ward.lost(endpoint, run).await {
            Finding::Crashed => End::Crashed,
            Finding::Innocent | Finding::Open => End::Error,
        }
    }

    fn may_resume(&self) -> bool {
        matches!(
            self.call.route.kind,
            Kind::Stream {
                resumable: true,
                ..
            }
        )
    }

    /// True when an endpoint does not go on where the last one broke off.
    fn is_repeated(&self, first: Option<u64>) -> bool {
        match (first, self.attempt.last()) {
            (Some(first), Some(last)) => first <= last,
            _ => false,
        }
    }

    fn send_head(&mut self, head: &mut Response<()>) {
        let Some(sender) = self.head.take() else {
            return;
        };
        self.attempt.begin();
        let took = self.node.clock.now().since(self.call.arrived);
        self.node.count.first_event(took);
        self.first = Some(took);
        self.finish_head(head.headers_mut());
        // A failure means that the caller has gone; the next piece tells.
        let _ = sender.send(Head::Stream(std::mem::take(head)));
    }

    fn finish_head(&self, headers: &mut hyper::HeaderMap<HeaderValue>) {
        if self.node.is_leaving() {
            call::close(headers);
        }
    }

    async fn end(self, why: &'static str, retry_after: Duration) {
        let next = self.attempt.give_up(self.error.is_some());
        self.give_up(next, why, retry_after).await;
    }

    /// The request crashed endpoints. Its caller is told so and not to come again.
    async fn condemned(mut self) {
        const WHY: &str = "condemned";
        self.error = Some(call::error(
            StatusCode::BAD_REQUEST,
            "endpoints that run this request crash; it is not run any more, so don't send it again",
        ));
        let next = self.attempt.give_up(true);
        self.give_up(next, WHY, Duration::ZERO).await;
    }

    async fn give_up(mut self, next: Next, why: &'static str, retry_after: Duration) {
        let now = self.node.clock.now();
        log::info!(
            "{} id={} route={} why={why} answer={next:?} waited_ms={} retry_after_ms={}",
            event::REQUEST_REFUSED,
            self.call.forward.id,
            self.call.route.name,
            now.since(self.call.arrived).as_millis(),
            retry_after.as_millis(),
        );
        self.node.count.refuse(why);
        let mut response = match (next, self.error.take()) {
            (Next::Pass, Some(error)) => error,
            (Next::Refuse, _) => call::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "not run; come back later",
                retry_after,
            ),
            (Next::Break, _) => {
                // The body's reader sees the break and closes the connection.
                let _ = self.pieces.send(Err(Broken)).await;
                return;
            }
            (Next::Fail | Next::Again | Next::Pass, _) => {
                let status = if self.attempt.deadline() <= now {
                    StatusCode::GATEWAY_TIMEOUT
                } else {
                    StatusCode::BAD_GATEWAY
                };
                call::error(status, "it may have run; an endpoint failed")
            }
        };
        self.finish_head(response.headers_mut());
        if let Some(head) = self.head.take() {
            // A failure means that the caller has gone.
            let _ = head.send(Head::Whole(response));
        }
    }

    fn log_granted(&self, endpoint: &Name) {
        let now = self.node.clock.now();
        let catalog = self.node.catalog.read();
        log::info!(
            "{} id={} print={} organisation={} endpoint={endpoint} waited_ms={} behind={:?} known_ms={} config={} vouched_ms={:?}",
            event::REQUEST_GRANTED,
            self.call.forward.id,
            self.call.print,
            self.call.organisation.as_ref().map_or("-", |it| &it.name),
            now.since(self.call.arrived).as_millis(),
            self.attempt.last(),
            now.since(catalog.confirmed).as_millis(),
            catalog.config.as_ref().map_or(0, |config| config.version),
            identity::age(&catalog, Uptime::now()).map(|age| age.as_millis()),
        );
    }

    fn log_done(&self, endpoint: &Name) {
        let took = self.node.clock.now().since(self.call.arrived);
        log::info!(
            "{} id={} route={} endpoint={endpoint} first_ms={:?} took_ms={} last={:?}",
            event::REQUEST_DONE,
            self.call.forward.id,
            self.call.route.name,
            self.first.map(|first| first.as_millis()),
            took.as_millis(),
            self.attempt.last(),
        );
        self.node.count.done(took);
    }
}
