//! Asks an endpoint's process what it says of itself.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;

use crate::catalog::Endpoint;

const PATH: &str = "/-/report";

#[derive(Deserialize)]
struct Report {
    /// Unix time in milliseconds at which the process started.
    born: u64,
}

/// Builds the request for what the process at an endpoint's address says of itself.
///
/// # Errors
/// Never for an address, which is a valid header value.
pub fn request(endpoint: &Endpoint) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::builder()
        .uri(PATH)
        .header(HOST, endpoint.address.to_string())
        .body(Full::default())
}

/// Returns true if the head is that of such an answer, whose body is to be read.
pub fn is_answer(response: &Response<Incoming>) -> bool {
    let media = response.headers().get(CONTENT_TYPE);
    let media = media.and_then(|value| value.to_str().ok());
    response.status() == StatusCode::OK
        && media.is_some_and(|media| media.starts_with("application/json"))
}

/// Returns the process's incarnation; none if the body does not tell it.
pub fn incarnation(body: &[u8]) -> Option<u64> {
    let report: Report = serde_json::from_slice(body).ok()?;
    Some(report.born)
}
