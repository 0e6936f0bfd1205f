//! Client of the platform's store: rows, their changes, and objects.
//!
//! A key of this product, `table/rest`, is the row `rest` of the table `table`. All rows except the
//! nodes' are in one part, so that one transaction may change any of them together.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use tokio::time::{Instant, timeout_at};

use crate::connect::{self, Conn, Failure};
use crate::event;
use crate::member;
use crate::table::{Expect, Fault, Page, Row, Store, Table, Transaction, Write};

mod feed;
mod object;
mod row;
mod timeout;

use row::{Expected, RowEntry, RowKey, RowsAnswer, SetRow, TransactionCall};
use timeout::Timeout;

/// A VM that is partitioned from the store gets no reply at all; a store that is up accepts a
/// connection within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection that was idle for longer may be dead without notice; opening a new one costs less
/// than a call that hangs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Delay before a retry after the store refused a call.
const REFUSED_RETRY: Duration = Duration::from_millis(200);
/// Timeout of a read of a whole page of rows. Three losses in a row are detected within the time
/// after which a node asks its peers for their state.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of an answer; the store sends at most 1 MB of rows and 8 MiB of an object.
const MAX_ANSWER_BYTES: usize = 24 * 1024 * 1024;
/// The characters to percent-encode in a path or a query.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');
/// Number of rows that a node reads of a table before the rest. That many endpoints are enough to
/// serve callers for some seconds, and a thousand nodes that start read them at once.
const FIRST_PAGE_ROWS: usize = 150;
/// Maximum number of rows of one answer.
const MAX_PAGE_ROWS: usize = 500;

/// A client for one thread; its clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    address: SocketAddr,
    idle: RefCell<Vec<(Instant, Conn)>>,
    /// Adaptive timeout of row calls.
    rows: Timeout,
    /// Adaptive timeout of object calls.
    objects: Timeout,
}

/// The status and body of an answer.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// A range of a table's keys; an empty bound is no bound.
struct Range<'a> {
    from: &'a str,
    /// The first key after the range.
    to: &'a str,
    limit: usize,
}

