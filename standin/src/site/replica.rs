//! A simulated replica with slots, a short queue and resumable event streams. It records every run
//! of a request for the checks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use auburnspoke::clock::unix_millis;
use bytes::Bytes;
use eyre::Result;
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use rand::Rng as _;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::sleep;

use super::script::{Framing, Script, Style};
use super::socket::{Reset, Socket};

/// Most requests that wait for a slot.
const QUEUE_LIMIT: usize = 8;
/// A request whose path contains this crashes the replica that runs it.
pub const CRASH_MARKER: &str = "kills";
/// Events after which such a request crashes the replica.
const CRASH_STEPS: u32 = 4;
/// A request whose path contains this is sound, but the replicas of its first runs crash as they
/// begin to work on it.
pub const UNLUCKY_MARKER: &str = "unlucky";
/// Number of these runs. It exceeds the crashes after which a request counts as their cause.
pub const UNLUCKY_RUNS: usize = 6;
/// A replica crashes as it begins to write an answer to a prompt with a shared part whose id begins
/// with this, in hexadecimal like every id. Items of jobs never crash replicas.
pub const CRASH_PART: &str = "dead";
/// Begins the path of each item of a job.
pub const ITEM_PREFIX: &str = "/n/";
/// Tokens in one event.
pub const EVENT_TOKENS: u64 = 10;

/// One run of a request at a replica.
#[derive(Clone, Debug)]
pub struct Run {
    /// The replica.
    pub replica: String,
    /// The requested path.
    pub path: String,
    /// The parts of the prompt: ids with tokens, separated by commas.
    pub prompt: String,
    /// The organisation that the node sent with it; empty for none.
    pub organisation: String,
    /// True if it came with a caller's key.
    pub has_caller_key: bool,
    /// When it began.
    pub began: Instant,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
}

impl Run {
    /// Returns the shared part of the prompt that crashes replicas, if there is one.
    pub fn crash_part(&self) -> Option<&str> {
        crash_part(&self.path, &self.prompt)
    }

    /// Returns true if the request crashes the replica that runs it.
    pub fn is_killer(&self) -> bool {
        self.path.contains(CRASH_MARKER) || self.crash_part().is_some()
    }
}

/// Returns the id of the part of a prompt that crashes replicas; the last part never does.
fn crash_part<'a>(path: &str, prompt: &'a str) -> Option<&'a str> {
    if path.starts_with(ITEM_PREFIX) {
        return None;
    }
    let (shared, _) = prompt.rsplit_once(',')?;
    let mut ids = shared.split(',').filter_map(|part| part.split(':').next());
    ids.find(|id| id.starts_with(CRASH_PART))
}

/// Every run so far by request id.
pub type History = Rc<RefCell<HashMap<String, Vec<Run>>>>;

/// How a replica misbehaves.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Share of streams that break off.
    pub break_rate: f64,
    /// Share of requests that run but get no response.
    pub loss_rate: f64,
    /// Factor by which each event takes longer.
    pub slowdown: u32,
    /// Whether it answers requests to continue a stream with an error of the client.
    pub rejects_resumption: bool,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            break_rate: 0.0,
            loss_rate: 0.0,
            slowdown: 1,
            rejects_resumption: false,
        }
    }
}

