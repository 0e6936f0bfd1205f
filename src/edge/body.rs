//! Response bodies.

use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::mpsc;

use super::open::Request;

/// Aborts a task when dropped, so that no work continues for a caller that has disconnected.
#[derive(Debug)]
pub struct Guard(pub JoinHandle<()>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The answer was aborted. The connection is closed, so that the caller can't mistake the
/// answer for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was aborted before its end")
    }
}

impl std::error::Error for Broken {}

/// Part of an answer, or the error that aborts it.
pub type Piece = Result<Bytes, Broken>;

/// Creates the channel of an answer that buffers up to `capacity` parts.
pub fn channel(capacity: usize) -> (Pieces, Parts) {
    let (sender, receiver) = mpsc::channel(capacity);
    let is_complete: Rc<Cell<bool>> = Rc::default();
    let parts = Parts {
        receiver,
        is_complete: Rc::clone(&is_complete),
    };
    (
        Pieces {
            sender,
            is_complete,
        },
        parts,
    )
}

/// Sends the parts of an answer.
#[derive(Debug)]
pub struct Pieces {
    sender: mpsc::Sender<Piece>,
    is_complete: Rc<Cell<bool>>,
}

impl Pieces {
    /// Sends a part. Returns false if the caller has disconnected.
    pub async fn send(&self, piece: Piece) -> bool {
        self.sender.send(piece).await.is_ok()
    }

    /// Records that the answer is complete. Without it, the answer is aborted when this is
    /// dropped: a task that panics must not leave half an answer that looks whole.
    pub fn complete(&self) {
        self.is_complete.set(true);
    }
}

/// Receives the parts of an answer.
#[derive(Debug)]
pub struct Parts {
    receiver: mpsc::Receiver<Piece>,
    is_complete: Rc<Cell<bool>>,
}

impl Parts {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Piece>> {
        self.receiver.poll_recv(context).map(|piece| match piece {
            None if !self.is_complete.get() => Some(Err(Broken)),
            piece => piece,
        })
    }
}

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Pieces(
        Parts,
        #[expect(dead_code, reason = "dropping it is its use")] Guard,
    ),
}

/// A response body.
#[derive(Debug)]
pub struct Body {
    content: Content,
    #[expect(dead_code, reason = "dropping it is its use")]
    request: Option<Rc<Request>>,
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self {
            content: Content::Whole((!bytes.is_empty()).then_some(bytes)),
            request: None,
        }
    }
}

impl Body {
    /// Creates a body of parts that a task produces; dropping the body aborts the task.
    pub fn pieces(pieces: Parts, task: Guard) -> Self {
        Self {
            content: Content::Pieces(pieces, task),
            request: None,
        }
    }

    /// Keeps `request` open until the body has been handed to the connection.
    #[must_use]
    pub fn keep_open(self, request: Rc<Request>) -> Self {
        Self {
            request: Some(request),
            ..self
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Pieces(pieces, _) => pieces
                .poll(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Pieces(..) => SizeHint::default(),
        }
    }
}
