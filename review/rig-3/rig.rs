//! Stand-ins for the review's scripts: the platform's store, replicas and clients, and the cases
//! that run them against real nodes. One file, standard library only.
//!
//! `rig replica ...` is one replica as a process of its own; `rig CASE` plays a case.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write as _;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Res<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

// ---------------------------------------------------------------------------------------------
// Small tools
// ---------------------------------------------------------------------------------------------

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this program started.
fn signal(child: &Child, number: i32) {
    // The child has not been waited for, so its id is still its own.
    unsafe {
        kill(child.id() as i32, number);
    }
}

/// The processes that this program has started and not waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn record_child(child: &Child) {
    CHILDREN
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(child.id());
}

/// Waits for a child that was killed.
fn reap(child: &mut Child) {
    let _ = child.wait();
    let id = child.id();
    CHILDREN
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .retain(|it| *it != id);
}

/// Kills every process that is left, and ends this program.
fn exit(code: i32) -> ! {
    for id in &*CHILDREN.lock().unwrap_or_else(PoisonError::into_inner) {
        // It has not been waited for, so its id is still its own.
        unsafe {
            kill(*id as i32, SIGKILL);
        }
    }
    std::process::exit(code);
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_millis() as u64)
}

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A small generator (xorshift), seeded, so that a run repeats as far as the machine allows.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn chance(&mut self, share: f64) -> bool {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64 <= share
    }

    fn fill(&mut self, bytes: &mut [u8]) {
        for chunk in bytes.chunks_mut(8) {
            let value = self.next().to_le_bytes();
            chunk.copy_from_slice(&value[..chunk.len()]);
        }
    }
}

