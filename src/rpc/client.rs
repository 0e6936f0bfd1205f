//! The RPC client, using the Connect protocol.
//!
//! Its errors distinguish the cases that a caller must handle differently: a request that was
//! certainly not sent ([`Error::Unreachable`]), one that the system answered with a typed
//! refusal ([`Error::Refused`]), and one whose answer was lost ([`Error::Lost`]), which may
//! have run.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use awc::error::SendRequestError;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};
use prost::Message;
use serde::Deserialize;

use super::codec::{self, END_OF_STREAM};
use super::error::{self, Body};
use super::method::{ASK_STREAM, Call};
use super::v1;

/// Largest answer that is read; a page of results is far smaller.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Why a call has no answer.
#[derive(Debug)]
pub enum Error {
    /// The system refused the request and reports whether it may have run.
    Refused(v1::Refusal),
    /// No address accepted a connection, so nothing was sent.
    Unreachable {
        /// The addresses that were tried, in order.
        tried: Vec<SocketAddr>,
        /// The error at the last address.
        cause: String,
    },
    /// The request was sent but no complete answer was received: it may have run.
    Lost(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => {
                let effect = if refusal.not_run {
                    "refused, not run"
                } else {
                    "it may have run"
                };
                let reason = refusal.reason().as_str_name();
                let reason = reason.trim_start_matches("REASON_").to_lowercase();
                write!(f, "{effect} ({reason}): {}", refusal.message)?;
                if let Some(wait) = refusal.retry_after_ms {
                    write!(f, "; come back after {wait} ms")?;
                }
                Ok(())
            }
            Self::Unreachable { tried, cause } => {
                let tried: Vec<_> = tried.iter().map(ToString::to_string).collect();
                write!(
                    f,
                    "nothing was sent: no node answers at {} ({cause}); name a running node with --server ip:port",
                    tried.join(", ")
                )
            }
            Self::Lost(cause) => write!(f, "it may have run: the answer was lost ({cause})"),
        }
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Returns true if a node that is starting or stopping refused the request without running
    /// it, so that another node may still accept it.
    fn is_not_ready(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.not_run && refusal.reason() == v1::Reason::NotReady,
            Self::Unreachable { .. } | Self::Lost(_) => false,
        }
    }
}

/// The client's timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time to connect.
    pub connect: Duration,
    /// Time to the response head.
    pub answer: Duration,
}

/// A client for the thread that created it.
#[derive(Clone)]
pub struct Client {
    http: awc::Client,
    servers: Vec<SocketAddr>,
}

impl Client {
    /// Creates a client that uses the first of `servers` that accepts its calls.
    pub fn new(servers: Vec<SocketAddr>, timeouts: Timeouts) -> Self {
        let connector = awc::Connector::new().timeout(timeouts.connect);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(timeouts.answer)
            .disable_redirects()
            .finish();
        Self { http, servers }
    }

    /// Calls a unary method once.
    ///
    /// The next address is tried only if the request certainly did not run at the previous one:
    /// the connection failed, or the node is not ready. After any other failure the request may
    /// have run.
    ///
    /// # Errors
    /// [`Error`].
    pub async fn call<C>(&self, request: &C) -> Result<C::Answer, Error>
    where
        C: Call,
    {
        let body = Bytes::from(request.encode_to_vec());
        let body = self
            .try_servers(|server| self.call_server(server, C::PATH, body.clone()))
            .await?;
        C::Answer::decode(body).map_err(|e| Error::Lost(format!("invalid answer: {e}")))
    }

    async fn call_server(
        &self,
        server: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let mut answer = self.post(server, path, "application/proto", body).await?;
        let status = answer.status();
        let body = answer
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|e| Error::Lost(e.to_string()))?;
        match status {
            StatusCode::OK => Ok(body),
            status => Err(error_from_response(status, &body)),
        }
    }

    /// Sends a request whose answer is streamed. Addresses are tried as in [`Self::call`],
    /// until the first piece arrives.
    ///
    /// # Errors
    /// [`Error`] if no stream begins.
    /// [`Error`] when no stream begins.
    pub async fn ask(
        &self,
        request: &v1::AskRequest,
    ) -> Result<Answer<impl Stream<Item = Result<Bytes, String>> + use<>>, Error> {
        let envelope = codec::envelope(0, &request.encode_to_vec());
        self.try_servers(|server| self.ask_server(server, envelope.clone()))
            .await
    }

    async fn ask_server(
        &self,
        server: SocketAddr,
        envelope: Bytes,
    ) -> Result<Answer<impl Stream<Item = Result<Bytes, String>> + use<>>, Error> {
        let mut answer = self
            .post(server, ASK_STREAM, "application/connect+proto", envelope)
            .await?;
        let status = answer.status();
        if status != StatusCode::OK {
            let body = answer
                .body()
                .limit(MAX_ANSWER_BYTES)
                .await
                .map_err(|e| Error::Lost(e.to_string()))?;
            return Err(error_from_response(status, &body));
        }
        let mut answer = Answer::new(answer.map(|part| part.map_err(|e| e.to_string())));
        // A streaming call reports a refusal inside the stream.
        answer.take_not_ready().await?;
        Ok(answer)
    }

    /// Tries the addresses in order until one is reachable and ready. Otherwise, during a
    /// rolling restart, the stopping node would refuse a request that any other address could
    /// serve.
    async fn try_servers<T, F, A>(&self, mut attempt: A) -> Result<T, Error>
    where
        A: FnMut(SocketAddr) -> F,
        F: Future<Output = Result<T, Error>>,
    {
        let mut not_ready = None;
        let mut last = String::from("no address was given");
        for server in &self.servers {
            match attempt(*server).await {
                Err(Error::Unreachable { cause, .. }) => last = cause,
                Err(error) if error.is_not_ready() => not_ready = Some(error),
                ended => return ended,
            }
        }
        Err(not_ready.unwrap_or_else(|| Error::Unreachable {
            tried: self.servers.clone(),
            cause: last,
        }))
    }

    async fn post(
        &self,
        server: SocketAddr,
        path: &str,
        media: &str,
        body: Bytes,
    ) -> Result<
        awc::ClientResponse<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + use<>>,
        Error,
    > {
        self.http
            .post(format!("http://{server}{path}"))
            .insert_header(("content-type", media))
            .insert_header(("connect-protocol-version", "1"))
            .send_body(body)
            .await
            .map_err(|error| match error {
                SendRequestError::Connect(error) => Error::Unreachable {
                    tried: vec![server],
                    cause: error.to_string(),
                },
                error => Error::Lost(error.to_string()),
            })
    }
}

