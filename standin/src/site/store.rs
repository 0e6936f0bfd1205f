//! The store over HTTP. Each node has a listener of its own, so that faults can be injected for
//! single nodes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::Result;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use rand::Rng as _;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::rows::{Compacted, Entry, Id, Rows, Transaction};

/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(4);

/// Most bytes and entries of a transaction; a larger one has no effect.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
const MAX_TRANSACTION_ENTRIES: usize = 100;

/// The faults that the store shows to one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Degradation {
    /// Every call is answered 503.
    pub refuse: bool,
    /// Writes are answered 429, as by an overloaded store.
    pub overloaded: bool,
    /// Share of writes that take effect but get no response.
    pub loss_rate: f64,
    /// Additional delay of each response.
    pub delay: Duration,
    /// Objects are sent without a length, and their connection is closed after the first half.
    pub cut_objects: bool,
}

/// The store, which each node reaches over a listener of its own.
pub struct Store {
    /// The rows.
    pub rows: RefCell<Rows>,
    objects: RefCell<HashMap<String, Bytes>>,
    changed: Notify,
    began: Instant,
    /// Degradations by the index of the node.
    pub degradations: RefCell<BTreeMap<usize, Degradation>>,
    /// Number of calls received.
    pub calls: Cell<u64>,
    /// Number of write calls received, whether or not they took effect.
    pub writes: Cell<u64>,
    /// Number of rows returned by range reads.
    pub rows_read: Cell<usize>,
}

#[derive(Deserialize)]
struct RowName {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
}

#[derive(Deserialize)]
struct Tx {
    #[serde(default)]
    expect_rev: Vec<Expected>,
    #[serde(default)]
    set_keys: Vec<SetRow>,
    #[serde(default)]
    remove: Vec<RowName>,
}

#[derive(Deserialize)]
struct Expected {
    #[serde(flatten)]
    row: RowName,
    ver: u64,
}

#[derive(Deserialize)]
struct SetRow {
    #[serde(flatten)]
    row: RowName,
    value: String,
}

