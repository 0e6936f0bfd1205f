//! Relays one caller's request to an endpoint and the answer back.
//!
//! [`Attempt`] decides on retries; this module performs the I/O. Each request runs in a task of
//! its own, which is aborted when the caller disconnects: that closes the connection to the
//! endpoint, and the endpoint stops.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::body::{self, Body, Broken, Guard, Pieces};
use super::node::Node;
use super::open::Request;
use crate::answer::{self, Framing};
use crate::attempt::{Attempt, Failure, Next, Repeat};
use crate::catalog::keyring::Organisation;
use crate::catalog::{Kind, Route};
use crate::clock::{self, Time};
use crate::connect;
use crate::connect::process::{self, Fault};
use crate::event;
use crate::name::Name;
use crate::permit::Permit;
use crate::permit::count::{Denial, Token};
use crate::platform::call;
use crate::platform::forward::{self, Forward, Verdict};
use crate::pool::message::End;
use crate::quarantine::Subject;
use crate::quarantine::detector::Clearance;

mod admit;
mod finish;
mod loss;
mod origin;
mod report;
mod stream;

use admit::Denied;
use finish::Allowance;

/// Longest time to connect to an endpoint. Connecting normally takes about 2 ms; a VM that is
/// off does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// An endpoint that sends no first event within this time is abandoned if the request may be
/// retried at another endpoint. The first event normally takes about 40 ms, and 150 ms at an
/// endpoint that is five times as slow.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(200);
/// The same limit between events, which normally arrive every 20 ms. An answer is on time while
/// no pause exceeds 400 ms, and starting at the next endpoint takes about 50 ms.
const EVENT_TIMEOUT: Duration = Duration::from_millis(280);
/// Part of the route's latency goal that is reserved for the time between admission and the first
/// event. The rest of the goal limits the wait for a slot.
const START_RESERVE: Duration = Duration::from_millis(70);
/// Capacity of the channel that buffers an answer for a slow caller.
const PIECE_BUFFER: usize = 16;
/// Retry delay sent with a "not run" answer whose reason is not load.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A request to relay, with its whole body.
pub struct Call {
    /// Identifies the request and its prompt by their content, independent of its id.
    pub subject: Subject,
    /// The request as it is forwarded.
    pub forward: Forward,
    /// Its route.
    pub route: Arc<Route>,
    /// The caller's organisation; none where callers need no key.
    pub organisation: Option<Arc<Organisation>>,
    /// Version of the configuration that authorised it.
    pub version: u64,
    /// The service that answers it.
    pub service: Name,
    /// Its entry among the node's open requests.
    pub open: Rc<Request>,
    /// When it arrived.
    pub arrived: Time,
    /// The caller's time limit, if it gave one.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller has; the stream resumes after it.
    pub last_event: Option<u64>,
    /// Id of the request that brought the first event of that stream, as the caller names it.
    pub resumes: Option<Name>,
    /// Most tokens to generate; 0 if the caller does not say.
    pub max_tokens: u32,
    /// Hash of the prompt's shared prefix, 0 for none.
    pub prefix: u64,
}

/// Serves a request. Dropping the future or the response body cancels all work on it.
pub async fn serve(node: &Rc<Node>, call: Call) -> Response<Body> {
    let (head, answer) = oneshot::channel();
    let (pieces, body) = body::channel(PIECE_BUFFER);
    let relay = Relay::new(Rc::clone(node), call, head, pieces);
    let guard = Guard(actix_rt::spawn(relay.run()));
    match answer.await {
        Ok(Head::Stream(head)) => head.map(|()| Body::pieces(body, guard)),
        Ok(Head::Whole(response)) => response.map(Body::from),
        // The relay closes the channel without an answer only if it panicked.
        Err(_) => call::error(StatusCode::BAD_GATEWAY, "the request may have run").map(Body::from),
    }
}

enum Head {
    Stream(Response<()>),
    Whole(Response<Bytes>),
}

