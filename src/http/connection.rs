//! A connection of a caller that can be closed between two requests.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_rt::net::{ActixStream, Ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of a connection's requests whose responses have not begun.
#[derive(Clone, Debug, Default)]
pub(super) struct Pending(Rc<Cell<usize>>);

/// Counts one request until dropped.
pub(super) struct Guard(Pending);

impl Pending {
    pub(super) fn begin(&self) -> Guard {
        self.0.set(self.0.get() + 1);
        Guard(self.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

/// Becomes true when a connection must end after its current request.
#[derive(Clone, Debug, Default)]
pub(super) struct Closing(Rc<Cell<bool>>);

impl Closing {
    pub(super) fn set(&self) {
        self.0.set(true);
    }
}

/// A connection that ends once it is closing and no request of it has been read. The HTTP library
/// would keep an idle connection open, or cut one whose request is being read.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    closing: Closing,
    pending: Pending,
    /// True if bytes of a request were read since the last write.
    is_reading: bool,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            closing: Closing::default(),
            pending: Pending::default(),
            is_reading: false,
        }
    }

    pub(super) fn pending(&self) -> Pending {
        self.pending.clone()
    }

    pub(super) fn closing(&self) -> Closing {
        self.closing.clone()
    }

    fn is_idle(&self) -> bool {
        !self.is_reading && self.pending.0.get() == 0
    }

    fn wrote(&mut self, cx: &Context<'_>) {
        self.is_reading = false;
        if self.closing.0.get() {
            // The connection may be idle now, so it must be read again.
            cx.waker().wake_by_ref();
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, into);
        if into.filled().len() > before {
            self.is_reading = true;
        }
        if polled.is_pending() && self.closing.0.get() && self.is_idle() {
            // Nothing read means the end of the stream.
            return Poll::Ready(Ok(()));
        }
        polled
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if polled.is_ready() {
            self.wrote(cx);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for Connection {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