impl Client {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let idle = RefCell::default();
        Self {
            inner: Rc::new(Inner {
                address,
                idle,
                rows: Timeout::rows(),
                objects: Timeout::objects(),
            }),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, Fault> {
        let deadline = Instant::now() + limit;
        // An idle connection may turn out to be closed before anything is sent; the call is
        // then repeated once over a new one.
        if let Some(conn) = self.take_idle() {
            match self.exchange(conn, &method, path, &body, deadline).await {
                Err(Failure::Unsent(_)) => {}
                other => return other.map_err(|why| lost(path, &why)),
            }
        }
        let conn = connect::open(self.inner.address, CONNECT_TIMEOUT.min(limit))
            .await
            .map_err(|why| refused(path, &why))?;
        match self.exchange(conn, &method, path, &body, deadline).await {
            Ok(answer) => Ok(answer),
            Err(why @ Failure::Unsent(_)) => Err(refused(path, &why)),
            Err(why @ Failure::Broken(_)) => Err(lost(path, &why)),
        }
    }

    async fn exchange(
        &self,
        mut conn: Conn,
        method: &Method,
        path: &str,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Answer, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.inner.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body.clone()))
            .map_err(|error| Failure::Unsent(error.to_string()))?;
        let exchange = async {
            let response = conn.send(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| Failure::Broken(error.to_string()))?
                .to_bytes();
            Ok(Answer { status, body })
        };
        let answer = timeout_at(deadline, exchange)
            .await
            .unwrap_or_else(|_| Err(Failure::Broken("no answer before the deadline".into())))?;
        self.keep(conn);
        Ok(answer)
    }

    fn take_idle(&self) -> Option<Conn> {
        let mut idle = self.inner.idle.borrow_mut();
        while let Some((since, conn)) = idle.pop() {
            if conn.is_open() && since.elapsed() < IDLE_TIMEOUT {
                return Some(conn);
            }
        }
        None
    }

    fn keep(&self, conn: Conn) {
        let mut idle = self.inner.idle.borrow_mut();
        if conn.is_open() && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push((Instant::now(), conn));
        }
    }

    /// Reads one page of the rows of a table within a range of keys.
    async fn rows(&self, table: &str, range: Range<'_>) -> Result<RowsAnswer, Fault> {
        let bound = |name, key: &str| match key {
            "" => String::new(),
            key => format!("&{name}={}", escape(key)),
        };
        let from = bound("from", range.from);
        let to = bound("to", range.to);
        let part = partition(table);
        let (table, limit) = (escape(table), range.limit);
        let path = format!("/-/rows-get?table={table}&part={part}&limit={limit}{from}{to}");
        let answer = match range.limit {
            FIRST_PAGE_ROWS | MAX_PAGE_ROWS => self.read_page(&path).await?,
            _ => self.call_rows(Method::GET, &path, Bytes::new()).await?,
        };
        match answer.status {
            StatusCode::OK => parse(&path, &answer.body),
            status => Err(unexpected(&path, status)),
        }
    }

    /// Sends a call with an adaptive timeout, and updates it with the call's latency or loss.
    async fn call_with(
        &self,
        timeout: &Timeout,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, Fault> {
        let began = Instant::now();
        let answer = self.call(method, path, body, timeout.current()).await;
        match &answer {
            // A refusal is immediate, however long accepted calls wait for their turn. Counted
            // as an answer, it would shorten the timeout until no accepted call is waited for.
            Ok(answer) if is_overloaded(answer.status) => {}
            Ok(_) => timeout.record_answer(began.elapsed()),
            Err(Fault::Unknown) => timeout.record_loss(),
            Err(_) => {}
        }
        answer
    }

    async fn call_rows(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Fault> {
        self.call_with(&self.inner.rows, method, path, body).await
    }

    /// Reads a whole page. A page may have 200 KB, which take 50 ms on a small VM's link, and
    /// longer while all nodes read theirs after a restart. With a shorter timeout, pages in
    /// transit would be dropped and requested again, which keeps the links saturated.
    async fn read_page(&self, path: &str) -> Result<Answer, Fault> {
        self.call(Method::GET, path, Bytes::new(), PAGE_TIMEOUT)
            .await
    }

    async fn call_object(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Result<Answer, Fault> {
        self.call_with(&self.inner.objects, method, &path, body)
            .await
    }
}

/// True if the store refused a call without processing it.
fn is_overloaded(status: StatusCode) -> bool {
    status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Logs a call whose effect is unknown, and returns its fault.
fn lost(path: &str, why: &Failure) -> Fault {
    log::debug!("{} path={path} why=\"{why}\"", event::STORE_CALL_LOST);
    Fault::Unknown
}

/// Logs a call that had no effect, and returns its fault.
fn refused(path: &str, why: &Failure) -> Fault {
    log::debug!("{} path={path} why=\"{why}\"", event::STORE_CALL_REFUSED);
    Fault::Refused {
        retry_after: REFUSED_RETRY,
    }
}

/// Maps an unexpected status to a fault. The store guarantees that a call had no effect when it
/// answers with one of the statuses listed here; after any other one the effect is unknown.
fn unexpected(path: &str, status: StatusCode) -> Fault {
    log::debug!("{} path={path} status={status}", event::STORE_CALL_REFUSED);
    if status.is_client_error()
        || status == StatusCode::SERVICE_UNAVAILABLE
        || status == StatusCode::INSUFFICIENT_STORAGE
    {
        return Fault::Refused {
            retry_after: REFUSED_RETRY,
        };
    }
    Fault::Unknown
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}

fn parse<T>(path: &str, body: &[u8]) -> Result<T, Fault>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| {
        log::warn!(
            "{} path={path} why=\"{error}\"",
            event::STORE_ANSWER_UNREADABLE
        );
        Fault::Unknown
    })
}

/// Returns the part that holds a table. A part takes some 200 transactions a second. When all nodes
/// restart at once, their rows would queue in the same part behind the jobs that they take over,
/// and would be refused.
fn partition(table: &str) -> &str {
    match table {
        member::TABLE => member::TABLE,
        _ => "",
    }
}

fn row_key(key: &str) -> RowKey {
    let (table, key) = key.split_once('/').unwrap_or((key, ""));
    RowKey {
        table: table.into(),
        part: partition(table).into(),
        key: key.into(),
    }
}

fn value_of(path: &str, text: &str) -> Result<Bytes, Fault> {
    STANDARD.decode(text).map(Bytes::from).map_err(|error| {
        log::warn!(
            "{} path={path} why=\"{error}\"",
            event::STORE_ANSWER_UNREADABLE
        );
        Fault::Unknown
    })
}

impl Table for Client {
    async fn transact(&self, transaction: Transaction) -> Result<u64, Fault> {
        const PATH: &str = "/-/rows-tx";
        let mut expect_rev = Vec::new();
        for check in &transaction.checks {
            let ver = match check.expect {
                Expect::Absent => 0,
                Expect::Version(version) => version,
                Expect::Present => match Table::get(self, &check.key).await? {
                    Some(row) => row.version,
                    None => {
                        return Err(Fault::Conflict {
                            key: check.key.clone(),
                            version: 0,
                        });
                    }
                },
            };
            let row = row_key(&check.key);
            expect_rev.push(Expected { row, ver });
        }
        let mut call = TransactionCall {
            expect_rev,
            set_keys: Vec::new(),
            remove: Vec::new(),
        };
        for write in &transaction.writes {
            let row = row_key(write.key());
            match write {
                Write::Put { value, .. } => call.set_keys.push(SetRow {
                    row,
                    value: STANDARD.encode(value),
                }),
                Write::Delete { .. } => call.remove.push(row),
            }
        }
        let body = serde_json::to_vec(&call).map_err(|_| Fault::Unknown)?;
        let answer = self.call_rows(Method::POST, PATH, body.into()).await?;
        match answer.status {
            StatusCode::OK => parse::<RowsAnswer>(PATH, &answer.body).map(|answer| answer.ver),
            StatusCode::PRECONDITION_FAILED => {
                let now: RowsAnswer = parse(PATH, &answer.body)?;
                Err(conflict(&call.expect_rev, &now.rows))
            }
            status => Err(unexpected(PATH, status)),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        let row = row_key(key);
        let range = Range {
            from: &row.key,
            to: &successor(&row.key),
            limit: 1,
        };
        let answer = self.rows(&row.table, range).await?;
        match answer.rows.first() {
            Some(entry) if entry.key == row.key => Ok(Some(Row {
                key: key.to_owned(),
                version: entry.ver,
                value: value_of(key, &entry.value)?,
            })),
            _ => Ok(None),
        }
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Fault> {
        let start = row_key(prefix);
        let from = if after.is_empty() {
            start.key.clone()
        } else {
            successor(&row_key(after).key)
        };
        // Without an upper bound the store would return the rows of other prefixes as well, and
        // reading one job's results would cost as much as those of all later jobs.
        let range = Range {
            from: &from,
            to: &prefix_end(&start.key),
            limit: limit.min(MAX_PAGE_ROWS),
        };
        let answer = self.rows(&start.table, range).await?;
        let mut page = Page {
            rows: Vec::new(),
            more: answer.truncated,
        };
        for entry in answer.rows {
            page.rows.push(Row {
                key: format!("{}/{}", start.table, entry.key),
                version: entry.ver,
                value: value_of(prefix, &entry.value)?,
            });
        }
        Ok(page)
    }
}

/// Returns a text that sorts after `key` and before every longer key that starts with it: keys
/// consist of letters, digits, `-`, `.`, `/` and `_`, which all sort after `!`.
fn successor(key: &str) -> String {
    format!("{key}!")
}

/// Returns a text that sorts after every key that starts with `prefix` and before all later keys;
/// no character of a key sorts after `~`.
fn prefix_end(prefix: &str) -> String {
    format!("{prefix}~")
}

/// Returns the conflict of the first check that failed according to the rows in the store's answer.
fn conflict(expected: &[Expected], rows: &[RowEntry]) -> Fault {
    let present = |row: &RowKey| {
        rows.iter()
            .find(|entry| entry.table == row.table && entry.key == row.key && !entry.removed)
            .map_or(0, |entry| entry.ver)
    };
    let failed = expected
        .iter()
        .find(|expected| present(&expected.row) != expected.ver)
        .or(expected.first());
    failed.map_or(Fault::Unknown, |failed| Fault::Conflict {
        key: format!("{}/{}", failed.row.table, failed.row.key),
        version: present(&failed.row),
    })
}

impl Client {
    /// Reads one row: [`Table::get`] under a name that does not clash with that of objects.
    ///
    /// # Errors
    /// As for [`Table::get`].
    pub async fn get_row(&self, key: &str) -> Result<Option<Row>, Fault> {
        Table::get(self, key).await
    }

    /// Reads an object: [`Store::get`] under a name that does not clash with that of rows.
    ///
    /// # Errors
    /// As for [`Store::get`].
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Fault> {
        Store::get(self, name).await
    }
}
