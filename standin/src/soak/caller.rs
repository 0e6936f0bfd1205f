//! Callers: they look up addresses in a node's directory, keep connections while these work, and
//! record every response.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use auburnspoke::connect::{self, Conn};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, StatusCode};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::check::{Attempt, End, Job, expected_stream, fault_of_stream};
use super::fleet::{HOST, Harness, KEY};
use super::resume;
use crate::site::replica::{CRASH_MARKER, CRASH_PART, UNLUCKY_MARKER, split_software};

pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that a caller waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Tokens of a response.
const TOKENS: u64 = 200;
/// Id of the first part of all prompts.
const FIRST_PART: &str = "f0";
/// Begins the paths of items whose prompts share a part with requests that crash replicas.
const CRASH_PART_ITEMS: &str = "/n/part/";
/// Tokens of an item's output.
const ITEM_TOKENS: u64 = 600;
/// Time after which an accepted job and its results are visible at every node.
const PROPAGATION_DELAY: Duration = Duration::from_millis(1_500);
/// How long a job is resubmitted until it is accepted.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns true if the status guarantees that the request was not run.
pub(super) fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Sends requests one after the other until the run ends.
pub async fn send_requests(harness: Rc<Harness>, at: usize) {
    let mut kept: Option<(usize, Conn)> = None;
    while harness.sending.get() {
        sleep(Duration::from_millis(10 + 7 * at as u64)).await;
        let repeatable = !harness.next_number().is_multiple_of(4);
        let number = harness.next_number();
        let path = format!("/{}/{number}", if repeatable { "q" } else { "v" });
        let id = format!("a{number:x}");
        // Every other caller uses a new connection for each request.
        if at % 2 == 1 {
            kept = None;
        }
        let conn = match kept.take() {
            Some((node, conn)) if conn.is_open() => Some((node, conn)),
            _ => open(&harness).await,
        };
        let Some((node, mut conn)) = conn else {
            continue;
        };
        let question = Question {
            path,
            id,
            tokens: TOKENS,
            repeatable,
        };
        if repeatable && number.is_multiple_of(3) {
            resume::leave_and_resume(&harness, node, conn, question).await;
            continue;
        }
        if ask(&harness, node, &mut conn, question).await == End::Whole {
            kept = Some((node, conn));
        }
    }
}

/// A request for an event stream.
#[derive(Clone, Debug)]
pub struct Question {
    /// Its path.
    pub path: String,
    /// Its id.
    pub id: String,
    /// Tokens of the response.
    pub tokens: u64,
    /// Whether it may be run more than once.
    pub repeatable: bool,
}

impl Question {
    /// Returns a request that is unique in its run, on the route of this name.
    pub fn new(harness: &Harness, route: &str, tokens: u64) -> Self {
        let number = harness.next_number();
        Self {
            path: format!("/{route}/{number}"),
            id: format!("a{number:x}"),
            tokens,
            repeatable: matches!(route, "q" | "i"),
        }
    }
}

/// Sends a request to `node` over `conn` and records how it ends.
pub async fn ask(harness: &Harness, node: usize, conn: &mut Conn, question: Question) -> End {
    ask_at(harness, node, conn, question, None).await
}

/// Like [`ask`], but reads the response no faster than `rate`, in bytes per second.
pub async fn ask_at(
    harness: &Harness,
    node: usize,
    conn: &mut Conn,
    question: Question,
    rate: Option<u32>,
) -> End {
    let Question {
        path,
        id,
        tokens,
        repeatable,
    } = question;
    let request = Request::builder()
        .method("POST")
        .uri(&path)
        .header("host", HOST)
        .header("x-attempt-id", &id)
        .header("authorization", format!("Token {KEY}"))
        // A false organisation; nodes must not trust it.
        .header("x-tenant", "another")
        .header("x-token-count", format!("300,{tokens}"))
        .header("x-prompt-prefix", prompt(&path))
        .header("x-timeout-ms", "5000")
        .body(Full::new(Bytes::from_static(b"question")));
    let Ok(request) = request else {
        harness.record_violation(format!("{id} could not be built"));
        return End::Broken;
    };
    let began = Instant::now();
    let answer = timeout(REQUEST_TIMEOUT, exchange(conn, request, rate)).await;
    let is_answered = matches!(answer, Ok(Some(_)));
    let end = match answer {
        Ok(Some((StatusCode::OK, body))) => {
            if let Some(fault) = fault_of_stream(&path, tokens, &body) {
                harness.record_violation(format!("{id} was answered with {fault}"));
            } else if split_software(&body).0 != expected_stream(&path, tokens) {
                harness.record_violation(format!(
                    "{id} was answered with a wrong body of {} bytes",
                    body.len()
                ));
            }
            End::Whole
        }
        Ok(Some((status, _))) if guarantees_not_run(status) => End::Refused,
        Ok(Some((status, _))) if status.is_client_error() => {
            harness.record_violation(format!("{id} is valid and was rejected with {status}"));
            End::Broken
        }
        Ok(Some((status, _))) => {
            log::info!("{id} was answered by node {node} with {status}");
            End::Broken
        }
        Ok(None) | Err(_) => End::Broken,
    };
    harness.attempts.borrow_mut().push(Attempt {
        id,
        repeatable,
        end,
        is_answered,
        node,
        began,
        ended: Instant::now(),
    });
    end
}

