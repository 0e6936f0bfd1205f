//! Stand-ins for clients: streams on kept connections, and batch jobs.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::base::{self, Json, Record};

pub const HOST: &str = "nony24.example";
/// A client leaves a stream after this pause: the longest of 2 s, four times the objective of
/// 300 ms and eight times the longest pause of 400 ms.
const MAX_PAUSE: Duration = Duration::from_millis(3_200);
const DEADLINE: Duration = Duration::from_secs(5);

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status.
    Answered(u16),
    /// The connection ended before a byte of the answer.
    ClosedWithoutAnswer,
    /// The connection ended within the answer.
    ClosedMidway,
    /// The client left.
    Left,
    /// No connection was made.
    NoConnection,
}

/// A request that a client sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// True if the connection had carried an answer before.
    pub is_kept: bool,
    pub outcome: Outcome,
    /// What came of the body of a stream.
    pub body: String,
}

/// A client with one kept connection.
pub struct Client {
    conn: Option<(usize, BufReader<TcpStream>, bool)>,
}

impl Client {
    pub fn new() -> Self {
        Self { conn: None }
    }

    /// Sends one streaming request, over the kept connection if there is one.
    pub fn ask(&mut self, addresses: &[String], node: usize, id: &str, record: &Record) -> Sent {
        let (node, mut reader, is_kept) = match self.conn.take() {
            Some(conn) => conn,
            None => match connect(&addresses[node]) {
                Ok(stream) => (node, BufReader::new(stream), false),
                Err(_) => {
                    return Sent {
                        id: id.to_owned(),
                        is_kept: false,
                        outcome: Outcome::NoConnection,
                        body: String::new(),
                    };
                }
            },
        };
        let mut body = Vec::new();
        let (outcome, keeps) = exchange(&mut reader, node, id, &mut body);
        record.line(&format!(
            "client sent id={id} node={node} kept={is_kept} outcome={outcome:?}"
        ));
        if keeps && matches!(outcome, Outcome::Answered(_)) {
            self.conn = Some((node, reader, true));
        }
        Sent {
            id: id.to_owned(),
            is_kept,
            outcome,
            body: String::from_utf8_lossy(&body).into_owned(),
        }
    }
}

fn connect(address: &str) -> io::Result<TcpStream> {
    let address = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(MAX_PAUSE))?;
    Ok(stream)
}

/// Returns the outcome, and whether the connection may be used again.
fn exchange(
    reader: &mut BufReader<TcpStream>,
    node: usize,
    id: &str,
    stream: &mut Vec<u8>,
) -> (Outcome, bool) {
    let began = Instant::now();
    let body = "{\"q\":\"status of the remittance\"}";
    // The path names the node that the client chose; it means nothing to the system.
    let text = format!(
        "POST /lohu930/n{node}/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 450,34\r\nX-Prompt-Prefix: 5c1e07a2:200,{id}:250\r\nX-Timeout-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    if reader.get_mut().write_all(text.as_bytes()).is_err() {
        return (Outcome::ClosedWithoutAnswer, false);
    }
    let is_pause = |error: &io::Error| {
        matches!(
            error.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        )
    };
    let head = match base::read_head(reader) {
        Ok(Some(head)) => head,
        Ok(None) => return (Outcome::ClosedWithoutAnswer, false),
        Err(error) if is_pause(&error) => return (Outcome::Left, false),
        Err(_) => return (Outcome::ClosedWithoutAnswer, false),
    };
    let keeps = head.get("connection") != Some("close");
    if head.get("transfer-encoding").is_none() {
        return match base::read_body(reader, &head) {
            Ok(_) => (Outcome::Answered(head.status()), keeps),
            Err(_) => (Outcome::ClosedMidway, false),
        };
    }
    loop {
        if began.elapsed() > DEADLINE {
            return (Outcome::Left, false);
        }
        match base::read_chunk(reader) {
            Ok(Some(chunk)) => stream.extend_from_slice(&chunk),
            Ok(None) => return (Outcome::Answered(head.status()), keeps),
            Err(error) if is_pause(&error) => return (Outcome::Left, false),
            Err(_) => return (Outcome::ClosedMidway, false),
        }
    }
}

/// A batch job as its client knows it.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub items: Vec<String>,
    /// Most tokens of an item's output.
    pub output_tokens: usize,
    /// When the 202 came.
    pub accepted_ms: Option<u64>,
    /// Results by position: the item, whether it is complete, and its output.
    pub results: Vec<(String, bool, String)>,
}

impl Job {
    pub fn new(id: &str, count: usize, output_tokens: usize) -> Self {
        Self {
            id: id.to_owned(),
            output_tokens,
            items: (0..count).map(|at| format!("{id}{at:03}")).collect(),
            accepted_ms: None,
            results: Vec::new(),
        }
    }

    /// Submits the job until it is accepted, each time at another node.
    pub fn submit(&mut self, addresses: &[String], first: usize, record: &Record) -> bool {
        let most = self.output_tokens;
        let tokens = 350 + most;
        let items: Vec<String> = self
            .items
            .iter()
            .map(|item| {
                format!(
                    "{{\"id\":\"{item}\",\"path\":\"/pule252/3/{item}\",\"headers\":{{\"X-Model\":\"m\",\"X-Token-Count\":\"350,{most}\",\"X-Prompt-Prefix\":\"9c2e41:100,{item}:250\"}},\"body\":\"q83vEjRWeJA=\",\"tokens\":{tokens}}}"
                )
            })
            .collect();
        let body = format!("{{\"requests\":[{}]}}", items.join(","));
        let path = format!("/pule252/{}", self.id);
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", self.id.as_str()),
            ("Content-Type", "application/json"),
        ];
        for attempt in 0..20 {
            let node = (first + attempt) % addresses.len();
            let limit = Duration::from_secs(4);
            let answer = base::call(
                &addresses[node],
                "POST",
                &path,
                &headers,
                body.as_bytes(),
                limit,
            );
            let status = answer.map(|(status, _)| status).unwrap_or(0);
            record.line(&format!(
                "client job={} node={node} status={status}",
                self.id
            ));
            if status == 202 {
                self.accepted_ms = Some(record.now_ms());
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    pub fn is_finished(&self) -> bool {
        self.results.len() >= self.items.len()
    }

    /// Reads on from the last result. Returns the status, 0 for no answer.
    pub fn read(&mut self, address: &str, record: &Record) -> u16 {
        let (status, results) = read_page(address, &self.id, self.results.len());
        for (id, is_complete, output) in results {
            record.line(&format!(
                "client job={} position={} item={id} complete={is_complete} bytes={}",
                self.id,
                self.results.len(),
                output.len()
            ));
            self.results.push((id, is_complete, output));
        }
        status
    }
}

/// Reads the results of a job from the position `after` on.
pub fn read_page(address: &str, job: &str, after: usize) -> (u16, Vec<(String, bool, String)>) {
    let path = format!("/-/lots/{job}?after={after}");
    let headers = [("Host", HOST), ("X-Wait-Ms", "1000")];
    let limit = Duration::from_millis(2_500);
    let Ok((status, body)) = base::call(address, "GET", &path, &headers, b"", limit) else {
        return (0, Vec::new());
    };
    let page = Json::parse(&body).unwrap_or(Json::Null);
    let results = page
        .get("results")
        .list()
        .iter()
        .map(|result| {
            let is_complete = result.get("state").text() == "complete";
            let text = |key| result.get(key).text().to_owned();
            (text("id"), is_complete, text("output"))
        })
        .collect();
    (status, results)
}

/// Jobs that several threads read.
pub type Jobs = Arc<Mutex<Vec<Job>>>;
