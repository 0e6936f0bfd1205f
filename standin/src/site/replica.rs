//! A model replica: slots, a short queue, streams of events that can be gone on
//! with, and a register of every run for the checks.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use eyre::Result;
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng as _;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

/// Requests that may wait for a slot.
const QUEUE: usize = 8;
/// A path with this in it crashes the replica that runs it.
pub const KILLS: &str = "kills";
/// After so many steps.
const KILL_STEPS: u32 = 4;
/// Tokens in one event.
pub const STRIDE: u64 = 10;

/// One run of a request at a replica.
#[derive(Clone, Debug)]
pub struct Run {
    /// The replica.
    pub replica: String,
    /// The path that was asked for.
    pub path: String,
    /// The organisation whose it was said to be; empty for none.
    pub organisation: String,
    /// True when it came with a caller's key.
    pub shows_key: bool,
    /// When it began.
    pub began: Instant,
    /// When it ended; none while it goes on.
    pub ended: Option<Instant>,
}

/// Every run so far, by the request's id.
pub type Register = Rc<RefCell<HashMap<String, Vec<Run>>>>;

/// How a replica misbehaves.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Share of streams that break off midway.
    pub break_off: f64,
    /// Share of requests that run and whose answer is lost.
    pub lose: f64,
    /// Each event takes so many times as long.
    pub slow: u32,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            break_off: 0.0,
            lose: 0.0,
            slow: 1,
        }
    }
}

/// A replica that runs.
pub struct Replica {
    /// Its identity.
    pub id: String,
    /// How it misbehaves now.
    pub fault: Cell<Fault>,
    step: Duration,
    slots: Semaphore,
    waiting: Cell<usize>,
    down: Cell<bool>,
    register: Register,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

/// The text of event `number` of the answer to `path`.
pub fn text(path: &str, number: u64) -> String {
    format!("{path}#{number}")
}

/// The number of events of an answer of `tokens` tokens.
pub fn events(tokens: u64) -> u64 {
    tokens.div_ceil(STRIDE).max(1)
}

impl Replica {
    /// Starts a replica that makes an event each `step`.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(
        id: String,
        slots: usize,
        step: Duration,
        register: Register,
    ) -> Result<(Rc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let replica = Rc::new(Self {
            id,
            fault: Cell::default(),
            step,
            slots: Semaphore::new(slots),
            waiting: Cell::new(0),
            down: Cell::new(false),
            register,
            tasks: RefCell::default(),
        });
        let serving = Rc::clone(&replica);
        let accept = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let replica = Rc::clone(&serving);
                let service = service_fn(move |request| {
                    let replica = Rc::clone(&replica);
                    async move { replica.answer(request).await }
                });
                let task = actix_rt::spawn(async move {
                    let serving = http1::Builder::new();
                    // Whoever asks may leave at any time.
                    let _ = serving
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
                let mut tasks = serving.tasks.borrow_mut();
                tasks.retain(|task| !task.is_finished());
                tasks.push(task);
            }
        });
        replica.tasks.borrow_mut().push(accept);
        Ok((replica, address))
    }

    /// True once it has crashed.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    /// Ends it as a crash does.
    pub fn crash(&self) {
        self.down.set(true);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }

    async fn answer(self: &Rc<Self>, request: Request<Incoming>) -> Result<Response<Stream>, Lost> {
        let text_of = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let id = text_of("x-attempt-id");
        if text_of("x-target-instance") != self.id {
            return Ok(refuse(StatusCode::MISDIRECTED_REQUEST, &id));
        }
        if self.waiting.get() >= QUEUE {
            return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, &id));
        }
        let path = request.uri().path().to_owned();
        let tokens = text_of("x-token-count");
        let out = tokens.split(',').nth(1).and_then(|out| out.parse().ok());
        let last: u64 = text_of("last-event-id").parse().unwrap_or(0);
        let place = Waits::new(self);
        let Ok(slot) = self.slots.acquire().await else {
            return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, &id));
        };
        slot.forget();
        drop(place);
        let run = Run {
            replica: self.id.clone(),
            path: path.clone(),
            organisation: text_of("x-tenant"),
            shows_key: request.headers().contains_key("authorization"),
            began: Instant::now(),
            ended: None,
        };
        let running = Running::new(Rc::clone(self), &id, run);
        let fault = self.fault.get();
        let lose = rand::rng().random_bool(fault.lose);
        if path.contains("never") {
            return Ok(failed(StatusCode::UNPROCESSABLE_ENTITY, &id));
        }
        if path.contains("fails") {
            return Ok(failed(StatusCode::INTERNAL_SERVER_ERROR, &id));
        }
        if path.contains(KILLS) {
            let replica = Rc::clone(self);
            let after = self.step * KILL_STEPS;
            actix_rt::spawn(async move {
                sleep(after).await;
                replica.crash();
            });
        }
        let total = events(out.unwrap_or(0));
        let (pieces, body) = mpsc::channel(4);
        let step = self.step * fault.slow;
        let break_at = if rand::rng().random_bool(fault.break_off) {
            rand::rng().random_range(last..=total)
        } else {
            total + 1
        };
        let task = actix_rt::spawn(async move {
            let _running = running;
            for number in last + 1..=total {
                sleep(step).await;
                if number > break_at {
                    // Breaks off in the middle of an event.
                    let _ = pieces.send(Err(Lost)).await;
                    return;
                }
                let event = format!("id: {number}\ndata: {}\n\n", text(&path, number));
                if pieces.send(Ok(Bytes::from(event))).await.is_err() {
                    return;
                }
            }
        });
        if lose {
            let _ = task.await;
            return Err(Lost);
        }
        let mut response = Response::new(Stream::Pieces(body, Ends(task)));
        sign(&mut response, &id);
        let media = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", media);
        Ok(response)
    }
}

