//! The node processes of a run, with the store, replicas and callers around them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr as _, ensure, eyre};
use hyper::StatusCode;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::check::stop::{GRACE_PERIOD, Ledger, Target};
use super::check::{self, Attempt, End, Job, Outage, Report};
use super::ports::Ports;
use super::{Faults, Plan};
use super::{caller, fault, holder, stop};
use crate::site::proxy::Proxy;
use crate::site::replica::{History, Replica};
use crate::site::store::Store;

/// Host that callers send.
pub const HOST: &str = "soak.example";
/// Organisation of all callers.
pub const ORGANISATION: &str = "kitchens";
/// Key of [`ORGANISATION`].
pub const KEY: &str = "soak-key-5d07b89c2e41";
const SERVICE: &str = "llm";
/// Slots of a replica.
const SLOTS: usize = 4;
/// Interval between the events of a replica's stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(8);
/// Number of callers that send online requests, and of callers that submit jobs.
const CALLERS: usize = 6;
const SUBMITTERS: usize = 2;
/// Time that the nodes have to start listening.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a started process handles signals.
const HANDLERS_DELAY: Duration = Duration::from_secs(1);
/// Time that the jobs have to finish after the last fault.
const JOB_TIMEOUT: Duration = Duration::from_secs(40);

/// A node's process and its proxy to the store.
pub struct Node {
    /// Index of the node.
    pub at: usize,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// When it was killed or paused; lines that it had not logged yet may be lost.
    outages: RefCell<Vec<Outage>>,
    ledger: Rc<RefCell<Ledger>>,
    /// Index of its pause in the ledger, while it is paused.
    pause: Cell<Option<usize>>,
    /// When its process got the first SIGTERM; `None` if it got none.
    stopped: Cell<Option<Instant>>,
    started: Cell<Option<Instant>>,
    /// True once its process got a signal that may end it.
    may_end: Cell<bool>,
    /// True while it has exited and is about to be started again.
    pub is_starting: Cell<bool>,
    /// Proxy between the node and the store.
    pub store: Proxy,
}

/// A replica with the proxy through which nodes reach it.
pub struct Upstream {
    /// The replica.
    pub replica: Rc<Replica>,
    /// The proxy in front of it.
    pub proxy: Proxy,
}

/// The state of a run.
pub struct Harness {
    /// Parameters of the run.
    pub plan: Plan,
    /// The folder of its settings and logs.
    pub folder: PathBuf,
    /// The store.
    pub store: Rc<Store>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The registered replicas by id.
    pub replicas: RefCell<BTreeMap<String, Upstream>>,
    /// Every execution of a request at a replica.
    pub history: History,
    /// Requests that callers sent.
    pub attempts: RefCell<Vec<Attempt>>,
    /// How streams ended that their callers resumed.
    pub resumed: RefCell<Vec<End>>,
    /// Statuses of the responses to killers; `None` without a response.
    pub killer_statuses: RefCell<Vec<Option<StatusCode>>>,
    /// Jobs that callers submitted.
    pub jobs: RefCell<Vec<Rc<RefCell<Job>>>>,
    /// The planned signals and the unplanned disruptions.
    pub ledger: Rc<RefCell<Ledger>>,
    /// Guarantees seen violated during the run.
    pub violations: RefCell<Vec<String>>,
    /// False once callers send no more requests.
    pub sending: Cell<bool>,
    /// Number of injected faults.
    pub faults: Cell<usize>,
    /// Source of all random draws.
    pub random: RefCell<ChaCha8Rng>,
    last_number: Cell<u64>,
    config_version: Cell<u64>,
    /// Each kind of listener has the same port on every node.
    ports: Ports,
}

impl Harness {
    /// Returns a number that is unique in this run.
    pub fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Returns the address of a node's front listener.
    pub fn caller_address(&self, at: usize) -> SocketAddr {
        self.address(at, 0)
    }

    /// Returns the address of a node's directory.
    pub fn directory_address(&self, at: usize) -> SocketAddr {
        self.address(at, 3)
    }

