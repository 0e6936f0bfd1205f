//! The engine's HTTP server: completions as event streams, load, cache events, orders, and the
//! faults and counts for tests.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Method, Request, Response, StatusCode, header};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Notify, watch};

use super::answer::Answer;
use super::fault::Fault;
use super::parameter::Parameters;
use super::protocol::{Completion, Order};
use super::state::State;
use crate::clock::{Clock, Time, sleep};
use crate::http;
use crate::name::Name;
use crate::node::work::Work;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const JSON: &str = "application/json";

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Its name, for the log.
    pub name: Name,
    /// Its costs and capacity.
    pub parameters: Parameters,
    /// Seed of the random choice of the cache events that are lost.
    pub seed: u64,
    /// True if it refuses an order whose fencing token is lower than that of the last order.
    pub checks_fencing: bool,
    /// The initial faults.
    pub fault: Fault,
    /// True if a crash ends the process; an embedded engine responds with 503 instead.
    pub exit_on_crash: bool,
}

impl Default for Setting {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            parameters: Parameters::default(),
            seed: 1,
            checks_fencing: false,
            fault: Fault::default(),
            exit_on_crash: false,
        }
    }
}

/// State shared by the request handlers and the driver of an engine.
struct Shared {
    clock: Clock,
    state: RefCell<State>,
    changed: Notify,
}

/// Serves an engine until `stop` turns true and its connections have ended.
///
/// # Errors
/// Fails if the socket can't be registered with this thread's runtime.
pub async fn serve(
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    setting: Setting,
) -> std::io::Result<()> {
    let clock = Clock::start();
    let shared = Rc::new(Shared {
        clock,
        state: RefCell::new(State::new(clock.now(), setting)),
        changed: Notify::new(),
    });
    let driver = Rc::clone(&shared);
    let handler = move |request| handle(Rc::clone(&shared), request);
    tokio::select! {
        served = http::serve(listener, stop, Work::default(), handler) => served,
        () = drive(driver) => Ok(()),
    }
}

/// Advances the model at the end of each step.
async fn drive(shared: Rc<Shared>) {
    loop {
        let wake = shared.state.borrow().wake();
        let wait = wake.map(|at| at.since(shared.clock.now()));
        tokio::select! {
            () = sleep(wait) => {}
            () = shared.changed.notified() => {}
        }
        shared.state.borrow_mut().advance(shared.clock.now());
    }
}

async fn handle(shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    if shared.state.borrow().crashed() {
        return error_reply(StatusCode::SERVICE_UNAVAILABLE, "the engine has crashed");
    }
    let now = shared.clock.now();
    let path = request.path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/health") => json(StatusCode::OK, &"ok"),
        (Method::GET, "/v1/load") => json(StatusCode::OK, &shared.state.borrow_mut().report(now)),
        (Method::GET, "/v1/events") => {
            let after = after(request.uri().query().unwrap_or_default());
            json(StatusCode::OK, &shared.state.borrow().events(now, after))
        }
        (Method::GET, "/v1/state") => json(StatusCode::OK, shared.state.borrow().order()),
        (Method::GET, "/counts") => json(StatusCode::OK, shared.state.borrow().counts()),
        (Method::POST, "/v1/completions") => match read(&mut request).await {
            Ok(completion) => complete(shared, completion).await,
            Err(response) => response,
        },
        (Method::POST, "/v1/orders") => match read::<Order>(&mut request).await {
            Ok(order) => apply_order(&shared, order),
            Err(response) => response,
        },
        (Method::POST, "/fault") => match read::<Fault>(&mut request).await {
            Ok(fault) => {
                shared.state.borrow_mut().set_fault(now, fault);
                shared.changed.notify_one();
                json(StatusCode::OK, &"ok")
            }
            Err(response) => response,
        },
        (Method::DELETE, path) => cancel(&shared, path),
        _ => error_reply(StatusCode::NOT_FOUND, "there is no such path"),
    }
}

async fn complete(shared: Rc<Shared>, completion: Completion) -> Response<BoxBody> {
    let stream = completion.stream;
    let now: Time = shared.clock.now();
    let admitted = shared.state.borrow_mut().begin(now, completion);
    let run = match admitted {
        Ok(run) => run,
        Err((status, message)) => return error_reply(status, message),
    };
    shared.changed.notify_one();
    let weak = Rc::downgrade(&shared);
    let mut answer = Answer::new(run, move |id| {
        if let Some(shared) = weak.upgrade() {
            shared.state.borrow_mut().cancel(id);
            shared.changed.notify_one();
        }
    });
    if stream {
        return Response::build(StatusCode::OK)
            .insert_header((header::CONTENT_TYPE, "text/event-stream"))
            .insert_header((header::CACHE_CONTROL, "no-cache"))
            .body(BodyStream::new(answer))
            .map_into_boxed_body();
    }
    match answer.read_all().await {
        Some(event) => json(StatusCode::OK, &event),
        None => error_reply(StatusCode::INTERNAL_SERVER_ERROR, "the run broke off"),
    }
}

fn apply_order(shared: &Shared, order: Order) -> Response<BoxBody> {
    match shared.state.borrow_mut().apply_order(order) {
        Ok(order) => json(StatusCode::OK, &order),
        Err(fence) => json(
            StatusCode::CONFLICT,
            &serde_json::json!({ "fence": fence, "error": "the fencing number is old" }),
        ),
    }
}

fn cancel(shared: &Shared, path: &str) -> Response<BoxBody> {
    let Some(request_id) = path.strip_prefix("/v1/completions/") else {
        return error_reply(StatusCode::NOT_FOUND, "there is no such path");
    };
    if shared.state.borrow_mut().cancel_request(request_id) {
        shared.changed.notify_one();
        return json(StatusCode::OK, &"cancelled");
    }
    error_reply(StatusCode::NOT_FOUND, "there is no such run")
}

/// The number in a query of the form `after=7`, else 0.
fn after(query: &str) -> u64 {
    query
        .strip_prefix("after=")
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

async fn read<B>(request: &mut Request) -> Result<B, Response<BoxBody>>
where
    B: DeserializeOwned,
{
    let mut payload = request.take_payload();
    let bytes = http::read_body(&mut payload, MAX_BODY_BYTES)
        .await
        .map_err(|error| error_reply(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| error_reply(StatusCode::BAD_REQUEST, &error.to_string()))
}

fn json<B>(status: StatusCode, body: &B) -> Response<BoxBody>
where
    B: Serialize,
{
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    http::reply(status, JSON, Bytes::from(bytes))
}

fn error_reply(status: StatusCode, message: &str) -> Response<BoxBody> {
    json(status, &serde_json::json!({ "error": message }))
}