/// What a case writes: to the record and to the terminal.
#[derive(Clone)]
struct Log {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Log {
    fn create(path: &Path) -> Res<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(fs::File::create(path)?)),
        })
    }

    fn quiet(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3}  {text}");
    }

    fn say(&self, text: &str) {
        println!("{:8.3}  {text}", self.began.elapsed().as_secs_f64());
        self.quiet(text);
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for at in 0..4 {
            if at <= chunk.len() {
                text.push(BASE64[(word >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// A JSON value.
#[derive(Clone, Debug)]
enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = Self::value(text, &mut at)?;
        Some(value)
    }

    fn skip(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(text, at);
        match *text.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = Vec::new();
                loop {
                    Self::skip(text, at);
                    match *text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let key = Self::text(text, at)?;
                            Self::skip(text, at);
                            *at += 1;
                            map.push((key, Self::value(text, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(text, at);
                    match *text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            b'"' => Self::text(text, at).map(Json::Text),
            b't' => {
                *at += 4;
                Some(Json::Bool)
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool)
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while text
                    .get(*at)
                    .is_some_and(|it| b"+-.eE0123456789".contains(it))
                {
                    *at += 1;
                }
                std::str::from_utf8(&text[from..*at])
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Number)
            }
        }
    }

    fn text(text: &[u8], at: &mut usize) -> Option<String> {
        let mut bytes = Vec::new();
        *at += 1;
        loop {
            let byte = *text.get(*at)?;
            *at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *text.get(*at)?;
                    *at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let code = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                            *at += 4;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('\u{fffd}');
                            let mut buffer = [0; 4];
                            bytes.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map
                .iter()
                .find(|it| it.0 == key)
                .map_or(&Json::Null, |it| &it.1),
            _ => &Json::Null,
        }
    }

    fn str(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other if (other as u32) < 32 => {
                let _ = write!(quoted, "\\u{:04x}", other as u32);
            }
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

// ---------------------------------------------------------------------------------------------
// HTTP
// ---------------------------------------------------------------------------------------------

struct Request {
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |it| it)
    }
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Reads a request; none at the end of the connection. Nodes send every body with its length.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line
        .split_whitespace()
        .nth(1)
        .unwrap_or_default()
        .to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|it| it.split_once('='));
    let query = query
        .map(|(key, value)| (key.to_owned(), unescape(value)))
        .collect();
    let headers = read_headers(reader)?;
    let length = headers
        .get("content-length")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body,
    }))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A client's answer, read to its end.
#[derive(Debug, Default)]
struct Answer {
    status: u16,
    headers: HashMap<String, String>,
    body: Vec<u8>,
    /// True if the end of the body was marked: by its length or the last chunk.
    whole: bool,
    /// Why it is not whole.
    why: String,
}

/// Sends one request on a new connection, as clients do, and reads the answer to its end.
fn call(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Answer {
    call_at(to, head, body, limit, None)
}

/// Does the same, and reads at most `rate` bytes a second.
fn call_at(to: SocketAddr, head: &str, body: &[u8], limit: Duration, rate: Option<f64>) -> Answer {
    let mut answer = Answer::default();
    if let Err(error) = exchange(to, head, body, limit, rate, &mut answer) {
        answer.why = error.to_string();
    }
    answer
}

fn exchange(
    to: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
    rate: Option<f64>,
    answer: &mut Answer,
) -> Res<()> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, ms(1_000).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut bytes = head.replace('\n', "\r\n").into_bytes();
    if !body.is_empty() || head.starts_with("POST") {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let left = |until: Instant| until.saturating_duration_since(Instant::now()).max(ms(1));
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err("closed without an answer".into());
    }
    answer.status = line.split_whitespace().nth(1).unwrap_or("0").parse()?;
    answer.headers = read_headers(&mut reader)?;
    let is_chunked = answer.headers.get("transfer-encoding").is_some();
    if !is_chunked {
        let length = answer
            .headers
            .get("content-length")
            .and_then(|it| it.parse().ok());
        let Some(length) = length else {
            reader.read_to_end(&mut answer.body)?;
            return Err("no length".into());
        };
        let mut rest = vec![0; length];
        reader.read_exact(&mut rest)?;
        answer.body = rest;
        answer.whole = true;
        return Ok(());
    }
    loop {
        if Instant::now() >= until {
            return Err("the client's deadline has passed".into());
        }
        reader.get_ref().set_read_timeout(Some(left(until)))?;
        let mut size = String::new();
        if reader.read_line(&mut size)? == 0 {
            return Err("broken off".into());
        }
        let size = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        answer.body.extend_from_slice(&chunk[..size]);
        if let Some(rate) = rate {
            sleep(Duration::from_secs_f64(size as f64 / rate));
        }
        if size == 0 {
            answer.whole = true;
            return Ok(());
        }
    }
}

// ---------------------------------------------------------------------------------------------
// The platform's store
// ---------------------------------------------------------------------------------------------

type RowId = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowId, (u64, String)>,
    /// Every change: its version, the row, and the value unless the row was removed.
    changes: Vec<(u64, RowId, Option<String>)>,
    objects: HashMap<String, Vec<u8>>,
}

impl Rows {
    fn put(&mut self, id: RowId, value: String) {
        self.rows.insert(id.clone(), (self.version, value.clone()));
        self.changes.push((self.version, id, Some(value)));
    }

    fn remove(&mut self, id: RowId) {
        if self.rows.remove(&id).is_some() {
            self.changes.push((self.version, id, None));
        }
    }
}

/// The store: linearizable rows with a change feed, and objects.
struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const READ_TIME: Duration = Duration::from_millis(4);
const OBJECT_TIME: Duration = Duration::from_millis(25);

impl Store {
    fn start(address: SocketAddr) -> Res<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let serving = Arc::clone(&store);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.handle(request);
            let media = "Content-Type: application/json\r\n";
            if respond(&mut stream, status, media, &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: Request) -> (&'static str, Vec<u8>) {
        let path = request.path.as_str();
        if let Some(name) = path.strip_prefix("/-/blob-put/") {
            sleep(OBJECT_TIME);
            let name = unescape(name);
            self.rows.lock().unwrap().objects.insert(name, request.body);
            return ("200 OK", Vec::new());
        }
        if let Some(name) = path.strip_prefix("/-/blob-get/") {
            sleep(OBJECT_TIME);
            return match self.rows.lock().unwrap().objects.get(&unescape(name)) {
                Some(object) => ("200 OK", object.clone()),
                None => ("404 Not Found", Vec::new()),
            };
        }
        if let Some(name) = path.strip_prefix("/-/blob-drop/") {
            sleep(OBJECT_TIME);
            self.rows.lock().unwrap().objects.remove(&unescape(name));
            return ("200 OK", Vec::new());
        }
        match path {
            "/-/rows-tx" => {
                sleep(TRANSACTION_TIME);
                self.transact(&request.body)
            }
            "/-/rows-get" => {
                sleep(READ_TIME);
                self.get(&request.query)
            }
            "/-/rows-feed" => self.feed(&request.query),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn now_ms(&self) -> u64 {
        100_000 + self.began.elapsed().as_millis() as u64
    }

    fn transact(&self, body: &[u8]) -> (&'static str, Vec<u8>) {
        let Some(call) = Json::parse(body) else {
            return ("400 Bad Request", Vec::new());
        };
        let id = |row: &Json| -> RowId {
            let text = |key| row.get(key).str().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let is_denied = |row: &Json| matches!(row.get("table").str(), "op" | "servers");
        let sets = call.get("set_keys").list();
        let removals = call.get("remove").list();
        if sets.iter().chain(removals).any(is_denied) {
            return ("403 Forbidden", Vec::new());
        }
        let mut rows = self.rows.lock().unwrap();
        let expected = call.get("expect_rev").list();
        let version = |rows: &Rows, row: &Json| rows.rows.get(&id(row)).map_or(0, |it| it.0);
        if expected
            .iter()
            .any(|row| version(&rows, row) != row.get("ver").number())
        {
            let found = expected.iter().filter_map(|row| {
                let id = id(row);
                let (version, value) = rows.rows.get(&id)?;
                Some(entry(&id, *version, Some(value)))
            });
            let found: Vec<String> = found.collect();
            let body = self.answer(&rows, &found, false);
            return ("412 Precondition Failed", body);
        }
        rows.version += 1;
        for row in sets {
            let value = row.get("value").str().to_owned();
            rows.put(id(row), value);
        }
        for row in removals {
            rows.remove(id(row));
        }
        let body = self.answer(&rows, &[], false);
        drop(rows);
        self.changed.notify_all();
        ("200 OK", body)
    }

    fn get(&self, query: &HashMap<String, String>) -> (&'static str, Vec<u8>) {
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let (table, part, from, to) = (text("table"), text("part"), text("from"), text("to"));
        let limit = text("limit").parse().unwrap_or(500_usize).min(500);
        let rows = self.rows.lock().unwrap();
        let all = rows.rows.range((table.clone(), part.clone(), from)..);
        let all =
            all.take_while(|(id, _)| id.0 == table && id.1 == part && (to.is_empty() || id.2 < to));
        let mut found: Vec<String> = Vec::new();
        let mut truncated = false;
        let mut bytes = 0;
        for (id, (version, value)) in all {
            if found.len() == limit || bytes > 900_000 {
                truncated = true;
                break;
            }
            bytes += value.len();
            found.push(entry(id, *version, Some(value)));
        }
        ("200 OK", self.answer(&rows, &found, truncated))
    }

    fn feed(&self, query: &HashMap<String, String>) -> (&'static str, Vec<u8>) {
        let table = query.get("table").cloned().unwrap_or_default();
        let number = |key| {
            query
                .get(key)
                .and_then(|it: &String| it.parse().ok())
                .unwrap_or(0)
        };
        let (after, wait): (u64, u64) = (number("after"), number("wait_ms"));
        let until = Instant::now() + ms(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let from = rows.changes.partition_point(|it| it.0 <= after);
            let found: Vec<String> = rows.changes[from..]
                .iter()
                .filter(|it| it.1.0 == table)
                .map(|it| entry(&it.1, it.0, it.2.as_ref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return ("200 OK", self.answer(&rows, &found, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn answer(&self, rows: &Rows, found: &[String], truncated: bool) -> Vec<u8> {
        let (version, now) = (rows.version, self.now_ms());
        let found = found.join(",");
        format!(
            "{{\"rows\":[{found}],\"truncated\":{truncated},\"ver\":{version},\"now_ms\":{now}}}"
        )
        .into_bytes()
    }

    /// Writes a row as the platform's own side does.
    fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let id = (table.to_owned(), String::new(), key.to_owned());
        match value {
            Some(value) => rows.put(id, base64(value.as_bytes())),
            None => rows.remove(id),
        }
        drop(rows);
        self.changed.notify_all();
    }
}

fn entry(id: &RowId, version: u64, value: Option<&String>) -> String {
    let (table, part, key) = (quote(&id.0), quote(&id.1), quote(&id.2));
    let value = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{version},{value}}}")
}

// ---------------------------------------------------------------------------------------------
// A replica, as a process of its own
// ---------------------------------------------------------------------------------------------

/// The text of one event: any run of a request writes the same one.
fn event_text(id: &str, number: u64, pad: usize) -> String {
    format!("{id}/{number}{}", "-".repeat(pad))
}

/// The whole output of an item or the data of a whole stream.
fn whole_text(id: &str, events: u64) -> String {
    padded_text(id, events, 0)
}

/// The same with events that are longer by `pad` bytes.
fn padded_text(id: &str, events: u64, pad: usize) -> String {
    let all: Vec<String> = (1..=events)
        .map(|number| event_text(id, number, pad))
        .collect();
    all.join("\n")
}

/// How a replica frames its streams, and how it spoils answers.
#[derive(Clone, Debug, Default)]
struct Manner {
    /// Streams have neither a length nor chunks and end with their connection.
    unframed: bool,
    /// Share of streams in place of whose events it sends bytes without end.
    endless_stream: f64,
    /// Number of answers that it spoils at most.
    spoils: u64,
    /// Bytes that are added to the text of each event.
    pad: usize,
    /// Tokens in one event.
    event_tokens: u64,
    /// Bytes a second of a body without end.
    flood: u64,
}

struct Replica {
    id: String,
    stamp: String,
    /// Version of its software; each event ends with it.
    software: String,
    slots: usize,
    step: Duration,
    manner: Manner,
    active: AtomicUsize,
    spoiled: AtomicU64,
    random: Mutex<Random>,
}

/// A replica's slot, until it is dropped.
struct Slot<'a>(&'a Replica);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}

fn replica_main(args: &[String]) -> Res<()> {
    let option = |name: &str| -> String {
        let at = args.iter().position(|it| it == name);
        at.and_then(|at| args.get(at + 1))
            .cloned()
            .unwrap_or_default()
    };
    let number = |name: &str| option(name).parse::<f64>().unwrap_or(0.0);
    let address: SocketAddr = option("--address").parse()?;
    let replica = Arc::new(Replica {
        id: option("--id"),
        stamp: format!("s{:x}", unix_ms()),
        software: option("--software"),
        slots: 8,
        step: ms(number("--step-ms") as u64),
        manner: Manner {
            unframed: option("--unframed") == "1",
            endless_stream: number("--endless-stream"),
            spoils: number("--spoils") as u64,
            flood: number("--flood") as u64,
            pad: number("--pad") as usize,
            event_tokens: (number("--event-tokens") as u64).max(1),
        },
        active: AtomicUsize::new(0),
        spoiled: AtomicU64::new(0),
        random: Mutex::new(Random(number("--seed") as u64 * 2_654_435_761 + 88_172_645)),
    });
    let listener = TcpListener::bind(address)?;
    report(&format!("{} listens", replica.id));
    for stream in listener.incoming().flatten() {
        let replica = Arc::clone(&replica);
        spawn(move || {
            let _ = replica.serve(stream);
        });
    }
    Ok(())
}

/// Writes a line for the record, in one call.
fn report(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

impl Replica {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            if !self.handle(&mut stream, &request)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request; returns false if the connection ends with the answer.
    fn handle(&self, stream: &mut TcpStream, request: &Request) -> io::Result<bool> {
        let id = request.header("x-attempt-id");
        let echo = format!("X-Attempt-Id: {id}\r\n");
        if request.path == "/healthz" {
            let headers = format!("X-Instance-Id: {}\r\n", self.id);
            respond(stream, "200 OK", &headers, b"")?;
            return Ok(true);
        }
        let target = request.header("x-target-instance");
        if !target.is_empty() && target != self.id {
            respond(
                stream,
                "421 Misdirected Request",
                &format!("{echo}X-Not-Run: 1\r\n"),
                b"",
            )?;
            return Ok(true);
        }
        if self.active.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.active.fetch_sub(1, Ordering::SeqCst);
            respond(
                stream,
                "503 Service Unavailable",
                &format!("{echo}X-Not-Run: 1\r\n"),
                b"",
            )?;
            return Ok(true);
        }
        let _slot = Slot(self);
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let count = request.header("x-token-count").split(',').nth(1);
        let tokens: u64 = count.and_then(|it| it.trim().parse().ok()).unwrap_or(1);
        let events = tokens.div_ceil(self.manner.event_tokens);
        let rate = self.manner.endless_stream;
        let is_spoiled = rate > 0.0
            && self.random.lock().unwrap().chance(rate)
            && self.spoiled.fetch_add(1, Ordering::SeqCst) < self.manner.spoils;
        let signed = format!("{echo}X-Response-Stamp: {}\r\n", self.stamp);
        if is_spoiled {
            report(&format!(
                "{} spoils {id}: a stream's head, then bytes without end",
                self.id
            ));
            let media = "Content-Type: text/event-stream\r\nConnection: close\r\n";
            stream.write_all(format!("HTTP/1.1 200 OK\r\n{signed}{media}\r\n").as_bytes())?;
            return self.flood(stream, id);
        }
        report(&format!("{} runs {id} after event {last}", self.id));
        let framing = match self.manner.unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let head =
            format!("HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n{framing}\r\n");
        stream.write_all(head.as_bytes())?;
        for number in last + 1..=events {
            sleep(self.step);
            if has_closed(stream) {
                report(&format!(
                    "{} stops {id} before event {number}: closed",
                    self.id
                ));
                return Ok(false);
            }
            let text = event_text(id, number, self.manner.pad);
            let event = format!("id: {number}\ndata: {text}@{}\n\n", self.software);
            let bytes = match self.manner.unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            stream.write_all(bytes.as_bytes())?;
        }
        report(&format!("{} has finished {id}", self.id));
        if !self.manner.unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(!self.manner.unframed)
    }

    /// Sends bytes until the caller closes.
    fn flood(&self, stream: &mut TcpStream, id: &str) -> io::Result<bool> {
        let pause = ms(10);
        let mut bytes = vec![0; (self.manner.flood / 100) as usize];
        let mut sent = 0;
        let began = Instant::now();
        loop {
            self.random.lock().unwrap().fill(&mut bytes);
            if has_closed(stream) || stream.write_all(&bytes).is_err() {
                let took = began.elapsed().as_secs_f64();
                report(&format!(
                    "{} ends {id}: the caller has closed after {sent} bytes, {took:.1} s",
                    self.id
                ));
                return Ok(false);
            }
            sent += bytes.len();
            // Keeps the rate, whatever the writes took.
            let due = pause.mul_f64(sent as f64 / bytes.len() as f64);
            sleep(due.saturating_sub(began.elapsed()));
        }
    }
}

/// True once the other side has closed its connection.
fn has_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

// ---------------------------------------------------------------------------------------------
// The fleet of a case
// ---------------------------------------------------------------------------------------------

const SERVICE: &str = "payrun-llm";
const HOST: &str = "novo13.example";
/// How often a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

struct ReplicaProcess {
    id: String,
    address: SocketAddr,
    zone: usize,
    options: Vec<String>,
    software: Mutex<String>,
    child: Mutex<Option<Child>>,
    born: AtomicU64,
    seq: AtomicU64,
    /// 1 once its process has written its first entry.
    registered: AtomicU64,
}

struct NodeProcess {
    name: String,
    ip: IpAddr,
    settings: PathBuf,
    output: PathBuf,
    child: Mutex<Option<Child>>,
}

struct Fleet {
    log: Log,
    root: PathBuf,
    folder: PathBuf,
    store: Arc<Store>,
    replicas: Vec<ReplicaProcess>,
    nodes: Vec<NodeProcess>,
}

/// Ports of a node, the same at each address.
const FRONT: u16 = 8_161;
const READY: u16 = 8_167;
const CONTROL: u16 = 8_166;
const DIRECTORY: u16 = 8_164;
const INNER: u16 = 7_720;
const METRICS: u16 = 9_464;

impl Fleet {
    /// Starts a store, replicas and nodes on loopback addresses that nobody else uses, and waits
    /// until every node is ready.
    fn start(log: &Log, nodes: usize, replicas: &[Vec<String>], routes: &str) -> Res<Arc<Self>> {
        let root = std::env::current_dir()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let net = free_net(nodes)?;
        let at = |last: u8| IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, last));
        let store_address = SocketAddr::new(at(250), 8_169);
        let store = Store::start(store_address)?;
        let config = format!(
            "{{\"version\":3,\"routes\":[{routes}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/healthz\",\"max_conns\":370}}],\"limits\":{{\
             \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        store.write("op", "config", Some(&config));
        let replicas = replicas
            .iter()
            .enumerate()
            .map(|(number, options)| ReplicaProcess {
                id: format!("i-{:08x}", 0x7f3a_91c0 + number),
                address: SocketAddr::new(at(100 + number as u8), 8_367),
                zone: number % 3,
                options: options.clone(),
                software: Mutex::new("v1".to_owned()),
                child: Mutex::default(),
                born: AtomicU64::new(0),
                seq: AtomicU64::new(0),
                registered: AtomicU64::new(0),
            });
        let seeds: Vec<String> = (0..nodes.min(3))
            .map(|number| format!("\"{}\"", SocketAddr::new(at(1 + number as u8), CONTROL)))
            .collect();
        let mut processes = Vec::new();
        for number in 0..nodes {
            let ip = at(1 + number as u8);
            let name = format!("edge-hall{}-1", number % 3);
            let settings = folder.join(format!("{name}-{number}.toml"));
            fs::write(
                &settings,
                settings_text(&name, number, ip, &seeds, store_address),
            )?;
            let output = folder.join(format!("{name}-{number}.log"));
            processes.push(NodeProcess {
                name,
                ip,
                settings,
                output,
                child: Mutex::default(),
            });
        }
        let fleet = Arc::new(Self {
            log: log.clone(),
            root,
            folder,
            store,
            replicas: replicas.collect(),
            nodes: processes,
        });
        for number in 0..fleet.replicas.len() {
            fleet.start_replica(number)?;
        }
        let beating = Arc::downgrade(&fleet);
        spawn(move || {
            loop {
                sleep(HEARTBEAT);
                let Some(fleet) = beating.upgrade() else {
                    return;
                };
                for number in 0..fleet.replicas.len() {
                    fleet.beat(number);
                }
            }
        });
        for number in 0..nodes {
            fleet.start_node(number)?;
        }
        let until = Instant::now() + ms(20_000);
        for number in 0..nodes {
            loop {
                let to = SocketAddr::new(fleet.nodes[number].ip, READY);
                let head = "GET /-/readyz HTTP/1.1\nHost: ready\nConnection: close\n";
                if call(to, head, b"", ms(1_000)).status == 200 {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("node {number} does not get ready").into());
                }
                sleep(ms(50));
            }
        }
        // Nodes that start together have met each other after about 3 s; traffic starts later.
        sleep(ms(4_000));
        log.say(&format!(
            "{nodes} nodes are ready, with {} replicas",
            fleet.replicas.len()
        ));
        Ok(fleet)
    }

    /// Starts a replica, which writes its entry as soon as it listens.
    fn start_replica(self: &Arc<Self>, number: usize) -> Res<()> {
        self.launch_replica(number)?;
        self.register_replica(number);
        Ok(())
    }

    /// Starts a replica and waits until it listens.
    fn launch_replica(self: &Arc<Self>, number: usize) -> Res<()> {
        let replica = &self.replicas[number];
        let mut child = Command::new(std::env::current_exe()?)
            .arg("replica")
            .args([
                "--id",
                &replica.id,
                "--address",
                &replica.address.to_string(),
            ])
            .args(["--seed", &(number + 1).to_string()])
            .args(["--software", &replica.software.lock().unwrap()])
            .args(&replica.options)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let lines = BufReader::new(child.stdout.take().ok_or("no output")?).lines();
        let log = self.log.clone();
        spawn(move || {
            for line in lines.map_while(Result::ok) {
                log.quiet(&line);
            }
        });
        record_child(&child);
        *replica.child.lock().unwrap() = Some(child);
        let until = Instant::now() + ms(3_000);
        while TcpStream::connect_timeout(&replica.address, ms(200)).is_err() {
            if Instant::now() > until {
                return Err(format!("{} does not listen", replica.id).into());
            }
            sleep(ms(5));
        }
        Ok(())
    }

    /// Writes the first entry of a replica's process.
    fn register_replica(&self, number: usize) {
        let replica = &self.replicas[number];
        replica.born.store(unix_ms(), Ordering::SeqCst);
        replica.seq.store(0, Ordering::SeqCst);
        replica.registered.store(1, Ordering::SeqCst);
        self.beat(number);
    }

    /// Writes the entry of a replica that lives. A start is told at once.
    fn beat(&self, number: usize) {
        let replica = &self.replicas[number];
        let child = replica.child.lock().unwrap();
        if child.is_none() || replica.registered.load(Ordering::SeqCst) == 0 {
            return;
        }
        let seq = replica.seq.fetch_add(1, Ordering::SeqCst);
        let value = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"hall{}\",\
             \"version\":\"{}\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"seq\":{seq},\"born\":{}}}",
            replica.address,
            replica.zone,
            replica.software.lock().unwrap(),
            replica.born.load(Ordering::SeqCst),
        );
        self.store.write("servers", &replica.id, Some(&value));
    }

    /// Kills a replica. It says nothing; its entry stays until three heartbeats are missing.
    fn crash_replica(&self, number: usize) {
        let replica = &self.replicas[number];
        replica.registered.store(0, Ordering::SeqCst);
        if let Some(mut child) = replica.child.lock().unwrap().take() {
            signal(&child, SIGKILL);
            reap(&mut child);
        }
    }

    fn start_node(&self, number: usize) -> Res<()> {
        let node = &self.nodes[number];
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.output)?;
        // The command of the deploy file.
        let program = self.root.join("target/release/auburnspoke");
        let child = Command::new(program)
            .args(["edge", "--metrics", &METRICS.to_string()])
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| name == "PATH" || name == "HOME"))
            .env("AUBURNSPOKE_BOOT", &node.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        record_child(&child);
        *node.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn signal_node(&self, number: usize, which: i32) {
        if let Some(child) = &*self.nodes[number].child.lock().unwrap() {
            signal(child, which);
        }
    }

    fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.nodes[number].ip, FRONT)
    }

    /// Ends every process that this fleet started and removes its folder.
    fn stop(&self) {
        // Nodes write their logs with a delay.
        sleep(ms(500));
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().unwrap().take() {
                signal(&child, SIGCONT);
                signal(&child, SIGKILL);
                reap(&mut child);
            }
        }
        for number in 0..self.replicas.len() {
            self.crash_replica(number);
        }
        // What the nodes wrote about single items and streams explains the record.
        for node in &self.nodes {
            if let Ok(text) = fs::read_to_string(&node.output) {
                let mut file = self.log.file.lock().unwrap();
                let _ = writeln!(file, "\n--- {} {} wrote:", node.name, node.ip);
                for line in text.lines().take(400) {
                    let _ = writeln!(file, "{line}");
                }
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn settings_text(
    name: &str,
    number: usize,
    ip: IpAddr,
    seeds: &[String],
    store: SocketAddr,
) -> String {
    format!(
        "node = \"{name}\"\nrole = \"node\"\nmachine_class = \"edge\"\n\
         serves = [\"edge\", \"registry\", \"control\"]\nip = \"{ip}\"\nzone = \"hall{zone}\"\n\
         region = \"muscat\"\nport_range = [{INNER}, {last}]\nseeds = [{seeds}]\n\
         bootstrap = true\ncounts_as_loss = false\ndiscovery = \"platform\"\nentry = \"registry\"\n\
         heartbeat_ms = 1200\n[zones]\nhall0 = \"muscat\"\nhall1 = \"muscat\"\nhall2 = \"muscat\"\n\
         [listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\ncontrol = \"{ip}:{CONTROL}\"\n\
         directory = \"{ip}:{DIRECTORY}\"\n[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 290\n\
         max_fds = 8200\nlink_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 0\n\
         regions = 0\n[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
         catchup_s = 4.7\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n\
         rollback_slack_ms = 250\nmax_skew_ms = 5000\nrecovery_s = 12\npass_ms = 120\n\
         retry_after_s = 0\nfinish_s = 18\nstatus_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n\
         quota_excess = 0.1\nttl_max_s = 5\n[platform]\naddress = \"{store}\"\nform = \"table\"\n\
         writes_per_s = 800\nreads_per_s = 2000\ntx_ms = 5.0\npart_writes_s = 200\n\
         row_bytes = 65536\nacross = false\nhistory_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\n\
         blob_mb_s = 80.0\n",
        zone = number % 3,
        last = INNER + 15,
        seeds = seeds.join(", "),
    )
}

/// Finds a loopback network in which the ports of all nodes are free.
fn free_net(nodes: usize) -> Res<(u8, u8)> {
    let first = std::process::id();
    for step in 0..200 {
        let number = first.wrapping_add(step * 7);
        let net = (64 + (number % 64) as u8, (number / 64 % 250) as u8);
        let is_free = |last: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, last), port)).is_ok()
        };
        let ports = [FRONT, READY, CONTROL, DIRECTORY, INNER, INNER + 1, METRICS];
        let all = (1..=nodes as u8).all(|last| ports.iter().all(|port| is_free(last, *port)));
        if all && is_free(250, 8_169) {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".into())
}