    fn address(&self, at: usize, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(ip(at)), self.ports.first + offset)
    }

    /// Records a violated guarantee.
    pub fn record_violation(&self, what: String) {
        self.violations.borrow_mut().push(what);
    }

    /// Records that an unplanned disruption begins. Returns its index in the ledger.
    pub fn begin_disruption(&self, target: Target) -> usize {
        self.ledger.borrow_mut().begin(target, Instant::now())
    }

    /// Records that an unplanned disruption has ended.
    pub fn end_disruption(&self, index: usize) {
        self.ledger.borrow_mut().end(index, Instant::now());
    }

    /// Records an unplanned disruption of one moment.
    pub fn record_disruption(&self, target: Target) {
        let index = self.begin_disruption(target);
        self.end_disruption(index);
    }

    /// Writes the next version of the configuration.
    pub fn write_config(&self) {
        // Versions may skip numbers.
        let version = self.config_version.get() + 1 + self.next_number() % 3;
        self.config_version.set(version);
        let route = |name: &str, kind: &str, resumable: bool| {
            json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "type": kind,
                   "timeout_ms": 5_000, "goal_ms": 300, "priority": 0, "service": SERVICE,
                   "attempts": 3, "resumable": resumable, "gap_goal_ms": 400,
                   "run_goal_ms": 8_000, "queue_ttl_s": 120, "max_count": 2_000_000})
        };
        let routes = [
            route("q", "streaming", true),
            route("v", "streaming", false),
            route("i", "idempotent", false),
            route("o", "non_idempotent", false),
            route("n", "batch", true),
        ];
        let config = json!({"version": version, "routes": routes, "services": [],
            "tenants": [{"name": ORGANISATION, "api_keys": [KEY]}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                       "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}});
        self.store.put("op", "config", &config);
    }

    /// Starts and registers a replica of the software version that fewer replicas have.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn add_replica(&self) -> Result<()> {
        let count = |software: &str| {
            let replicas = self.replicas.borrow();
            let is_same = |it: &&Upstream| it.replica.software == software;
            replicas.values().filter(is_same).count()
        };
        let versions = (1..=self.plan.versions).map(|number| format!("v{number}"));
        let software = versions.min_by_key(|it| count(it));
        self.add_replica_of(&software.unwrap_or_default()).await
    }

    /// Starts and registers a replica of this software version.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn add_replica_of(&self, software: &str) -> Result<()> {
        let id = format!("i-{}", self.next_number());
        let history = Rc::clone(&self.history);
        let (replica, address) =
            Replica::start(id.clone(), software.into(), SLOTS, EVENT_INTERVAL, history).await?;
        let proxy = Proxy::start(address).await?;
        let upstream = Upstream { replica, proxy };
        self.write_replica(&upstream, "ready");
        self.replicas.borrow_mut().insert(id, upstream);
        Ok(())
    }

    /// Has a replica crash and start again under its id and address with this software version. Its row
    /// still describes the process that ended.
    ///
    /// # Errors
    /// Fails if there is no such replica, or no port is free.
    pub async fn restart_replica(&self, id: &str, software: &str) -> Result<()> {
        let old = self.replicas.borrow_mut().remove(id);
        let Upstream { replica, proxy } = old.ok_or_else(|| eyre!("no replica has the id {id}"))?;
        replica.crash();
        proxy.reset();
        let history = Rc::clone(&self.history);
        let (replica, address) =
            Replica::start(id.into(), software.into(), SLOTS, EVENT_INTERVAL, history).await?;
        proxy.lead_to(address);
        let upstream = Upstream { replica, proxy };
        self.replicas.borrow_mut().insert(id.into(), upstream);
        Ok(())
    }

    /// Writes a replica's row to the store.
    pub fn write_replica(&self, upstream: &Upstream, state: &str) {
        let Upstream { replica, proxy } = upstream;
        let row = json!({"service": SERVICE, "address": proxy.address, "zone": "z0",
                         "version": replica.software, "born": replica.born, "slots": SLOTS, "state": state,
                         "cold_left_ms": 0, "seq": 1});
        self.store.put("servers", &replica.id, &row);
    }
}

