//! The HTTP server and client shared by all components.
//!
//! A server runs on the thread that calls [`serve`]; several threads serve one address by
//! cloning the listening socket.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode, header};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use awc::error::{ConnectError, SendRequestError};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt as _, Stream, StreamExt as _};
use tokio::net::{TcpListener as TokioListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;

use crate::node::work::Work;

mod connection;

use connection::{Closing, Connection, Pending};

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
/// When `stop` becomes true, no further connection is accepted, each open one is closed once its
/// current request has been answered, and the function returns after the last. The listener and
/// each connection count among `open` until they are closed.
///
/// # Errors
/// Returns an error if the socket can't be registered with this thread's runtime.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    open: Work,
    handler: H,
) -> std::io::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: MessageBody + 'static,
{
    let listening = open.begin();
    let stopped = stop.clone();
    let listener = TokioListener::from_std(listener)?;
    let connections = Work::default();
    let service = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .on_connect_ext(|connection: &Connection, extensions| {
            extensions.insert(connection.pending());
        })
        .h1(fn_service(move |request: Request| {
            let pending = request.conn_data::<Pending>().map(Pending::begin);
            let answer = handler(request);
            async move {
                let answer = answer.await;
                drop(pending);
                Ok::<_, Infallible>(answer)
            }
        }))
        .new_service(())
        .await
        .map_err(|()| std::io::Error::other("the HTTP service can't start"))?;
    let service = Rc::new(service);
    let serve = |stream: TcpStream| {
        // Pieces of an answer are small; Nagle's algorithm would add tens of milliseconds between
        // tokens.
        let _ = stream.set_nodelay(true);
        let service = Rc::clone(&service);
        let serving = (open.begin(), connections.begin());
        let stop = stopped.clone();
        actix_rt::spawn(async move {
            let connection = Connection::new(stream);
            let closing = connection.closing();
            until_closed(service.call((connection, None)), stop, closing).await;
            drop(serving);
        });
    };
    while !*stop.borrow() {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream),
                Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
            },
            changed = stop.changed() => if changed.is_err() { break },
        }
    }
    for stream in waiting(&listener).await {
        serve(stream);
    }
    drop(listener);
    drop(listening);
    while connections.count() > 0 {
        actix_rt::time::sleep(IDLE_POLL).await;
    }
    Ok(())
}

/// Returns the connections that wait to be accepted. A listener that closes resets them, though
/// their requests may have arrived.
pub async fn waiting(listener: &TokioListener) -> Vec<TcpStream> {
    // The runtime looks for connections that have arrived before it resumes this task.
    yield_now().await;
    let mut streams = Vec::new();
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        streams.push(stream);
    }
    streams
}

/// Serves a connection until it is closed; from `stop` on, it closes after its current request.
async fn until_closed<F>(serving: F, mut stop: watch::Receiver<bool>, closing: Closing)
where
    F: Future,
{
    let mut serving = pin!(serving);
    let stopped = async {
        // An error means that the sender is gone, so nobody stops this server.
        if stop.wait_for(|stop| *stop).await.is_err() {
            std::future::pending::<()>().await;
        }
        // The runtime looks for data that has arrived before it resumes this task, so a request
        // that came before the stop is read before the connection counts as idle.
        yield_now().await;
    };
    // A broken connection affects only its own caller, so its error is ignored.
    tokio::select! {
        biased;
        _ = &mut serving => return,
        () = stopped => closing.set(),
    }
    let _ = serving.await;
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