/// A streamed answer.
pub struct Answer<S> {
    parts: S,
    buffer: BytesMut,
    ready: VecDeque<Result<v1::AskPiece, Error>>,
    has_end: bool,
    closed: bool,
}

impl<S> Answer<S>
where
    S: Stream<Item = Result<Bytes, String>> + Unpin,
{
    /// Creates an answer from the parts of its response body.
    pub fn new(parts: S) -> Self {
        Self {
            parts,
            buffer: BytesMut::new(),
            ready: VecDeque::new(),
            has_end: false,
            closed: false,
        }
    }

    /// Returns the next piece, or none after the last one.
    ///
    /// # Errors
    /// [`Error`]; a stream that ends early is [`Error::Lost`], so that a partial answer is
    /// never mistaken for a complete one.
    pub async fn next(&mut self) -> Result<Option<v1::AskPiece>, Error> {
        loop {
            if let Some(piece) = self.ready.pop_front() {
                return piece.map(Some);
            }
            if self.closed {
                return Ok(None);
            }
            self.receive().await;
        }
    }

    /// Waits for the first piece, and returns it as an error if the node is not ready.
    async fn take_not_ready(&mut self) -> Result<(), Error> {
        while self.ready.is_empty() && !self.closed {
            self.receive().await;
        }
        if let Some(Err(error)) = self.ready.front()
            && error.is_not_ready()
            && let Some(Err(error)) = self.ready.pop_front()
        {
            return Err(error);
        }
        Ok(())
    }

    async fn receive(&mut self) {
        match self.parts.next().await {
            Some(Ok(part)) => self.buffer.extend_from_slice(&part),
            Some(Err(e)) => self.fail(Error::Lost(e)),
            None => self.fail(Error::Lost("the answer broke off before its end".into())),
        }
        self.decode_buffer();
    }

    /// Pieces received before the failure are still returned first.
    fn fail(&mut self, error: Error) {
        self.closed = true;
        self.ready.push_back(Err(error));
    }

    fn decode_buffer(&mut self) {
        while !self.closed {
            match codec::open(&mut self.buffer) {
                Some((flags, message)) => self.handle(flags, message),
                None if self.buffer.len() > MAX_ANSWER_BYTES => {
                    // Limits the memory that a faulty sender can make the client use.
                    self.fail(Error::Lost("a piece exceeds the size limit".into()));
                }
                None => return,
            }
        }
    }

    fn handle(&mut self, flags: u8, message: Bytes) {
        if flags & END_OF_STREAM != 0 {
            return match end_of_stream(&message) {
                Err(e) => self.fail(e),
                Ok(()) if self.has_end => self.closed = true,
                Ok(()) => self.fail(Error::Lost(
                    "the answer ended without an end message".into(),
                )),
            };
        }
        match v1::AskPiece::decode(message) {
            Ok(v1::AskPiece {
                refusal: Some(refusal),
                ..
            }) => self.fail(Error::Refused(refusal)),
            Ok(piece) => {
                self.has_end |= piece.end.is_some();
                self.ready.push_back(Ok(piece));
            }
            Err(e) => self.fail(Error::Lost(format!("invalid piece: {e}"))),
        }
    }
}

/// The end-of-stream message.
#[derive(Deserialize)]
struct End {
    error: Option<Body>,
}

/// Converts an error body. One without a typed refusal was not sent by a node, so the request
/// may have run.
fn error_from_body(body: &Body) -> Error {
    match error::typed_refusal(body) {
        Some(refusal) => Error::Refused(refusal),
        None => Error::Lost(format!("{}: {}", body.code, body.message)),
    }
}

fn error_from_response(status: StatusCode, body: &[u8]) -> Error {
    match serde_json::from_slice(body) {
        Ok(body) => error_from_body(&body),
        Err(_) => Error::Lost(format!("HTTP status {status} without a typed refusal")),
    }
}

fn end_of_stream(message: &[u8]) -> Result<(), Error> {
    let end: End = serde_json::from_slice(message)
        .map_err(|e| Error::Lost(format!("invalid end of the answer: {e}")))?;
    match end.error {
        Some(body) => Err(error_from_body(&body)),
        None => Ok(()),
    }
}
