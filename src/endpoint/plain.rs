//! Plain services: one HTTP request, one response body.

use std::time::Duration;

use bytes::Bytes;

use super::{Failure, Target};
use crate::request::Answer;

/// Largest response body of a plain service.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// The header that carries the caller's idempotency key.
pub const KEY_HEADER: &str = "Idempotency-Key";

/// Makes one call.
///
/// Every HTTP status counts as an answer, because the service ran and returned it.
///
/// # Errors
/// [`Failure`], which distinguishes whether anything may have run.
pub async fn call(
    client: &awc::Client,
    target: &Target,
    path: &str,
    key: &str,
    body: Bytes,
    wait: Duration,
) -> Result<Answer, Failure> {
    let url = format!("http://{}{path}", target.address);
    let mut request = client.post(url).timeout(wait);
    if !key.is_empty() {
        request = request.insert_header((KEY_HEADER, key));
    }
    let mut response = request
        .send_body(body)
        .await
        .map_err(|error| Failure::from_send(&error))?;
    let status = response.status().as_u16();
    let body = tokio::time::timeout(wait, response.body().limit(MAX_BODY_BYTES))
        .await
        .map_err(|_| Failure::Broken("the response body did not arrive in time".into()))?
        .map_err(|error| Failure::Broken(error.to_string()))?;
    Ok(Answer {
        status,
        body,
        endpoint: target.name.to_string(),
        ..Answer::default()
    })
}
