//! What callers and the platform ask a node, decoded from HTTP, and the answers
//! that are a node's own.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde::Serialize;

use crate::name::Name;

/// The caller's own identity of a request or of a batch job.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// How many milliseconds the caller, or what is left of them, will wait.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");
/// The parts of the prompt, the shared ones first.
pub const PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// The event behind which a stream goes on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// How long a read may be kept waiting for a result.
const WAIT: HeaderName = HeaderName::from_static("x-wait-ms");

const READY: &str = "/-/readyz";
const RESOLVE: &str = "/-/resolve";
const LOTS: &str = "/-/lots/";
const ITEMS: &str = "/-/items/";
/// What begins the paths of a node's own interface; no route begins so.
const OWN: &str = "/-/";

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Does this node take callers?
    Ready,
    /// Which addresses should a caller at this place use?
    Resolve(Location),
    /// A batch job's results.
    ReadResults {
        /// The job.
        job: Name,
        /// The first position wanted.
        after: usize,
        /// How long to wait for a result.
        wait: Duration,
    },
    /// The body of a batch job's item.
    ReadItemBody {
        /// The job.
        job: Name,
        /// The item.
        item: Name,
    },
    /// The end of a batch job.
    EndJob {
        /// The job.
        job: Name,
    },
    /// A request for an endpoint, or the submission of a batch job.
    Route {
        /// The host that the caller names.
        host: Name,
    },
    /// Something that no caller may ask, with why.
    Invalid(StatusCode, &'static str),
}

/// Where a caller is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// Reads what is asked.
pub fn decode(parts: &Parts) -> Call {
    let path = parts.uri.path();
    let query = || query(parts.uri.query().unwrap_or_default());
    match (&parts.method, path) {
        (&Method::GET, READY) => Call::Ready,
        (&Method::GET, RESOLVE) => {
            let mut query = query();
            let mut take = |key| Name::from(query.remove(key).unwrap_or_default());
            Call::Resolve(Location {
                region: take("region"),
                zone: take("zone"),
            })
        }
        (&Method::GET, _) if path.starts_with(LOTS) => {
            let after = query().remove("after").unwrap_or_else(|| "0".into());
            let Ok(after) = after.parse() else {
                return Call::Invalid(StatusCode::BAD_REQUEST, "`after` is not a number from 0 up");
            };
            Call::ReadResults {
                job: path[LOTS.len()..].into(),
                after,
                wait: millis(&parts.headers, &WAIT).unwrap_or_default(),
            }
        }
        (&Method::DELETE, _) if path.starts_with(LOTS) => Call::EndJob {
            job: path[LOTS.len()..].into(),
        },
        (&Method::GET, _) if path.starts_with(ITEMS) => Call::ReadItemBody {
            job: path[ITEMS.len()..].into(),
            item: query().remove("id").unwrap_or_default().into(),
        },
        _ if path.starts_with(OWN) => Call::Invalid(
            StatusCode::NOT_FOUND,
            "there is no such call; check the path",
        ),
        _ => match host(parts) {
            Some(host) => Call::Route { host },
            None => Call::Invalid(StatusCode::BAD_REQUEST, "the `Host` header is missing"),
        },
    }
}

/// The host without its port.
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

/// A header that holds milliseconds.
fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let value: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(value / 1_000.0).ok()
}

/// The caller's identity of a request.
pub fn request_id(headers: &HeaderMap) -> Option<Name> {
    let value = headers.get(REQUEST_ID)?.to_str().ok()?;
    (!value.is_empty()).then(|| value.into())
}

/// How long the caller will wait.
pub fn timeout(headers: &HeaderMap) -> Option<Duration> {
    millis(headers, &TIMEOUT)
}

/// The event behind which the caller wants to go on.
pub fn last_event_id(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(LAST_EVENT_ID)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}

/// The parts of the prompt that other requests share, as one text; the last
/// part is the request's own.
pub fn shared_prefix(headers: &HeaderMap) -> Option<&str> {
    let parts = headers.get(PREFIX)?.to_str().ok()?;
    parts.rsplit_once(',').map(|(shared, _)| shared)
}

#[derive(Serialize)]
struct Resolved<'a> {
    addresses: &'a [Name],
    ttl_s: f64,
}

/// Which addresses to use, and for how long to keep them.
pub fn resolved(addresses: &[Name], ttl: Duration) -> Response<Bytes> {
    json(
        StatusCode::OK,
        &Resolved {
            addresses,
            ttl_s: ttl.as_secs_f64(),
        },
    )
}

/// An answer with a JSON body.
pub fn json<T>(status: StatusCode, value: &T) -> Response<Bytes>
where
    T: Serialize,
{
    // Plain data always has a JSON form.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    let media = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media);
    response
}

#[derive(Serialize)]
struct Explained<'a> {
    error: &'a str,
}

/// An error of this node's own.
pub fn error(status: StatusCode, why: &str) -> Response<Bytes> {
    json(status, &Explained { error: why })
}

/// "Not run", and when to come back.
pub fn refuse(status: StatusCode, why: &str, retry_after: Duration) -> Response<Bytes> {
    let mut response = error(status, why);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = seconds.parse() {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Asks the caller to open a new connection next time.
pub fn close_connection(headers: &mut HeaderMap) {
    let close = hyper::header::HeaderValue::from_static("close");
    headers.insert(CONNECTION, close);
}
