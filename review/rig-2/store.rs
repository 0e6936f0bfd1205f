//! A stand-in for the platform's store: rows with versions and a feed, and objects.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{self, Json};

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

type Id = (String, String, String);

#[derive(Default)]
struct Rows {
    current: BTreeMap<Id, (String, u64)>,
    /// Changes in order; a removal has no value.
    history: Vec<(Id, Option<String>, u64)>,
    version: u64,
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    objects: Mutex<HashMap<String, Vec<u8>>>,
    began: Instant,
    pub address: String,
}

fn id(entry: &Json) -> Id {
    let text = |key| entry.get(key).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            objects: Mutex::default(),
            began: Instant::now(),
            address: listener.local_addr().unwrap().to_string(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// Writes a row as the platform itself does; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let id = (table.to_owned(), String::new(), key.to_owned());
        let value = base::base64(value.as_bytes());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.current.insert(id.clone(), (value.clone(), version));
        rows.history.push((id, Some(value), version));
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = base::read_head(&mut reader)? {
            let body = base::read_body(&mut reader, &head)?;
            thread::sleep(CALL_TIME);
            let mut words = head.first.split(' ');
            let method = words.next().unwrap_or("").to_owned();
            let target = words.next().unwrap_or("").to_owned();
            let (status, body) = self.handle(&method, &target, &body);
            let reason = if status == 200 { "OK" } else { "Other" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&body);
            stream.write_all(&bytes)?;
        }
        Ok(())
    }

    fn handle(&self, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), decode(value)))
            .collect();
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let number = |key: &str, usual: u64| text(key).parse().unwrap_or(usual);
        match (method, path) {
            ("POST", "/-/rows-tx") => self.transact(body),
            ("GET", "/-/rows-get") => {
                let limit = number("limit", 500).min(500) as usize;
                self.get(
                    &text("table"),
                    &text("part"),
                    &text("from"),
                    &text("to"),
                    limit,
                )
            }
            ("GET", "/-/rows-feed") => {
                let wait = Duration::from_millis(number("wait_ms", 0).min(30_000));
                self.feed(&text("table"), number("after", 0), wait)
            }
            ("GET", "/-/rows-parts") => (200, b"{\"parts\":[\"\"]}".to_vec()),
            _ => self.object(method, path, body),
        }
    }

    fn object(&self, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let mut objects = self.objects.lock().unwrap();
        if let Some(name) = path.strip_prefix("/-/blob-put/") {
            objects.insert(decode(name), body.to_vec());
            return (200, Vec::new());
        }
        if let Some(name) = path.strip_prefix("/-/blob-get/") {
            return match objects.get(&decode(name)) {
                Some(object) => (200, object.clone()),
                None => (404, Vec::new()),
            };
        }
        if let Some(name) = path.strip_prefix("/-/blob-drop/") {
            objects.remove(&decode(name));
            return (200, Vec::new());
        }
        let _ = method;
        (404, Vec::new())
    }

    fn transact(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(call) = Json::parse(body) else {
            return (400, Vec::new());
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = call.get("expect_rev").list();
        let version_of = |rows: &Rows, id: &Id| rows.current.get(id).map_or(0, |row| row.1);
        let failed = expected
            .iter()
            .any(|entry| version_of(&rows, &id(entry)) != entry.get("ver").number() as u64);
        if failed {
            let now: Vec<_> = expected
                .iter()
                .filter_map(|entry| {
                    let id = id(entry);
                    let (value, version) = rows.current.get(&id)?.clone();
                    Some((id, Some(value), version))
                })
                .collect();
            return (412, self.answer(&now, false, rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in call.get("set_keys").list() {
            let (id, value) = (id(entry), entry.get("value").text().to_owned());
            rows.current.insert(id.clone(), (value.clone(), version));
            rows.history.push((id, Some(value), version));
        }
        for entry in call.get("remove").list() {
            let id = id(entry);
            if rows.current.remove(&id).is_some() {
                rows.history.push((id, None, version));
            }
        }
        drop(rows);
        self.changed.notify_all();
        (200, self.answer(&[], false, version))
    }

    fn get(&self, table: &str, part: &str, from: &str, to: &str, limit: usize) -> (u16, Vec<u8>) {
        const MAX_BYTES: usize = 1_000_000;
        let rows = self.rows.lock().unwrap();
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (id, (value, version)) in rows.current.range(start..) {
            if id.0 != table || id.1 != part || (!to.is_empty() && id.2.as_str() >= to) {
                break;
            }
            if found.len() == limit || bytes + value.len() > MAX_BYTES {
                more = true;
                break;
            }
            bytes += value.len() + 200;
            found.push((id.clone(), Some(value.clone()), *version));
        }
        (200, self.answer(&found, more, rows.version))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let from = rows.history.partition_point(|change| change.2 <= after);
            let changes: Vec<_> = rows.history[from..]
                .iter()
                .filter(|(id, _, _)| id.0 == table)
                .cloned()
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return (200, self.answer(&changes, false, rows.version));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn answer(&self, rows: &[(Id, Option<String>, u64)], more: bool, version: u64) -> Vec<u8> {
        let entries: Vec<String> = rows
            .iter()
            .map(|((table, part, key), value, version)| {
                let removed = value.is_none();
                let value = value.as_deref().unwrap_or("");
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version},\"removed\":{removed}}}"
                )
            })
            .collect();
        let now = self.began.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"truncated\":{more},\"ver\":{version},\"now_ms\":{now}}}",
            entries.join(",")
        )
        .into_bytes()
    }
}
