//! Callers that leave a stream and resume it with another request.

use std::time::{Duration, Instant};

use auburnspoke::connect::Conn;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode};
use tokio::time::{sleep, timeout_at};

use super::caller::{Question, draw, guarantees_not_run, open, prompt};
use super::check::{Attempt, End, expected_stream, fault_of_stream};
use super::fleet::{HOST, Harness, KEY};
use crate::site::replica::split_software;

/// Time from a caller's first request to its deadline.
const DEADLINE: Duration = Duration::from_secs(5);
/// Events after which a caller leaves.
const EVENTS_READ: std::ops::Range<usize> = 2..10;
/// Pause before a caller tries again.
const PAUSE: Duration = Duration::from_millis(60);

/// A stream that a caller reads over several requests.
pub struct Stream {
    /// The request for the whole stream.
    pub question: Question,
    /// The request that brought the first event.
    pub origin: Option<String>,
    /// The whole events so far.
    pub text: String,
}

impl Stream {
    /// Creates a stream without events.
    pub fn new(question: Question) -> Self {
        Self {
            question,
            origin: None,
            text: String::new(),
        }
    }

    fn events(&self) -> usize {
        self.text.matches("\n\n").count()
    }
}

/// Sends a request, leaves after some events, and resumes the stream at other nodes until it is
/// whole or the caller's deadline has passed. Returns how the last request ended; `None` if the
/// caller had no reason to resume it.
pub async fn leave_and_resume(
    harness: &Harness,
    node: usize,
    conn: Conn,
    question: Question,
) -> Option<End> {
    let until = Instant::now() + DEADLINE;
    let leave_after = EVENTS_READ.start + draw(harness, EVENTS_READ.len());
    let id = question.id.clone();
    let mut stream = Stream::new(question);
    let first = read(harness, (node, conn), &mut stream, &id, until, leave_after);
    if first.await == Some(End::Whole) || stream.origin.is_none() {
        return None;
    }
    Some(resume(harness, stream, until).await)
}

/// Resumes a stream at random nodes until it is whole or `until` has passed. Returns how the last
/// request ended.
pub async fn resume(harness: &Harness, mut stream: Stream, until: Instant) -> End {
    let mut end = End::Broken;
    while end != End::Whole && Instant::now() < until {
        let Some(target) = open(harness).await else {
            continue;
        };
        let id = format!("r{:x}", harness.next_number());
        let read = read(harness, target, &mut stream, &id, until, usize::MAX);
        end = read.await.unwrap_or(End::Broken);
        if end != End::Whole {
            sleep(PAUSE).await;
        }
    }
    harness.resumed.borrow_mut().push(end);
    end
}

/// Sends one request for the rest of the stream, and reads until the stream has `leave_after`
/// events. Returns how the request ended, or nothing if the caller left.
pub async fn read(
    harness: &Harness,
    (node, mut conn): (usize, Conn),
    stream: &mut Stream,
    id: &str,
    until: Instant,
    leave_after: usize,
) -> Option<End> {
    let began = Instant::now();
    let left = until.saturating_duration_since(began);
    let exchange = exchange(&mut conn, stream, id, left, leave_after);
    let end = match timeout_at(until.into(), exchange).await {
        Ok(Some(end)) => end?,
        Ok(None) | Err(_) => End::Broken,
    };
    let Question { path, tokens, .. } = &stream.question;
    if let Some(fault) = fault_of_stream(path, *tokens, &stream.text) {
        let origin = &stream.origin;
        harness.record_violation(format!("{id} resumes {origin:?} and got {fault}"));
    }
    let is_whole = split_software(&stream.text).0 == expected_stream(path, *tokens);
    if end == End::Whole && !is_whole {
        let origin = &stream.origin;
        harness.record_violation(format!("{id} resumes {origin:?} and ended too early"));
    }
    harness.attempts.borrow_mut().push(Attempt {
        id: id.to_owned(),
        repeatable: true,
        end,
        is_answered: matches!(end, End::Whole | End::Refused),
        node,
        began,
        ended: Instant::now(),
    });
    Some(end)
}

/// Exchanges one request. Returns nothing if the connection broke, and otherwise how the request
/// ended, unless the caller left.
async fn exchange(
    conn: &mut Conn,
    stream: &mut Stream,
    id: &str,
    left: Duration,
    leave_after: usize,
) -> Option<Option<End>> {
    let Question { path, tokens, .. } = &stream.question;
    let mut request = Request::builder()
        .method("POST")
        .uri(path)
        .header("host", HOST)
        .header("x-attempt-id", id)
        .header("authorization", format!("Token {KEY}"))
        .header("x-token-count", format!("300,{tokens}"))
        .header("x-prompt-prefix", prompt(path))
        .header("x-timeout-ms", left.as_millis().to_string());
    if stream.events() > 0 {
        request = request.header("last-event-id", stream.events().to_string());
    }
    if let Some(origin) = &stream.origin {
        request = request.header("resumes", origin);
    }
    let request = request.body(Full::new(Bytes::from_static(b"question")));
    let response = conn.send(request.ok()?).await.ok()?;
    match response.status() {
        StatusCode::OK => {}
        status if guarantees_not_run(status) => return Some(Some(End::Refused)),
        _ => return Some(Some(End::Broken)),
    }
    let mut body = response.into_body();
    let mut pending = Vec::new();
    while let Some(frame) = body.frame().await {
        pending.extend_from_slice(&frame.ok()?.into_data().unwrap_or_default());
        let text = String::from_utf8_lossy(&pending);
        if let Some(at) = text.rfind("\n\n") {
            stream.text.push_str(&text[..at + 2]);
            pending = text.as_bytes()[at + 2..].to_vec();
            stream.origin.get_or_insert_with(|| id.to_owned());
        }
        if stream.events() >= leave_after {
            return Some(None);
        }
    }
    Some(Some(End::Whole))
}
