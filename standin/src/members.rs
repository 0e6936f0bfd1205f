//! `standin members`: many members on real sockets of loopback, in a few
//! threads of one process, measured.
//!
//! docs/design/members.md shows its figures. It prints one JSON object a run.

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::{Arbiter, System};
use auburnspoke::clock::Clock;
use auburnspoke::member::shell::{Counts, Handle, Setup, start};
use auburnspoke::member::tuning::Tuning;
use auburnspoke::member::{Member, State, View};
use auburnspoke::snapshot::Cell;
use auburnspoke::table::{Fault, Roster, Vm};
use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, ensure, eyre};
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Threads that share the members.
const THREADS: usize = 4;
/// Bytes of the headers below each datagram.
const HEADERS: u64 = 28;
/// Clock ticks a second in the kernel's figures about a process.
const TICKS: f64 = 100.0;
/// How long anything may take before the run is given up.
const PATIENCE: Duration = Duration::from_secs(180);

/// The subcommand's arguments.
pub fn command() -> Command {
    Command::new("members")
        .about("Measures membership with many members on loopback")
        .arg(number("count", "12", "Members"))
        .arg(number("runs", "3", "Runs, each with new members"))
        .arg(number("seconds", "20", "Length of the quiet measurement"))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(usize))
        .default_value(default)
        .help(help)
}

