//! The HTTP server for callers and operators.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{ConnectionType, HttpMessage as _, Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use futures_util::StreamExt as _;
use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, watch};

use super::codec::{self, Format, Media};
use super::operator::Change;
use super::{caller, error, job, operator, v1};
use crate::clock::unix_millis;
use crate::gateway::{Gateway, Shared};
use crate::http::{self, BodyError};
use crate::job::Jobs;
use crate::leave::Phase;
use crate::locate;
use crate::node::control::Control;
use crate::node::remote::Remote;
use crate::node::work::Guard;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::Class;
use crate::table::http::Client;

const CALLER: &str = "/auburnspoke.v1.Caller/";
const OPERATOR: &str = "/auburnspoke.v1.Operator/";
/// Body limit of calls other than jobs, while the settings limit prompts to less than a quarter
/// of it.
const MIN_BODY_LIMIT_BYTES: usize = 1024 * 1024;
/// Bytes that JSON may need per byte of an ordinary prompt.
const MAX_JSON_EXPANSION: usize = 4;
/// Capacity of the channel that buffers an answer for a slow caller.
const PIECE_BUFFER: usize = 64;

/// The RPC server of one traffic thread.
pub struct Server {
    shared: Shared,
    gateway: Rc<Gateway>,
    control: Remote<Control>,
    jobs: Jobs<Client, Client>,
    tickets: Cell<u64>,
    cut: watch::Receiver<bool>,
}

impl Server {
    /// Creates a server for this thread's gateway. `cut` becomes true when every request must be
    /// answered immediately.
    pub fn new(
        shared: Shared,
        gateway: Rc<Gateway>,
        platform: Client,
        control: Remote<Control>,
        cut: watch::Receiver<bool>,
    ) -> Rc<Self> {
        Rc::new(Self {
            shared,
            gateway,
            jobs: Jobs::new(platform.clone(), platform),
            control,
            tickets: Cell::new(rand::random()),
            cut,
        })
    }

    /// Handles one HTTP request.
    pub async fn handle(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let phase = Arc::clone(&self.shared.phase);
        let mut response = self.route(request).await;
        if **phase.read() != Phase::Serving {
            // Closing the connection makes the caller use another address.
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        response
    }

    async fn route(self: Rc<Self>, request: Request) -> Response<BoxBody> {
        let path = request.path().to_owned();
        match *request.method() {
            Method::GET => self.get(&path),
            Method::POST => self.call(&path, request).await,
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, "use POST for methods\n"),
        }
    }