/// Returns the parts of the prompt of a request that crashes no replica. All share the first part,
/// and many the second one. Items below [`CRASH_PART_ITEMS`] share a part with requests that do.
pub(super) fn prompt(path: &str) -> String {
    let number = |text: Option<&str>| text.and_then(|it| it.parse().ok()).unwrap_or(0_u64);
    let mut segments = path.rsplit('/');
    let last = number(segments.next());
    if path.starts_with(CRASH_PART_ITEMS) {
        return crash_prompt(number(segments.next()), last);
    }
    format!("{FIRST_PART}:100,{:x}:100,c{last:x}:100", last % 7)
}

/// Returns the parts of a prompt with the crash part of this index.
fn crash_prompt(at: u64, number: u64) -> String {
    format!("{FIRST_PART}:100,{CRASH_PART}{at:x}:100,c{number:x}:100")
}

/// Sends requests whose prompts share a part that crashes replicas, until the run ends. No two are
/// alike; they come at any node, and are resumable or not. Beside them come jobs whose items have
/// the same part in their prompts, and crash nothing.
pub async fn send_crash_part(harness: Rc<Harness>, at: usize) {
    while harness.sending.get() {
        sleep(Duration::from_millis(100)).await;
        let number = harness.next_number();
        let prompt = crash_prompt(at as u64, number);
        let harness = Rc::clone(&harness);
        // The next request does not wait for this response.
        actix_rt::spawn(async move {
            match draw(&harness, 8) {
                0 => {
                    let path = format!("{CRASH_PART_ITEMS}{at}/{number}");
                    submit_job(&harness, vec![path], false).await;
                }
                1 => send_once(&harness, &format!("/v/{number}"), prompt).await,
                _ => send_once(&harness, &format!("/q/{number}"), prompt).await,
            }
        });
    }
}

/// Sends a request to a random node.
async fn send_once(harness: &Harness, path: &str, prompt: String) {
    let headers = vec![
        ("x-attempt-id", format!("p{:x}", harness.next_number())),
        ("x-token-count", format!("300,{TOKENS}")),
        ("x-prompt-prefix", prompt),
        ("x-timeout-ms", "5000".to_owned()),
    ];
    let answer = call_any(harness, "POST", path, headers, "question").await;
    let mut statuses = harness.killer_statuses.borrow_mut();
    statuses.push(answer.map(|it| it.0));
}

/// Sends killers, which crash every replica that runs them, until the run ends. By index, the
/// killer is a resumable request, or one that is not resumable. Every third one is an item of a job
/// instead, which is sound although replicas crash under it.
pub async fn send_killers(harness: Rc<Harness>, at: usize) {
    match at % 3 {
        0 => resend_killer(&harness, &format!("/q/{CRASH_MARKER}/{at}")).await,
        1 => resend_killer(&harness, &format!("/v/{CRASH_MARKER}/{at}")).await,
        _ => submit_job(&harness, vec![format!("/n/{UNLUCKY_MARKER}/{at}")], false).await,
    }
}

