//! One HTTP/1.1 connection with one owner.
//!
//! The owner sends one request at a time. Dropping the connection closes it at
//! once, which is how an endpoint is told to stop: endpoints work on while the
//! connection is open. `awc` hides its connections, so this is `hyper`; see
//! docs/design/platform.md.

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

/// Why a request got no head of an answer.
#[derive(Debug)]
pub enum Failure {
    /// No connection was made, so nothing was sent.
    Unsent(String),
    /// Some of it may have been read by the other side.
    Broken(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(why) => write!(f, "no connection was made: {why}"),
            Self::Broken(why) => write!(f, "the connection broke: {why}"),
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

/// What became of an attempt to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Something accepts connections.
    Open,
    /// Nothing does: no process listens there any more.
    Refused,
    /// No answer; the VM may be off, or the path cut.
    Silent,
}

/// Looks whether anything listens at `address`, without sending a byte.
pub async fn probe(address: SocketAddr, limit: Duration) -> Reachability {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Reachability::Open,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Reachability::Refused,
        // The error of an unreachable network, or of no descriptors left, tells nothing
        // of the other side.
        Ok(Err(_)) | Err(_) => Reachability::Silent,
    }
}

/// Opens a connection.
///
/// # Errors
/// [`Failure::Unsent`], also after `limit`: a VM that is off does not answer.
pub async fn open(address: SocketAddr, limit: Duration) -> Result<Conn, Failure> {
    let unsent = |why: &dyn fmt::Display| Failure::Unsent(why.to_string());
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| unsent(&"it took too long"))?
        .map_err(|error| unsent(&error))?;
    // Requests are written whole; waiting to fill a packet only delays them.
    stream.set_nodelay(true).map_err(|error| unsent(&error))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unsent(&error))?;
    let driver = actix_rt::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a connection to {address} ended: {error}");
        }
    });
    Ok(Conn { sender, driver })
}

impl Conn {
    /// Sends a request and waits for the head of its answer. Drop the
    /// connection after an error.
    ///
    /// # Errors
    /// [`Failure`]; `Unsent` only where the request was surely not written.
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

    /// False once the other side has closed it.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}
