//! Stand-ins and helpers that the scripts of `review/` share: the platform's store, replicas, a
//! small JSON reader, an HTTP client, and the start of nodes on loopback addresses. Only the
//! standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------------------------------------
// JSON and base64

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                if *bytes.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Object(fields));
                }
                let key = parse_text(bytes, at)?;
                skip_space(bytes, at);
                if *bytes.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((key, parse_value(bytes, at)?));
                skip_space(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                if *bytes.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(parse_value(bytes, at)?);
                skip_space(bytes, at);
                if *bytes.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < bytes.len()
                && matches!(bytes[*at], b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9')
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    if !bytes[*at..].starts_with(text.as_bytes()) {
        return None;
    }
    *at += text.len();
    Some(value)
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let char = char::from_u32(code).unwrap_or('\u{fffd}');
                        text.extend(char.to_string().bytes());
                        *at += 4;
                    }
                    other => text.push(other),
                }
                *at += 1;
            }
            other => {
                text.push(other);
                *at += 1;
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for char in text.chars() {
        match char {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            char if (char as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", char as u32);
            }
            char => out.push(char),
        }
    }
    out.push('"');
    out
}

const BASE64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let group = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(BASE64[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A request or a response as read from a connection.
#[derive(Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self) -> HashMap<String, String> {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .map(|(key, value)| (key.to_owned(), unescape(value)))
            .collect()
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%' && at + 2 < bytes.len())
            .then(|| std::str::from_utf8(&bytes[at + 1..at + 3]).ok())
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads bytes from a connection and keeps what it has read too much.
pub struct Reader<S> {
    pub stream: S,
    buffer: Vec<u8>,
}

impl<S: Read> Reader<S> {
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more; false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let line = String::from_utf8_lossy(&line);
                return Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head; `None` at the end of the stream.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((key, value)) = line.split_once(':') {
                message
                    .headers
                    .push((key.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message; one without a length or chunks ends with the connection if
    /// it is a response. An error means that the body ended early.
    pub fn body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        if message
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            loop {
                let Some(size) = self.line()? else {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                };
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    self.line()?;
                    return Ok(());
                }
                let chunk = self.exact(size)?;
                message.body.extend(chunk);
                self.exact(2)?;
            }
        }
        if let Ok(length) = message.header("content-length").parse::<usize>() {
            message.body = self.exact(length)?;
            return Ok(());
        }
        if is_response {
            while self.fill()? {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(())
    }
}

/// How a call ended.
#[derive(Debug)]
pub enum Reply {
    /// A whole response.
    Whole(Message),
    /// A response whose body ended early.
    Partial(Message, String),
    /// No response.
    Nothing(String),
}

impl Reply {
    pub fn status(&self) -> u16 {
        match self {
            Reply::Whole(message) | Reply::Partial(message, _) => message.status(),
            Reply::Nothing(_) => 0,
        }
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Reply {
    let exchange = || -> io::Result<Reply> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (key, value) in headers {
            let _ = write!(head, "{key}: {value}\r\n");
        }
        let _ = write!(
            head,
            "Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let mut reader = Reader::new(stream);
        let Some(mut message) = reader.head()? else {
            return Ok(Reply::Nothing("closed without a response".into()));
        };
        Ok(match reader.body(&mut message, true) {
            Ok(()) => Reply::Whole(message),
            Err(error) => Reply::Partial(message, error.to_string()),
        })
    };
    exchange().unwrap_or_else(|error| Reply::Nothing(error.to_string()))
}

// ---------------------------------------------------------------------------------------------
// The record of a run

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            began: Instant::now(),
            file,
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

/// Writes whole lines to a record.
pub struct Lines {
    record: Record,
    /// The line so far; `writeln!` may write it in several pieces.
    pending: String,
    /// Lines that end with ` whole`.
    pub whole: Arc<AtomicU64>,
}

impl Lines {
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            pending: String::new(),
            whole: Arc::default(),
        }
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.pending.push_str(&String::from_utf8_lossy(bytes));
        while let Some(end) = self.pending.find('\n') {
            let line: String = self.pending.drain(..=end).collect();
            if line.trim_end().ends_with(" whole") {
                self.whole.fetch_add(1, Ordering::SeqCst);
            }
            self.record.line(line.trim_end());
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store, as PROTOCOL.md describes it

type Id = (String, String, String);

#[derive(Default)]
struct Rows {
    current: BTreeMap<Id, (String, u64)>,
    history: VecDeque<(u64, Id, Option<String>)>,
    version: u64,
    objects: BTreeMap<String, Vec<u8>>,
}

/// Longest body of a call and most entries of a transaction ("at most 100 entries and at most
/// 1 MB"). A megabyte is read generously, as 1,048,576 bytes.
const MAX_CALL_BYTES: usize = 1_048_576;
const MAX_ENTRIES: usize = 100;
const MAX_VALUE_BYTES: usize = 65_536;
const MAX_OBJECT_BYTES: usize = 8_388_608;
const MAX_NAME_BYTES: usize = 200;

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// Serialises the transactions of a part; each takes `TRANSACTION_TIME`.
    turn: Mutex<()>,
    began: Instant,
    /// While true, each call is answered 503, and nothing is done.
    pub is_down: AtomicBool,
    pub calls: AtomicU64,
    /// Number of transactions that were refused because of their size.
    pub too_long: AtomicU64,
    pub record: Record,
    pub address: Mutex<Option<SocketAddr>>,
}

const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const ANSWER_TIME: Duration = Duration::from_millis(4);
const OBJECT_TIME: Duration = Duration::from_millis(25);

impl Store {
    pub fn start(record: &Record) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            turn: Mutex::new(()),
            began: Instant::now(),
            is_down: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            too_long: AtomicU64::new(0),
            record: record.clone(),
            address: Mutex::new(Some(listener.local_addr()?)),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address.lock().unwrap().unwrap()
    }

    /// Writes a row as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let id = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = encode64(value.as_bytes());
        rows.current.insert(id.clone(), (value.clone(), version));
        rows.history.push_back((version, id, Some(value)));
        self.changed.notify_all();
    }

    /// Removes a row as the platform does when a replica has left.
    pub fn remove(&self, table: &str, key: &str) {
        let id = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        if rows.current.remove(&id).is_some() {
            rows.history.push_back((version, id, None));
        }
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(mut request)) = reader.head() {
            if reader.body(&mut request, false).is_err() {
                return;
            }
            self.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = if self.is_down.load(Ordering::SeqCst) {
                thread::sleep(ANSWER_TIME);
                (503, Vec::new())
            } else {
                self.answer(&request)
            };
            let head = format!(
                "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend(body);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let query = request.query();
        let path = request.path();
        let object = |prefix: &str| path.strip_prefix(prefix).map(unescape);
        match (request.method(), path) {
            ("POST", "/-/rows-tx") => self.transact(request),
            ("GET", "/-/rows-get") => {
                thread::sleep(ANSWER_TIME);
                self.get(&query)
            }
            ("GET", "/-/rows-feed") => {
                thread::sleep(ANSWER_TIME);
                self.feed(&query)
            }
            ("GET", "/-/rows-parts") => (200, b"{\"parts\":[\"\"]}".to_vec()),
            ("PUT", _) => {
                thread::sleep(OBJECT_TIME);
                let Some(name) = object("/-/blob-put/") else {
                    return (404, Vec::new());
                };
                if request.body.len() > MAX_OBJECT_BYTES {
                    return (413, Vec::new());
                }
                let mut rows = self.rows.lock().unwrap();
                if request.header("if-none-match") == "*" && rows.objects.contains_key(&name) {
                    return (412, Vec::new());
                }
                rows.objects.insert(name, request.body.clone());
                (200, Vec::new())
            }
            ("GET", _) => {
                thread::sleep(OBJECT_TIME);
                let name = object("/-/blob-get/").unwrap_or_default();
                match self.rows.lock().unwrap().objects.get(&name) {
                    Some(body) => (200, body.clone()),
                    None => (404, Vec::new()),
                }
            }
            ("DELETE", _) => {
                let name = object("/-/blob-drop/").unwrap_or_default();
                self.rows.lock().unwrap().objects.remove(&name);
                (200, Vec::new())
            }
            _ => (404, Vec::new()),
        }
    }

    fn transact(&self, request: &Message) -> (u16, Vec<u8>) {
        let _turn = self.turn.lock().unwrap();
        thread::sleep(TRANSACTION_TIME);
        if request.body.len() > MAX_CALL_BYTES {
            // The same call may come hundreds of times.
            let count = self.too_long.fetch_add(1, Ordering::SeqCst) + 1;
            if count <= 5 {
                self.record.line(&format!(
                    "store: transaction of {} bytes refused with 413 (number {count}); a call holds at most 1 MB",
                    request.body.len()
                ));
            }
            return (413, Vec::new());
        }
        let Some(call) = std::str::from_utf8(&request.body)
            .ok()
            .and_then(Json::parse)
        else {
            return (400, Vec::new());
        };
        let id = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let (expect, set, remove) = (
            call.list("expect_rev"),
            call.list("set_keys"),
            call.list("remove"),
        );
        let all: Vec<Id> = expect.iter().chain(set).chain(remove).map(id).collect();
        let is_too_long = |id: &Id| {
            [&id.0, &id.1, &id.2]
                .iter()
                .any(|it| it.len() > MAX_NAME_BYTES)
        };
        let value_bytes = |row: &Json| row.text("value").len() / 4 * 3;
        if all.len() > MAX_ENTRIES
            || all.iter().any(is_too_long)
            || all.iter().any(|it| it.1 != all[0].1)
            || set.iter().any(|row| value_bytes(row) > MAX_VALUE_BYTES + 2)
        {
            self.record
                .line("store: a transaction beyond the limits is refused with 400");
            return (400, Vec::new());
        }
        if all.iter().any(|it| it.0 == "op" || it.0 == "servers") {
            return (403, Vec::new());
        }
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, id: &Id| rows.current.get(id).map_or(0, |row| row.1);
        if expect
            .iter()
            .any(|row| version_of(&rows, &id(row)) != row.number("ver"))
        {
            let present = expect.iter().map(id).filter_map(|id| {
                let (value, version) = rows.current.get(&id)?;
                Some((id, Some(value.clone()), *version))
            });
            let present: Vec<_> = present.collect();
            return (412, self.rows_body(rows.version, &present, false));
        }
        rows.version += 1;
        let version = rows.version;
        for row in set {
            let value = row.text("value");
            rows.current.insert(id(row), (value.clone(), version));
            rows.history.push_back((version, id(row), Some(value)));
        }
        for row in remove {
            if rows.current.remove(&id(row)).is_some() {
                rows.history.push_back((version, id(row), None));
            }
        }
        self.changed.notify_all();
        (200, self.rows_body(version, &[], false))
    }

    fn get(&self, query: &HashMap<String, String>) -> (u16, Vec<u8>) {
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let limit: usize = text("limit").parse().unwrap_or(500).min(500);
        let (table, part, to) = (text("table"), text("part"), text("to"));
        let rows = self.rows.lock().unwrap();
        let from = (table.clone(), part.clone(), text("from"));
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut truncated = false;
        for (id, (value, version)) in rows.current.range(from..) {
            if id.0 != table || id.1 != part || (!to.is_empty() && id.2 >= to) {
                break;
            }
            if found.len() >= limit || (bytes + value.len() > 1_000_000 && !found.is_empty()) {
                truncated = true;
                break;
            }
            bytes += value.len();
            found.push((id.clone(), Some(value.clone()), *version));
        }
        (200, self.rows_body(rows.version, &found, truncated))
    }

    fn feed(&self, query: &HashMap<String, String>) -> (u16, Vec<u8>) {
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
        let table = text("table");
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changes = rows
                .history
                .iter()
                .filter(|(version, id, _)| *version > after && id.0 == table);
            let changes: Vec<_> = changes
                .map(|(version, id, value)| (id.clone(), value.clone(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if self.is_down.load(Ordering::SeqCst) {
                return (503, Vec::new());
            }
            if !changes.is_empty() || left.is_zero() {
                return (200, self.rows_body(rows.version, &changes, false));
            }
            let left = left.min(Duration::from_millis(50));
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn rows_body(
        &self,
        version: u64,
        rows: &[(Id, Option<String>, u64)],
        truncated: bool,
    ) -> Vec<u8> {
        let mut body = String::from("{\"rows\":[");
        for (at, ((table, part, key), value, ver)) in rows.iter().enumerate() {
            if at > 0 {
                body.push(',');
            }
            let _ = write!(
                body,
                "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{ver},",
                quote(table),
                quote(part),
                quote(key)
            );
            match value {
                Some(value) => {
                    let _ = write!(body, "\"value\":\"{value}\"}}");
                }
                None => body.push_str("\"removed\":true}"),
            }
        }
        let now = self.began.elapsed().as_millis();
        let _ = write!(
            body,
            "],\"truncated\":{truncated},\"ver\":{version},\"now_ms\":{now}}}"
        );
        body.into_bytes()
    }
}

// ---------------------------------------------------------------------------------------------
// Replicas

/// How a replica marks the end of its streams. PROTOCOL.md and the news page allow each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Chunks,
    /// Neither a length nor chunks: the stream ends with its connection.
    Connection,
}

/// What a replica does with a request, by its path `/ROUTE/NAME/EVENTS`.
pub struct Replica {
    pub id: String,
    pub slots: usize,
    pub framing: Framing,
    /// Time between two events.
    pub step: Duration,
    /// Bytes of data in one event.
    pub event_bytes: usize,
    active: AtomicUsize,
    runs: Mutex<Box<dyn Write + Send>>,
    began: Instant,
}

/// The data of event `number` of the answer to `path`; the same at each replica.
pub fn data(path: &str, number: u64, bytes: usize) -> String {
    let mut text = format!("{path}#{number}:");
    while text.len() < bytes {
        text.push('x');
    }
    text
}

/// Number of events in the answer to `path`.
pub fn events(path: &str) -> u64 {
    path.rsplit('/')
        .next()
        .and_then(|last| last.parse().ok())
        .unwrap_or(1)
}

/// The whole output of an item.
pub fn output(path: &str, bytes: usize) -> String {
    let all: Vec<String> = (1..=events(path))
        .map(|number| data(path, number, bytes))
        .collect();
    all.join("\n")
}

impl Replica {
    /// Serves on a free port. Each begin and end of a run becomes a line in `runs`.
    pub fn start(
        id: &str,
        slots: usize,
        framing: Framing,
        step: Duration,
        event_bytes: usize,
        runs: Box<dyn Write + Send>,
    ) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let replica = Arc::new(Self {
            id: id.to_owned(),
            slots,
            framing,
            step,
            event_bytes,
            active: AtomicUsize::new(0),
            runs: Mutex::new(runs),
            began: Instant::now(),
        });
        let serving = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = replica.serve(stream);
                });
            }
        });
        Ok((replica, address))
    }

    pub fn active(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    fn log(&self, text: &str) {
        let mut runs = self.runs.lock().unwrap();
        let _ = writeln!(runs, "replica {}: {text}", self.id);
        let _ = runs.flush();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(mut request) = reader.head()? {
            reader.body(&mut request, false)?;
            if request.path() == "/healthz" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            if request.path() == "/-/report" {
                let body = format!(
                    "{{\"phase\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":101495,\"handles\":0}}",
                    self.active()
                );
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes())?;
                continue;
            }
            let attempt = request.header("x-attempt-id").to_owned();
            let target = request.header("x-target-instance").to_owned();
            let refusal = if !target.is_empty() && target != self.id {
                Some("421 Misdirected Request")
            } else if self.active.fetch_add(1, Ordering::SeqCst) >= self.slots {
                self.active.fetch_sub(1, Ordering::SeqCst);
                Some("503 Service Unavailable")
            } else {
                None
            };
            if let Some(status) = refusal {
                let head = format!(
                    "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Not-Run: 1\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            let ended = self.run(&request, &attempt, &mut writer);
            self.active.fetch_sub(1, Ordering::SeqCst);
            ended?;
            if self.framing == Framing::Connection {
                return Ok(());
            }
        }
        Ok(())
    }

    fn run(&self, request: &Message, attempt: &str, writer: &mut TcpStream) -> io::Result<()> {
        let path = request.path().to_owned();
        let last = request.header("last-event-id").to_owned();
        let begin = last.parse::<u64>().unwrap_or(0) + 1;
        self.log(&format!("begins {attempt} {path} last={last}"));
        let how = match self.framing {
            Framing::Chunks => "Transfer-Encoding: chunked",
            Framing::Connection => "Connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Response-Stamp: {}.{attempt}.{begin}\r\nX-Weight-Versions: 1\r\n{how}\r\n\r\n",
            self.id
        );
        let total = events(&path);
        let result = (|| {
            writer.write_all(head.as_bytes())?;
            for number in begin..=total {
                thread::sleep(self.step);
                let event = format!(
                    "id: {number}\ndata: {}\n\n",
                    data(&path, number, self.event_bytes)
                );
                // One write for each event, so that a process that is killed leaves whole events.
                let bytes = match self.framing {
                    Framing::Chunks => format!("{:x}\r\n{event}\r\n", event.len()),
                    Framing::Connection => event,
                };
                writer.write_all(bytes.as_bytes())?;
            }
            if self.framing == Framing::Chunks {
                writer.write_all(b"0\r\n\r\n")?;
            }
            Ok(())
        })();
        match &result {
            Ok(()) => self.log(&format!("ends {attempt} {path} whole")),
            Err(error) => self.log(&format!("ends {attempt} {path} cut by its client: {error}")),
        }
        result
    }
}

/// The row with which a replica registers itself.
pub fn server_row(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: usize,
    state: &str,
) -> String {
    server_row_of(service, address, zone, slots, state, "v1")
}

pub fn server_row_of(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: usize,
    state: &str,
    version: &str,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\"phase\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":1}}"
    )
}

// ---------------------------------------------------------------------------------------------
// Nodes

pub const ZONES: [&str; 3] = ["ruwi-hall", "seeb-hall", "qurum-hall"];

/// The nodes of a small deployment.
pub struct Nodes {
    pub folder: PathBuf,
    pub ips: Vec<Ipv4Addr>,
    pub port: u16,
    pub children: Vec<Option<Child>>,
    program: PathBuf,
    root: PathBuf,
}

/// Finds a range of ports that are free on all addresses, for TCP and UDP.
fn free_ports(ips: &[Ipv4Addr], count: u16) -> io::Result<u16> {
    let mut base = 20_000 + (std::process::id() % 500) as u16 * 40;
    for _ in 0..200 {
        let is_free = ips.iter().all(|ip| {
            (base..base + count).all(|port| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        });
        if is_free {
            return Ok(base);
        }
        base = 20_000 + (base - 20_000 + 40) % 20_000;
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Nodes {
    /// Writes the settings of `count` nodes and starts them with the command of the deploy file.
    /// `stores` holds the address at which each node reaches the store.
    pub fn start(count: usize, stores: &[SocketAddr], max_count: usize) -> io::Result<Self> {
        let root = std::env::current_dir()?;
        let program = root.join("target/release/auburnspoke");
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{pid}-{max_count}"));
        fs::create_dir_all(&folder)?;
        let second = (100 + pid % 100) as u8;
        let third = (pid / 100 % 250) as u8;
        let ips: Vec<Ipv4Addr> = (0..count)
            .map(|at| Ipv4Addr::new(127, second, third, at as u8 + 1))
            .collect();
        let port = free_ports(&ips, 32)?;
        let mut nodes = Self {
            folder,
            ips,
            port,
            children: (0..count).map(|_| None).collect(),
            program,
            root,
        };
        for at in 0..count {
            fs::write(
                nodes.settings_path(at),
                nodes.settings(at, stores[at % stores.len()], true),
            )?;
            nodes.launch(at)?;
        }
        Ok(nodes)
    }

    fn settings_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("node-{at}.toml"))
    }

    pub fn log_path(&self, at: usize) -> PathBuf {
        self.folder.join(format!("node-{at}.log"))
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ips[at]), self.port)
    }

    pub fn ready(&self, at: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ips[at]), self.port + 1)
    }

    /// Starts the process of a node.
    pub fn launch(&mut self, at: usize) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(at))?;
        let child = Command::new(&self.program)
            .args(["edge", "--metrics", "9464"])
            .current_dir(&self.root)
            .env("AUBURNSPOKE_BOOT", self.settings_path(at))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.children[at] = Some(child);
        Ok(())
    }

    /// Starts the process of a node again, with the settings of a later start.
    pub fn relaunch(&mut self, at: usize, store: SocketAddr) -> io::Result<()> {
        fs::write(self.settings_path(at), self.settings(at, store, false))?;
        self.launch(at)
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.children[at].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by the process id kept at its start.
    pub fn signal(&self, at: usize, name: &str) {
        if let Some(child) = &self.children[at] {
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &pid])
                .status();
        }
    }

    pub fn is_running(&mut self, at: usize) -> bool {
        match &mut self.children[at] {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Waits until all nodes answer 200 at their `ready` address.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        for at in 0..self.ips.len() {
            let headers = [("Host", "ready")];
            loop {
                let reply = call(
                    self.ready(at),
                    "GET",
                    "/-/readyz",
                    &headers,
                    b"",
                    Duration::from_secs(1),
                );
                if reply.status() == 200 {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }

    /// The settings of DEPLOY.md with the bounds of `mmo-payruns`.
    fn settings(&self, at: usize, store: SocketAddr, bootstrap: bool) -> String {
        let (ip, port) = (self.ips[at], self.port);
        let zone = ZONES[at % ZONES.len()];
        let seeds: Vec<String> = self
            .ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{}\"", port + 2))
            .collect();
        format!(
            r#"node = "edge-{zone}-{number}"
role = "node"
machine_class = "edge"
serves = ["edge","control","registry"]
ip = "{ip}"
zone = "{zone}"
region = "muscat"
port_range = [{first},{last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
counts_as_loss = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[zones]
ruwi-hall = "muscat"
seeb-hall = "muscat"
qurum-hall = "muscat"
[listen]
front = "{ip}:{port}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.5
cores = 1
memory_mb = 290
max_fds = 8200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catchup_s = 4.7
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
recovery_s = 12
pass_ms = 120
retry_after_s = 0
finish_s = 18
status_s = 120
cancel_ms = 3000
settle_ms = 1000
quota_excess = 0.1
ttl_max_s = 5
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"#,
            number = at + 1,
            first = port + 8,
            last = port + 23,
            seeds = seeds.join(","),
            ready = port + 1,
            control = port + 2,
            directory = port + 3,
        )
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for at in 0..self.children.len() {
            self.kill(at);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub const HOST: &str = "nony24.example";
pub const SERVICE: &str = "huvo11a";

/// A configuration with a resumable route `q`, a route `v` that may not be repeated, and a batch
/// route `n`, with the terms of `mmo-payruns`.
pub fn config(version: u64) -> String {
    let online = |name: &str, resumable: bool, attempts: u32| {
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","type":"streaming","timeout_ms":15000,"goal_ms":300,"priority":0,"service":"{SERVICE}","attempts":{attempts},"sticky":true,"resumable":{resumable},"gap_goal_ms":400}}"#
        )
    };
    let batch = format!(
        r#"{{"name":"r-n","host":"{HOST}","prefix":"/n/","type":"batch","timeout_ms":15000,"goal_ms":500,"priority":2,"service":"{SERVICE}","attempts":3,"sticky":true,"resumable":true,"gap_goal_ms":400,"run_goal_ms":18000,"queue_ttl_s":120,"max_count":1500000}}"#
    );
    format!(
        r#"{{"version":{version},"routes":[{},{},{batch}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_conns":370,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        online("q", true, 2),
        online("v", false, 1),
    )
}

/// The body of a batch job with one item for each path.
pub fn job_body(items: &[(String, String)]) -> String {
    let entries: Vec<String> = items
        .iter()
        .map(|(id, path)| {
            let prompt = format!("9c2e41:100,{id}:250");
            format!(
                r#"{{"id":"{id}","path":"{path}","headers":{{"X-Model":"m","X-Token-Count":"350,400","X-Prompt-Prefix":"{prompt}"}},"body":"{}","tokens":750}}"#,
                encode64(id.as_bytes())
            )
        })
        .collect();
    format!("{{\"requests\":[{}]}}", entries.join(","))
}

/// One result of a batch job.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub output: String,
}

/// Reads the results of a batch job from position `after` on; `None` without a 200.
pub fn read_results(front: SocketAddr, job: &str, after: usize) -> Option<(u64, Vec<Listed>)> {
    let target = format!("/-/lots/{job}?after={after}");
    let reply = call(
        front,
        "GET",
        &target,
        &[("Host", HOST)],
        b"",
        Duration::from_secs(3),
    );
    let Reply::Whole(message) = reply else {
        return None;
    };
    if message.status() != 200 {
        return None;
    }
    let body = Json::parse(std::str::from_utf8(&message.body).ok()?)?;
    let results = body.list("results").iter().map(|result| Listed {
        id: result.text("id"),
        state: result.text("state"),
        output: result.text("output"),
    });
    Some((body.number("total"), results.collect()))
}

/// Submits a batch job until it is accepted, at each node in turn.
pub fn submit(
    record: &Record,
    nodes: &Nodes,
    path: &str,
    job: &str,
    body: &str,
    at: usize,
) -> bool {
    for attempt in 0..20 {
        let front = nodes.front((at + attempt) % nodes.ips.len());
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", job),
            ("Content-Type", "application/json"),
        ];
        let reply = call(
            front,
            "POST",
            path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(4),
        );
        record.line(&format!(
            "client: batch job {job} sent to {front}: {}",
            reply.status()
        ));
        if reply.status() == 202 {
            return true;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Whether the disruption is to be left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