/// The routes of every case: resumable streams, other streams, and batch jobs.
fn routes(timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, resumable: bool, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"type\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"goal_ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\
             \"attempts\":{attempts},\"resumable\":{resumable},\"gap_goal_ms\":400,\"sticky\":true,\
             \"run_goal_ms\":18000,\"queue_ttl_s\":40,\"max_count\":1500000}}"
        )
    };
    let all = [
        route("q", "streaming", true, 2),
        route("v", "streaming", false, 1),
        route("b", "batch", true, 3),
    ];
    all.join(",")
}

// ---------------------------------------------------------------------------------------------
// Clients
// ---------------------------------------------------------------------------------------------

/// A batch job: its id, and the items with the number of their events.
#[derive(Clone)]
struct Job {
    id: String,
    items: Vec<(String, u64)>,
    /// Bytes that replicas add to the text of each event.
    pad: usize,
    /// Tokens in one event.
    event_tokens: u64,
}

impl Job {
    fn new(id: &str, items: usize, events: u64) -> Self {
        let items = (0..items).map(|at| (format!("{id}{at:03x}"), events));
        Self {
            id: id.to_owned(),
            items: items.collect(),
            pad: 0,
            event_tokens: 1,
        }
    }

    fn body(&self) -> String {
        let items: Vec<String> = self
            .items
            .iter()
            .map(|(id, events)| {
                let tokens = events * self.event_tokens;
                format!(
                    "{{\"id\":\"{id}\",\"path\":\"/b/{id}\",\"headers\":{{\"X-Model\":\"m\",\
                     \"X-Token-Count\":\"350,{tokens}\",\"X-Prompt-Prefix\":\"5d07b8:100,{id}:250\"}},\
                     \"body\":\"{}\",\"tokens\":{}}}",
                    base64(id.as_bytes()),
                    350 + tokens
                )
            })
            .collect();
        format!("{{\"requests\":[{}]}}", items.join(","))
    }

