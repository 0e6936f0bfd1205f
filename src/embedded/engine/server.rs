//! The engine over HTTP: completions as event streams, load, cache events,
//! orders, and the faults and counts that tests ask for.

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
use crate::clock::{Clock, Time};
use crate::http;
use crate::name::Name;

/// Longest body that is read, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;
const JSON: &str = "application/json";

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Its name, for the log.
    pub name: Name,
    /// What it costs and holds.
    pub parameters: Parameters,
    /// Seed of what is random about it: which cache events get lost.
    pub seed: u64,
    /// True when it refuses an order whose fencing number is below the last.
    pub checks_fencing: bool,
    /// The faults that it starts with.
    pub fault: Fault,
    /// True when a crash ends the process; an embedded engine answers 503.
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

/// What the handlers and the driver of one engine share.
struct Shared {
    clock: Clock,
    state: RefCell<State>,
    changed: Notify,
}

/// Serves an engine until `stop` turns true and its connections have ended.
///
/// # Errors
/// When the socket can't be registered with this thread's runtime.
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
        served = http::serve(listener, stop, handler) => served,
        () = drive(driver) => Ok(()),
    }
}

/// Ends the model's steps when they are due.
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

async fn sleep(wait: Option<std::time::Duration>) {
    match wait {
        Some(wait) => actix_rt::time::sleep(wait).await,
        None => std::future::pending().await,
    }
}

async fn handle(shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    if shared.state.borrow().crashed() {
        return problem(StatusCode::SERVICE_UNAVAILABLE, "the engine has crashed");
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
            Err(refused) => refused,
        },
        (Method::POST, "/v1/orders") => match read::<Order>(&mut request).await {
            Ok(order) => obey(&shared, order),
            Err(refused) => refused,
        },
        (Method::POST, "/fault") => match read::<Fault>(&mut request).await {
            Ok(fault) => {
                shared.state.borrow_mut().fault(now, fault);
                shared.changed.notify_one();
                json(StatusCode::OK, &"ok")
            }
            Err(refused) => refused,
        },
        (Method::DELETE, path) => cancel(&shared, path),
        _ => problem(StatusCode::NOT_FOUND, "there is no such path"),
    }
}

async fn complete(shared: Rc<Shared>, completion: Completion) -> Response<BoxBody> {
    let stream = completion.stream;
    let now: Time = shared.clock.now();
    let begun = shared.state.borrow_mut().begin(now, completion);
    let receiver = match begun {
        Ok(run) => run,
        Err((status, message)) => return problem(status, message),
    };
    shared.changed.notify_one();
    let weak = Rc::downgrade(&shared);
    let mut answer = Answer::new(receiver, move |id| {
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
    match answer.whole().await {
        Some(event) => json(StatusCode::OK, &event),
        None => problem(StatusCode::INTERNAL_SERVER_ERROR, "the run broke off"),
    }
}

fn obey(shared: &Shared, order: Order) -> Response<BoxBody> {
    match shared.state.borrow_mut().obey(order) {
        Ok(order) => json(StatusCode::OK, &order),
        Err(fence) => json(
            StatusCode::CONFLICT,
            &serde_json::json!({ "fence": fence, "error": "the fencing number is old" }),
        ),
    }
}

fn cancel(shared: &Shared, path: &str) -> Response<BoxBody> {
    let Some(name) = path.strip_prefix("/v1/completions/") else {
        return problem(StatusCode::NOT_FOUND, "there is no such path");
    };
    if shared.state.borrow_mut().cancel_named(name) {
        shared.changed.notify_one();
        return json(StatusCode::OK, &"cancelled");
    }
    problem(StatusCode::NOT_FOUND, "there is no such run")
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
    let bytes = http::read_body(&mut payload, MAX_BODY)
        .await
        .map_err(|error| problem(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| problem(StatusCode::BAD_REQUEST, &error.to_string()))
}

fn json<B>(status: StatusCode, body: &B) -> Response<BoxBody>
where
    B: Serialize,
{
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    http::reply(status, JSON, Bytes::from(bytes))
}

fn problem(status: StatusCode, message: &str) -> Response<BoxBody> {
    json(status, &serde_json::json!({ "error": message }))
}
