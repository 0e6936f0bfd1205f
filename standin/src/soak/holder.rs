//! Callers that go on using a node until its process is gone, whatever its directory and its
//! responses tell them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use auburnspoke::connect::{self, Conn};
use rand::Rng as _;
use tokio::time::sleep;

use super::caller::{self, CONNECT_TIMEOUT, Question, ask_at};
use super::check::End;
use super::fleet::Harness;

/// Callers of each node.
pub const PER_NODE: usize = 3;
/// Pause between two requests of a caller.
const PAUSES_MS: std::ops::Range<u64> = 10..300;
/// How long after the signal a caller first uses a connection that it opened before: up to the end
/// of the grace period.
const WAITS_MS: std::ops::Range<u64> = 0..8_000;
/// The same for every other connection: about when the drain ends.
const DRAIN_END_MS: std::ops::Range<u64> = 6_240..6_330;
/// How long a caller keeps an unused connection; nodes close one that is idle for longer.
const MAX_IDLE: Duration = Duration::from_secs(12);
/// Tokens of responses that take from 0.16 to 3.6 s; most are short.
const TOKENS: [u64; 8] = [200, 200, 200, 200, 600, 1_500, 3_000, 4_500];
/// Most tokens of a response that is read slowly, so that its reader keeps to the deadline.
const MAX_SLOW_TOKENS: u64 = 1_500;
/// Bytes per second that a slow reader reads of a response with [`PADDING`].
const SLOW_RATE: u32 = 500_000;
/// Length of the path of a slow reader's request, which each event repeats.
const PADDING: usize = 8_000;

/// How a caller behaves.
#[derive(Clone, Copy, Debug)]
enum Habit {
    /// Uses its connection until it closes, and then opens the next one to the same node.
    Stays,
    /// Uses its connection first after the node was told to stop, and then stays.
    Late,
    /// Asks the directory once and keeps to these addresses while one of them works.
    KeepsDirectory,
}

/// Returns the habit of a caller. Every other node has late callers only, so that it often has no
/// open request in its stop but theirs.
fn habit(node: usize, at: usize) -> Habit {
    if node % 2 == 1 {
        return Habit::Late;
    }
    [Habit::Stays, Habit::Late, Habit::KeepsDirectory][at % PER_NODE]
}

/// Sends requests to one node until the run ends. By index, the node and the habit differ.
pub async fn hold(harness: Rc<Harness>, at: usize) {
    let node = at / PER_NODE;
    match habit(node, at) {
        Habit::Stays => {
            while harness.sending.get() {
                match open(harness.caller_address(node)).await {
                    Some(conn) => stay(&harness, node, conn).await,
                    None => pause(&harness).await,
                }
            }
        }
        Habit::Late => {
            while harness.sending.get() {
                match open(harness.caller_address(node)).await {
                    Some(conn) => use_late(&harness, node, conn).await,
                    None => pause(&harness).await,
                }
            }
        }
        Habit::KeepsDirectory => keep_directory(&harness, node).await,
    }
}

async fn open(address: SocketAddr) -> Option<Conn> {
    connect::open(address, CONNECT_TIMEOUT).await.ok()
}

async fn pause(harness: &Harness) {
    let length = harness.random.borrow_mut().random_range(PAUSES_MS);
    sleep(Duration::from_millis(length)).await;
}

/// Uses the connection until it closes.
async fn stay(harness: &Harness, node: usize, mut conn: Conn) {
    while harness.sending.get() && conn.is_open() {
        if send(harness, node, &mut conn).await == End::Broken {
            return;
        }
        pause(harness).await;
    }
}

/// Waits until the node is told to stop, and then for a random time, before it uses the
/// connection.
async fn use_late(harness: &Harness, node: usize, mut conn: Conn) {
    let opened = Instant::now();
    // Every other connection is used once before.
    if caller::draw(harness, 2) == 0 && send(harness, node, &mut conn).await == End::Broken {
        return;
    }
    while harness.nodes[node].stopped().is_none() {
        if !harness.sending.get() || !conn.is_open() || opened.elapsed() > MAX_IDLE {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    let wait = {
        let mut random = harness.random.borrow_mut();
        if random.random_bool(0.5) {
            random.random_range(DRAIN_END_MS)
        } else {
            random.random_range(WAITS_MS)
        }
    };
    let wait = Duration::from_millis(wait);
    let stopped = harness.nodes[node].stopped();
    while harness.sending.get() && conn.is_open() && stopped.is_some_and(|at| at.elapsed() < wait) {
        sleep(Duration::from_millis(2)).await;
    }
    stay(harness, node, conn).await;
}

/// Uses the addresses of one look-up, each with a new connection for every few requests.
async fn keep_directory(harness: &Harness, node: usize) {
    let mut kept: Vec<SocketAddr> = Vec::new();
    while harness.sending.get() {
        pause(harness).await;
        let mut opened = None;
        while let Some(address) = kept.last().copied() {
            opened = open(address).await.map(|conn| (address, conn));
            if opened.is_some() {
                break;
            }
            kept.pop();
        }
        let Some((address, mut conn)) = opened else {
            let directory = harness.directory_address(node);
            kept = caller::resolve(directory).await.unwrap_or_default();
            continue;
        };
        let owner = (0..harness.plan.nodes).find(|at| harness.caller_address(*at) == address);
        let Some(owner) = owner else {
            harness.record_violation(format!("the directory names {address}, which is no node"));
            kept.pop();
            continue;
        };
        for _ in 0..3 {
            if !conn.is_open() || send(harness, owner, &mut conn).await == End::Broken {
                break;
            }
        }
    }
}

/// Sends one request of random size; some are read slowly.
async fn send(harness: &Harness, node: usize, conn: &mut Conn) -> End {
    let number = harness.next_number();
    let repeatable = !number.is_multiple_of(4);
    let tokens = TOKENS[caller::draw(harness, TOKENS.len())];
    let is_slow = tokens <= MAX_SLOW_TOKENS && caller::draw(harness, 6) == 0;
    let kind = if repeatable { "q" } else { "v" };
    let padding = if is_slow {
        "x".repeat(PADDING)
    } else {
        String::new()
    };
    let question = Question {
        path: format!("/{kind}/{number}{padding}"),
        id: format!("a{number:x}"),
        tokens,
        repeatable,
    };
    ask_at(harness, node, conn, question, is_slow.then_some(SLOW_RATE)).await
}
