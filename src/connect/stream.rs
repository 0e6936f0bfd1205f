//! The stream of a connection, whose end is reported once the request has been written.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that holds back its end while a write is blocked.
///
/// An answer without a length or chunks ends with its connection. If it ends while the request is
/// still being written, only the rest of the write shows whether the other side has reset the
/// connection, so that the answer was cut off.
#[derive(Debug)]
pub(super) struct Stream {
    socket: TcpStream,
    /// True if the last write could not be finished.
    is_blocked: bool,
    /// True if the end was held back.
    has_ended: bool,
}

impl Stream {
    pub(super) fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            is_blocked: false,
            has_ended: false,
        }
    }

    /// Notes whether a write is blocked, and has the end read once it is not.
    fn wrote<T>(&mut self, cx: &Context<'_>, polled: Poll<T>) -> Poll<T> {
        self.is_blocked = polled.is_pending();
        if self.has_ended && !self.is_blocked {
            cx.waker().wake_by_ref();
        }
        polled
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, into);
        let is_end = matches!(polled, Poll::Ready(Ok(()))) && into.filled().len() == before;
        if is_end && into.remaining() > 0 && self.is_blocked {
            self.has_ended = true;
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write(cx, bytes);
        self.wrote(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.socket).poll_write_vectored(cx, parts);
        self.wrote(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