/// A running replica.
pub struct Replica {
    /// Its id in the table of endpoints.
    pub id: String,
    /// Version of its software, which each event names.
    pub software: String,
    /// Unix time in milliseconds at which it started.
    pub born: u64,
    /// The fault that it has now.
    pub fault: Cell<Fault>,
    /// How it frames its streams and breaks them off.
    pub style: Cell<Style>,
    step: Duration,
    slots: Semaphore,
    waiting: Cell<usize>,
    down: Cell<bool>,
    /// Becomes true when the process ends.
    crashed: watch::Sender<bool>,
    history: History,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

/// Returns the text of event `number` of the response to `path`.
pub fn text(path: &str, number: u64) -> String {
    format!("{path}#{number}")
}

/// Separates an event's text from the version of the software that wrote it.
const SOFTWARE_SEPARATOR: char = '@';

/// Returns an answer without the versions of the software that wrote its events, and those
/// versions.
pub fn split_software(answer: &str) -> (String, BTreeSet<&str>) {
    let mut versions = BTreeSet::new();
    let mut rest = String::with_capacity(answer.len());
    for line in answer.split_inclusive('\n') {
        let (text, end) = match line.strip_suffix('\n') {
            Some(text) => (text, "\n"),
            None => (line, ""),
        };
        match text.rsplit_once(SOFTWARE_SEPARATOR) {
            Some((text, software)) => {
                versions.insert(software);
                rest.push_str(text);
            }
            None => rest.push_str(text),
        }
        rest.push_str(end);
    }
    (rest, versions)
}

/// Returns the number of events in a response of `tokens` tokens.
pub fn events(tokens: u64) -> u64 {
    tokens.div_ceil(EVENT_TOKENS).max(1)
}

impl Replica {
    /// Starts a replica of this software version that sends an event every `step`.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(
        id: String,
        software: String,
        slots: usize,
        step: Duration,
        history: History,
    ) -> Result<(Rc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let replica = Rc::new(Self {
            id,
            software,
            born: unix_millis(),
            fault: Cell::default(),
            style: Cell::default(),
            step,
            slots: Semaphore::new(slots),
            waiting: Cell::new(0),
            down: Cell::new(false),
            crashed: watch::Sender::new(false),
            history,
            tasks: RefCell::default(),
        });
        let serving = Rc::clone(&replica);
        let accept = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let replica = Rc::clone(&serving);
                let reset = Reset::default();
                let socket = Socket::new(stream, reset.clone());
                let service = service_fn(move |request| {
                    let replica = Rc::clone(&replica);
                    let reset = reset.clone();
                    async move { replica.handle(request, reset).await }
                });
                let task = actix_rt::spawn(async move {
                    let serving = http1::Builder::new();
                    // Clients may disconnect at any time.
                    let _ = serving
                        .serve_connection(TokioIo::new(socket), service)
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

    /// Returns true once the replica has crashed.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    /// Stops the replica as a crash does: nothing listens any more, and its streams break off.
    pub fn crash(self: &Rc<Self>) {
        /// Time in which connections write what they have.
        const FLUSH_TIME: Duration = Duration::from_millis(3);
        /// Time in which the proxy notices. A process closes its connections no sooner than its
        /// listener.
        const PROXY_TIME: Duration = Duration::from_millis(20);
        self.crashed.send_replace(true);
        let mut tasks = std::mem::take(&mut *self.tasks.borrow_mut()).into_iter();
        // The first task listens. There is none if the replica has crashed before.
        let Some(listener) = tasks.next() else {
            return;
        };
        listener.abort();
        let replica = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep(FLUSH_TIME).await;
            replica.down.set(true);
            sleep(PROXY_TIME).await;
            for task in tasks {
                task.abort();
            }
        });
    }

    /// Answers what the process says of itself.
    fn report(&self) -> Response<Stream> {
        let report = serde_json::json!({"phase": "mixed", "born": self.born}).to_string();
        let mut response = Response::new(Stream::Whole(Some(report.into())));
        let media = hyper::header::HeaderValue::from_static("application/json");
        response.headers_mut().insert("content-type", media);
        response
    }

    async fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
        reset: Reset,
    ) -> Result<Response<Stream>, Lost> {
        let header = |name: &str| {
            let value = request.headers().get(name);
            value
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        if request.uri().path() == "/-/report" {
            return Ok(self.report());
        }
        let id = header("x-attempt-id");
        if header("x-target-instance") != self.id {
            return Ok(refuse(StatusCode::MISDIRECTED_REQUEST, &id));
        }
        if self.waiting.get() >= QUEUE_LIMIT {
            return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, &id));
        }
        let path = request.uri().path().to_owned();
        let prompt = header("x-prompt-prefix");
        let tokens = header("x-token-count");
        let out = tokens.split(',').nth(1).and_then(|out| out.parse().ok());
        let last: u64 = header("last-event-id").parse().unwrap_or(0);
        let waiter = Waiter::new(self);
        let Ok(slot) = self.slots.acquire().await else {
            return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, &id));
        };
        slot.forget();
        drop(waiter);
        let run = Run {
            replica: self.id.clone(),
            path: path.clone(),
            prompt: prompt.clone(),
            organisation: header("x-tenant"),
            has_caller_key: request.headers().contains_key("authorization"),
            began: Instant::now(),
            ended: None,
        };
        let running = Running::new(Rc::clone(self), &id, run);
        let fault = self.fault.get();
        let is_lost = rand::rng().random_bool(fault.loss_rate);
        if fault.rejects_resumption && last > 0 {
            return Ok(failed(StatusCode::BAD_REQUEST, &id));
        }
        if path.contains("never") {
            return Ok(failed(StatusCode::UNPROCESSABLE_ENTITY, &id));
        }
        if path.contains("fails") {
            return Ok(failed(StatusCode::INTERNAL_SERVER_ERROR, &id));
        }
        let crash_steps = match crash_part(&path, &prompt) {
            Some(_) => Some(1),
            None if path.contains(CRASH_MARKER) => Some(CRASH_STEPS),
            None => (path.contains(UNLUCKY_MARKER) && running.at < UNLUCKY_RUNS).then_some(0),
        };
        if let Some(steps) = crash_steps {
            let replica = Rc::clone(self);
            let after = self.step * steps;
            actix_rt::spawn(async move {
                sleep(after).await;
                replica.crash();
            });
        }
        let total = events(out.unwrap_or(0));
        let (chunks, body) = mpsc::channel(4);
        let step = self.step * fault.slowdown;
        let events = (last + 1..=total)
            .map(|number| {
                let text = text(&path, number);
                let software = &self.software;
                format!("id: {number}\ndata: {text}{SOFTWARE_SEPARATOR}{software}\n\n")
            })
            .collect();
        let script = Script::draw(self.style.get(), fault.break_rate, events, last > 0);
        let (framing, length) = (script.framing, script.length());
        let crashed = self.crashed.subscribe();
        let task = actix_rt::spawn(async move {
            let _running = running;
            script.send(chunks, reset, step, crashed).await;
        });
        if is_lost {
            let _ = task.await;
            return Err(Lost);
        }
        let mut response = Response::new(Stream::Chunks(body, AbortOnDrop(task)));
        add_stamp(&mut response, &id);
        let media = hyper::header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", media);
        match framing {
            Framing::Chunks => {}
            Framing::Length => {
                response
                    .headers_mut()
                    .insert("content-length", length.into());
            }
            // The server ends a body of this version without a length by closing the connection.
            Framing::Connection => *response.version_mut() = Version::HTTP_10,
        }
        Ok(response)
    }
}

