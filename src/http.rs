//! The HTTP server and client shared by all components.
//!
//! A server runs on the thread that calls [`serve`]; several threads serve one address by
//! cloning the listening socket.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode, header};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use awc::error::{ConnectError, SendRequestError};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};
use tokio::sync::watch;

/// A caller that has not sent a complete head within this time is disconnected, so that idle
/// connections can't exhaust the process's file descriptors.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection is kept alive.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which [`serve`] checks whether the last connection has ended.
const IDLE_POLL: Duration = Duration::from_millis(20);

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// Longer than the limit, in bytes.
    TooLong(usize),
    /// The body was truncated.
    Broken,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(max_bytes) => write!(f, "the body is longer than {max_bytes} bytes"),
            Self::Broken => f.write_str("the body was truncated"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Opens a listening socket for [`serve`].
///
/// # Errors
/// Returns the operating system's error, for example if the port is taken.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves HTTP/1 on `listener` with `handler`.
///
/// When `stop` becomes true, no further connection is accepted, and the function returns once
/// the open ones have ended.
///
/// # Errors
/// Returns an error if the socket can't be registered with this thread's runtime.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: MessageBody + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let open = Rc::new(Cell::new(0_usize));
    let service = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .h1(fn_service(move |request: Request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        }))
        .tcp()
        .new_service(())
        .await
        .map_err(|()| std::io::Error::other("the HTTP service can't start"))?;
    let service = Rc::new(service);
    while !*stop.borrow() {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    // Pieces of an answer are small; Nagle's algorithm would add tens of
                    // milliseconds between tokens.
                    let _ = stream.set_nodelay(true);
                    let service = Rc::clone(&service);
                    let open = Rc::clone(&open);
                    open.set(open.get() + 1);
                    actix_rt::spawn(async move {
                        // A broken connection affects only its own caller, so the error is
                        // ignored.
                        let _ = service.call(stream).await;
                        open.set(open.get() - 1);
                    });
                }
                Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
            },
            changed = stop.changed() => if changed.is_err() { break },
        }
    }
    drop(listener);
    while open.get() > 0 {
        actix_rt::time::sleep(IDLE_POLL).await;
    }
    Ok(())
}

/// Reads the whole body of a request or a response.
///
/// # Errors
/// [`BodyError`] if the body exceeds `max_bytes` or is truncated.
pub async fn read_body<S>(body: &mut S, max_bytes: usize) -> Result<Bytes, BodyError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut whole = BytesMut::new();
    while let Some(part) = body.next().await {
        let part = part.map_err(|_| BodyError::Broken)?;
        if whole.len() + part.len() > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}

/// Builds a response with a body of the given media type.
pub fn reply<B>(status: StatusCode, media: &'static str, body: B) -> Response<BoxBody>
where
    B: MessageBody + 'static,
{
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, media))
        .body(body)
        .map_into_boxed_body()
}

/// Returns true if no byte of a request was sent.
///
/// Only a failure to connect proves this. The client library also reports
/// [`ConnectError::Disconnected`] if a connection closes between the request and its response,
/// so that variant proves nothing.
pub fn was_unsent(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Url(_)
            | SendRequestError::Connect(
                ConnectError::Io(_)
                    | ConnectError::Timeout
                    | ConnectError::Resolver(_)
                    | ConnectError::NoRecords
                    | ConnectError::Unresolved
            )
    )
}

/// Creates a client for this thread. `timeout` limits the time to connect and, unless
/// overridden per request, the time until the response head.
pub fn client(timeout: Duration) -> awc::Client {
    awc::Client::builder()
        .connector(awc::Connector::new().timeout(timeout))
        .timeout(timeout)
        .disable_redirects()
        .no_default_headers()
        .finish()
}
