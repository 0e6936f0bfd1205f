//! Passes an endpoint's answer on to the caller.

use std::time::Duration;

use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::Response;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_LENGTH;

use super::{EVENT_TIMEOUT, Ended, FIRST_EVENT_TIMEOUT, Head, Relay};
use crate::answer::{self, Content, Framing, Reader};
use crate::attempt::Failure;
use crate::catalog::Kind;
use crate::clock::{self, Time};
use crate::connect::Conn;
use crate::permit::Permit;
use crate::platform::forward;
use crate::pool::message::End;

/// Largest body of an error answer, in bytes. A longer one is no message for the caller, and each
/// request that waits for its retry keeps one.
const MAX_ERROR_BYTES: usize = 64 * 1024;

impl Relay {
    /// Buffers an error answer, which is passed on if no retry succeeds. Borrowing the
    /// connection keeps it open meanwhile. A faulty endpoint may send its body without end.
    pub(super) async fn buffer_error(
        &mut self,
        response: Response<Incoming>,
        _conn: &Conn,
    ) -> Ended {
        let head = forward::head(&response);
        let left = self.attempt.deadline().since(self.node.clock.now());
        let limit = self.silence_limit(FIRST_EVENT_TIMEOUT, left);
        let body = Limited::new(response.into_body(), MAX_ERROR_BYTES);
        match clock::within(limit, body.collect()).await {
            Ok(Ok(body)) => Ended::Error(head.map(|()| body.to_bytes())),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Ended::Failed(Failure::Lost, End::Error, "error_size")
            }
            Ok(Err(_)) => Ended::Failed(Failure::Lost, End::Error, "broken_error"),
            Err(_) => self.timed_out("endless_error"),
        }
    }

    /// Streams an answer to the caller. The connection is closed at the end, which cancels the
    /// run at an endpoint that has not finished.
    pub(super) async fn stream_answer(
        &mut self,
        permit: &Permit,
        granted: Time,
        response: Response<Incoming>,
        _conn: Conn,
    ) -> Ended {
        let is_continued = self.attempt.last().is_some();
        // A resumed answer has only a part of the declared size.
        let is_whole = !is_continued && response.status().is_success();
        let mut head = forward::head(&response);
        let stream = forward::is_event_stream(&response);
        let content = match stream {
            false => Content::Opaque,
            true if self.is_resumable() => Content::Resumable,
            true => Content::Stream,
        };
        let mut reader = Reader::new(Framing::of(&response), content, self.attempt.last());
        let mut body = response.into_body();
        if stream {
            // Another endpoint may resume the stream, which changes its length, and a stream that
            // was cut off may have all the bytes that it declared.
            head.headers_mut().remove(CONTENT_LENGTH);
        }
        let mut began = None;
        // Time for which the caller did not read, which is not the endpoint's.
        let mut blocked = Duration::ZERO;
        // When the last event came. Bytes without end that complete none are no progress.
        let mut last_event = self.node.clock.now();
        loop {
            let limit = self.event_limit(content, began.is_some(), last_event);
            let waiting = self.node.clock.now();
            let read = clock::within(limit, body.frame()).await;
            let now = self.node.clock.now();
            if clock::was_paused(limit, now.since(waiting)) {
                last_event = now;
            }
            let frame = match read {
                Err(_) => return self.timed_out("silent"),
                Ok(None) => break,
                Ok(Some(Err(_))) => {
                    return Ended::Failed(Failure::Lost, End::Error, "broken_stream");
                }
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if began.is_none() {
                began = Some(self.node.clock.now());
                permit.mark_answering();
            }
            let Some(events) = reader.push(bytes) else {
                if let Some(fault) = reader.fault() {
                    return Ended::Failed(Failure::Lost, End::Error, fault.reason());
                }
                // More bytes may always be ready, so that the read above never times out.
                if limit.is_zero() {
                    return self.timed_out("no_event");
                }
                continue;
            };
            let software = permit.endpoint.software.as_ref();
            if content == Content::Resumable && self.attempt.is_unwritten() {
                self.tell_origin(&permit.endpoint);
            }
            self.attempt.forwarded(events.last, software);
            self.written += 1;
            let now = self.node.clock.now();
            // An answer that is complete is delivered, however late.
            let begins = self.head.is_some() && !body.is_end_stream();
            if begins && self.is_too_late_to_answer(now, now.since(granted)) {
                return Ended::TooLate;
            }
            self.send_head(&mut head);
            if !self.pieces.send(Ok(events.bytes)).await {
                return Ended::Disconnected;
            }
            if let Some(fault) = reader.fault() {
                return Ended::Failed(Failure::Lost, End::Error, fault.reason());
            }
            last_event = self.node.clock.now();
            blocked += last_event.since(now);
        }
        let ended = self.node.clock.now();
        let end = reader.end(is_continued);
        self.node.count.answer(reader.framing(), end);
        self.ending = Some((reader.framing(), end));
        match end {
            answer::End::Whole
                if reader.framing() == Framing::Connection
                    && self.node.detector.has_ended(&permit.endpoint).await =>
            {
                return Ended::Failed(Failure::Lost, End::Error, "process_ended");
            }
            answer::End::Whole => {}
            answer::End::InsideEvent | answer::End::NoEvent => {
                return Ended::Failed(Failure::Lost, End::Error, "truncated");
            }
        }
        if let Some(began) = began.filter(|_| is_whole) {
            let rest = ended.since(began).saturating_sub(blocked);
            self.record_pace(ended, began.since(granted), rest);
        }
        self.send_head(&mut head);
        let rest = reader.rest();
        if !rest.is_empty() && !self.pieces.send(Ok(rest)).await {
            return Ended::Disconnected;
        }
        self.pieces.complete();
        Ended::Complete
    }

    /// How long the endpoint may take until the next event.
    fn event_limit(&self, content: Content, has_begun: bool, last_event: Time) -> Duration {
        let now = self.node.clock.now();
        let left = self.attempt.deadline().since(now);
        let usual = if has_begun {
            EVENT_TIMEOUT
        } else {
            FIRST_EVENT_TIMEOUT
        };
        if content == Content::Resumable {
            self.silence_limit(usual.saturating_sub(now.since(last_event)), left)
        } else {
            left
        }
    }

    fn is_resumable(&self) -> bool {
        matches!(
            self.call.route.kind,
            Kind::Stream {
                resumable: true,
                ..
            }
        )
    }

    fn send_head(&mut self, head: &mut Response<()>) {
        let Some(sender) = self.head.take() else {
            return;
        };
        self.attempt.start_answer();
        self.call.open.answer();
        let took = self.node.clock.now().since(self.call.arrived);
        self.node.count.first_event(took);
        self.first = Some(took);
        self.finish_head(head.headers_mut());
        // An error means that the caller has disconnected, which the next piece reports.
        let _ = sender.send(Head::Stream(std::mem::take(head)));
    }
}