    /// Submits the job as clients do: again after a failure, at most for some seconds.
    fn submit(&self, log: &Log, to: SocketAddr) -> Res<()> {
        let head = format!(
            "POST /b/{id} HTTP/1.1\nHost: {HOST}\nX-Attempt-Id: {id}\n\
             Content-Type: application/json\nConnection: close\n",
            id = self.id
        );
        for _ in 0..5 {
            let answer = call(to, &head, self.body().as_bytes(), ms(3_000));
            log.say(&format!(
                "job {} submitted at {}: {}",
                self.id,
                to.ip(),
                answer.status
            ));
            if answer.status == 202 {
                return Ok(());
            }
            sleep(ms(300));
        }
        Err("the job is not accepted".into())
    }

    /// Reads the results from position `after` on.
    fn read(
        &self,
        log: &Log,
        to: SocketAddr,
        after: usize,
    ) -> Option<Vec<(String, String, String)>> {
        let head = format!(
            "GET /-/lots/{}?after={after} HTTP/1.1\nHost: {HOST}\nX-Wait-Ms: 1000\n\
             Connection: close\n",
            self.id
        );
        let began = Instant::now();
        let answer = call(to, &head, b"", ms(2_500));
        log.quiet(&format!(
            "read of {} at {} after {after}: {} in {} ms, {} bytes {}",
            self.id,
            to.ip(),
            answer.status,
            began.elapsed().as_millis(),
            answer.body.len(),
            answer.why
        ));
        if answer.status != 200 || !answer.whole {
            return None;
        }
        let page = Json::parse(&answer.body)?;
        let results = page.get("results").list().iter().map(|it| {
            let text = |key| it.get(key).str().to_owned();
            (text("id"), text("state"), text("output"))
        });
        Some(results.collect())
    }

