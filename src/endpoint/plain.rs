//! Plain services: one HTTP request, one response body.
//!
//! `awc` takes a body that was cut off for a whole one, and drops one without length or chunks, so
//! this uses `hyper`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::Request;
use hyper::header::HOST;
use tokio::time::timeout;

use super::{Client, Failure, Target};
use crate::connect;
use crate::request::Answer;

/// Largest response body of a plain service.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// The header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "Idempotency-Key";

/// Makes one call.
///
/// Every HTTP status counts as an answer, because the service ran and returned it. An answer
/// without length or chunks is whole when its connection closes, and not when it is reset.
///
/// # Errors
/// [`Failure`], which distinguishes whether anything may have run.
pub async fn call(
    client: &Client,
    target: &Target,
    path: &str,
    key: &str,
    body: Bytes,
    wait: Duration,
) -> Result<Answer, Failure> {
    let address: SocketAddr = target.address.parse().map_err(|_| {
        Failure::Unreachable(format!("`{}` is not an address ip:port", target.address))
    })?;
    let mut request = Request::post(path).header(HOST, &*target.address);
    if !key.is_empty() {
        request = request.header(KEY_HEADER, key);
    }
    let request = request
        .body(Full::new(body))
        .map_err(|error| Failure::Rejected(error.to_string()))?;
    let mut conn = connect::open(address, client.connect_timeout.min(wait)).await?;
    let exchange = async {
        let response = conn.send(request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| Failure::Broken(error.to_string()))?;
        Ok(Answer {
            status,
            body: body.to_bytes(),
            endpoint: target.name.to_string(),
            ..Answer::default()
        })
    };
    timeout(wait, exchange)
        .await
        .unwrap_or_else(|_| Err(Failure::Broken("the answer did not arrive in time".into())))
}
