//! CPU time and memory of nodes under load, with real processes: three nodes and eight stand-in
//! engines. Prints the cost per question and per token, which docs/CAPACITY.md multiplies by the
//! expected load.
//!
//! `cargo build --release --workspace && cargo bench --bench path`

#[path = "../tests/support/env.rs"]
mod env;

use std::cell::Cell;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use auburnspoke::rpc::client::{Client, Timeouts};
use auburnspoke::rpc::v1::AskRequest;
use env::{Fleet, Process};

const NODES: usize = 3;
const ENGINES: usize = 8;
const RUNS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(8);
/// Kernel clock ticks per second in /proc/PID/stat.
const TICKS_PER_SECOND: f64 = 100.0;

/// Totals of one load run.
#[derive(Debug, Default)]
struct Sample {
    questions: f64,
    tokens: f64,
    refused: f64,
    /// CPU seconds of all nodes.
    cpu: f64,
    seconds: f64,
}

#[derive(Default)]
struct Tally {
    questions: Cell<u64>,
    tokens: Cell<u64>,
    refused: Cell<u64>,
}

fn add(cell: &Cell<u64>, more: u64) {
    cell.set(cell.get() + more);
}

fn cpu(nodes: &[Process]) -> f64 {
    let ticks = |node: &Process| {
        let text = fs::read_to_string(format!("/proc/{}/stat", node.id())).unwrap_or_default();
        let after = text.rsplit(')').next().unwrap_or_default().to_owned();
        let fields = after.split_whitespace().skip(11).take(2);
        fields
            .filter_map(|field| field.parse::<f64>().ok())
            .sum::<f64>()
    };
    nodes.iter().map(ticks).sum::<f64>() / TICKS_PER_SECOND
}

fn rss_mib(node: &Process) -> f64 {
    let text = fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    let kib: f64 = value.and_then(|value| value.parse().ok()).unwrap_or(0.0);
    kib / 1_024.0
}

/// Sends questions one after another until `end`, and counts the answers.
async fn ask(server: SocketAddr, max_tokens: u32, number: usize, tally: Rc<Tally>, end: Instant) {
    let timeouts = Timeouts {
        connect: Duration::from_secs(2),
        answer: Duration::from_secs(30),
    };
    let client = Client::new(vec![server], timeouts);
    let request = AskRequest {
        service: "recipes".into(),
        organisation: format!("organisation-{}", number % 20),
        prompt: format!("scale recipe {number} to four hundred children, without nuts"),
        max_tokens,
        ..AskRequest::default()
    };
    while Instant::now() < end {
        let Ok(mut answer) = client.ask(&request).await else {
            add(&tally.refused, 1);
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let mut is_complete = false;
        while let Ok(Some(piece)) = answer.next().await {
            if let Some(end) = piece.end {
                is_complete = true;
                add(&tally.tokens, u64::from(end.tokens));
            }
        }
        add(
            if is_complete {
                &tally.questions
            } else {
                &tally.refused
            },
            1,
        );
    }
}

fn load(fleet: &Fleet, concurrency: usize, max_tokens: u32) -> Sample {
    let servers: Vec<SocketAddr> = fleet
        .nodes
        .iter()
        .filter_map(|node| node.address("callers").parse().ok())
        .collect();
    let tally = Rc::new(Tally::default());
    let start = Instant::now();
    let before = cpu(&fleet.nodes);
    actix_rt::System::new().block_on(async {
        let end = start + RUN_TIME;
        let callers = (0..concurrency).map(|number| {
            let server = servers[number % servers.len()];
            ask(server, max_tokens, number, Rc::clone(&tally), end)
        });
        futures_util::future::join_all(callers).await;
    });
    Sample {
        questions: tally.questions.get() as f64,
        tokens: tally.tokens.get() as f64,
        refused: tally.refused.get() as f64,
        cpu: cpu(&fleet.nodes) - before,
        seconds: start.elapsed().as_secs_f64(),
    }
}

/// Returns the cost of a question and of a token in microseconds, from the linear equations of two
/// load runs.
fn unit_costs(short: &Sample, long: &Sample, idle: f64) -> (f64, f64) {
    let cost = |sample: &Sample| sample.cpu - idle * sample.seconds;
    let determinant = short.questions * long.tokens - long.questions * short.tokens;
    let question = (cost(short) * long.tokens - cost(long) * short.tokens) / determinant;
    let token = (short.questions * cost(long) - long.questions * cost(short)) / determinant;
    (question * 1e6, token * 1e6)
}

fn main() {
    let mut fleet = Fleet::new();
    for _ in 0..ENGINES {
        fleet.engine(&["--faster", "10"]);
    }
    for node in 0..NODES {
        fleet.node(&format!("zone-{node}"));
    }
    fleet.await_members(NODES);
    fleet.configure();
    std::thread::sleep(Duration::from_secs(5));
    let start = cpu(&fleet.nodes);
    std::thread::sleep(Duration::from_secs(10));
    let idle = (cpu(&fleet.nodes) - start) / 10.0;
    let each = idle / NODES as f64 * 100.0;
    println!(
        "idle: {each:.2}% of a core and {:.1} MiB a node",
        rss_mib(&fleet.nodes[0])
    );
    for run in 0..RUNS {
        for concurrency in [8, 32] {
            let short = load(&fleet, concurrency, 4);
            let long = load(&fleet, concurrency, 200);
            let (question, token) = unit_costs(&short, &long, idle);
            println!(
                "run {run}, {concurrency} at a time: {question:.0} us a question, {token:.1} us a \
                 token, both over gateway and dispatcher; {:.0} questions/s of 4 tokens, then \
                 {:.0} tokens/s in answers of 200; {} and {} refused; {:.1} MiB",
                short.questions / short.seconds,
                long.tokens / long.seconds,
                short.refused,
                long.refused,
                rss_mib(&fleet.nodes[0]),
            );
        }
    }
}
