//! HTTP server of the stand-in platform.
//!
//! `POST /call` runs an operation. For tests, `POST /fault` injects the fault of a [`Command`] in
//! JSON, and `GET /counts` returns the number of operations so far.

use std::io;
use std::net::TcpListener;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use tokio::sync::watch;

use crate::http;
use crate::node::work::Work;
use crate::table::Fault;
use crate::table::fault::Command;
use crate::table::memory::Platform;
use crate::table::protocol::{
    Answer, CALL_PATH, COUNTS_PATH, Call, FAULT_PATH, MAX_BODY, Transport as _,
};

const CBOR: &str = "application/cbor";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain";
/// Maximum size of a fault command; real ones are far smaller.
const MAX_COMMAND_BYTES: usize = 64 * 1024;

/// Serves `platform` on `listener` until `stop` turns true.
///
/// # Errors
/// Fails if the socket can't be registered with this thread's runtime.
pub async fn serve(
    platform: Platform,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    http::serve(listener, stop, Work::default(), move |request| {
        let platform = platform.clone();
        async move { answer(&platform, request).await }
    })
    .await
}

async fn answer(platform: &Platform, mut request: Request) -> Response<BoxBody> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let mut body = request.take_payload();
    match (method, path.as_str()) {
        (Method::POST, CALL_PATH) => match http::read_body(&mut body, MAX_BODY).await {
            Ok(body) => call(platform, &body).await,
            Err(error) => http::reply(StatusCode::BAD_REQUEST, TEXT, error.to_string()),
        },
        (Method::POST, FAULT_PATH) => match http::read_body(&mut body, MAX_COMMAND_BYTES).await {
            Ok(body) => command(platform, &body),
            Err(error) => http::reply(StatusCode::BAD_REQUEST, TEXT, error.to_string()),
        },
        (Method::GET, COUNTS_PATH) => match serde_json::to_vec(&platform.counts()) {
            Ok(body) => http::reply(StatusCode::OK, JSON, body),
            Err(error) => http::reply(StatusCode::INTERNAL_SERVER_ERROR, TEXT, error.to_string()),
        },
        _ => http::reply(StatusCode::NOT_FOUND, TEXT, "no such path\n"),
    }
}

async fn call(platform: &Platform, body: &[u8]) -> Response<BoxBody> {
    let call: Call = match ciborium::from_reader(body) {
        Ok(call) => call,
        Err(error) => return http::reply(StatusCode::BAD_REQUEST, TEXT, error.to_string()),
    };
    let answer = platform.call(call).await;
    if answer == Err(Fault::Unknown) {
        return truncated();
    }
    encode(&answer)
}

fn encode(answer: &Answer) -> Response<BoxBody> {
    let mut body = Vec::with_capacity(256);
    match ciborium::into_writer(answer, &mut body) {
        Ok(()) => http::reply(StatusCode::OK, CBOR, body),
        Err(error) => http::reply(StatusCode::INTERNAL_SERVER_ERROR, TEXT, error.to_string()),
    }
}

/// A truncated response, as when the connection to the platform is cut after the change took
/// effect.
fn truncated() -> Response<BoxBody> {
    let body = stream::iter([Err::<Bytes, _>(io::Error::other("injected loss"))]);
    Response::build(StatusCode::OK)
        .body(BodyStream::new(body))
        .map_into_boxed_body()
}

fn command(platform: &Platform, body: &[u8]) -> Response<BoxBody> {
    match serde_json::from_slice::<Command>(body) {
        Ok(command) => {
            platform.command(&command);
            http::reply(StatusCode::OK, TEXT, "ok\n")
        }
        Err(error) => http::reply(StatusCode::BAD_REQUEST, TEXT, format!("{error}\n")),
    }
}