/// Outcome of the exchange with one endpoint.
enum Ended {
    /// The answer is complete.
    Complete,
    /// The endpoint failed.
    Failed(Failure, End, &'static str),
    /// The endpoint answered with an application error.
    Error(Response<Bytes>),
    /// The caller's deadline has passed.
    Expired,
    /// The answer begins too late to end before the node exits.
    TooLate,
    /// The caller has disconnected.
    Disconnected,
}

struct Relay {
    node: Rc<Node>,
    call: Call,
    attempt: Attempt,
    head: Option<oneshot::Sender<Head>>,
    pieces: Pieces,
    tried: Vec<Name>,
    error: Option<Response<Bytes>>,
    /// Time from arrival to the first byte of the answer.
    first: Option<Duration>,
    /// Pieces of the answer, one or more whole events each, that the current run has sent.
    written: u32,
    /// The framing and the end of the last answer, for the log.
    ending: Option<(Framing, answer::End)>,
    /// The token taken from the organisation's rate limit.
    token: Option<Token>,
}

impl Relay {
    fn new(node: Rc<Node>, call: Call, head: oneshot::Sender<Head>, pieces: Pieces) -> Self {
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
        let attempt = Attempt::new(repeat, call.route.attempts, deadline, call.last_event);
        Self {
            node,
            call,
            attempt,
            head: Some(head),
            pieces,
            tried: Vec::new(),
            error: None,
            first: None,
            written: 0,
            ending: None,
            token: None,
        }
    }

    /// Serves the request, and gives it its final answer once the node cuts open requests. An
    /// answer that has begun may still end until the process exits.
    async fn run(mut self) {
        let node = Rc::clone(&self.node);
        let open = Rc::clone(&self.call.open);
        let is_cut = {
            let mut serving = pin!(self.serve());
            tokio::select! {
                biased;
                () = &mut serving => false,
                () = node.until_cut() => {
                    let is_answering = open.is_answering();
                    if is_answering {
                        serving.await;
                    }
                    !is_answering
                }
            }
        };
        if is_cut {
            self.end("stopping", Duration::ZERO).await;
        }
    }

    async fn serve(&mut self) {
        let detector = Rc::clone(&self.node.detector);
        if !self.settle_origin().await {
            return;
        }
        let subject = self.call.subject.clone();
        loop {
            detector.caught_up(self.attempt.deadline()).await;
            let deadline = self.attempt.deadline();
            detector.until_decided(&subject, deadline).await;
            self.call.open.wait();
            let now = self.node.clock.now();
            let left = self.attempt.deadline().since(now);
            let max_wait = match self.allowance(now, left) {
                Allowance::Unlimited => left,
                Allowance::Wait(wait) => wait,
                Allowance::TooLate => return self.end("stopping", Duration::ZERO).await,
            };
            let claim = self.claim(now, left, max_wait);
            let admitted = tokio::select! {
                biased;
                () = detector.until_condemned(&subject) => return self.refuse_condemned().await,
                admitted = timeout(left, self.admit(claim)) => admitted,
            };
            let permit = match admitted {
                Ok(Ok(permit)) => permit,
                Ok(Err(Denied::Slot(refusal))) => return self.reject(refusal).await,
                Ok(Err(Denied::Count(Denial::Over(until_room)))) => {
                    return self.reject_over_limit(until_room);
                }
                Ok(Err(Denied::Count(Denial::Unsettled))) => {
                    return self.end("limit_unsettled", RETRY_DELAY).await;
                }
                Err(_) => return self.end("deadline", RETRY_DELAY).await,
            };
            if self.is_too_late_to_send() {
                permit.finish(End::Left);
                return self.end("stopping", Duration::ZERO).await;
            }
            let endpoint = permit.endpoint.id.clone();
            let clearance = detector.clear_run(&self.call.forward.id, &subject).await;
            if clearance == Clearance::Denied {
                permit.finish(End::Left);
                return self.refuse_condemned().await;
            }
            self.log_granted(&permit.endpoint);
            self.count_resumption(&permit.endpoint);
            self.call.open.run(&endpoint);
            let began = self.node.clock.now();
            let ended = tokio::select! {
                biased;
                () = detector.until_condemned(&subject), if clearance == Clearance::Free => {
                    return self.refuse_condemned().await;
                }
                ended = self.exchange(&permit) => ended,
            };
            let (next, why) = match ended {
                Ended::Complete => {
                    permit.finish(End::Done);
                    detector.completed(&subject, self.written > 0);
                    return self.log_done(&endpoint);
                }
                Ended::Disconnected => return,
                Ended::Expired => {
                    permit.finish(End::Left);
                    return self.end("deadline", RETRY_DELAY).await;
                }
                Ended::TooLate => {
                    permit.finish(End::Left);
                    return self.end("stopping", Duration::ZERO).await;
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
                    let next = self.failed(permit, began, failure, end, why).await;
                    (next, why)
                }
            };
            log::info!(
                "{} id={} print={} endpoint={endpoint} why={why} next={next:?} last={:?} left_ms={}",
                event::REQUEST_RETRIED,
                self.call.forward.id,
                self.call.subject.request,
                self.attempt.last(),
                left.as_millis(),
            );
            self.node.count.retry(why);
            if next != Next::Again {
                return self.give_up(next, why, RETRY_DELAY).await;
            }
            self.tried.push(endpoint);
        }
    }

