//! A stand-in plain service, which echoes the body of a call. It counts the calls, so that a test
//! can check that nothing ran twice or after a refusal.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage as _, Method, Request, Response, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::engine::protocol::Counts;
use crate::http;
use crate::node::work::Work;

/// Headers that may carry the caller's idempotency key, in order of precedence.
const KEY_HEADERS: [&str; 2] = ["idempotency-key", "x-request-key"];
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const JSON: &str = "application/json";

/// The injected faults. `POST /fault` replaces them all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Delay before the response to a call, in milliseconds.
    pub delay_ms: u64,
    /// HTTP status of the responses; 0 is no fault.
    pub status: u16,
    /// Calls are counted, but their responses are never sent.
    pub lose_answer: bool,
}

#[derive(Default)]
struct State {
    fault: Fault,
    counts: Counts,
}

/// Serves until `stop` turns true and the connections have ended.
///
/// # Errors
/// Fails if the socket can't be registered with this thread's runtime.
pub async fn serve(listener: TcpListener, stop: watch::Receiver<bool>) -> std::io::Result<()> {
    let state = Rc::new(RefCell::new(State::default()));
    http::serve(listener, stop, Work::default(), move |request| {
        handle(Rc::clone(&state), request)
    })
    .await
}

async fn handle(state: Rc<RefCell<State>>, mut request: Request) -> Response<BoxBody> {
    match (request.method().clone(), request.path()) {
        (Method::GET, "/health") => return http::reply(StatusCode::OK, JSON, "\"ok\""),
        (Method::GET, "/counts") => {
            let counts = serde_json::to_vec(&state.borrow().counts).unwrap_or_default();
            return http::reply(StatusCode::OK, JSON, counts);
        }
        _ => {}
    }
    let path = request.path().to_owned();
    let key = KEY_HEADERS
        .iter()
        .find_map(|name| request.headers().get(*name)?.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let mut payload = request.take_payload();
    let body = match http::read_body(&mut payload, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return http::reply(StatusCode::BAD_REQUEST, JSON, error.to_string()),
    };
    if path == "/fault" {
        return set_fault(&state, &body);
    }
    call(&state, &key, body).await
}

fn set_fault(state: &RefCell<State>, body: &Bytes) -> Response<BoxBody> {
    match serde_json::from_slice(body) {
        Ok(fault) => {
            state.borrow_mut().fault = fault;
            http::reply(StatusCode::OK, JSON, "\"ok\"")
        }
        Err(error) => http::reply(StatusCode::BAD_REQUEST, JSON, error.to_string()),
    }
}

async fn call(state: &RefCell<State>, key: &str, body: Bytes) -> Response<BoxBody> {
    let fault = {
        let mut state = state.borrow_mut();
        let text = String::from_utf8_lossy(&body);
        state.counts.add("", key, &text);
        state.fault.clone()
    };
    if fault.delay_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(fault.delay_ms)).await;
    }
    if fault.lose_answer {
        std::future::pending::<()>().await;
    }
    let status = StatusCode::from_u16(fault.status).unwrap_or(StatusCode::OK);
    state.borrow_mut().counts.completed += 1;
    http::reply(status, "application/octet-stream", body)
}
