//! The store over HTTP, one listener a node so that each can be treated
//! differently.

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
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng as _;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::rows::{Change, Entry, Gone, Id, Rows};

/// What a transaction takes.
const TX_TIME: Duration = Duration::from_millis(4);

/// How the store treats one node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Treatment {
    /// It answers 503 to everything.
    pub refuse: bool,
    /// It has more to write than it can, and answers 429 to writes.
    pub full: bool,
    /// It does a share of the writes and does not answer.
    pub lose: f64,
    /// Each answer takes so much longer.
    pub slow: Duration,
}

/// The store; nodes reach it over listeners of their own.
pub struct Store {
    /// The rows.
    pub rows: RefCell<Rows>,
    objects: RefCell<HashMap<String, Bytes>>,
    changed: Notify,
    began: Instant,
    /// By the node's number.
    pub treatment: RefCell<BTreeMap<usize, Treatment>>,
    /// Calls answered so far.
    pub calls: Cell<u64>,
    /// Calls so far that would change something, whatever became of them.
    pub writes: Cell<u64>,
    /// Rows of a range that were sent so far.
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
    /// An empty store.
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            rows: RefCell::default(),
            objects: RefCell::default(),
            changed: Notify::new(),
            began: Instant::now(),
            treatment: RefCell::default(),
            calls: Cell::new(0),
            writes: Cell::new(0),
            rows_read: Cell::new(0),
        })
    }

    /// Writes a row as the platform's own parts do.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        use base64::Engine as _;
        let value = base64::engine::general_purpose::STANDARD.encode(value.to_string());
        let id = (table.into(), String::new(), key.into());
        let change = Change {
            set: vec![(id, value)],
            ..Change::default()
        };
        // Without conditions it always takes effect.
        let _ = self.rows.borrow_mut().transact(change);
        self.changed.notify_waiters();
    }

    /// Removes a row as the platform's own parts do.
    pub fn remove(&self, table: &str, key: &str) {
        let change = Change {
            remove: vec![(table.into(), String::new(), key.into())],
            ..Change::default()
        };
        // Without conditions it always takes effect.
        let _ = self.rows.borrow_mut().transact(change);
        self.changed.notify_waiters();
    }

    /// Serves node `node` on a listener of its own.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn listen(self: &Rc<Self>, node: usize) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = Rc::clone(self);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = Rc::clone(&store);
                let service = service_fn(move |request| {
                    let store = Rc::clone(&store);
                    async move { Ok::<_, Infallible>(store.answer(node, request).await) }
                });
                actix_rt::spawn(async move {
                    let serving = http1::Builder::new();
                    // A node that goes is the soak's own doing.
                    let _ = serving
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(address)
    }

    async fn answer(&self, node: usize, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.calls.set(self.calls.get() + 1);
        let treatment = self
            .treatment
            .borrow()
            .get(&node)
            .copied()
            .unwrap_or_default();
        let is_write = request.method() != Method::GET;
        if is_write {
            self.writes.set(self.writes.get() + 1);
        }
        sleep(TX_TIME + treatment.slow).await;
        if treatment.refuse {
            return plain(StatusCode::SERVICE_UNAVAILABLE);
        }
        if is_write && treatment.full {
            return plain(StatusCode::TOO_MANY_REQUESTS);
        }
        let response = self.call(request).await;
        if is_write && rand::rng().random_bool(treatment.lose) {
            // It is done; its answer never comes.
            sleep(Duration::from_secs(30)).await;
        }
        response
    }

    async fn call(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let query = query(parts.uri.query().unwrap_or_default());
        let Ok(body) = body.collect().await else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let object = |prefix: &str| path.strip_prefix(prefix).map(ToOwned::to_owned);
        match (&parts.method, path.as_str()) {
            (&Method::POST, "/-/rows-tx") => self.transact(&body),
            (&Method::GET, "/-/rows-get") => self.get(&query),
            (&Method::GET, "/-/rows-feed") => self.feed(&query).await,
            (&Method::PUT, _) => match object("/-/blob-put/") {
                Some(name) => {
                    self.objects.borrow_mut().insert(name, body);
                    plain(StatusCode::OK)
                }
                None => plain(StatusCode::NOT_FOUND),
            },
            (&Method::GET, _) => {
                let name = object("/-/blob-get/").unwrap_or_default();
                match self.objects.borrow().get(&name) {
                    Some(object) => Response::new(Full::new(object.clone())),
                    None => plain(StatusCode::NOT_FOUND),
                }
            }
            (&Method::DELETE, _) => {
                let name = object("/-/blob-drop/").unwrap_or_default();
                self.objects.borrow_mut().remove(&name);
                plain(StatusCode::OK)
            }
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    fn transact(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(tx) = serde_json::from_slice::<Tx>(body) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let change = Change {
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
        let result = self.rows.borrow_mut().transact(change);
        self.changed.notify_waiters();
        match result {
            Ok(_) => self.rows_answer(StatusCode::OK, &[], false),
            Err(rows) => self.rows_answer(StatusCode::PRECONDITION_FAILED, &rows, false),
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
        self.rows_answer(StatusCode::OK, &rows, more)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Response<Full<Bytes>> {
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let after = text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let news = self.rows.borrow().feed(&text("table"), after);
            match news {
                Err(Gone) => return plain(StatusCode::GONE),
                Ok(rows) if !rows.is_empty() => {
                    return self.rows_answer(StatusCode::OK, &rows, false);
                }
                Ok(_) => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || timeout(left, changed).await.is_err() {
                return self.rows_answer(StatusCode::OK, &[], false);
            }
        }
    }

    fn rows_answer(&self, status: StatusCode, rows: &[Entry], more: bool) -> Response<Full<Bytes>> {
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

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
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