    /// Reads results at the nodes in turn until all are listed or the time is over.
    fn read_all(
        &self,
        fleet: &Fleet,
        at: &[usize],
        until: Instant,
    ) -> Vec<(String, String, String)> {
        let mut all = Vec::new();
        let mut turn = 0;
        while all.len() < self.items.len() && Instant::now() < until {
            let page = self.read(&fleet.log, fleet.front(at[turn % at.len()]), all.len());
            turn += 1;
            match page {
                Some(page) => all.extend(page),
                None => sleep(ms(200)),
            }
            sleep(ms(100));
        }
        all
    }
}

/// Compares the results of a job with what its items' whole output is. Returns what breaks a rule.
fn check_results(log: &Log, job: &Job, results: &[(String, String, String)]) -> Vec<String> {
    let mut broken = Vec::new();
    let expected: HashMap<&str, u64> = job.items.iter().map(|it| (&*it.0, it.1)).collect();
    for (position, (id, state, output)) in results.iter().enumerate() {
        log.quiet(&format!(
            "result {position} of {}: {id} {state}, {} bytes",
            job.id,
            output.len()
        ));
        let Some(events) = expected.get(&**id) else {
            broken.push(format!(
                "MIXED: result {position} names {id}, no item of {}",
                job.id
            ));
            continue;
        };
        if state == "complete" && plain_text(output) != padded_text(id, *events, job.pad) {
            let has = output.lines().count();
            broken.push(format!(
                "MIXED: item {id} is `complete` with {has} of {events} events, the last one {:?}",
                output.lines().last().unwrap_or("")
            ));
        }
        if state != "complete" {
            broken.push(format!(
                "MIXED: item {id} is `{state}`, and no replica gave a reason"
            ));
        }
    }
    broken
}

