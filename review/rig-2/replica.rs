//! Stand-ins for replicas: streams of events with slots and a short queue, as the pages say, and
//! the trouble that a case names.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::{self, Head, Record};

/// Requests that wait for a slot.
const QUEUE: usize = 24;
/// Most bytes in one write of a replica in trouble, and writes a second at the least.
const BLOCK_BYTES: u64 = 16 * 1024;
const WRITES_PER_S: u64 = 5;

/// What a replica in trouble sends in place of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// An answer with status 500 whose body has no end.
    EndlessError,
    /// The head of a stream, and then these bytes again and again.
    EndlessStream(&'static [u8]),
    /// One in so many answers: the answer up to its tenth event, then bytes that are no answer, and
    /// the connection ends before the body does.
    Spoiled {
        one_in: u64,
        /// True if these bytes come by themselves, and not in one piece with the tenth event.
        is_apart: bool,
    },
}

/// Events of a spoiled answer before the bytes that are no answer.
const SOUND_EVENTS: u64 = 10;
/// What a spoiled answer holds after them.
const SPOILED_BYTES: &str = "data: core dump: 00 00 00 00 00 00 00 00\n\n";

/// Trouble, and how fast its bytes come.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    pub trouble: Trouble,
    /// Bytes a second, over all connections from one machine. `link_mbps` of a machine is 1,000, or
    /// 125 MB a second.
    pub bytes_per_s: u64,
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub replica: String,
    pub service: String,
    pub id: String,
    pub path: String,
    pub last_event: Option<u64>,
    /// True if the replica began to work on it.
    pub has_run: bool,
    /// True if the replica was sound.
    pub is_sound: bool,
    /// True if it has sent the whole answer.
    pub is_complete: bool,
}

/// How a replica works.
#[derive(Clone, Debug)]
pub struct Pace {
    pub slots: usize,
    /// Time to the first event.
    pub first: Duration,
    /// Time between events.
    pub gap: Duration,
    /// Events of an answer on average; each request has up to `spread` more or less.
    pub events: u64,
    pub spread: f64,
    pub event_bytes: usize,
}

impl Pace {
    /// Events of the whole answer to a request.
    pub fn events_of(&self, id: &str) -> u64 {
        let mut random = base::Random(0x9e37_79b9_7f4a_7c15);
        for byte in id.bytes() {
            random.0 ^= u64::from(byte);
            random.next();
        }
        let part = random.below(1_000) as f64 / 500.0 - 1.0;
        (self.events as f64 * (1.0 + self.spread * part)) as u64
    }
}

/// A replica.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    pub pace: Mutex<Pace>,
    flood: Mutex<Option<Flood>>,
    /// When the next bytes to a machine are due.
    due: Mutex<HashMap<String, Instant>>,
    busy: Mutex<(usize, usize)>,
    /// Everything that reached any replica.
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Arc<Record>,
    seq: AtomicU64,
    /// Number of answers that spoiling replicas have begun, all together.
    answers: Arc<AtomicU64>,
}

/// The whole output of an item: the data of all events in order, separated by line feeds.
pub fn output(id: &str, pace: &Pace) -> String {
    let events = 1..=pace.events_of(id);
    let all: Vec<String> = events
        .map(|event| data(id, event, pace.event_bytes))
        .collect();
    all.join("\n")
}

/// The whole stream that answers a request.
pub fn stream(id: &str, pace: &Pace) -> String {
    let events = 1..=pace.events_of(id);
    events
        .map(|event| event_text(id, event, pace.event_bytes))
        .collect()
}

fn event_text(id: &str, event: u64, bytes: usize) -> String {
    format!("id: {event}\ndata: {}\n\n", data(id, event, bytes))
}

/// The data of an event of a request.
pub fn data(id: &str, event: u64, bytes: usize) -> String {
    let mut text = format!("{id}-{event}-");
    while text.len() < bytes {
        text.push('x');
    }
    text
}

