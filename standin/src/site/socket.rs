//! A connection that can end with a reset instead of a close.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Decides how a [`Socket`] ends; clones share the decision.
#[derive(Clone, Debug, Default)]
pub struct Reset(Rc<Cell<bool>>);

impl Reset {
    /// Makes the socket reset its connection when it is dropped.
    pub fn arm(&self) {
        self.0.set(true);
    }
}

/// A TCP connection. Dropping it closes the connection, or resets it if its [`Reset`] is armed.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    reset: Reset,
}

impl Socket {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, reset: Reset) -> Self {
        Self { stream, reset }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.reset.0.get() {
            // Closing a socket that must not linger sends a reset. An error means that the
            // connection is gone already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
