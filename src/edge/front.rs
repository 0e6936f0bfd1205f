//! The HTTP server for callers and for the platform's own calls.

use std::convert::Infallible;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use xxhash_rust::xxh3::Xxh3;

use super::body::Body;
use super::node::Node;
use super::{directory, grace, open, relay};
use crate::batch::read::Reader;
use crate::catalog::keyring::Organisation;
use crate::catalog::{Catalog, Kind, Limits, Route};
use crate::clock::{Time, Uptime};
use crate::event;
use crate::http;
use crate::identity::{self, Credential, Denial};
use crate::leave::Phase;
use crate::name::Name;
use crate::node::work::Work;
use crate::platform::call::{self, Call, Location};
use crate::platform::forward::{self, Forward};
use crate::platform::organisation;
use crate::quarantine::{Fingerprint, Subject};

/// Added to the operators' idle timeout, so that a caller that stays within the timeout never
/// finds its connection closed.
const IDLE_SLACK: Duration = Duration::from_secs(5);
/// Buffer for a request head; the operators' limit is smaller.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;
/// Longest time for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry delay sent by a node that has no configuration yet.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until `stop` becomes true, then lets open connections complete their
/// current requests. The listener and each connection count among `open` until they are closed.
pub async fn serve(listener: TcpListener, node: Rc<Node>, stop: watch::Receiver<bool>, open: Work) {
    let _listening = open.begin();
    let mut stopped = stop.clone();
    let serve = |stream: TcpStream| {
        let serving = open.begin();
        let connection = connection(stream, Rc::clone(&node), stop.clone());
        actix_rt::spawn(async move {
            connection.await;
            drop(serving);
        });
    };
    loop {
        tokio::select! {
            biased;
            () = until_true(&mut stopped) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream),
                Err(error) => {
                    log::warn!("{} why=\"{error}\"", event::LISTEN_FAILED);
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    for stream in http::waiting(&listener).await {
        serve(stream);
    }
}

/// Waits until the value is true. Returns without a borrow of it, which would block the sender.
async fn until_true(value: &mut watch::Receiver<bool>) {
    // An error means that the control thread has ended.
    let _ = value.wait_for(|value| *value).await;
}

async fn connection(stream: TcpStream, node: Rc<Node>, mut stop: watch::Receiver<bool>) {
    // Events are small; Nagle's algorithm would delay them.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("{} why=\"{error}\"", event::REQUEST_ENDED);
        return;
    }
    let limits = limits(&node);
    let service = service_fn(|request| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(answer(node, request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle + IDLE_SLACK)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let stopped = async {
        until_true(&mut stop).await;
        // The runtime looks for data that has arrived before it resumes this task, so a request
        // that came before the stop is read before the connection is closed as idle.
        yield_now().await;
    };
    let ended = tokio::select! {
        biased;
        ended = serving.as_mut() => ended,
        () = stopped => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        // The caller disconnected, or an answer was aborted deliberately.
        log::debug!("{} why=\"{error}\"", event::REQUEST_ENDED);
    }
}

fn limits(node: &Node) -> Limits {
    let catalog = node.catalog.read();
    catalog
        .config
        .as_ref()
        .map_or_else(Limits::default, |config| config.limits)
}

async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let arrived = node.clock.now();
    let (parts, body) = request.into_parts();
    let open = Rc::new(node.open.begin(arrived, call::request_id(&parts.headers)));
    let mut response = match call::decode(&parts) {
        Call::Ready => ready(&node).map(Body::from),
        Call::Resolve(location) => resolve(&node, &location).map(Body::from),
        Call::Invalid(status, why) => call::error(status, why).map(Body::from),
        Call::ReadResults { job, after, wait } => match reader(&node, arrived, &parts) {
            Err(refusal) => *refusal,
            Ok(reader) => {
                let read = node.jobs.read(&reader, &job, after, wait);
                or_cut(&node, read, refuse_stopping).await.map(Body::from)
            }
        },
        Call::ReadItemBody { job, item } => match reader(&node, arrived, &parts) {
            Err(refusal) => *refusal,
            Ok(reader) => {
                let body = node.jobs.body(&reader, &job, &item);
                or_cut(&node, body, refuse_stopping).await.map(Body::from)
            }
        },
        Call::EndJob { job } => match reader(&node, arrived, &parts) {
            Err(refusal) => *refusal,
            Ok(reader) => {
                let ended = node.jobs.end(&reader, &job);
                or_cut(&node, ended, fail_stopping).await.map(Body::from)
            }
        },
        Call::Route { host } => {
            let open = Rc::clone(&open);
            serve_route(&node, arrived, open, &host, parts, body).await
        }
    };
    if node.is_leaving() {
        call::close_connection(response.headers_mut());
    }
    response.map(|body| body.keep_open(open))
}

/// Waits for an answer, but gives the one of `late` once every open request must get its final
/// answer.
async fn or_cut<F>(node: &Node, answer: F, late: fn() -> Response<Bytes>) -> Response<Bytes>
where
    F: Future<Output = Response<Bytes>>,
{
    tokio::select! {
        biased;
        answer = answer => answer,
        () = node.until_cut() => {
            node.count.refuse("stopping");
            late()
        }
    }
}

/// Answers a call that has changed nothing. Any other node can serve it at once.
fn refuse_stopping() -> Response<Bytes> {
    let why = "this node is shutting down; use another address";
    call::refuse(StatusCode::SERVICE_UNAVAILABLE, why, Duration::ZERO)
}

/// Answers a call that may have taken effect and may be repeated.
fn fail_stopping() -> Response<Bytes> {
    let why = "this node is shutting down; the call may have taken effect, send it again";
    call::error(StatusCode::BAD_GATEWAY, why)
}

/// Returns the refusal of a node that has no configuration yet or has stopped serving.
fn refuse_unready(node: &Node) -> Option<(&'static str, Response<Body>)> {
    let closing = matches!(
        **node.phase.read(),
        Phase::Closing | Phase::Cutting | Phase::Ended
    );
    if closing {
        node.count.refuse("stopping");
        return Some(("stopping", refuse_stopping().map(Body::from)));
    }
    if node.catalog.read().config.is_some() && node.detector.is_informed() {
        return None;
    }
    node.count.refuse("not_ready");
    let why = "this node is not ready; use another address";
    let refusal = call::refuse(StatusCode::SERVICE_UNAVAILABLE, why, RETRY_DELAY);
    Some(("not_ready", refusal.map(Body::from)))
}

/// Identifies the reader of a batch job: anybody where callers need no key.
fn reader(node: &Node, arrived: Time, parts: &Parts) -> Result<Reader, Box<Response<Body>>> {
    if let Some((_, refusal)) = refuse_unready(node) {
        return Err(Box::new(refusal));
    }
    let catalog = node.catalog.load();
    let Some(config) = &catalog.config else {
        return Ok(Reader::Unrestricted);
    };
    if config.keyring.is_none() {
        return Ok(Reader::Unrestricted);
    }
    let credential = organisation::credential(&parts.headers);
    // The job's route is not known yet; jobs of public routes have no organisation.
    let public = matches!(credential, Credential::None) && config.has_public_jobs();
    match identify(node, &catalog, public, &credential) {
        Ok(organisation) => Ok(Reader::Organisation(organisation.map(|it| it.name.clone()))),
        Err(denial) => Err(Box::new(deny(node, arrived, parts, None, denial))),
    }
}

fn identify(
    node: &Node,
    catalog: &Catalog,
    public: bool,
    credential: &Credential,
) -> Result<Option<Arc<Organisation>>, Denial> {
    let revoke = node.site.bounds.max_revocation_delay;
    identity::identify(catalog, Uptime::now(), revoke, public, credential)
}

/// Rejects a caller whose key is not accepted.
fn deny(
    node: &Node,
    arrived: Time,
    parts: &Parts,
    id: Option<&Name>,
    denial: Denial,
) -> Response<Body> {
    let why = denial.reason();
    node.count.refuse(why);
    let response = match denial {
        Denial::Unsure => call::refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "this node can't verify keys at the moment; use another address",
            RETRY_DELAY,
        ),
        Denial::NoKey => call::error(StatusCode::UNAUTHORIZED, "this route needs a key; send one"),
        Denial::Unreadable(what) => call::error(StatusCode::UNAUTHORIZED, what),
        Denial::Unknown => call::error(StatusCode::UNAUTHORIZED, "the key is unknown; check it"),
    };
    log_rejected(node, arrived, id, parts, why, response.status());
    response.map(Body::from)
}

fn ready(node: &Node) -> Response<Bytes> {
    let catalog = node.catalog.read();
    let known = catalog.config.is_some() && !catalog.endpoints.is_empty();
    if known && node.detector.is_informed() && !node.is_leaving() && node.accepts_keys() {
        return Response::new(Bytes::new());
    }
    call::error(StatusCode::SERVICE_UNAVAILABLE, "this node is not ready")
}

/// Answers a directory request with the addresses to connect to.
fn resolve(node: &Node, location: &Location) -> Response<Bytes> {
    let own = node.site.listen.callers.to_string();
    // A node that accepts no keys could only redirect callers, so it omits its own address.
    let is_unusable = node.is_leaving() || !node.accepts_keys();
    let without = is_unusable.then_some(&*own);
    let view = node.view.read();
    let mut addresses = directory::addresses(&view, &node.site.zones, location, without);
    if addresses.is_empty() {
        // An address that may soon be usable again is better than an empty answer.
        addresses = directory::addresses(&view, &node.site.zones, location, None);
    }
    call::resolved(&addresses, grace::directory_ttl(&node.site.bounds))
}

async fn serve_route(
    node: &Rc<Node>,
    arrived: Time,
    open: Rc<open::Request>,
    host: &Name,
    mut parts: Parts,
    body: Incoming,
) -> Response<Body> {
    let id = call::request_id(&parts.headers);
    let credential = organisation::credential(&parts.headers);
    let reject = |why: &'static str, response: Response<Bytes>| {
        log_rejected(node, arrived, id.as_ref(), &parts, why, response.status());
        response.map(Body::from)
    };
    if let Some((why, refusal)) = refuse_unready(node) {
        log_rejected(node, arrived, id.as_ref(), &parts, why, refusal.status());
        return refusal;
    }
    let catalog = node.catalog.load();
    let Some(config) = catalog.config.clone() else {
        let refusal = call::error(StatusCode::SERVICE_UNAVAILABLE, "not ready");
        return reject("not_ready", refusal);
    };
    let Some(route) = config.route(host, parts.uri.path()).cloned() else {
        node.count.refuse("unknown_route");
        let why = "no route matches this host and path; check both";
        let refusal = call::error(StatusCode::NOT_FOUND, why);
        return reject("unknown_route", refusal);
    };
    if head_bytes(&parts) > config.limits.head_bytes {
        node.count.refuse("head_size");
        let why = "the request head exceeds the configured limit; send fewer or shorter headers";
        let refusal = call::error(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, why);
        return reject("head_size", refusal);
    }
    let Some(id) = id.clone() else {
        node.count.refuse("no_id");
        let why = "the request has no id; set the header that carries its id";
        return reject("no_id", call::error(StatusCode::BAD_REQUEST, why));
    };
    let organisation = match identify(node, &catalog, route.public, &credential) {
        Ok(organisation) => organisation,
        Err(denial) => return deny(node, arrived, &parts, Some(&id), denial),
    };
    let read = read_body(body, config.limits.body_bytes);
    let read = tokio::select! {
        biased;
        read = read => read,
        () = node.until_cut() => Err(refuse_stopping()),
    };
    let body = match read {
        Ok(body) => body,
        Err(refusal) => {
            node.count.refuse("body");
            return reject("body", refusal);
        }
    };
    if let Kind::Batch(_) = route.kind {
        let owner = organisation.as_ref().map(|it| it.name.clone());
        let submitted = node.jobs.submit(&route, owner, &id, body);
        let answer = or_cut(node, submitted, fail_stopping).await;
        return answer.map(Body::from);
    }
    if config.keyring.is_some() {
        organisation::remove_credential(&mut parts.headers);
    }
    let request = Accepted {
        route,
        organisation,
        id,
        version: config.version,
        open,
    };
    serve_online(node, arrived, request, parts, body).await
}