impl Replica {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        pace: Pace,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        record: &Arc<Record>,
        answers: &Arc<AtomicU64>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap().to_string(),
            pace: Mutex::new(pace),
            flood: Mutex::new(None),
            due: Mutex::default(),
            busy: Mutex::new((0, 0)),
            arrivals: Arc::clone(arrivals),
            record: Arc::clone(record),
            seq: AtomicU64::new(0),
            answers: Arc::clone(answers),
        });
        let serving = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = Arc::clone(&serving);
                thread::spawn(move || {
                    // The other side may close at any time.
                    let _ = replica.serve(stream);
                });
            }
        });
        replica
    }

    /// Its entry in the store.
    pub fn entry(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1.0\",\"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq}}}",
            self.service,
            self.address,
            self.zone,
            self.pace.lock().unwrap().slots,
        )
    }

    pub fn set_flood(&self, flood: Option<Flood>) {
        self.record
            .line(&format!("replica {} trouble={flood:?}", self.id));
        *self.flood.lock().unwrap() = flood;
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = base::read_head(&mut reader)? {
            let _body = base::read_body(&mut reader, &head)?;
            if !self.answer(&mut stream, &head)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers one request. Returns false if the connection must end.
    fn answer(&self, stream: &mut TcpStream, head: &Head) -> std::io::Result<bool> {
        let mut words = head.first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let path = words.next().unwrap_or("").to_owned();
        let id = head.get("x-attempt-id").unwrap_or("").to_owned();
        let plain = |status: &str, extra: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            )
        };
        if method == "GET" && path == "/-/report" {
            let (active, queued) = *self.busy.lock().unwrap();
            let body = format!(
                "{{\"phase\":\"mixed\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":{queued},\"active\":{active},\"kv_used\":0,\"kv_total\":101495,\"handles\":0}}"
            );
            stream.write_all(plain("200 OK", "", &body).as_bytes())?;
            return Ok(true);
        }
        if method == "GET" {
            let extra = format!("X-Instance-Id: {}\r\n", self.id);
            stream.write_all(plain("200 OK", &extra, "").as_bytes())?;
            return Ok(true);
        }
        if head
            .get("x-target-instance")
            .is_some_and(|it| it != self.id)
        {
            stream.write_all(plain("421 Misdirected", "X-Not-Run: 1\r\n", "").as_bytes())?;
            return Ok(true);
        }
        let last_event = head.get("last-event-id").and_then(|it| it.parse().ok());
        let flood = *self.flood.lock().unwrap();
        let at = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at_ms: self.record.now_ms(),
                replica: self.id.clone(),
                service: self.service.clone(),
                id: id.clone(),
                path: path.clone(),
                last_event,
                has_run: false,
                is_sound: flood.is_none(),
                is_complete: false,
            });
            arrivals.len() - 1
        };
        self.record.line(&format!(
            "replica {} service={} got id={id} path={path} last_event={last_event:?} trouble={}",
            self.id,
            self.service,
            flood.is_some()
        ));
        let spoils = match flood.map(|flood| flood.trouble) {
            Some(Trouble::Spoiled { one_in, is_apart })
                if self.answers.fetch_add(1, Ordering::Relaxed) % one_in == one_in - 1 =>
            {
                Some(is_apart)
            }
            _ => None,
        };
        let is_flood = |flood: &Flood| !matches!(flood.trouble, Trouble::Spoiled { .. });
        if let Some(flood) = flood.filter(is_flood) {
            // Clients name the machine in the path. That of an item isn't known, so all machines
            // share the speed of one.
            let machine = path.split('/').nth(2).unwrap_or("").to_owned();
            self.send_flood(stream, &id, &machine, flood)?;
            return Ok(false);
        }
        if !self.take_slot() {
            stream.write_all(plain("503 Full", "X-Not-Run: 1\r\n", "").as_bytes())?;
            return Ok(true);
        }
        self.arrivals.lock().unwrap()[at].has_run = true;
        let sent = self.run(stream, &id, last_event.unwrap_or(0), spoils);
        self.busy.lock().unwrap().0 -= 1;
        self.arrivals.lock().unwrap()[at].is_complete = sent.is_ok();
        self.record.line(&format!(
            "replica {} ended id={id} complete={} spoiled={}",
            self.id,
            sent.is_ok(),
            spoils.is_some()
        ));
        sent.map(|()| true)
    }

    /// Waits for a slot; false if too many wait.
    fn take_slot(&self) -> bool {
        let slots = self.pace.lock().unwrap().slots;
        {
            let mut busy = self.busy.lock().unwrap();
            if busy.1 >= QUEUE {
                return false;
            }
            busy.1 += 1;
        }
        loop {
            {
                let mut busy = self.busy.lock().unwrap();
                if busy.0 < slots {
                    busy.0 += 1;
                    busy.1 -= 1;
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        id: &str,
        last: u64,
        spoils: Option<bool>,
    ) -> std::io::Result<()> {
        let pace = self.pace.lock().unwrap().clone();
        let mut next = Instant::now() + pace.first;
        let wait = |until: Instant| thread::sleep(until.saturating_duration_since(Instant::now()));
        wait(next);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        for event in last + 1..=pace.events_of(id) {
            let mut text = event_text(id, event, pace.event_bytes);
            let spoils = spoils.filter(|_| event == last + SOUND_EVENTS);
            if spoils == Some(false) {
                text += SPOILED_BYTES;
            }
            send_chunk(stream, &text)?;
            if spoils == Some(true) {
                thread::sleep(pace.gap);
                send_chunk(stream, SPOILED_BYTES)?;
            }
            if spoils.is_some() {
                return Err(std::io::ErrorKind::Other.into());
            }
            next += pace.gap;
            wait(next);
            // A replica drops a request whose connection has closed.
            if is_closed(stream) {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Sends bytes that are no answer, until the caller closes. It does not work on the request.
    fn send_flood(
        &self,
        stream: &mut TcpStream,
        id: &str,
        machine: &str,
        flood: Flood,
    ) -> std::io::Result<()> {
        let (status, media, bytes): (&str, &str, &[u8]) = match flood.trouble {
            Trouble::EndlessError => (
                "500 Internal Server Error",
                "text/plain",
                b"core dump: 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00\n",
            ),
            Trouble::EndlessStream(bytes) => ("200 OK", "text/event-stream", bytes),
            Trouble::Spoiled { .. } => return Ok(()),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\nContent-Type: {media}\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes())?;
        let size = BLOCK_BYTES.min(flood.bytes_per_s / WRITES_PER_S) as usize;
        let block = bytes.repeat(size / bytes.len() + 1);
        let time = Duration::from_secs_f64(block.len() as f64 / flood.bytes_per_s as f64);
        let began = Instant::now();
        let mut sent = 0;
        let result = loop {
            let due = {
                let mut all = self.due.lock().unwrap();
                let due = all.entry(machine.to_owned()).or_insert(began);
                *due = (*due).max(Instant::now()) + time;
                *due
            };
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if let Err(error) = stream.write_all(&block) {
                break Err(error);
            }
            sent += block.len();
        };
        self.record.line(&format!(
            "replica {} sent {sent} bytes without end to id={id} for {} ms until the caller closed",
            self.id,
            began.elapsed().as_millis()
        ));
        result
    }
}

fn send_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// True if the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let read = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match read {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