fn add_stamp(response: &mut Response<Stream>, id: &str) {
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
    add_stamp(&mut response, id);
    response
}

/// A place in the queue, which is freed on drop.
struct Waiter<'a>(&'a Replica);

impl<'a> Waiter<'a> {
    fn new(replica: &'a Replica) -> Self {
        replica.waiting.set(replica.waiting.get() + 1);
        Self(replica)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// A run in the history. Its end is recorded and its slot freed on drop.
struct Running {
    replica: Rc<Replica>,
    id: String,
    at: usize,
}

impl Running {
    fn new(replica: Rc<Replica>, id: &str, run: Run) -> Self {
        let at = {
            let mut history = replica.history.borrow_mut();
            let runs = history.entry(id.to_owned()).or_default();
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
        let mut history = self.replica.history.borrow_mut();
        if let Some(run) = history
            .get_mut(&self.id)
            .and_then(|runs| runs.get_mut(self.at))
        {
            run.ended = Some(Instant::now());
        }
    }
}

/// The response was dropped by an injected fault.
#[derive(Clone, Copy, Debug)]
pub struct Lost;

impl std::fmt::Display for Lost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response was dropped by an injected fault")
    }
}

impl std::error::Error for Lost {}

impl From<Infallible> for Lost {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Aborts a task on drop, because replicas stop a run when its client disconnects.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

enum Stream {
    Empty,
    Whole(Option<Bytes>),
    Chunks(
        mpsc::Receiver<Result<Bytes, Lost>>,
        #[allow(dead_code)] AbortOnDrop,
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
            Self::Whole(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Chunks(chunks, _) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Empty | Self::Whole(None))
    }
}