impl From<RowName> for Id {
    fn from(row: RowName) -> Self {
        (row.table, row.part, row.key)
    }
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            rows: RefCell::default(),
            objects: RefCell::default(),
            changed: Notify::new(),
            began: Instant::now(),
            degradations: RefCell::default(),
            calls: Cell::new(0),
            writes: Cell::new(0),
            rows_read: Cell::new(0),
        })
    }

    /// Writes a row as the platform itself does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        use base64::Engine as _;
        let value = base64::engine::general_purpose::STANDARD.encode(value.to_string());
        let id = (table.into(), String::new(), key.into());
        let transaction = Transaction {
            set: vec![(id, value)],
            ..Transaction::default()
        };
        // A transaction without conditions always takes effect.
        let _ = self.rows.borrow_mut().transact(transaction);
        self.changed.notify_waiters();
    }

    /// Replaces the value of a row at once, as if another node's write had just taken effect.
    pub fn replace<F>(&self, table: &str, key: &str, change: F)
    where
        F: FnOnce(&[u8]) -> Vec<u8>,
    {
        use base64::Engine as _;
        let engine = base64::engine::general_purpose::STANDARD;
        let (rows, _) = self.rows.borrow().get((table, ""), key, "", 1);
        let value = rows.first().and_then(|row| row.value.as_ref());
        let Some(value) = value.and_then(|value| engine.decode(value).ok()) else {
            return;
        };
        let id = (table.into(), String::new(), key.into());
        let transaction = Transaction {
            set: vec![(id, engine.encode(change(&value)))],
            ..Transaction::default()
        };
        // A transaction without conditions always takes effect.
        let _ = self.rows.borrow_mut().transact(transaction);
        self.changed.notify_waiters();
    }

    /// Removes a row as the platform itself does.
    pub fn remove(&self, table: &str, key: &str) {
        let transaction = Transaction {
            remove: vec![(table.into(), String::new(), key.into())],
            ..Transaction::default()
        };
        // A transaction without conditions always takes effect.
        let _ = self.rows.borrow_mut().transact(transaction);
        self.changed.notify_waiters();
    }

    /// Serves node `node` on a listener of its own.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn listen(self: &Rc<Self>, node: usize) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = Rc::clone(self);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = Rc::clone(&store);
                let service = service_fn(move |request| {
                    let store = Rc::clone(&store);
                    async move { Ok::<_, Infallible>(store.handle(node, request).await) }
                });
                actix_rt::spawn(async move {
                    let serving = http1::Builder::new();
                    // Errors are expected, because the soak kills nodes.
                    let _ = serving
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(address)
    }

    async fn handle(&self, node: usize, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.calls.set(self.calls.get() + 1);
        let degradation = self
            .degradations
            .borrow()
            .get(&node)
            .copied()
            .unwrap_or_default();
        let is_write = request.method() != Method::GET;
        if is_write {
            self.writes.set(self.writes.get() + 1);
        }
        sleep(TRANSACTION_TIME + degradation.delay).await;
        if degradation.refuse {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        if is_write && degradation.overloaded {
            return empty_response(StatusCode::TOO_MANY_REQUESTS);
        }
        let is_object = request.uri().path().starts_with("/-/blob-get/");
        let mut response = self.call(request).await;
        if is_object && degradation.cut_objects {
            response = cut(response).await;
        }
        if is_write && rand::rng().random_bool(degradation.loss_rate) {
            // The write took effect; the response comes too late for any client.
            sleep(Duration::from_secs(30)).await;
        }
        response
    }

    async fn call(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let query = query(parts.uri.query().unwrap_or_default());
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let object = |prefix: &str| path.strip_prefix(prefix).map(ToOwned::to_owned);
        match (&parts.method, path.as_str()) {
            (&Method::POST, "/-/rows-tx") if body.len() > MAX_TRANSACTION_BYTES => {
                empty_response(StatusCode::PAYLOAD_TOO_LARGE)
            }
            (&Method::POST, "/-/rows-tx") => self.transact(&body),
            (&Method::GET, "/-/rows-get") => self.get(&query),
            (&Method::GET, "/-/rows-feed") => self.feed(&query).await,
            (&Method::PUT, _) => match object("/-/blob-put/") {
                Some(name) => {
                    self.objects.borrow_mut().insert(name, body);
                    empty_response(StatusCode::OK)
                }
                None => empty_response(StatusCode::NOT_FOUND),
            },
            (&Method::GET, _) => {
                let name = object("/-/blob-get/").unwrap_or_default();
                match self.objects.borrow().get(&name) {
                    Some(object) => Response::new(Full::new(object.clone())),
                    None => empty_response(StatusCode::NOT_FOUND),
                }
            }
            (&Method::DELETE, _) => {
                let name = object("/-/blob-drop/").unwrap_or_default();
                self.objects.borrow_mut().remove(&name);
                empty_response(StatusCode::OK)
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    fn transact(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(tx) = serde_json::from_slice::<Tx>(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if tx.expect_rev.len() + tx.set_keys.len() + tx.remove.len() > MAX_TRANSACTION_ENTRIES {
            return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let transaction = Transaction {
            expect: tx
                .expect_rev
                .into_iter()
                .map(|it| (it.row.into(), it.ver))
                .collect(),
            set: tx
                .set_keys
                .into_iter()
                .map(|it| (it.row.into(), it.value))
                .collect(),
            remove: tx.remove.into_iter().map(Into::into).collect(),
        };
        let result = self.rows.borrow_mut().transact(transaction);
        self.changed.notify_waiters();
        match result {
            Ok(_) => self.rows_response(StatusCode::OK, &[], false),
            Err(rows) => self.rows_response(StatusCode::PRECONDITION_FAILED, &rows, false),
        }
    }

    fn get(&self, query: &HashMap<String, String>) -> Response<Full<Bytes>> {
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(500);
        let (from, to) = (text("from"), text("to"));
        let (table, part) = (text("table"), text("part"));
        let place = (table.as_str(), part.as_str());
        let (rows, more) = self.rows.borrow().get(place, &from, &to, limit);
        self.rows_read.set(self.rows_read.get() + rows.len());
        self.rows_response(StatusCode::OK, &rows, more)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Response<Full<Bytes>> {
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let after = text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let entries = self.rows.borrow().feed(&text("table"), after);
            match entries {
                Err(Compacted) => return empty_response(StatusCode::GONE),
                Ok(rows) if !rows.is_empty() => {
                    return self.rows_response(StatusCode::OK, &rows, false);
                }
                Ok(_) => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || timeout(left, changed).await.is_err() {
                return self.rows_response(StatusCode::OK, &[], false);
            }
        }
    }

    fn rows_response(
        &self,
        status: StatusCode,
        rows: &[Entry],
        more: bool,
    ) -> Response<Full<Bytes>> {
        let rows: Vec<Value> = rows
            .iter()
            .map(|entry| {
                let (table, part, key) = &entry.id;
                json!({"table": table, "part": part, "key": key, "ver": entry.version,
                       "value": entry.value.clone().unwrap_or_default(),
                       "removed": entry.value.is_none()})
            })
            .collect();
        let now = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0);
        let version = self.rows.borrow().version();
        let body = json!({"rows": rows, "truncated": more, "ver": version, "now_ms": now});
        let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
        *response.status_mut() = status;
        response
    }
}

/// Cuts a body off in its middle, without a sign of it.
async fn cut(response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    let (mut parts, body) = response.into_parts();
    // The server ends a body of this version without a length by closing the connection.
    parts.version = Version::HTTP_10;
    let Ok(body) = body.collect().await;
    let body = body.to_bytes();
    Response::from_parts(parts, Full::new(body.slice(..body.len() / 2)))
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn query(text: &str) -> HashMap<String, String> {
    let decode = |text: &str| {
        let text = percent_encoding::percent_decode_str(text);
        text.decode_utf8_lossy().into_owned()
    };
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_owned(), decode(value)))
        .collect()
}
