//! Builds the requests that are sent to endpoints, and classifies the heads of their responses.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use super::call::{LAST_EVENT_ID, REQUEST_ID, TIMEOUT};
use crate::catalog::Endpoint;
use crate::name::Name;

/// The endpoint instance that a request is for; any other instance refuses it.
const INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
/// Set by an endpoint that did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// An endpoint's signature of its response.
const SIGNATURE: HeaderName = HeaderName::from_static("x-response-stamp");
/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("expect"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A request to forward to an endpoint.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The method.
    pub method: Method,
    /// The path with its query, unchanged.
    pub path: String,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's id of the request.
    pub id: Name,
}

/// Removes the hop-by-hop headers, including those that `Connection` lists.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

impl Forward {
    /// Builds the request for `endpoint`. `left` is the caller's remaining time; a stream resumes
    /// after the event `last`.
    ///
    /// # Errors
    /// When the caller's path is not a valid request target, or the endpoint's id not a valid
    /// header value.
    pub fn request(
        &self,
        endpoint: &Endpoint,
        left: Option<Duration>,
        last: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .body(Full::new(self.body.clone()))?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.remove(CONTENT_LENGTH);
        if !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            headers.insert(CONTENT_LENGTH, self.body.len().into());
        }
        headers.insert(INSTANCE, HeaderValue::from_str(&endpoint.id)?);
        if let Some(left) = left {
            let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            headers.insert(TIMEOUT, millis.into());
        }
        if let Some(last) = last {
            headers.insert(LAST_EVENT_ID, last.into());
        }
        Ok(request)
    }

    /// Builds the request of a batch item, with the item's own headers and the name of the
    /// organisation that submitted the job.
    ///
    /// # Errors
    /// When a header or the path is not valid in HTTP.
    pub fn item(
        host: &str,
        path: &str,
        headers: &[(Name, Name)],
        body: Bytes,
        id: &Name,
        organisation: Option<&str>,
    ) -> Result<Self, hyper::http::Error> {
        let mut map = HeaderMap::new();
        for (name, value) in headers {
            map.insert(
                HeaderName::try_from(&**name)?,
                HeaderValue::try_from(&**value)?,
            );
        }
        map.insert(HOST, HeaderValue::try_from(host)?);
        map.insert(REQUEST_ID, HeaderValue::try_from(&**id)?);
        strip_hop_by_hop(&mut map);
        super::organisation::set_header(&mut map, organisation);
        // Checking the path here rejects an invalid one at submission.
        Request::builder().uri(path).body(())?;
        Ok(Self {
            method: Method::POST,
            path: path.to_owned(),
            headers: map,
            body,
            id: id.clone(),
        })
    }
}

/// The class of an endpoint's response, from its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint did not run the request because it is at capacity.
    Full,
    /// The endpoint did not run the request because it was meant for another instance or because
    /// the endpoint is leaving.
    Misdirected,
    /// The response belongs to another request, its status is none of a final response, or the
    /// endpoint did not sign it.
    Unverified,
    /// The endpoint ran the request and failed.
    Failed,
    /// The request can never succeed; repeating it is useless.
    Unprocessable,
    /// The response answers the request.
    Answer,
}

/// Classifies the head of a response to the request `id`.
pub fn classify(response: &Response<Incoming>, id: &Name) -> Verdict {
    let headers = response.headers();
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Misdirected;
    }
    if headers.contains_key(NOT_RUN) {
        return Verdict::Full;
    }
    if headers
        .get(REQUEST_ID)
        .is_some_and(|echo| echo.as_bytes() != id.as_bytes())
    {
        return Verdict::Unverified;
    }
    if !headers.contains_key(SIGNATURE) {
        // Unsigned: a faulty endpoint or an intermediary produced it, so it must not be passed on.
        return Verdict::Unverified;
    }
    // A faulty endpoint may send a status outside the protocol, or one that ends no exchange.
    if !(200..600).contains(&status.as_u16()) {
        return Verdict::Unverified;
    }
    if status == StatusCode::UNPROCESSABLE_ENTITY {
        return Verdict::Unprocessable;
    }
    if status.is_server_error() {
        return Verdict::Failed;
    }
    Verdict::Answer
}

/// Returns the response's head for the caller, without hop-by-hop headers.
pub fn head(response: &Response<Incoming>) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    *head.headers_mut() = response.headers().clone();
    strip_hop_by_hop(head.headers_mut());
    head
}

/// Returns true if the response succeeded with a stream of server-sent events.
pub fn is_event_stream(response: &Response<Incoming>) -> bool {
    let media = response.headers().get(CONTENT_TYPE);
    let is_stream = media
        .and_then(|value| value.to_str().ok())
        .is_some_and(|media| media.starts_with("text/event-stream"));
    is_stream && response.status().is_success()
}