    /// Runs the request at one endpoint.
    async fn exchange(&mut self, permit: &Permit) -> Ended {
        let granted = self.node.clock.now();
        let deadline = self.attempt.deadline();
        let endpoint = &permit.endpoint;
        self.attempt.start_run();
        self.written = 0;
        // Set before anything is sent, because this task may be aborted at any await point.
        self.mark_spent(true);
        let continues = self.attempt.software().is_some();
        let mut conn = match process::open(endpoint, continues, CONNECT_TIMEOUT).await {
            Ok(conn) => conn,
            Err(Fault::Unreachable) => {
                return Ended::Failed(Failure::NotRun, End::Failed, "connect");
            }
            // The endpoint is sound, but no place for this stream.
            Err(Fault::Replaced) => return Ended::Failed(Failure::NotRun, End::Left, "replaced"),
        };
        let left = deadline.since(self.node.clock.now());
        let last = self.attempt.last();
        let Ok(request) = self.call.forward.request(endpoint, Some(left), last) else {
            return Ended::Failed(Failure::NotRun, End::Left, "request_target");
        };
        let silence = self.silence_limit(FIRST_EVENT_TIMEOUT, left);
        let response = match clock::within(silence, conn.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(connect::Failure::Unsent(_))) => {
                return Ended::Failed(Failure::NotRun, End::Failed, "connect");
            }
            Ok(Err(connect::Failure::Broken(_))) => {
                return Ended::Failed(Failure::Lost, End::Error, "broken_before_head");
            }
            Err(_) => return self.timed_out("silent_before_head"),
        };
        match forward::classify(&response, &self.call.forward.id) {
            Verdict::Full => Ended::Failed(Failure::NotRun, End::Full, "full"),
            Verdict::Misdirected => Ended::Failed(Failure::NotRun, End::Failed, "elsewhere"),
            Verdict::Unverified => Ended::Failed(Failure::Lost, End::Error, "foreign_answer"),
            Verdict::Failed => self.buffer_error(response, &conn).await,
            // The caller has the beginning of a stream, which nothing but its rest may follow.
            Verdict::Answer | Verdict::Unprocessable
                if self.attempt.has_begun() && !forward::is_event_stream(&response) =>
            {
                Ended::Failed(Failure::Lost, End::Error, "unexpected_answer")
            }
            Verdict::Answer | Verdict::Unprocessable => {
                self.stream_answer(permit, granted, response, conn).await
            }
        }
    }

    /// How long an endpoint may be silent: until the deadline if the request can't be retried
    /// elsewhere.
    fn silence_limit(&self, usual: Duration, left: Duration) -> Duration {
        if self.attempt.can_fail_over() {
            usual.min(left)
        } else {
            left
        }
    }

    fn timed_out(&self, why: &'static str) -> Ended {
        let left = self.attempt.deadline().since(self.node.clock.now());
        if left.is_zero() {
            return Ended::Expired;
        }
        Ended::Failed(Failure::Lost, End::Error, why)
    }

    fn finish_head(&self, headers: &mut hyper::HeaderMap<HeaderValue>) {
        if self.node.is_leaving() {
            call::close_connection(headers);
        }
    }

    async fn end(&mut self, why: &'static str, retry_after: Duration) {
        let next = self.attempt.give_up(self.error.is_some());
        self.give_up(next, why, retry_after).await;
    }

    /// Refuses a request under which endpoints crashed, for as long as the verdict lasts. The crashes
    /// may have had another cause, so nothing says that the request is wrong.
    async fn refuse_condemned(&mut self) {
        let left = self.node.detector.condemned_for(&self.call.subject);
        self.end("condemned", left.max(RETRY_DELAY)).await;
    }

    async fn give_up(&mut self, next: Next, why: &'static str, retry_after: Duration) {
        let now = self.node.clock.now();
        self.node.count.refuse(why);
        let mut response = match (next, self.error.take()) {
            (Next::Pass, Some(error)) => error,
            (Next::Refuse, _) => call::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "not run; retry later",
                retry_after,
            ),
            (Next::Break, _) => {
                self.log_refused(next, why, None, retry_after);
                // The body reports the error, which closes the connection.
                self.pieces.send(Err(Broken)).await;
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
        self.log_refused(next, why, Some(response.status()), retry_after);
        self.finish_head(response.headers_mut());
        if let Some(head) = self.head.take() {
            // An error means that the caller has disconnected.
            let _ = head.send(Head::Whole(response));
        }
    }
}
