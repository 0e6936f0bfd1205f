//! Decodes the HTTP calls of callers and the platform, and builds the responses that the node
//! itself gives rather than an endpoint.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;

use crate::name::Name;

/// The caller's id of a request or of a batch job.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// How long the caller still waits, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");
/// The prompt's parts, separated by commas, the shared ones first.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// The last event that the caller received; the stream resumes after it.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The request that brought the first event of the stream that the caller resumes.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// The prompt's tokens and the most tokens to generate, separated by a comma.
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-token-count");
/// How long a read may wait for a result, in milliseconds.
const WAIT: HeaderName = HeaderName::from_static("x-wait-ms");

const READINESS_PATH: &str = "/-/readyz";
const RESOLVE_PATH: &str = "/-/resolve";
const JOBS_PREFIX: &str = "/-/lots/";
const ITEMS_PREFIX: &str = "/-/items/";
/// Prefix of the paths of the node's own interface; no route starts with it.
const RESERVED_PREFIX: &str = "/-/";

/// A decoded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Readiness check: whether this node accepts callers.
    Ready,
    /// Resolves the addresses that a caller at this location should use.
    Resolve(Location),
    /// Reads a batch job's results.
    ReadResults {
        /// The job.
        job: Name,
        /// The position of the first result to return.
        after: usize,
        /// How long to wait for a result.
        wait: Duration,
    },
    /// Reads the body of a batch job's item.
    ReadItemBody {
        /// The job.
        job: Name,
        /// The item.
        item: Name,
    },
    /// Ends a batch job.
    EndJob {
        /// The job.
        job: Name,
    },
    /// A request for an endpoint, or the submission of a batch job, by its route.
    Route {
        /// The host of the request, in lower case and without its port.
        host: Name,
    },
    /// A call that is refused, with the status and the reason.
    Invalid(StatusCode, &'static str),
}

/// The location of a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// Decodes the head of a request.
pub fn decode(parts: &Parts) -> Call {
    let path = parts.uri.path();
    let query = || query(parts.uri.query().unwrap_or_default());
    match (&parts.method, path) {
        (&Method::GET, READINESS_PATH) => Call::Ready,
        (&Method::GET, RESOLVE_PATH) => {
            let mut query = query();
            let mut take = |key| Name::from(query.remove(key).unwrap_or_default());
            Call::Resolve(Location {
                region: take("region"),
                zone: take("zone"),
            })
        }
        (&Method::GET, _) if path.starts_with(JOBS_PREFIX) => {
            let after = query().remove("after").unwrap_or_else(|| "0".into());
            let Ok(after) = after.parse() else {
                return Call::Invalid(StatusCode::BAD_REQUEST, "`after` is not a number from 0 up");
            };
            Call::ReadResults {
                job: path[JOBS_PREFIX.len()..].into(),
                after,
                wait: millis(&parts.headers, &WAIT).unwrap_or_default(),
            }
        }
        (&Method::DELETE, _) if path.starts_with(JOBS_PREFIX) => Call::EndJob {
            job: path[JOBS_PREFIX.len()..].into(),
        },
        (&Method::GET, _) if path.starts_with(ITEMS_PREFIX) => Call::ReadItemBody {
            job: path[ITEMS_PREFIX.len()..].into(),
            item: query().remove("id").unwrap_or_default().into(),
        },
        _ if path.starts_with(RESERVED_PREFIX) => Call::Invalid(
            StatusCode::NOT_FOUND,
            "no call has this path; check the path",
        ),
        _ => match host(parts) {
            Some(host) => Call::Route { host },
            None => Call::Invalid(StatusCode::BAD_REQUEST, "the `Host` header is missing"),
        },
    }
}

/// Returns the host in lower case, without its port.
fn host(parts: &Parts) -> Option<Name> {
    let host = parts.headers.get(HOST)?.to_str().ok()?;
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    Some(host.to_ascii_lowercase().into())
}

fn query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| {
            let value = percent_decode_str(value).decode_utf8_lossy();
            (key.to_owned(), value.into_owned())
        })
        .collect()
}

/// Parses a header that holds milliseconds.
fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(value / 1_000.0).ok()
}

/// Returns the caller's id of the request.
pub fn request_id(headers: &HeaderMap) -> Option<Name> {
    let value = headers.get(REQUEST_ID)?.to_str().ok()?;
    (!value.is_empty()).then(|| value.into())
}

/// Returns how long the caller still waits.
pub fn timeout(headers: &HeaderMap) -> Option<Duration> {
    millis(headers, &TIMEOUT)
}

/// Returns the event after which the caller wants to resume the stream.
pub fn last_event_id(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(LAST_EVENT_ID)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

/// Returns the id of the request that brought the first event of the stream that this one resumes.
pub fn resumed_request(headers: &HeaderMap) -> Option<Name> {
    let value = headers.get(RESUMES)?.to_str().ok()?;
    (!value.is_empty()).then(|| value.into())
}

/// Returns the most tokens that the caller lets an endpoint generate, if it says so.
pub fn max_output_tokens(headers: &HeaderMap) -> Option<u32> {
    let text = headers.get(TOKEN_COUNT)?.to_str().ok()?;
    text.split_once(',')?.1.trim().parse().ok()
}

/// Returns the parts of the prompt that other requests share, as one text; the last part belongs
/// to this request alone.
pub fn shared_prefix(headers: &HeaderMap) -> Option<&str> {
    let parts = headers.get(PROMPT_PREFIX)?.to_str().ok()?;
    parts.rsplit_once(',').map(|(shared, _)| shared)
}

/// Returns the ids of the parts of the prompt that other requests share.
pub fn shared_parts(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let shared = shared_prefix(headers).unwrap_or_default();
    let ids = shared.split(',').map(|part| {
        let id = part.split_once(':').map_or(part, |(id, _)| id);
        id.trim()
    });
    ids.filter(|id| !id.is_empty())
}

#[derive(Serialize)]
struct Resolution<'a> {
    addresses: &'a [Name],
    ttl_s: f64,
}

/// Builds the directory's answer: the addresses to use and how long to cache them.
pub fn resolved(addresses: &[Name], ttl: Duration) -> Response<Bytes> {
    json(
        StatusCode::OK,
        &Resolution {
            addresses,
            ttl_s: ttl.as_secs_f64(),
        },
    )
}

/// Builds a response with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Bytes>
where
    T: Serialize,
{
    // Serializing plain data can't fail.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    let media = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media);
    response
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Builds an error response of this node.
pub fn error(status: StatusCode, why: &str) -> Response<Bytes> {
    json(status, &ErrorBody { error: why })
}

/// Builds a refusal: the request was not run and may be retried after `retry_after`.
pub fn refuse(status: StatusCode, why: &str, retry_after: Duration) -> Response<Bytes> {
    let mut response = error(status, why);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = seconds.parse() {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Makes the caller open a new connection for its next request.
pub fn close_connection(headers: &mut HeaderMap) {
    let close = hyper::header::HeaderValue::from_static("close");
    headers.insert(CONNECTION, close);
}