/// Sends one stream request and reads the answer to its end.
fn ask(to: SocketAddr, route: &str, id: &str, events: u64, limit: Duration) -> Answer {
    ask_at(to, route, id, events, limit, None)
}

/// Does the same, and reads at most `rate` bytes a second.
fn ask_at(
    to: SocketAddr,
    route: &str,
    id: &str,
    events: u64,
    limit: Duration,
    rate: Option<f64>,
) -> Answer {
    let head = format!(
        "POST /{route}/{id} HTTP/1.1\nHost: {HOST}\nX-Attempt-Id: {id}\nX-Model: m\n\
         X-Token-Count: 450,{events}\nX-Prompt-Prefix: 5c1e07:200,{id}:250\n\
         X-Timeout-Ms: {}\nConnection: close\n",
        limit.as_millis()
    );
    call_at(to, &head, b"a question", limit, rate)
}

/// The data of a stream's events without the versions of the software that wrote them, joined by
/// line feeds, and those versions.
fn stream_text(body: &[u8]) -> (String, BTreeSet<String>) {
    let text = String::from_utf8_lossy(body);
    let data = text.lines().filter_map(|it| it.strip_prefix("data: "));
    let data = data.map(|it| it.rsplit_once('@').unwrap_or((it, "")));
    let (data, versions): (Vec<&str>, BTreeSet<&str>) = data.unzip();
    (
        data.join("\n"),
        versions.into_iter().map(ToOwned::to_owned).collect(),
    )
}

/// An item's output without the versions.
fn plain_text(output: &str) -> String {
    let lines: Vec<&str> = output
        .lines()
        .map(|it| it.rsplit_once('@').map_or(it, |it| it.0))
        .collect();
    lines.join("\n")
}

// ---------------------------------------------------------------------------------------------
// The cases
// ---------------------------------------------------------------------------------------------

/// A node stands still, for 0.6 s and for 1.6 s by turns. Meanwhile a replica crashes and is back. Its
/// streams have no length and end with their connections.
fn cut_short(log: &Log, trouble: bool) -> Res<Vec<String>> {
    let options = ["--step-ms", "20", "--unframed", "1"].map(ToOwned::to_owned);
    let fleet = Fleet::start(log, 3, &vec![options.to_vec(); 6], &routes(5_000))?;
    let result = cut_short_in(log, trouble, &fleet);
    fleet.stop();
    result
}

fn cut_short_in(log: &Log, trouble: bool, fleet: &Arc<Fleet>) -> Res<Vec<String>> {
    const ROUNDS: usize = 10;
    let mut broken = Vec::new();
    let mut whole = 0;
    for round in 0..ROUNDS {
        whole += cut_short_round(log, trouble, fleet, round, &mut broken)?;
        log.say(&format!("{} broken", broken.len()));
        // Calm, so that each disruption stands for itself.
        sleep(ms(if trouble { 3_000 } else { 200 }));
    }
    log.say(&format!("{whole} streams and results are whole"));
    if whole < ROUNDS * 18 {
        return Err("too few streams and items were served".into());
    }
    Ok(broken)
}