fn ip(at: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 77, u8::try_from(at + 1).unwrap_or(u8::MAX))
}

impl Node {
    /// Starts the process.
    ///
    /// # Errors
    /// Fails if the binary is missing.
    pub fn start(&self) -> Result<()> {
        let program = program()?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&program)
            .args(["edge", "--settings"])
            .arg(&self.settings)
            .env_remove("RUST_LOG")
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()
            .wrap_err_with(|| {
                format!(
                    "could not start {}; build it with `cargo build` first",
                    program.display()
                )
            })?;
        *self.child.borrow_mut() = Some(child);
        self.stopped.set(None);
        self.started.set(Some(Instant::now()));
        self.may_end.set(false);
        // A process that was killed while it was paused got no SIGCONT.
        if let Some(pause) = self.pause.take() {
            self.ledger.borrow_mut().end(pause, Instant::now());
        }
        Ok(())
    }

    /// Sends the process a signal. Does nothing if it has exited.
    pub fn signal(&self, signal: Signal) {
        self.record(signal, Instant::now());
        log::info!("signal {signal:?} node={}", self.at);
        if let Some(child) = self.child.borrow().as_ref() {
            let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
            // The process may have exited already.
            let _ = pid.map(|pid| kill_process(pid, signal));
        }
    }

    fn record(&self, signal: Signal, now: Instant) {
        if matches!(signal, Signal::KILL | Signal::STOP) {
            self.outages.borrow_mut().push(Outage {
                node: self.at,
                at: now,
            });
        }
        // SIGHUP ends a process that does not handle signals yet.
        let is_new = |started: Instant| now - started < HANDLERS_DELAY;
        if matches!(signal, Signal::TERM | Signal::KILL)
            || signal == Signal::HUP && self.started.get().is_some_and(is_new)
        {
            self.may_end.set(true);
        }
        let mut ledger = self.ledger.borrow_mut();
        match signal {
            Signal::TERM if self.stopped.get().is_none() => {
                self.stopped.set(Some(now));
                ledger.record_stop(self.at, now);
            }
            Signal::HUP => ledger.record_reload(self.at, now),
            Signal::STOP if self.pause.get().is_none() => {
                self.pause
                    .set(Some(ledger.begin(Target::Node(self.at), now)));
            }
            Signal::KILL => {
                let killed = ledger.begin(Target::Node(self.at), now);
                ledger.end(killed, now);
            }
            Signal::CONT => {
                if let Some(pause) = self.pause.take() {
                    ledger.end(pause, now);
                }
            }
            _ => {}
        }
    }

    /// Returns true if the process got a signal that may end it.
    pub fn may_end(&self) -> bool {
        self.may_end.get()
    }

    /// Returns when the process got its first SIGTERM.
    pub fn stopped(&self) -> Option<Instant> {
        self.stopped.get()
    }

    /// Returns the largest amount of memory that the process has had, in bytes.
    ///
    /// # Errors
    /// Fails if the process does not run.
    pub fn peak_memory(&self) -> Result<u64> {
        let child = self.child.borrow();
        let child = child
            .as_ref()
            .ok_or_else(|| eyre!("the node does not run"))?;
        let path = format!("/proc/{}/status", child.id());
        let text = std::fs::read_to_string(&path)?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        let kib = peak.ok_or_else(|| eyre!("{path} has no readable VmHWM line"))?;
        Ok(kib * 1024)
    }

    /// Returns true while the process runs.
    pub fn is_running(&self) -> bool {
        match self.child.borrow_mut().as_mut() {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the path of the `auburnspoke` binary, which lies beside this one.
fn program() -> Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder.join("auburnspoke"))
}

