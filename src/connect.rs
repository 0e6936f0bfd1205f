//! An HTTP/1.1 connection with a single owner.
//!
//! The owner sends one request at a time. Dropping the connection closes it immediately, which
//! cancels the run: endpoints continue to work while the connection is open. `awc` does not
//! expose its connections, so this uses `hyper`; see docs/design/platform.md.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use stream::Stream;

pub mod process;
mod stream;

/// Why a request got no response head.
#[derive(Debug)]
pub enum Failure {
    /// No connection was made, so nothing was sent.
    Unsent(String),
    /// The other side may have read part of the request.
    Broken(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(why) => write!(f, "could not connect: {why}"),
            Self::Broken(why) => write!(f, "connection lost: {why}"),
        }
    }
}

impl std::error::Error for Failure {}

/// An open connection.
#[derive(Debug)]
pub struct Conn {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Result of a connection probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// A process accepts connections.
    Open,
    /// The connection was refused: no process listens there any more.
    Refused,
    /// No answer; the VM may be off, or the network partitioned.
    Silent,
}

/// Probes whether a process listens at `address`, without sending data.
pub async fn probe(address: SocketAddr, limit: Duration) -> Reachability {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Reachability::Open,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Reachability::Refused,
        // Something accepted the connection and closed it at once, as a process that is ending.
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => Reachability::Open,
        // An unreachable network or a lack of descriptors is no evidence about the other side.
        Ok(Err(_)) | Err(_) => Reachability::Silent,
    }
}

/// Opens a connection.
///
/// # Errors
/// [`Failure::Unsent`], also after `limit`, because a VM that is off does not answer.
pub async fn open(address: SocketAddr, limit: Duration) -> Result<Conn, Failure> {
    let unsent = |why: &dyn fmt::Display| Failure::Unsent(why.to_string());
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| unsent(&"connecting timed out"))?
        .map_err(|error| unsent(&error))?;
    // Requests are written in one piece; Nagle's algorithm would only delay them.
    stream.set_nodelay(true).map_err(|error| unsent(&error))?;
    let (sender, connection) = http1::handshake(TokioIo::new(Stream::new(stream)))
        .await
        .map_err(|error| unsent(&error))?;
    let driver = actix_rt::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} failed: {error}");
        }
    });
    Ok(Conn { sender, driver })
}

impl Conn {
    /// Sends a request and waits for the response head. The connection must be dropped after an
    /// error.
    ///
    /// # Errors
    /// [`Failure`]; `Unsent` only if the request was certainly not written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.sender
            .ready()
            .await
            .map_err(|error| Failure::Unsent(error.to_string()))?;
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let why = error.into_error().to_string();
                Err(if unsent {
                    Failure::Unsent(why)
                } else {
                    Failure::Broken(why)
                })
            }
        }
    }

    /// Waits until the connection can take the next request, and returns false if it never will.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Returns false once the other side has closed the connection.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}
