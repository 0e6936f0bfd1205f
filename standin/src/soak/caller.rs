//! Callers: they ask a node which addresses to use, keep connections for as
//! long as these work, and remember what they were told.

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

use super::check::{Asked, End, Job, whole_stream};
use super::fleet::{HOST, KEY, World};
use crate::site::replica::KILLS;

/// Most time to connect.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest time of a request.
const PATIENCE: Duration = Duration::from_secs(6);
/// Tokens of an answer.
const TOKENS: u64 = 200;
/// Tokens of an item's output.
const ITEM_TOKENS: u64 = 600;
/// A job is known everywhere, and positions show everywhere, after this.
const SETTLE: Duration = Duration::from_millis(1_500);
/// How long an unaccepted job is sent again.
const SUBMIT: Duration = Duration::from_secs(10);

/// Answers that promise "not run".
fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Asks questions one after the other until the run closes.
pub async fn ask(world: Rc<World>, at: usize) {
    let mut kept: Option<(usize, Conn)> = None;
    while world.open.get() {
        sleep(Duration::from_millis(10 + 7 * at as u64)).await;
        let repeatable = !world.fresh().is_multiple_of(4);
        let number = world.fresh();
        let path = format!("/{}/{number}", if repeatable { "q" } else { "v" });
        let id = format!("a{number:x}");
        // Some callers use a new connection each time.
        if at % 2 == 1 {
            kept = None;
        }
        let conn = match kept.take() {
            Some((node, conn)) if conn.is_open() => Some((node, conn)),
            _ => open(&world).await,
        };
        let Some((node, mut conn)) = conn else {
            continue;
        };
        let request = Request::builder()
            .method("POST")
            .uri(&path)
            .header("host", HOST)
            .header("x-attempt-id", &id)
            .header("authorization", format!("Token {KEY}"))
            // Its own word for whose it is; nobody may take it.
            .header("x-tenant", "another")
            .header("x-token-count", format!("300,{TOKENS}"))
            .header("x-timeout-ms", "5000")
            .body(Full::new(Bytes::from_static(b"question")));
        let Ok(request) = request else {
            return;
        };
        let began = Instant::now();
        let answer = timeout(PATIENCE, exchange(&mut conn, request)).await;
        let end = match answer {
            Ok(Some((StatusCode::OK, body))) => {
                if body != whole_stream(&path, TOKENS) {
                    world.broke(format!("{id} got a wrong answer of {} bytes", body.len()));
                }
                End::Whole
            }
            Ok(Some((status, _))) if is_promise(status) => End::Refused,
            Ok(Some((status, _))) if status.is_client_error() => {
                world.broke(format!("{id} is proper and was answered {status}"));
                End::Broken
            }
            _ => End::Broken,
        };
        world.asked.borrow_mut().push(Asked {
            id,
            repeatable,
            end,
            node,
            began,
            at: Instant::now(),
        });
        if end == End::Whole {
            kept = Some((node, conn));
        }
    }
}

/// Harms replicas with a request that crashes whatever runs it, until the run closes:
/// by turns one that may be gone on with, one that may not, and an item of a job.
pub async fn kill(world: Rc<World>, at: usize) {
    match at % 3 {
        0 => kill_again(&world, &format!("/q/{KILLS}/{at}")).await,
        1 => kill_again(&world, &format!("/v/{KILLS}/{at}")).await,
        _ => submit_killer(&world, &format!("/n/{KILLS}/{at}")).await,
    }
}

/// Sends a request again and again, with an id of its own each time, at nodes drawn by
/// chance.
async fn kill_again(world: &Rc<World>, path: &str) {
    while world.open.get() {
        sleep(Duration::from_millis(120)).await;
        let headers = vec![
            ("x-attempt-id", format!("k{:x}", world.fresh())),
            ("x-token-count", format!("300,{TOKENS}")),
            ("x-timeout-ms", "5000".to_owned()),
        ];
        let (world, path) = (Rc::clone(world), path.to_owned());
        // The next one does not wait for its answer.
        actix_rt::spawn(async move {
            let answer = call_any(&world, "POST", &path, headers, "question").await;
            world.killed.borrow_mut().push(answer.map(|it| it.0));
        });
    }
}

/// Submits a job of one item that crashes whatever runs it.
async fn submit_killer(world: &World, path: &str) {
    let job = RefCell::new(Job {
        id: format!("j{:x}", world.fresh()),
        items: vec![(
            format!("t{:x}", world.fresh()),
            path.to_owned(),
            ITEM_TOKENS,
        )],
        accepted: None,
        refused: false,
        ended: None,
        results: BTreeMap::new(),
    });
    send(world, &job).await;
}

/// A connection to one of the addresses that the directory names, and whose it is.
async fn open(world: &World) -> Option<(usize, Conn)> {
    let first = draw(world, world.plan.nodes);
    for at in 0..world.plan.nodes {
        let node = (first + at) % world.plan.nodes;
        let Some(addresses) = resolve(world.directory(node)).await else {
            continue;
        };
        let address = {
            let mut random = world.random.borrow_mut();
            addresses.choose(&mut *random).copied()
        }?;
        let owner = (0..world.plan.nodes).find(|node| world.callers(*node) == address)?;
        if let Ok(conn) = connect::open(address, CONNECT).await {
            return Some((owner, conn));
        }
    }
    None
}

fn draw(world: &World, below: usize) -> usize {
    world.random.borrow_mut().random_range(0..below)
}