/// Creates the folder of a run's settings and logs. Each run of a process has its own: the next run of the
/// same seed would remove the logs of one that failed.
///
/// # Errors
/// Fails if it cannot be created.
pub fn log_folder(plan: Plan) -> Result<PathBuf> {
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let name = format!("soak-{}-{run}-{}", std::process::id(), plan.seed);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Starts the nodes, the store and the replicas of a run, and waits until they serve.
///
/// # Errors
/// Fails if the processes cannot be started.
pub async fn start(plan: Plan, folder: &Path) -> Result<Rc<Harness>> {
    let harness = Rc::new(set_up(plan, folder).await?);
    wait_ready(&harness).await?;
    Ok(harness)
}

/// Runs one seed.
///
/// # Errors
/// Fails if the processes cannot be started.
pub async fn play(plan: Plan) -> Result<Report> {
    let folder = log_folder(plan)?;
    let harness = start(plan, &folder).await?;
    let mut callers = Vec::new();
    for at in 0..CALLERS {
        callers.push(actix_rt::spawn(caller::send_requests(
            Rc::clone(&harness),
            at,
        )));
    }
    for _ in 0..SUBMITTERS {
        callers.push(actix_rt::spawn(caller::submit_jobs(Rc::clone(&harness))));
    }
    for at in 0..plan.killers {
        callers.push(actix_rt::spawn(caller::send_killers(
            Rc::clone(&harness),
            at,
        )));
    }
    for at in 0..plan.crash_parts {
        let sending = caller::send_crash_part(Rc::clone(&harness), at);
        callers.push(actix_rt::spawn(sending));
    }
    actix_rt::spawn(fault::replace_crashed(Rc::clone(&harness)));
    if plan.faults == Faults::Stops {
        for at in 0..holder::PER_NODE * plan.nodes {
            callers.push(actix_rt::spawn(holder::hold(Rc::clone(&harness), at)));
        }
        actix_rt::spawn(stop::supervise(Rc::clone(&harness)));
    }
    match plan.faults {
        Faults::None => sleep(plan.length).await,
        Faults::Drawn => fault::inject(&harness).await?,
        Faults::Stops => stop::inject(&harness).await?,
        Faults::RestartsWithoutStore => fault::restart_without_store(&harness).await?,
        Faults::KillsAfterCrashes => fault::kill_after_crashes(&harness).await?,
        Faults::CrashesAndOutages => fault::crash_and_kill(&harness).await?,
    }
    fault::clear_faults(&harness)?;
    // Lets service recover from the last faults.
    sleep(Duration::from_secs(3)).await;
    harness.sending.set(false);
    let until = Instant::now() + JOB_TIMEOUT;
    while Instant::now() < until && callers.iter().any(|caller| !caller.is_finished()) {
        sleep(Duration::from_millis(100)).await;
    }
    for caller in callers {
        caller.abort();
    }
    // The nodes still run and log with a delay. Without this wait, the line for a response that a
    // caller received in the last moment would be missing.
    sleep(check::LOG_DELAY).await;
    let report = report(&harness);
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("logs of seed {} are in {}", plan.seed, folder.display());
    }
    Ok(report)
}

fn report(harness: &Harness) -> Report {
    let mut report = Report {
        seed: harness.plan.seed,
        faults: harness.faults.get(),
        store_calls: harness.store.calls.get(),
        violations: harness.violations.take(),
        ..Report::default()
    };
    for end in harness.resumed.borrow().iter() {
        *report.resumed.entry(*end).or_default() += 1;
    }
    report.check_requests(&harness.attempts.borrow(), &harness.history);
    report.check_killers(&harness.history);
    report.check_crash_parts(&harness.attempts.borrow(), &harness.history);
    let outages: Vec<Outage> = harness
        .nodes
        .iter()
        .flat_map(|node| node.outages.borrow().clone())
        .collect();
    match logs(harness) {
        Ok(logs) => {
            report.check_logs(&harness.attempts.borrow(), &outages, &logs);
            let ledger = harness.ledger.borrow();
            report.check_stops(&harness.attempts.borrow(), &ledger, &harness.history, &logs);
            report.check_keys(KEY, ORGANISATION, &harness.history, &logs);
        }
        Err(error) => report.record_violation(format!("could not read the nodes' logs: {error}")),
    }
    let jobs: Vec<Job> = harness
        .jobs
        .borrow()
        .iter()
        .map(|job| job.borrow().clone())
        .collect();
    report.check_jobs(&jobs, &harness.history);
    report
}

