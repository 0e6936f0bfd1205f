//! The response body of a completion, as an event stream or as one event.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;

use super::protocol::Event;
use super::state::{Broken, Handle};

/// The response body of a run. Dropping it before its end cancels the run, as when the client
/// disconnects.
pub struct Answer<C>
where
    C: FnMut(u64),
{
    run: Handle,
    cancel: C,
    is_complete: bool,
    is_closed: bool,
    /// Events were returned since the stream was last pending, so the server may not have
    /// written them yet.
    has_unwritten: bool,
    /// A fault that ends the stream once the events before it are written.
    broken: Option<Broken>,
}

impl<C> Answer<C>
where
    C: FnMut(u64),
{
    /// Creates the body of `run`; `cancel` is called if the body is dropped before its end.
    pub fn new(run: Handle, cancel: C) -> Self {
        Self {
            run,
            cancel,
            is_complete: false,
            is_closed: false,
            has_unwritten: false,
            broken: None,
        }
    }

    /// Ends the stream with an error. The server discards what it has not written when the body
    /// fails, so it gets one chance to write the events before.
    fn break_off(
        &mut self,
        cx: &Context<'_>,
        broken: Broken,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        if self.has_unwritten {
            self.has_unwritten = false;
            self.broken = Some(broken);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.is_closed = true;
        Poll::Ready(Some(Err(broken)))
    }

    /// Collects the complete answer into one event. Returns `None` if the run was broken off.
    pub async fn read_all(&mut self) -> Option<Event> {
        let mut collected: Option<Event> = None;
        while let Some(Ok(event)) = self.run.events.recv().await {
            let Some(first) = collected.as_mut() else {
                collected = Some(event);
                continue;
            };
            first.tokens += event.tokens;
            first.usage = event.usage;
            for (into, from) in first.choices.iter_mut().zip(event.choices) {
                into.text.push_str(&from.text);
                into.finish_reason = from.finish_reason;
            }
        }
        let collected = collected.filter(|event| {
            let reason = event.choices.first().map(|c| c.finish_reason.is_some());
            reason == Some(true)
        });
        self.is_complete = collected.is_some();
        collected
    }
}

impl<C> Stream for Answer<C>
where
    C: FnMut(u64) + Unpin,
{
    type Item = Result<Bytes, Broken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_closed {
            return Poll::Ready(None);
        }
        if let Some(broken) = self.broken.take() {
            return self.break_off(cx, broken);
        }
        match self.run.events.poll_recv(cx) {
            Poll::Pending => {
                self.has_unwritten = false;
                Poll::Pending
            }
            Poll::Ready(Some(Ok(event))) => {
                let last = event.choices.iter().any(|c| c.finish_reason.is_some());
                self.is_complete |= last;
                self.has_unwritten = true;
                let text = serde_json::to_string(&event).unwrap_or_default();
                Poll::Ready(Some(Ok(Bytes::from(format!("data: {text}\n\n")))))
            }
            Poll::Ready(Some(Err(broken))) => self.break_off(cx, broken),
            Poll::Ready(None) if self.is_complete => {
                self.is_closed = true;
                Poll::Ready(Some(Ok(Bytes::from_static(b"data: [DONE]\n\n"))))
            }
            // Cancelled by request id: ending the body with an error shows the client that the
            // answer is incomplete.
            Poll::Ready(None) => self.break_off(cx, Broken),
        }
    }
}

impl<C> Drop for Answer<C>
where
    C: FnMut(u64),
{
    fn drop(&mut self) {
        if !self.is_complete {
            (self.cancel)(self.run.id);
        }
    }
}