async fn resolve(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let target = format!("/-/resolve?name={HOST}&region=r&zone=z0");
    let (_, body) = timeout(
        CONNECT,
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

async fn exchange(conn: &mut Conn, request: Request<Full<Bytes>>) -> Option<(StatusCode, String)> {
    let response = conn.send(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// One call on a connection of its own.
async fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: Vec<(&str, String)>,
    body: String,
) -> Option<(StatusCode, String)> {
    let mut conn = connect::open(address, CONNECT).await.ok()?;
    let mut request = Request::builder()
        .method(method)
        .uri(target)
        .header("host", HOST)
        .header("authorization", format!("Token {KEY}"));
    for (name, value) in headers {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    timeout(PATIENCE, exchange(&mut conn, request)).await.ok()?
}

/// Calls a node drawn by chance.
async fn call_any(
    world: &World,
    method: &str,
    target: &str,
    headers: Vec<(&str, String)>,
    body: &str,
) -> Option<(StatusCode, String)> {
    let node = world.callers(draw(world, world.plan.nodes));
    call(node, method, target, headers, body.to_owned()).await
}

/// Submits jobs, one after the other, and reads each to its end.
pub async fn submit(world: Rc<World>) {
    while world.open.get() {
        let id = format!("j{:x}", world.fresh());
        let count = 2 + draw(&world, 6);
        let items: Vec<(String, String, u64)> = (0..count)
            .map(|_| {
                let number = world.fresh();
                let sort = match draw(&world, 40) {
                    0 => "never",
                    1 => "fails",
                    _ => "item",
                };
                (
                    format!("t{number:x}"),
                    format!("/n/{sort}/{number}"),
                    ITEM_TOKENS,
                )
            })
            .collect();
        let job = Rc::new(RefCell::new(Job {
            id,
            items,
            accepted: None,
            refused: false,
            ended: None,
            results: BTreeMap::new(),
        }));
        world.jobs.borrow_mut().push(Rc::clone(&job));
        send(&world, &job).await;
        if job.borrow().accepted.is_none() {
            continue;
        }
        if draw(&world, 8) == 0 {
            end(&world, &job).await;
        }
        read(&world, &job).await;
    }
}

fn body(job: &Job) -> String {
    let requests: Vec<Value> = job
        .items
        .iter()
        .map(|(id, path, tokens)| {
            json!({"id": id, "path": path, "body": STANDARD.encode(path), "tokens": tokens + 300,
                   "headers": {"X-Model": "m", "X-Token-Count": format!("300,{tokens}")}})
        })
        .collect();
    json!({"requests": requests}).to_string()
}

async fn send(world: &World, job: &RefCell<Job>) {
    let (id, body) = {
        let job = job.borrow();
        (job.id.clone(), body(&job))
    };
    let until = Instant::now() + SUBMIT;
    let mut promised = true;
    while Instant::now() < until {
        let headers = vec![("x-attempt-id", id.clone())];
        match call_any(world, "POST", &format!("/n/{id}"), headers, &body).await {
            Some((StatusCode::ACCEPTED, _)) => {
                job.borrow_mut().accepted = Some(Instant::now());
                return;
            }
            Some((status, _)) if is_promise(status) => {}
            Some((status, _)) if status.is_client_error() => {
                world.broke(format!("job {id} is proper and was answered {status}"));
            }
            _ => promised = false,
        }
        sleep(Duration::from_millis(150)).await;
    }
    job.borrow_mut().refused = promised;
}

async fn end(world: &World, job: &RefCell<Job>) {
    let id = job.borrow().id.clone();
    for _ in 0..20 {
        let target = format!("/-/lots/{id}");
        if let Some((StatusCode::OK, _)) = call_any(world, "DELETE", &target, Vec::new(), "").await
        {
            job.borrow_mut().ended = Some(Instant::now());
            return;
        }
        sleep(Duration::from_millis(200)).await;
    }
}

/// Reads a job until every item is listed, now and then from an earlier
/// position, at nodes drawn by chance.
async fn read(world: &World, job: &RefCell<Job>) {
    let (id, total, accepted) = {
        let job = job.borrow();
        (job.id.clone(), job.items.len(), job.accepted)
    };
    let ended = job.borrow().ended.is_some();
    let until = ended.then(|| Instant::now() + Duration::from_secs(5));
    while job.borrow().results.len() < total && until.is_none_or(|until| Instant::now() < until) {
        sleep(Duration::from_millis(250)).await;
        let known = job.borrow().results.len();
        let after = if draw(world, 4) == 0 {
            draw(world, known + 1)
        } else {
            known
        };
        let headers = vec![("x-wait-ms", "500".to_owned())];
        let target = format!("/-/lots/{id}?after={after}");
        match call_any(world, "GET", &target, headers, "").await {
            Some((StatusCode::OK, body)) => take(world, job, after, total, &body),
            Some((StatusCode::NOT_FOUND, _))
                if accepted.is_some_and(|at| at.elapsed() > SETTLE) =>
            {
                world.broke(format!("job {id} is accepted and was not found"));
            }
            _ => {}
        }
    }
}

fn take(world: &World, job: &RefCell<Job>, after: usize, total: usize, body: &str) {
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    let mut job = job.borrow_mut();
    if answer["total"].as_u64() != u64::try_from(total).ok() {
        world.broke(format!("job {} has a wrong total", job.id));
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
            world.broke(what);
        }
    }
}