fn logs(harness: &Harness) -> std::io::Result<Vec<String>> {
    let read = |node: &Node| std::fs::read_to_string(&node.log);
    harness.nodes.iter().map(read).collect()
}

async fn set_up(plan: Plan, folder: &Path) -> Result<Harness> {
    let store = Store::new();
    let ledger: Rc<RefCell<Ledger>> = Rc::default();
    let mut nodes = Vec::new();
    for at in 0..plan.nodes {
        let proxy = Proxy::start(store.listen(at).await?).await?;
        nodes.push(Node {
            at,
            ip: ip(at),
            settings: folder.join(format!("node-{at}.toml")),
            log: folder.join(format!("node-{at}.log")),
            child: RefCell::default(),
            outages: RefCell::default(),
            ledger: Rc::clone(&ledger),
            pause: Cell::default(),
            stopped: Cell::default(),
            started: Cell::default(),
            may_end: Cell::default(),
            is_starting: Cell::default(),
            store: proxy,
        });
    }
    let harness = Harness {
        plan,
        folder: folder.to_owned(),
        store,
        nodes,
        replicas: RefCell::default(),
        history: History::default(),
        attempts: RefCell::default(),
        resumed: RefCell::default(),
        killer_statuses: RefCell::default(),
        jobs: RefCell::default(),
        ledger,
        violations: RefCell::default(),
        sending: Cell::new(true),
        faults: Cell::new(0),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed)),
        last_number: Cell::new(plan.seed * 1_000_000),
        config_version: Cell::new(0),
        ports: Ports::reserve()?,
    };
    harness.write_config();
    for _ in 0..plan.replicas {
        harness.add_replica().await?;
    }
    for node in &harness.nodes {
        std::fs::write(&node.settings, settings(&harness, node))?;
        node.start()?;
    }
    Ok(harness)
}

fn settings(harness: &Harness, node: &Node) -> String {
    let (ip, port) = (node.ip, harness.ports.first);
    let seeds: Vec<String> = (0..harness.plan.nodes.min(3))
        .map(|at| format!("\"{}\"", harness.address(at, 2)))
        .collect();
    format!(
        "node = \"n{at}\"\nzone = \"z{zone}\"\nregion = \"r\"\nport_range = [{first}, {last}]\n\
         seeds = [{seeds}]\n[zones]\nz0 = \"r\"\nz1 = \"r\"\n[listen]\nfront = \"{ip}:{port}\"\n\
         ready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\ndirectory = \"{ip}:{directory}\"\n\
         [limits]\ncpu_share = 0.5\n[bounds]\ngrace_s = {grace}\nstatus_s = 120\nttl_max_s = 5\n\
         [platform]\naddress = \"{store}\"\nrow_bytes = 65536\nblob_bytes = 8388608\n",
        at = node.at,
        zone = node.at % 2,
        first = port + 5,
        last = port + 12,
        seeds = seeds.join(", "),
        ready = port + 1,
        control = port + 2,
        directory = port + 3,
        grace = GRACE_PERIOD.as_secs(),
        store = node.store.address,
    )
}

async fn wait_ready(harness: &Harness) -> Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    for node in &harness.nodes {
        while TcpStream::connect(harness.caller_address(node.at))
            .await
            .is_err()
        {
            ensure!(
                node.is_running(),
                "node {} exited during start-up; see {}",
                node.at,
                node.log.display()
            );
            ensure!(
                Instant::now() < until,
                "node {} did not start to listen in time",
                node.at
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
    // Nodes learn the configuration, replicas and members within a second.
    sleep(Duration::from_millis(1_500)).await;
    Ok(())
}
