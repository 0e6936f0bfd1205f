//! Plain services: one HTTP call, one body back.

use std::time::Duration;

use bytes::Bytes;

use super::{Failure, Target};
use crate::request::Answer;

/// Largest body that a plain service may answer.
const BODY: usize = 1024 * 1024;
/// The header that carries the caller's identity of the request.
pub const KEY_HEADER: &str = "Idempotency-Key";

/// Makes one call.
///
/// Every HTTP status is an answer: the service ran and said so.
///
/// # Errors
/// [`Failure`], which tells whether anything may have run.
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
        .map_err(|error| Failure::of_send(&error))?;
    let status = response.status().as_u16();
    let body = tokio::time::timeout(wait, response.body().limit(BODY))
        .await
        .map_err(|_| Failure::Broken("its body did not come in time".into()))?
        .map_err(|error| Failure::Broken(error.to_string()))?;
    Ok(Answer {
        status,
        body,
        endpoint: target.name.to_string(),
        ..Answer::default()
    })
}