/// Sends a request repeatedly to random nodes, with a new id each time.
async fn resend_killer(harness: &Rc<Harness>, path: &str) {
    while harness.sending.get() {
        sleep(Duration::from_millis(120)).await;
        let headers = vec![
            ("x-attempt-id", format!("k{:x}", harness.next_number())),
            ("x-token-count", format!("300,{TOKENS}")),
            ("x-timeout-ms", "5000".to_owned()),
        ];
        let (harness, path) = (Rc::clone(harness), path.to_owned());
        // The next request does not wait for this response.
        actix_rt::spawn(async move {
            let answer = call_any(&harness, "POST", &path, headers, "question").await;
            harness
                .killer_statuses
                .borrow_mut()
                .push(answer.map(|it| it.0));
        });
    }
}

/// Opens a connection to an address from the directory. Returns it with the index of the node that
/// owns the address.
pub(super) async fn open(harness: &Harness) -> Option<(usize, Conn)> {
    let first = draw(harness, harness.plan.nodes);
    for at in 0..harness.plan.nodes {
        let node = (first + at) % harness.plan.nodes;
        let Some(addresses) = resolve(harness.directory_address(node)).await else {
            continue;
        };
        let address = {
            let mut random = harness.random.borrow_mut();
            addresses.choose(&mut *random).copied()
        }?;
        let owner =
            (0..harness.plan.nodes).find(|node| harness.caller_address(*node) == address)?;
        if let Ok(conn) = connect::open(address, CONNECT_TIMEOUT).await {
            return Some((owner, conn));
        }
    }
    None
}

pub(super) fn draw(harness: &Harness, below: usize) -> usize {
    harness.random.borrow_mut().random_range(0..below)
}

/// Asks a directory for the nodes' addresses.
pub(super) async fn resolve(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let target = format!("/-/resolve?name={HOST}&region=r&zone=z0");
    let (_, body) = timeout(
        CONNECT_TIMEOUT,
        call(directory, "GET", &target, Vec::new(), String::new()),
    )
    .await
    .ok()??;
    let answer: Value = serde_json::from_str(&body).ok()?;
    let addresses = answer["addresses"].as_array()?;
    addresses
        .iter()
        .map(|it| it.as_str()?.parse().ok())
        .collect()
}

async fn exchange(
    conn: &mut Conn,
    request: Request<Full<Bytes>>,
    rate: Option<u32>,
) -> Option<(StatusCode, String)> {
    let response = conn.send(request).await.ok()?;
    let status = response.status();
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        bytes.extend_from_slice(&data);
        if let Some(rate) = rate {
            let length = u32::try_from(data.len()).unwrap_or(u32::MAX);
            sleep(Duration::from_secs_f64(f64::from(length) / f64::from(rate))).await;
        }
    }
    Some((status, String::from_utf8_lossy(&bytes).into_owned()))
}