/// Logs a rejected request. Without this line its id would appear in no log, as if the request
/// had never arrived.
fn log_rejected(
    node: &Node,
    arrived: Time,
    id: Option<&Name>,
    parts: &Parts,
    why: &'static str,
    status: StatusCode,
) {
    node.count.reject(why, status);
    let catalog = node.catalog.read();
    log::info!(
        "{} id={} path={} why={why} status={} waited_ms={} phase={:?} config={:?}",
        event::REQUEST_TURNED_AWAY,
        id.map_or("-", |id| id),
        parts.uri.path(),
        status.as_u16(),
        node.clock.now().since(arrived).as_millis(),
        **node.phase.read(),
        catalog.config.as_ref().map(|config| config.version),
    );
}

/// An authorised request.
struct Accepted {
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    id: Name,
    /// Version of the configuration that authorised it.
    version: u64,
    open: Rc<open::Request>,
}

async fn serve_online(
    node: &Rc<Node>,
    arrived: Time,
    request: Accepted,
    parts: Parts,
    body: Bytes,
) -> Response<Body> {
    let Accepted {
        route,
        organisation,
        id,
        version,
        open,
    } = request;
    let Some(service) = route
        .service(xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
        .cloned()
    else {
        node.count.refuse("no_service");
        let why = "the route has no service at the moment; retry later";
        let refusal = call::refuse(StatusCode::SERVICE_UNAVAILABLE, why, RETRY_DELAY);
        let status = refusal.status();
        log_rejected(node, arrived, Some(&id), &parts, "no_service", status);
        return refusal.map(Body::from);
    };
    let mut headers = parts.headers;
    let timeout = call::timeout(&headers);
    let last_event = call::last_event_id(&headers);
    let resumes = call::resumed_request(&headers);
    let max_tokens = call::max_output_tokens(&headers).unwrap_or_default();
    let prefix = call::shared_prefix(&headers).map_or(0, hash);
    forward::strip_hop_by_hop(&mut headers);
    let name = organisation.as_ref().map(|it| &*it.name);
    organisation::set_header(&mut headers, name);
    let path = parts
        .uri
        .path_and_query()
        .map_or_else(|| parts.uri.path().to_owned(), ToString::to_string);
    let request = Fingerprint::of(&route.host, name, &path, &body);
    let subject = Subject::new(request, &service, name, call::shared_parts(&headers));
    let call = relay::Call {
        subject,
        forward: Forward {
            method: parts.method,
            path,
            headers,
            body,
            id,
        },
        route,
        organisation,
        version,
        service,
        open,
        arrived,
        timeout,
        last_event,
        resumes,
        max_tokens,
        prefix,
    };
    relay::serve(node, call).await
}

fn hash(text: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The size of a request head as received, ignoring optional whitespace.
fn head_bytes(parts: &Parts) -> usize {
    /// A colon, a space and a line break.
    const PUNCTUATION: usize = 4;
    let lines: usize = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + PUNCTUATION)
        .sum();
    lines + parts.uri.path().len() + parts.uri.query().map_or(0, str::len)
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Response<Bytes>> {
    match timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let why = format!("the body is longer than {max_bytes} bytes");
            Err(call::error(StatusCode::PAYLOAD_TOO_LARGE, &why))
        }
        Ok(Err(_)) => Err(call::error(
            StatusCode::BAD_REQUEST,
            "the body was truncated or its length is wrong; send it again",
        )),
        Err(_) => Err(call::refuse(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time; send it again",
            RETRY_DELAY,
        )),
    }
}

/// Serves the metrics in text format at `address`.
pub async fn serve_metrics(address: SocketAddr, node: Rc<Node>) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("{} address={address} why=\"{error}\"", event::LISTEN_FAILED);
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = Rc::clone(&node);
        let service = service_fn(move |_: Request<Incoming>| {
            let text = Bytes::from(node.count.text());
            async move { Ok::<_, Infallible>(Response::new(Body::from(text))) }
        });
        actix_rt::spawn(async move {
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                log::debug!("{} why=\"{error}\"", event::REQUEST_ENDED);
            }
        });
    }
}
