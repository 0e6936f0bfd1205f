//! Requests as endpoints get them, and what their answers' heads say.

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

/// Which run of an endpoint is meant; any other refuses.
const INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
/// The endpoint did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// An endpoint's signature of its answer.
const STAMP: HeaderName = HeaderName::from_static("x-response-stamp");
/// Headers that concern one connection only.
const HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("expect"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A request that is passed on.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The method.
    pub method: Method,
    /// The path with its query, as it came.
    pub path: String,
    /// The headers that concern the endpoint.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's identity of the request.
    pub id: Name,
}

/// Removes the headers that concern one connection only, those that
/// `Connection` names among them.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP) {
        headers.remove(name);
    }
}

impl Forward {
    /// The request for `endpoint`, with `left` of the caller's time, going on
    /// behind the event `last`.
    ///
    /// # Errors
    /// When the caller's path is no request target.
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

    /// The request of a batch item, which carries its own headers and the name of
    /// the organisation whose job it is of.
    ///
    /// # Errors
    /// When a header or the path can't be sent.
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
        // The path is checked here, so that a wrong one is found at submission.
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

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It did not run the request, because it is full.
    Full,
    /// It did not run the request, because another one was meant or it leaves.
    Misdirected,
    /// It belongs to another request.
    Unverified,
    /// It ran the request and failed.
    Failed,
    /// The request can never be done.
    Unprocessable,
    /// It answers the request.
    Answer,
}

/// Reads the head of an answer to the request `id`.
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
    if !headers.contains_key(STAMP) {
        // Nobody signed it: a broken endpoint's words are no answer.
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

/// The head of an answer for the caller.
pub fn head(response: &Response<Incoming>) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = response.status();
    *head.headers_mut() = response.headers().clone();
    strip_hop_by_hop(head.headers_mut());
    head
}

/// True when the answer is a stream of events.
pub fn is_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|media| media.starts_with("text/event-stream"))
}
