//! The body of an answer, as an event stream or as a whole.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;

use super::protocol::Event;
use super::state::{Begun, Broken};

/// The body of an answer; dropping it before its end cancels the run, as when
/// the reader goes away.
pub struct Answer<C>
where
    C: FnMut(u64),
{
    begun: Begun,
    cancel: C,
    ended: bool,
    done: bool,
}

impl<C> Answer<C>
where
    C: FnMut(u64),
{
    /// The answer of `begun`; `cancel` is called if it is dropped too early.
    pub fn new(begun: Begun, cancel: C) -> Self {
        Self {
            begun,
            cancel,
            ended: false,
            done: false,
        }
    }

    /// Waits for the whole answer as one event; none if it broke off.
    pub async fn whole(&mut self) -> Option<Event> {
        let mut whole: Option<Event> = None;
        while let Some(Ok(event)) = self.begun.events.recv().await {
            let Some(first) = whole.as_mut() else {
                whole = Some(event);
                continue;
            };
            first.tokens += event.tokens;
            first.usage = event.usage;
            for (into, from) in first.choices.iter_mut().zip(event.choices) {
                into.text.push_str(&from.text);
                into.finish_reason = from.finish_reason;
            }
        }
        let whole = whole.filter(|event| {
            let reason = event.choices.first().map(|c| c.finish_reason.is_some());
            reason == Some(true)
        });
        self.ended = whole.is_some();
        whole
    }
}

impl<C> Stream for Answer<C>
where
    C: FnMut(u64) + Unpin,
{
    type Item = Result<Bytes, Broken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.done {
            return Poll::Ready(None);
        }
        match self.begun.events.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(event))) => {
                let last = event.choices.iter().any(|c| c.finish_reason.is_some());
                self.ended |= last;
                let text = serde_json::to_string(&event).unwrap_or_default();
                Poll::Ready(Some(Ok(Bytes::from(format!("data: {text}\n\n")))))
            }
            Poll::Ready(Some(Err(broken))) => {
                self.done = true;
                Poll::Ready(Some(Err(broken)))
            }
            Poll::Ready(None) if self.ended => {
                self.done = true;
                Poll::Ready(Some(Ok(Bytes::from_static(b"data: [DONE]\n\n"))))
            }
            // Cancelled by name: an unfinished body tells the reader so.
            Poll::Ready(None) => {
                self.done = true;
                Poll::Ready(Some(Err(Broken)))
            }
        }
    }
}

impl<C> Drop for Answer<C>
where
    C: FnMut(u64),
{
    fn drop(&mut self) {
        if !self.ended {
            (self.cancel)(self.begun.id);
        }
    }
}