/// Measures and prints.
///
/// # Errors
/// When sockets can't be had or the members don't come to agree.
pub fn run(arguments: &ArgMatches) -> Result<()> {
    let get = |name| arguments.get_one::<usize>(name).copied().unwrap_or(1);
    let count = get("count");
    ensure!(count >= 3, "--count must be 3 or more");
    for run in 0..get("runs") {
        let seconds = get("seconds") as u64;
        let report = System::new().block_on(measure(run, count, Duration::from_secs(seconds)))?;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

/// What one run found; bytes are those of both directions with the headers
/// below, for each member.
#[derive(Debug, Default, Serialize)]
struct Report {
    run: usize,
    count: usize,
    /// From the first start until all agree.
    form_ms: u64,
    /// Mean and highest of all members while nothing happens.
    quiet_bytes_s: f64,
    quiet_bytes_s_max: f64,
    quiet_cpu_percent: f64,
    quiet_suspicions: u64,
    /// From one node having a version in force until all have heard of it.
    version_heard_ms: u64,
    /// From all nodes having a version in force until all know that.
    version_known_ms: u64,
    /// What that change cost each member within the quiet time's length.
    version_bytes: f64,
    version_bytes_s_max: f64,
    version_cpu_percent: f64,
    /// From a member's sudden end until the first and until all others know.
    death_first_ms: u64,
    death_all_ms: u64,
    wrong_deaths: u64,
    /// Growth of the process divided by the members.
    rss_kib: f64,
}

/// The platform's list, which says nothing: seeds must do.
struct Nothing;

impl Roster for Nothing {
    async fn list(&self) -> std::result::Result<Vec<Vm>, Fault> {
        Ok(Vec::new())
    }
}

struct Node {
    handle: Handle,
    view: Arc<Cell<View>>,
    counts: Counts,
}

#[derive(Clone, Copy)]
struct Usage {
    bytes: u64,
    cpu: f64,
    at: Instant,
}

async fn measure(run: usize, count: usize, quiet: Duration) -> Result<Report> {
    let before = rss_kib()?;
    let arbiters: Vec<Arbiter> = (0..=THREADS).map(|_| Arbiter::new()).collect();
    let begun = Instant::now();
    let nodes = begin(&arbiters, count).await?;
    until(|| nodes.iter().all(|node| alive(node) == count)).await?;
    let mut report = Report {
        run,
        count,
        form_ms: millis(begun),
        ..Report::default()
    };
    settle(&nodes).await;
    report.rss_kib = (rss_kib()? - before) / count as f64;
    measure_quiet(&nodes, quiet, &mut report).await?;
    measure_version(&nodes, quiet, &mut report).await?;
    measure_death(&arbiters, &nodes, &mut report).await?;
    for arbiter in arbiters {
        arbiter.stop();
        let _ = arbiter.join();
    }
    Ok(report)
}

/// Starts the members; the last one has a thread of its own.
async fn begin(arbiters: &[Arbiter], count: usize) -> Result<Vec<Node>> {
    let mut sockets = Vec::new();
    for _ in 0..count {
        let socket = UdpSocket::bind("127.0.0.1:0").wrap_err("no socket to be had")?;
        socket.set_nonblocking(true)?;
        sockets.push(socket);
    }
    let seeds = sockets.iter().take(3).map(UdpSocket::local_addr);
    let seeds: Vec<SocketAddr> = seeds.collect::<std::io::Result<_>>()?;
    let clock = Clock::start();
    let mut nodes = Vec::new();
    for (at, socket) in sockets.into_iter().enumerate() {
        let thread = if at + 1 == count {
            THREADS
        } else {
            at % THREADS
        };
        nodes.push(begin_one(&arbiters[thread], at, socket, seeds.clone(), clock).await?);
    }
    Ok(nodes)
}

async fn begin_one(
    arbiter: &Arbiter,
    at: usize,
    socket: UdpSocket,
    seeds: Vec<SocketAddr>,
    clock: Clock,
) -> Result<Node> {
    let view = Arc::new(Cell::new(View::default()));
    let counts = Counts::default();
    let setup = Setup {
        me: member(at, socket.local_addr()?),
        boot: rand::random(),
        seeds,
        tuning: Tuning::default(),
        clock,
        view: view.clone(),
        counts: counts.clone(),
    };
    let (answer, handle) = oneshot::channel();
    arbiter.spawn(async move {
        let Ok(socket) = tokio::net::UdpSocket::from_std(socket) else {
            return;
        };
        let (handle, mut events) = start(setup, socket, Nothing);
        let _ = answer.send(handle);
        while events.recv().await.is_some() {}
    });
    Ok(Node {
        handle: handle.await?,
        view,
        counts,
    })
}

fn member(at: usize, control: SocketAddr) -> Member {
    Member {
        name: format!("vm-{at:04}").into(),
        address: format!("127.0.0.1:{}", 10_000 + at).into(),
        link: format!("127.0.0.1:{}", 20_000 + at).into(),
        control: control.to_string().into(),
        zone: format!("zone-{}", at % 5).into(),
        incarnation: 1,
        state: State::Alive,
        config_version: 0,
        power: 0,
    }
}

async fn measure_quiet(nodes: &[Node], quiet: Duration, report: &mut Report) -> Result<()> {
    let suspected = sum(nodes, |counts| counts.suspected.get());
    let start = usage(nodes)?;
    let each: Vec<u64> = nodes.iter().map(|node| bytes(&node.counts)).collect();
    sleep(quiet).await;
    let end = usage(nodes)?;
    let passed = end.at.duration_since(start.at).as_secs_f64();
    let members = nodes.len() as f64;
    report.quiet_bytes_s = (end.bytes - start.bytes) as f64 / passed / members;
    report.quiet_cpu_percent = (end.cpu - start.cpu) / passed / members * 100.0;
    report.quiet_suspicions = sum(nodes, |counts| counts.suspected.get()) - suspected;
    report.quiet_bytes_s_max = highest(nodes, &each) / passed;
    Ok(())
}

async fn measure_version(nodes: &[Node], length: Duration, report: &mut Report) -> Result<()> {
    let start = usage(nodes)?;
    let each: Vec<u64> = nodes.iter().map(|node| bytes(&node.counts)).collect();
    nodes[0].handle.committed(1);
    nodes[0].handle.in_force(1);
    let begun = Instant::now();
    // Every node takes it into force as soon as it hears of it, so that the
    // news and the answers to it overlap as they do in a fleet.
    let mut heard = vec![false; nodes.len()];
    heard[0] = true;
    let first = nodes[0].view.read().members[0].name.clone();
    until(|| {
        for (node, heard) in nodes.iter().zip(&mut heard) {
            let version = node.view.read().find(&first).map(|m| m.config_version);
            if !*heard && version == Some(1) {
                *heard = true;
                node.handle.in_force(1);
            }
        }
        heard.iter().all(|heard| *heard)
    })
    .await?;
    report.version_heard_ms = millis(begun);
    until(|| {
        nodes.iter().all(|node| {
            let view = node.view.read();
            view.members.iter().all(|member| member.config_version == 1)
        })
    })
    .await?;
    report.version_known_ms = millis(begun);
    sleep(length.saturating_sub(begun.elapsed())).await;
    let end = usage(nodes)?;
    let passed = end.at.duration_since(start.at).as_secs_f64();
    let members = nodes.len() as f64;
    report.version_bytes = (end.bytes - start.bytes) as f64 / members;
    report.version_bytes_s_max = highest(nodes, &each) / passed;
    report.version_cpu_percent = (end.cpu - start.cpu) / passed / members * 100.0;
    settle(nodes).await;
    Ok(())
}

async fn measure_death(arbiters: &[Arbiter], nodes: &[Node], report: &mut Report) -> Result<()> {
    let (victim, others) = nodes
        .split_last()
        .ok_or_else(|| eyre!("there are no members"))?;
    let name = member(nodes.len() - 1, SocketAddr::from(([127, 0, 0, 1], 1))).name;
    let died = sum(nodes, |counts| counts.died.get());
    arbiters[THREADS].stop();
    let begun = Instant::now();
    drop(victim.view.load());
    let dead = |node: &Node| node.view.read().find(&name).map(|m| m.state) == Some(State::Dead);
    until(|| others.iter().any(dead)).await?;
    report.death_first_ms = millis(begun);
    until(|| others.iter().all(dead)).await?;
    report.death_all_ms = millis(begun);
    let now = sum(nodes, |counts| counts.died.get());
    report.wrong_deaths = (now - died).saturating_sub(others.len() as u64);
    Ok(())
}

fn alive(node: &Node) -> usize {
    let view = node.view.read();
    let states = view.members.iter().map(|member| member.state);
    states.filter(|state| *state == State::Alive).count()
}

/// Waits until news has died down.
async fn settle(nodes: &[Node]) {
    let begun = Instant::now();
    let mut last = sum(nodes, bytes);
    while begun.elapsed() < PATIENCE {
        sleep(Duration::from_secs(3)).await;
        let now = sum(nodes, bytes);
        let each = (now - last) as f64 / nodes.len() as f64 / 3.0;
        last = now;
        if each < 1_500.0 {
            return;
        }
    }
}

async fn until<F>(mut done: F) -> Result<()>
where
    F: FnMut() -> bool,
{
    let begun = Instant::now();
    while !done() {
        ensure!(
            begun.elapsed() < PATIENCE,
            "the members did not come to agree"
        );
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

fn millis(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn sum<F>(nodes: &[Node], read: F) -> u64
where
    F: Fn(&Counts) -> u64,
{
    nodes.iter().map(|node| read(&node.counts)).sum()
}

fn bytes(counts: &Counts) -> u64 {
    let datagrams = counts.sent.get() + counts.received.get();
    counts.sent_bytes.get() + counts.received_bytes.get() + datagrams * HEADERS
}

fn highest(nodes: &[Node], before: &[u64]) -> f64 {
    let grown = nodes
        .iter()
        .zip(before)
        .map(|(node, before)| bytes(&node.counts) - before);
    grown.max().unwrap_or_default() as f64
}

fn usage(nodes: &[Node]) -> Result<Usage> {
    Ok(Usage {
        bytes: sum(nodes, bytes),
        cpu: cpu_seconds()?,
        at: Instant::now(),
    })
}

/// Processor time of this process so far, in seconds.
fn cpu_seconds() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    Ok(fields.iter().sum::<f64>() / TICKS)
}

/// Memory of this process that is in use, in KiB.
fn rss_kib() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| eyre!("the kernel does not tell this process's memory"))
}