    fn get(&self, path: &str) -> Response<BoxBody> {
        match path {
            // A process that answers would not be helped by a restart.
            "/healthz" => plain(StatusCode::OK, "alive\n"),
            // The node accepts new callers.
            "/readyz" if self.ready() => plain(StatusCode::OK, "ready\n"),
            "/readyz" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => http::reply(
                StatusCode::OK,
                "application/openmetrics-text; version=1.0.0; charset=utf-8",
                self.shared.metrics.text(),
            ),
            _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    fn ready(&self) -> bool {
        **self.shared.phase.read() == Phase::Serving && self.shared.config().is_ok()
    }

    async fn call(self: Rc<Self>, path: &str, mut request: Request) -> Response<BoxBody> {
        let content_type = request
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let Some(media) = content_type.and_then(Media::of) else {
            return plain(
                StatusCode::UNSUPPORTED_MEDIA_TYPE,
                "send application/json or application/proto\n",
            );
        };
        let work = self.shared.requests.begin();
        let max_bytes = self.body_limit(path);
        let mut payload = request.take_payload();
        let body = tokio::select! {
            biased;
            body = http::read_body(&mut payload, max_bytes) => body,
            () = self.until_cut() => return refused(media, true, &stopping()),
        };
        let body = match body {
            Ok(body) => body,
            Err(error) => return refused(media, true, &body_refusal(error)),
        };
        if matches!(**self.shared.phase.read(), Phase::Closing | Phase::Cutting) {
            return refused(media, true, &stopping());
        }
        if let Some(method) = path.strip_prefix(CALLER) {
            if method == "AskStream" {
                return self.ask_stream(media, body, work);
            }
            let outcome = self.or_cut(self.caller(method, media.format, body)).await;
            return answer(media, outcome);
        }
        if let Some(method) = path.strip_prefix(OPERATOR) {
            let outcome = self.or_cut(self.operator(method, media.format, body)).await;
            return answer(media, outcome);
        }
        plain(StatusCode::NOT_FOUND, "no such method\n")
    }

    /// Waits until every request must be answered immediately.
    async fn until_cut(&self) {
        let mut cut = self.cut.clone();
        if cut.wait_for(|cut| *cut).await.is_err() {
            // The control thread has ended, and the process with it.
            std::future::pending::<()>().await;
        }
    }

    /// Waits for the outcome of a call, which may have taken effect if it must be answered before.
    async fn or_cut<F>(&self, outcome: F) -> Outcome<Bytes>
    where
        F: Future<Output = Outcome<Bytes>>,
    {
        tokio::select! {
            biased;
            outcome = outcome => outcome,
            () = self.until_cut() => Outcome::MayHaveRun(stopping()),
        }
    }

    /// Returns the body limit of a path. Only jobs may be long, so that many concurrent callers
    /// can't fill the memory with requests that would be refused anyway.
    fn body_limit(&self, path: &str) -> usize {
        let limits = self.shared.limits;
        if path.ends_with("/SubmitJob") {
            return limits.body_bytes;
        }
        let max_bytes = limits.prompt_bytes.saturating_mul(MAX_JSON_EXPANSION);
        max_bytes.max(MIN_BODY_LIMIT_BYTES).min(limits.body_bytes)
    }

    async fn caller(&self, method: &str, format: Format, body: Bytes) -> Outcome<Bytes> {
        match method {
            "Locate" => unary(format, &body, |it| async move { self.locate(&it) }).await,
            "Ask" => unary(format, &body, |request| self.ask(request)).await,
            "SubmitJob" => unary(format, &body, |job| self.submit_job(job)).await,
            "JobStatus" => unary(format, &body, |request| self.job_status(request)).await,
            "JobResults" => unary(format, &body, |request| self.job_results(request)).await,
            "CancelJob" => unary(format, &body, |request| self.cancel_job(request)).await,
            "ListJobs" => unary(format, &body, |request| self.list_jobs(request)).await,
            _ => unknown_method(method),
        }
    }

    async fn operator(&self, method: &str, format: Format, body: Bytes) -> Outcome<Bytes> {
        let call = &self.control;
        match method {
            "GetConfig" => {
                let get = |_: v1::GetConfigRequest| operator::config(call);
                unary(format, &body, get).await
            }
            "ApplyConfig" => {
                let apply = |request| operator::change(call, Change::Config(request));
                unary(format, &body, apply).await
            }
            "ApplyService" => {
                let apply = |request| operator::change(call, Change::Service(request));
                unary(format, &body, apply).await
            }
            "AddEndpoint" => {
                let add = |request| operator::change(call, Change::Endpoint(request));
                unary(format, &body, add).await
            }
            "RemoveEndpoint" => {
                let remove = |request| operator::change(call, Change::Remove(request));
                unary(format, &body, remove).await
            }
            "ConfigHistory" => unary(format, &body, |it| operator::history(call, it)).await,
            "ConfigStatus" => {
                let status = |_: v1::ConfigStatusRequest| async {
                    Outcome::Done(operator::status(&self.shared))
                };
                unary(format, &body, status).await
            }
            "ListEndpoints" => {
                let list = |_: v1::ListEndpointsRequest| operator::endpoints(call, &self.shared);
                unary(format, &body, list).await
            }
            "ListMembers" => {
                let list = |_: v1::ListMembersRequest| async {
                    Outcome::Done(operator::members(&self.shared.view.read()))
                };
                unary(format, &body, list).await
            }
            "Drain" => unary(format, &body, |request| operator::drain(call, request)).await,
            _ => unknown_method(method),
        }
    }

    async fn ask(&self, request: v1::AskRequest) -> Outcome<v1::AskResponse> {
        let request = match caller::request(request, self.shared.limits.prompt_bytes) {
            Ok(request) => request,
            Err(refusal) => return self.invalid(refusal),
        };
        // The answer is returned whole, so its pieces are dropped.
        let (pieces, _) = mpsc::channel(1);
        self.gateway.ask(request, pieces).await.map(caller::answer)
    }

    fn locate(&self, request: &v1::LocateRequest) -> Outcome<v1::LocateResponse> {
        let ticket = self.tickets.get().wrapping_add(1);
        self.tickets.set(ticket);
        let view = self.shared.view.read();
        let here = &self.shared.zone;
        let count = usize::try_from(request.count).unwrap_or(usize::MAX);
        match locate::locate(&view, here, &request.zone, count, ticket) {
            Ok(answer) => Outcome::Done(v1::LocateResponse {
                addresses: answer.addresses.iter().map(ToString::to_string).collect(),
                keep_ms: u32::try_from(answer.ttl.as_millis()).unwrap_or(u32::MAX),
            }),
            Err(refusal) => Outcome::NotRun(refusal),
        }
    }

    async fn submit_job(&self, request: v1::SubmitJobRequest) -> Outcome<v1::SubmitJobResponse> {
        let config = match self.shared.config() {
            Ok(config) => config,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        let submission = match job::submission(request, self.shared.limits) {
            Ok(submission) => submission,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        if !config.services.contains_key(&submission.service) {
            return Outcome::NotRun(Refusal::new(Reason::UnknownService));
        }
        let service = submission.service.clone();
        let accepted = self.jobs.submit(unix_millis(), submission).await;
        if matches!(accepted, Outcome::Done(_)) {
            // The other nodes find the job at their next poll.
            self.notify_control(move |control| control.accepted(service));
        }
        accepted.map(|accepted| v1::SubmitJobResponse {
            job: accepted.job.to_string(),
            items: accepted.items,
            resent: accepted.resent,
        })
    }

    async fn job_status(&self, request: v1::JobStatusRequest) -> Outcome<v1::JobStatusResponse> {
        match job::id(&request.job) {
            Ok(id) => self.jobs.status(&id).await.map(|found| job::status(&found)),
            Err(refusal) => Outcome::NotRun(refusal),
        }
    }

    async fn job_results(&self, request: v1::JobResultsRequest) -> Outcome<v1::JobResultsResponse> {
        let id = match job::id(&request.job) {
            Ok(id) => id,
            Err(refusal) => return Outcome::NotRun(refusal),
        };
        if !request.item.is_empty() {
            let found = self.jobs.result(&id, &request.item).await;
            return found.map(|reply| v1::JobResultsResponse {
                results: reply.into_iter().map(job::reply).collect(),
                ..v1::JobResultsResponse::default()
            });
        }
        let from = match request.page.as_str() {
            "" => Ok(0),
            page => page.parse(),
        };
        let Ok(from) = from else {
            let refusal = Refusal::new(Reason::Invalid)
                .with_message("page: send back next_page unchanged, or nothing for the first page");
            return Outcome::NotRun(refusal);
        };
        let page = self.jobs.results(&id, from, request.limit as usize).await;
        page.map(job::results)
    }

    async fn cancel_job(&self, request: v1::CancelJobRequest) -> Outcome<v1::CancelJobResponse> {
        match job::id(&request.job) {
            Ok(id) => {
                let cancelled = self.jobs.cancel(&id).await;
                if matches!(cancelled, Outcome::Done(_)) {
                    self.notify_control(move |control| control.broadcast_cancel(&id));
                }
                cancelled.map(|state| v1::CancelJobResponse {
                    state: job::state(state).into(),
                })
            }
            Err(refusal) => Outcome::NotRun(refusal),
        }
    }

    /// Notifies the control thread without waiting. The stored rows are authoritative; the
    /// notification only reduces the delay.
    fn notify_control<F>(&self, what: F)
    where
        F: FnOnce(&Control) + Send + 'static,
    {
        let control = self.control.clone();
        actix_rt::spawn(async move {
            control
                .call(move |control| async move { what(&control) })
                .await;
        });
    }

    async fn list_jobs(&self, request: v1::ListJobsRequest) -> Outcome<v1::ListJobsResponse> {
        let listing = self
            .jobs
            .list(&request.organisation, &request.page, request.limit as usize)
            .await;
        listing.map(|listing| job::listing(&listing))
    }

    fn ask_stream(self: Rc<Self>, media: Media, body: Bytes, work: Guard) -> Response<BoxBody> {
        if !media.stream {
            let refusal = Refusal::new(Reason::Invalid).with_message(
                "AskStream needs application/connect+json or application/connect+proto",
            );
            return refused(media, true, &refusal);
        }
        let decoded = open_request(media.format, body)
            .and_then(|request| caller::request(request, self.shared.limits.prompt_bytes))
            .map_err(|refusal| self.invalid::<()>(refusal));
        let request = match decoded {
            Ok(request) => request,
            Err(outcome) => return answer(media, outcome.map(|()| Bytes::new())),
        };
        let (sender, receiver) = mpsc::channel(PIECE_BUFFER);
        let gateway = Rc::clone(&self.gateway);
        let outcome = async move {
            let _work = work;
            gateway.ask(request, sender).await
        };
        let format = media.format;
        let messages = caller::pieces(outcome, receiver)
            .map(move |piece| codec::envelope(0, &codec::encode(format, &piece)));
        let end = codec::envelope(codec::END_OF_STREAM, b"{}");
        let stream = messages
            .chain(futures_util::stream::iter([end]))
            .map(Ok::<_, std::convert::Infallible>);
        http::reply(
            StatusCode::OK,
            media.name(),
            BodyStream::new(Box::pin(stream)),
        )
    }

    fn invalid<T>(&self, refusal: Refusal) -> Outcome<T> {
        self.shared
            .metrics
            .count_refusal(Class::Online, refusal.reason);
        Outcome::NotRun(refusal)
    }
}

/// Decodes an enveloped request.
fn open_request(format: Format, body: Bytes) -> Result<v1::AskRequest, Refusal> {
    let invalid = |what: &str| Refusal::new(Reason::Invalid).with_message(what);
    let mut bytes = body.into();
    let Some((0, message)) = codec::open(&mut bytes) else {
        return Err(invalid("the body is not one uncompressed envelope"));
    };
    codec::decode(format, &message).map_err(|what| invalid(&what))
}

/// Decodes the request, calls the method and encodes the response.
async fn unary<Q, A, F, R>(format: Format, body: &Bytes, method: F) -> Outcome<Bytes>
where
    Q: Message + Default + DeserializeOwned,
    A: Message + Serialize,
    F: FnOnce(Q) -> R,
    R: Future<Output = Outcome<A>>,
{
    match codec::decode(format, body) {
        Ok(request) => method(request)
            .await
            .map(|answer| codec::encode(format, &answer)),
        Err(what) => Outcome::NotRun(
            Refusal::new(Reason::Invalid).with_message(format!("invalid body: {what}")),
        ),
    }
}

fn unknown_method(method: &str) -> Outcome<Bytes> {
    Outcome::NotRun(
        Refusal::new(Reason::Invalid)
            .with_message(format!("unknown method {method}; see proto/auburnspoke/v1")),
    )
}

/// Returns the refusal of a node that has stopped serving.
fn stopping() -> Refusal {
    let why = "the node is shutting down; use another address";
    Refusal::new(Reason::NotReady).with_message(why)
}

fn body_refusal(error: BodyError) -> Refusal {
    let reason = match error {
        BodyError::TooLong(_) => Reason::TooLarge,
        BodyError::Broken => Reason::Invalid,
    };
    Refusal::new(reason).with_message(format!("{error}; send less, or split the request"))
}

fn answer(media: Media, outcome: Outcome<Bytes>) -> Response<BoxBody> {
    match outcome {
        Outcome::Done(body) => http::reply(StatusCode::OK, media.name(), body),
        Outcome::NotRun(refusal) => refused(media, true, &refusal),
        Outcome::MayHaveRun(refusal) => refused(media, false, &refusal),
    }
}

/// Builds an error response: a status and a JSON body for unary calls, an end-of-stream message
/// for streams.
fn refused(media: Media, not_run: bool, refusal: &Refusal) -> Response<BoxBody> {
    let body = error::body(not_run, refusal);
    if media.stream {
        let end = serde_json::json!({ "error": body }).to_string();
        let message = codec::envelope(codec::END_OF_STREAM, end.as_bytes());
        return http::reply(StatusCode::OK, media.name(), message);
    }
    // The body has only strings and numbers, which JSON can always represent.
    let text = serde_json::to_string(&body).unwrap_or_default();
    let (_, status) = error::code(refusal.reason);
    let mut response = http::reply(status, "application/json", text);
    if let Some(wait) = refusal.retry_after {
        response.headers_mut().insert(
            header::RETRY_AFTER,
            header::HeaderValue::from(error::retry_seconds(wait)),
        );
    }
    response
}

fn plain(status: StatusCode, text: &'static str) -> Response<BoxBody> {
    http::reply(status, "text/plain; charset=utf-8", text)
}