/// Plays a job and some streams at node 0, and the disruption while they run. Returns the number of
/// streams and results that are whole.
fn cut_short_round(
    log: &Log,
    trouble: bool,
    fleet: &Arc<Fleet>,
    round: usize,
    broken: &mut Vec<String>,
) -> Res<usize> {
    const EVENTS: u64 = 100;
    let replica = round % fleet.replicas.len();
    let job = Job::new(&format!("7c41e09b53{round:02x}"), 24, 150);
    job.submit(log, fleet.front(0))?;
    sleep(ms(1_000));
    let streams: Vec<_> = (0..12)
        .map(|number| {
            let (fleet, log) = (Arc::clone(fleet), log.clone());
            spawn(move || {
                let id = format!("9c41d07be2{round:03x}{number:03x}");
                log.quiet(&format!("stream {id} sent to node 0"));
                let answer = ask(fleet.front(0), "v", &id, EVENTS, ms(5_000));
                let (text, _) = stream_text(&answer.body);
                let has = text.lines().count();
                log.quiet(&format!(
                    "stream {id}: {} with {has} of {EVENTS} events, ended as whole: {} {}",
                    answer.status, answer.whole, answer.why
                ));
                (id, answer, text)
            })
        })
        .collect();
    sleep(ms(500));
    if trouble {
        let id = &fleet.replicas[replica].id;
        log.say("node 0 stands still (SIGSTOP)");
        fleet.signal_node(0, SIGSTOP);
        sleep(ms(30));
        log.say(&format!("replica {id} crashes (SIGKILL)"));
        fleet.crash_replica(replica);
        sleep(ms(if round % 2 == 0 { 570 } else { 1_500 }));
        fleet.start_replica(replica)?;
        log.say(&format!(
            "replica {id} is back, under its id, and has told the store"
        ));
        sleep(ms(20 * (round as u64 / 2)));
        log.say("node 0 goes on (SIGCONT)");
        fleet.signal_node(0, SIGCONT);
    }
    let mut whole = 0;
    for stream in streams {
        let (id, answer, text) = stream.join().map_err(|_| "a client failed")?;
        let is_whole = text == whole_text(&id, EVENTS);
        whole += usize::from(answer.whole && is_whole);
        if answer.status == 200 && answer.whole && !is_whole {
            broken.push(format!(
                "ORDER: stream {id} ends as complete after {} of {EVENTS} events",
                text.lines().count()
            ));
        }
    }
    let results = job.read_all(fleet, &[1, 2], Instant::now() + ms(15_000));
    log.say(&format!("{} of 24 items are listed", results.len()));
    let wrong = check_results(log, &job, &results);
    whole += results.len().saturating_sub(wrong.len());
    broken.extend(wrong);
    Ok(whole)
}

/// Two of six replicas spoil some streams: after the head come bytes without end. Clients read
/// slower than replicas send.
fn overrun(log: &Log, trouble: bool) -> Res<Vec<String>> {
    let sound = ["--step-ms", "10"];
    let faulty = [
        "--step-ms",
        "10",
        "--endless-stream",
        "0.03",
        "--spoils",
        "1000",
        "--flood",
        "100000000",
    ];
    let options = |number: usize| -> Vec<String> {
        let is_faulty = trouble && number % 3 == 0;
        let all: &[&str] = if is_faulty { &faulty } else { &sound };
        all.iter().map(ToString::to_string).collect()
    };
    let replicas: Vec<Vec<String>> = (0..6).map(options).collect();
    let fleet = Fleet::start(log, 3, &replicas, &routes(1_500))?;
    let result = overrun_in(log, &fleet);
    fleet.stop();
    result
}

/// Counts of the requests of a run.
#[derive(Default)]
struct Overrun {
    whole: u64,
    /// Requests without an end at their route's timeout, and 0.5 s later.
    at_timeout: u64,
    later: u64,
}

fn overrun_in(log: &Log, fleet: &Arc<Fleet>) -> Res<Vec<String>> {
    const TIMEOUT: Duration = ms(1_500);
    const CLIENT_RATE: f64 = 20_000_000.0;
    let until = Instant::now() + ms(45_000);
    let count: Arc<Mutex<Overrun>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..24 {
        let (fleet, log, count) = (Arc::clone(fleet), log.clone(), Arc::clone(&count));
        clients.push(spawn(move || {
            let node = client % fleet.nodes.len();
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let id = format!("5e{client:04x}{number:06x}");
                let began = Instant::now();
                let to = fleet.front(node);
                let answer = ask_at(to, "v", &id, 34, ms(5_000), Some(CLIENT_RATE));
                let took = began.elapsed();
                log.quiet(&format!(
                    "request {id} to node {node}: {} after {:.2} s, {} bytes, whole: {} {}",
                    answer.status,
                    took.as_secs_f64(),
                    answer.body.len(),
                    answer.whole,
                    answer.why
                ));
                let mut count = count.lock().unwrap();
                count.whole += u64::from(answer.whole);
                count.at_timeout += u64::from(took > TIMEOUT);
                count.later += u64::from(took > TIMEOUT + ms(500));
                drop(count);
                sleep(ms(200));
            }
        }));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let Overrun {
        whole,
        at_timeout,
        later,
    } = &*count.lock().unwrap();
    log.say(&format!(
        "{whole} requests are whole; {at_timeout} have no end at the timeout of their route, \
         {later} of them none 0.5 s later"
    ));
    if *whole < 100 {
        return Err("too few requests were served".into());
    }
    let broken =
        format!("CONFIG: {later} of {at_timeout} requests have no end 0.5 s after the timeout");
    Ok(if *later >= 8 && later * 4 > *at_timeout {
        vec![broken]
    } else {
        Vec::new()
    })
}

/// A node stands still for 2 s. Meanwhile a replica crashes and starts again under its id, with the
/// next version of its software.
fn joined(log: &Log, trouble: bool) -> Res<Vec<String>> {
    let options: Vec<String> = ["--step-ms", "20"]
        .iter()
        .map(ToString::to_string)
        .collect();
    let fleet = Fleet::start(log, 3, &vec![options; 6], &routes(5_000))?;
    let result = joined_in(log, trouble, &fleet);
    fleet.stop();
    result
}

