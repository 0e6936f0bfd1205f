//! `standin members`: measures membership with many members in a few threads of one process, over
//! real loopback sockets.
//!
//! It prints one JSON object for each run. docs/design/members.md lists the figures.

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

/// Number of threads that share the members.
const THREADS: usize = 4;
/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// Clock ticks per second, in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Time after which a run fails if the members have not converged.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(180);

/// Returns the definition of the `members` subcommand.
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

/// Runs the measurements and prints a report for each run.
///
/// # Errors
/// Fails if a socket cannot be bound or the members do not converge.
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

/// The figures of one run. Bytes are counted for each member in both directions, with the IP and
/// UDP headers.
#[derive(Debug, Default, Serialize)]
struct Report {
    run: usize,
    count: usize,
    /// From the first start until all members list all others as alive.
    form_ms: u64,
    /// Mean and maximum over all members without any change.
    quiet_bytes_s: f64,
    quiet_bytes_s_max: f64,
    quiet_cpu_percent: f64,
    quiet_suspicions: u64,
    /// From the moment at which one node applies a version until all have received it.
    version_heard_ms: u64,
    /// From the same moment until all members list that version for every member.
    version_known_ms: u64,
    /// Traffic of each member for that change, over the length of the quiet measurement.
    version_bytes: f64,
    version_bytes_s_max: f64,
    version_cpu_percent: f64,
    /// From the abrupt stop of a member until the first and until all others have detected it.
    death_first_ms: u64,
    death_all_ms: u64,
    wrong_deaths: u64,
    /// Growth of the process's resident memory for each member.
    rss_kib: f64,
}

/// An empty list of VMs, so that the members join by their seeds only.
struct EmptyRoster;

impl Roster for EmptyRoster {
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
    let began = Instant::now();
    let nodes = start_all(&arbiters, count).await?;
    wait_until(|| nodes.iter().all(|node| count_alive(node) == count)).await?;
    let mut report = Report {
        run,
        count,
        form_ms: millis(began),
        ..Report::default()
    };
    wait_for_quiet(&nodes).await;
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

/// Starts the members. The last one has its own thread, so that it can be stopped alone.
async fn start_all(arbiters: &[Arbiter], count: usize) -> Result<Vec<Node>> {
    let mut sockets = Vec::new();
    for _ in 0..count {
        let socket =
            UdpSocket::bind("127.0.0.1:0").wrap_err("could not bind a UDP socket on loopback")?;
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
        nodes.push(start_one(&arbiters[thread], at, socket, seeds.clone(), clock).await?);
    }
    Ok(nodes)
}

async fn start_one(
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
        let (handle, mut events) = start(setup, socket, EmptyRoster);
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
    let elapsed = end.at.duration_since(start.at).as_secs_f64();
    let members = nodes.len() as f64;
    report.quiet_bytes_s = (end.bytes - start.bytes) as f64 / elapsed / members;
    report.quiet_cpu_percent = (end.cpu - start.cpu) / elapsed / members * 100.0;
    report.quiet_suspicions = sum(nodes, |counts| counts.suspected.get()) - suspected;
    report.quiet_bytes_s_max = max_growth(nodes, &each) / elapsed;
    Ok(())
}

async fn measure_version(nodes: &[Node], length: Duration, report: &mut Report) -> Result<()> {
    let start = usage(nodes)?;
    let each: Vec<u64> = nodes.iter().map(|node| bytes(&node.counts)).collect();
    nodes[0].handle.committed(1);
    nodes[0].handle.in_force(1);
    let began = Instant::now();
    // Every node applies the version as soon as it receives it, so that the announcement and the
    // confirmations overlap as they do in production.
    let mut applied = vec![false; nodes.len()];
    applied[0] = true;
    let first = nodes[0].view.read().members[0].name.clone();
    wait_until(|| {
        for (node, applied) in nodes.iter().zip(&mut applied) {
            let version = node.view.read().find(&first).map(|m| m.config_version);
            if !*applied && version == Some(1) {
                *applied = true;
                node.handle.in_force(1);
            }
        }
        applied.iter().all(|applied| *applied)
    })
    .await?;
    report.version_heard_ms = millis(began);
    wait_until(|| {
        nodes.iter().all(|node| {
            let view = node.view.read();
            view.members.iter().all(|member| member.config_version == 1)
        })
    })
    .await?;
    report.version_known_ms = millis(began);
    sleep(length.saturating_sub(began.elapsed())).await;
    let end = usage(nodes)?;
    let elapsed = end.at.duration_since(start.at).as_secs_f64();
    let members = nodes.len() as f64;
    report.version_bytes = (end.bytes - start.bytes) as f64 / members;
    report.version_bytes_s_max = max_growth(nodes, &each) / elapsed;
    report.version_cpu_percent = (end.cpu - start.cpu) / elapsed / members * 100.0;
    wait_for_quiet(nodes).await;
    Ok(())
}

async fn measure_death(arbiters: &[Arbiter], nodes: &[Node], report: &mut Report) -> Result<()> {
    let (stopped, others) = nodes
        .split_last()
        .ok_or_else(|| eyre!("there are no members"))?;
    let name = member(nodes.len() - 1, SocketAddr::from(([127, 0, 0, 1], 1))).name;
    let died = sum(nodes, |counts| counts.died.get());
    arbiters[THREADS].stop();
    let began = Instant::now();
    drop(stopped.view.load());
    let dead = |node: &Node| node.view.read().find(&name).map(|m| m.state) == Some(State::Dead);
    wait_until(|| others.iter().any(dead)).await?;
    report.death_first_ms = millis(began);
    wait_until(|| others.iter().all(dead)).await?;
    report.death_all_ms = millis(began);
    let now = sum(nodes, |counts| counts.died.get());
    report.wrong_deaths = (now - died).saturating_sub(others.len() as u64);
    Ok(())
}

fn count_alive(node: &Node) -> usize {
    let view = node.view.read();
    let states = view.members.iter().map(|member| member.state);
    states.filter(|state| *state == State::Alive).count()
}

/// Waits until gossip has subsided: less than 1,500 bytes a second for each member.
async fn wait_for_quiet(nodes: &[Node]) {
    let began = Instant::now();
    let mut last = sum(nodes, bytes);
    while began.elapsed() < CONVERGENCE_TIMEOUT {
        sleep(Duration::from_secs(3)).await;
        let now = sum(nodes, bytes);
        let each = (now - last) as f64 / nodes.len() as f64 / 3.0;
        last = now;
        if each < 1_500.0 {
            return;
        }
    }
}

async fn wait_until<F>(mut done: F) -> Result<()>
where
    F: FnMut() -> bool,
{
    let began = Instant::now();
    while !done() {
        ensure!(
            began.elapsed() < CONVERGENCE_TIMEOUT,
            "the members did not converge in time"
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
    counts.sent_bytes.get() + counts.received_bytes.get() + datagrams * HEADER_BYTES
}

fn max_growth(nodes: &[Node], before: &[u64]) -> f64 {
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

/// Returns the processor time that this process has used, in user and kernel mode.
fn cpu_seconds() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/stat")?;
    let after = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    Ok(fields.iter().sum::<f64>() / TICKS_PER_SECOND)
}

/// Returns the resident memory of this process.
fn rss_kib() -> Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| eyre!("/proc/self/status has no readable VmRSS line"))
}