fn sign(response: &mut Response<Stream>, id: &str) {
    for (name, value) in [("x-attempt-id", id), ("x-response-stamp", "stamp")] {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
}

fn refuse(status: StatusCode, id: &str) -> Response<Stream> {
    let mut response = failed(status, id);
    response.headers_mut().remove("x-response-stamp");
    let mark = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-not-run", mark);
    response
}

fn failed(status: StatusCode, id: &str) -> Response<Stream> {
    let mut response = Response::new(Stream::Empty);
    *response.status_mut() = status;
    sign(&mut response, id);
    response
}

/// A place in the queue.
struct Waits<'a>(&'a Replica);

impl<'a> Waits<'a> {
    fn new(replica: &'a Replica) -> Self {
        replica.waiting.set(replica.waiting.get() + 1);
        Self(replica)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// A run in the register, until it is dropped.
struct Running {
    replica: Rc<Replica>,
    id: String,
    at: usize,
}

impl Running {
    fn new(replica: Rc<Replica>, id: &str, run: Run) -> Self {
        let at = {
            let mut register = replica.register.borrow_mut();
            let runs = register.entry(id.to_owned()).or_default();
            runs.push(run);
            runs.len() - 1
        };
        let id = id.to_owned();
        Self { replica, id, at }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.replica.slots.add_permits(1);
        let mut register = self.replica.register.borrow_mut();
        if let Some(run) = register
            .get_mut(&self.id)
            .and_then(|runs| runs.get_mut(self.at))
        {
            run.ended = Some(Instant::now());
        }
    }
}

/// The answer is lost on the way.
#[derive(Clone, Copy, Debug)]
pub struct Lost;

impl std::fmt::Display for Lost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was lost on purpose")
    }
}

impl std::error::Error for Lost {}

impl From<Infallible> for Lost {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Ends a task when it is dropped, as replicas stop when a caller leaves.
struct Ends(JoinHandle<()>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.abort();
    }
}

enum Stream {
    Empty,
    Pieces(
        mpsc::Receiver<Result<Bytes, Lost>>,
        #[allow(dead_code)] Ends,
    ),
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Lost;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Lost>>> {
        match &mut *self {
            Self::Empty => Poll::Ready(None),
            Self::Pieces(pieces, _) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty)
    }
}