fn joined_in(log: &Log, trouble: bool, fleet: &Arc<Fleet>) -> Res<Vec<String>> {
    const ROUNDS: usize = 6;
    /// From when the replica listens to its first entry; `lag_ms` of the site file is 800.
    const ENTRY_LAG: Duration = ms(300);
    let mut joined = Vec::new();
    let mut whole = 0;
    for round in 0..ROUNDS {
        let streams: Vec<_> = (0..24)
            .map(|number| {
                let (fleet, log) = (Arc::clone(fleet), log.clone());
                spawn(move || {
                    let id = format!("9c41d07be2{round:03x}{number:03x}");
                    let answer = ask(fleet.front(0), "q", &id, 100, ms(5_000));
                    let (text, versions) = stream_text(&answer.body);
                    log.quiet(&format!(
                        "stream {id}: {} with {} of 100 events of {versions:?}, whole: {} {}",
                        answer.status,
                        text.lines().count(),
                        answer.whole,
                        answer.why
                    ));
                    (id, answer, text, versions)
                })
            })
            .collect();
        sleep(ms(400));
        if trouble {
            let replica = &fleet.replicas[round];
            log.say("node 0 stands still (SIGSTOP)");
            fleet.signal_node(0, SIGSTOP);
            sleep(ms(50));
            log.say(&format!("replica {} crashes (SIGKILL)", replica.id));
            fleet.crash_replica(round);
            sleep(ms(1_500));
            *replica.software.lock().unwrap() = "v2".to_owned();
            fleet.launch_replica(round)?;
            log.say(&format!("replica {} listens again, with v2", replica.id));
            sleep(ms(50 * (round as u64 % 6)));
            log.say("node 0 goes on (SIGCONT)");
            fleet.signal_node(0, SIGCONT);
            sleep(ENTRY_LAG.saturating_sub(ms(50 * (round as u64 % 6))));
            fleet.register_replica(round);
            log.say(&format!("replica {} has told the store", replica.id));
        }
        for stream in streams {
            let (id, answer, text, versions) = stream.join().map_err(|_| "a client failed")?;
            whole += usize::from(answer.whole && text == whole_text(&id, 100));
            if versions.len() > 1 {
                joined.push(format!("ORDER: stream {id} holds events of {versions:?}"));
            }
        }
        log.say(&format!("{} joined", joined.len()));
        sleep(ms(if trouble { 5_000 } else { 500 }));
    }
    log.say(&format!("{whole} streams are whole"));
    if whole < 6 {
        return Err("too few streams were served".into());
    }
    // The rule allows two.
    Ok(if joined.len() > 2 { joined } else { Vec::new() })
}

/// Batch jobs with long outputs come at once, and are read from the start at the same time.
fn unreadable(log: &Log, trouble: bool) -> Res<Vec<String>> {
    // The usual number of events, each with the most bytes that the site has: 85 KB in all.
    let options = ["--step-ms", "4", "--pad", "340"].map(ToOwned::to_owned);
    let fleet = Fleet::start(log, 3, &vec![options.to_vec(); 6], &routes(5_000))?;
    let jobs = (0..if trouble { 6 } else { 1 }).map(|number| {
        let mut job = Job::new(&format!("7c41e09b52{number:02x}"), 60, 236);
        job.pad = 340;
        job
    });
    let result = unreadable_in(log, &fleet, &jobs.collect::<Vec<Job>>());
    fleet.stop();
    result
}

fn unreadable_in(log: &Log, fleet: &Arc<Fleet>, jobs: &[Job]) -> Res<Vec<String>> {
    let mut broken = Vec::new();
    for (number, job) in jobs.iter().enumerate() {
        job.submit(log, fleet.front(number % fleet.nodes.len()))?;
    }
    // All jobs are finished before they are read.
    let until = Instant::now() + ms(45_000);
    for job in jobs {
        while job
            .read(log, fleet.front(1), job.items.len() - 1)
            .is_none_or(|it| it.is_empty())
        {
            if Instant::now() > until {
                return Err("the jobs are not finished in time".into());
            }
            sleep(ms(300));
        }
    }
    log.say(&format!("all results of {} jobs are listed", jobs.len()));
    sleep(ms(5_000));
    let readers: Vec<_> = jobs
        .iter()
        .map(|job| {
            let (fleet, job) = (Arc::clone(fleet), job.clone());
            spawn(move || {
                let until = Instant::now() + ms(20_000);
                let results = job.read_all(&fleet, &[2], until);
                (job, results)
            })
        })
        .collect();
    for reader in readers {
        let (job, results) = reader.join().map_err(|_| "a client failed")?;
        let (has, all) = (results.len(), job.items.len());
        log.say(&format!(
            "{has} of {all} results of {} read from the start at node 2",
            job.id
        ));
        broken.extend(check_results(log, &job, &results));
        if has < all {
            broken.push(format!(
                "LOST: job {} can't be read: {has} of {all} results",
                job.id
            ));
        }
    }
    Ok(broken)
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|it| it == "replica") {
        if let Err(error) = replica_main(&args) {
            eprintln!("{error}");
        }
        return;
    }
    // A case takes 90 s at most.
    spawn(|| {
        sleep(ms(115_000));
        println!("could not run: out of time");
        exit(2);
    });
    match std::panic::catch_unwind(|| run(&args)) {
        Ok(Ok(0)) => exit(0),
        Ok(Ok(_)) => exit(1),
        Ok(Err(error)) => println!("could not run: {error}"),
        Err(_) => println!("could not run: a stand-in has failed"),
    }
    exit(2);
}

/// Plays a case; returns how often a rule was broken.
fn run(args: &[String]) -> Res<usize> {
    let name = args.first().map_or("", |it| it);
    let record = args.get(1).ok_or("usage: rig CASE RECORD")?;
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let log = Log::create(Path::new(record))?;
    log.say(&format!("case {name}, trouble={trouble}"));
    let broken = match name {
        "cut-short" => cut_short(&log, trouble)?,
        "overrun" => overrun(&log, trouble)?,
        "joined" => joined(&log, trouble)?,
        "unreadable" => unreadable(&log, trouble)?,
        _ => return Err(format!("there is no case {name}").into()),
    };
    for line in &broken {
        log.say(line);
    }
    log.say(&format!("{} breaks", broken.len()));
    Ok(broken.len())
}