/// Makes one call on a new connection.
async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: Vec<(&str, String)>,
    body: String,
) -> Option<(StatusCode, String)> {
    let mut conn = connect::open(address, CONNECT_TIMEOUT).await.ok()?;
    let mut request = Request::builder()
        .method(method)
        .uri(target)
        .header("host", HOST)
        .header("authorization", format!("Token {KEY}"));
    for (name, value) in headers {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    timeout(REQUEST_TIMEOUT, exchange(&mut conn, request, None))
        .await
        .ok()?
}

/// Calls a random node.
async fn call_any(
    harness: &Harness,
    method: &str,
    target: &str,
    headers: Vec<(&str, String)>,
    body: &str,
) -> Option<(StatusCode, String)> {
    let node = harness.caller_address(draw(harness, harness.plan.nodes));
    call(node, method, target, headers, body.to_owned()).await
}

/// Submits jobs one after the other, and reads the results of each until all are listed.
pub async fn submit_jobs(harness: Rc<Harness>) {
    while harness.sending.get() {
        let count = 2 + draw(&harness, 6);
        let paths = (0..count)
            .map(|_| {
                let number = harness.next_number();
                let kind = match draw(&harness, 40) {
                    0 => "never",
                    1 => "fails",
                    _ => "item",
                };
                format!("/n/{kind}/{number}")
            })
            .collect();
        let is_cancelled = draw(&harness, 8) == 0;
        submit_job(&harness, paths, is_cancelled).await;
    }
}

/// Submits a job of items with these paths, and reads its results until all are listed.
pub async fn submit_job(harness: &Harness, paths: Vec<String>, is_cancelled: bool) {
    let items = paths
        .into_iter()
        .map(|path| (format!("t{:x}", harness.next_number()), path, ITEM_TOKENS))
        .collect();
    let job = Rc::new(RefCell::new(Job {
        id: format!("j{:x}", harness.next_number()),
        items,
        accepted: None,
        refused: false,
        cancelled: None,
        results: BTreeMap::new(),
    }));
    harness.jobs.borrow_mut().push(Rc::clone(&job));
    submit_until_accepted(harness, &job).await;
    if job.borrow().accepted.is_none() {
        return;
    }
    if is_cancelled {
        cancel(harness, &job).await;
    }
    read_results(harness, &job).await;
}

fn body(job: &Job) -> String {
    let requests: Vec<Value> = job
        .items
        .iter()
        .map(|(id, path, tokens)| {
            json!({"id": id, "path": path, "body": STANDARD.encode(path), "tokens": tokens + 300,
                   "headers": {"X-Model": "m", "X-Token-Count": format!("300,{tokens}"),
                               "X-Prompt-Prefix": prompt(path)}})
        })
        .collect();
    json!({"requests": requests}).to_string()
}

async fn submit_until_accepted(harness: &Harness, job: &RefCell<Job>) {
    let (id, body) = {
        let job = job.borrow();
        (job.id.clone(), body(&job))
    };
    let until = Instant::now() + SUBMIT_TIMEOUT;
    let mut never_run = true;
    while Instant::now() < until {
        let headers = vec![("x-attempt-id", id.clone())];
        match call_any(harness, "POST", &format!("/n/{id}"), headers, &body).await {
            Some((StatusCode::ACCEPTED, _)) => {
                job.borrow_mut().accepted = Some(Instant::now());
                return;
            }
            Some((status, _)) if guarantees_not_run(status) => {}
            Some((status, _)) if status.is_client_error() => {
                harness
                    .record_violation(format!("job {id} is valid and was rejected with {status}"));
            }
            _ => never_run = false,
        }
        sleep(Duration::from_millis(150)).await;
    }
    job.borrow_mut().refused = never_run;
}

async fn cancel(harness: &Harness, job: &RefCell<Job>) {
    let id = job.borrow().id.clone();
    for _ in 0..20 {
        let target = format!("/-/lots/{id}");
        if let Some((StatusCode::OK, _)) =
            call_any(harness, "DELETE", &target, Vec::new(), "").await
        {
            job.borrow_mut().cancelled = Some(Instant::now());
            return;
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Reads a job's results from random nodes until every item is listed. Some reads start at an
/// earlier position again.
async fn read_results(harness: &Harness, job: &RefCell<Job>) {
    let (id, total, accepted) = {
        let job = job.borrow();
        (job.id.clone(), job.items.len(), job.accepted)
    };
    let ended = job.borrow().cancelled.is_some();
    let until = ended.then(|| Instant::now() + Duration::from_secs(5));
    while job.borrow().results.len() < total && until.is_none_or(|until| Instant::now() < until) {
        sleep(Duration::from_millis(250)).await;
        let known = job.borrow().results.len();
        let after = if draw(harness, 4) == 0 {
            draw(harness, known + 1)
        } else {
            known
        };
        let headers = vec![("x-wait-ms", "500".to_owned())];
        let target = format!("/-/lots/{id}?after={after}");
        match call_any(harness, "GET", &target, headers, "").await {
            Some((StatusCode::OK, body)) => record_page(harness, job, after, total, &body),
            Some((StatusCode::NOT_FOUND, _))
                if accepted.is_some_and(|at| at.elapsed() > PROPAGATION_DELAY) =>
            {
                harness.record_violation(format!("job {id} was accepted and was not found"));
            }
            _ => {}
        }
    }
}

fn record_page(harness: &Harness, job: &RefCell<Job>, after: usize, total: usize, body: &str) {
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    let mut job = job.borrow_mut();
    if answer["total"].as_u64() != u64::try_from(total).ok() {
        harness.record_violation(format!("job {} reports a wrong total", job.id));
    }
    let empty = Vec::new();
    for (at, result) in answer["results"]
        .as_array()
        .unwrap_or(&empty)
        .iter()
        .enumerate()
    {
        let text = |key: &str| result[key].as_str().unwrap_or_default().to_owned();
        let result = (text("id"), text("state"), text("output"));
        let known = job
            .results
            .entry(after + at)
            .or_insert_with(|| result.clone());
        if *known != result {
            let what = format!("position {} of job {} changed", after + at, job.id);
            harness.record_violation(what);
        }
    }
}
