//! The processes of a run and what stands around them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr as _, ensure};
use hyper::StatusCode;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::Plan;
use super::check::{self, Asked, Job, Report, Strike};
use super::{caller, fault};
use crate::site::proxy::Proxy;
use crate::site::replica::{Register, Replica};
use crate::site::store::Store;

/// The host that callers name.
pub const HOST: &str = "soak.example";
/// The organisation that all callers are of.
pub const ORGANISATION: &str = "kitchens";
/// Its key.
pub const KEY: &str = "soak-key-5d07b89c2e41";
/// The service's name.
const SERVICE: &str = "llm";
/// Slots of a replica.
const SLOTS: usize = 4;
/// Time that a replica takes for an event.
const STEP: Duration = Duration::from_millis(8);
/// Callers that ask questions, and callers that submit jobs.
const CALLERS: usize = 6;
const SUBMITTERS: usize = 2;
/// How long nodes have to become ready.
const START: Duration = Duration::from_secs(15);
/// How long the jobs have to end once nothing is harmed any more.
const FINISH: Duration = Duration::from_secs(40);
/// First port of the nodes; each kind has the same port on every node.
const FIRST_PORT: u16 = 21_000;

/// A node's process.
pub struct Node {
    /// Its number.
    pub at: usize,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// When it was killed or paused; lines that it had not written yet may be
    /// lost then.
    strikes: RefCell<Vec<Strike>>,
    /// The way to the store.
    pub store: Proxy,
}

/// A replica and the way to it.
pub struct Behind {
    /// The replica.
    pub replica: Rc<Replica>,
    /// The way to it.
    pub proxy: Proxy,
}

/// A run.
pub struct World {
    /// What it is made of.
    pub plan: Plan,
    /// The store.
    pub store: Rc<Store>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The replicas that are registered.
    pub replicas: RefCell<BTreeMap<String, Behind>>,
    /// Every run at a replica.
    pub register: Register,
    /// Requests of callers.
    pub asked: RefCell<Vec<Asked>>,
    /// What callers of killers were told.
    pub killed: RefCell<Vec<Option<StatusCode>>>,
    /// Jobs of callers.
    pub jobs: RefCell<Vec<Rc<RefCell<Job>>>>,
    /// Promises seen broken while it runs.
    pub broken: RefCell<Vec<String>>,
    /// False once callers ask nothing new.
    pub open: Cell<bool>,
    /// Faults injected.
    pub faults: Cell<usize>,
    /// Everything random.
    pub random: RefCell<ChaCha8Rng>,
    next: Cell<u64>,
    config: Cell<u64>,
    port: u16,
}

impl World {
    /// A number that was not drawn before in this run.
    pub fn fresh(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Where callers reach a node.
    pub fn callers(&self, at: usize) -> SocketAddr {
        self.address(at, 0)
    }

    /// Where a node's directory is.
    pub fn directory(&self, at: usize) -> SocketAddr {
        self.address(at, 3)
    }

    fn address(&self, at: usize, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(ip(at)), self.port + offset)
    }

    /// Notes a broken promise.
    pub fn broke(&self, what: String) {
        self.broken.borrow_mut().push(what);
    }

    /// Writes the next version of the configuration.
    pub fn write_config(&self) {
        // Versions grow in uneven steps.
        let version = self.config.get() + 1 + self.fresh() % 3;
        self.config.set(version);
        let route = |name: &str, kind: &str, resumable: bool| {
            json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "type": kind,
                   "timeout_ms": 5_000, "goal_ms": 300, "priority": 0, "service": SERVICE,
                   "attempts": 3, "resumable": resumable, "gap_goal_ms": 400,
                   "run_goal_ms": 8_000, "queue_ttl_s": 120, "max_count": 2_000_000})
        };
        let routes = [
            route("q", "streaming", true),
            route("v", "streaming", false),
            route("n", "batch", true),
        ];
        let config = json!({"version": version, "routes": routes, "services": [],
            "tenants": [{"name": ORGANISATION, "api_keys": [KEY]}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                       "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}});
        self.store.put("op", "config", &config);
    }

    /// Starts and registers a replica.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn add_replica(&self) -> Result<()> {
        let id = format!("i-{}", self.fresh());
        let register = Rc::clone(&self.register);
        let (replica, address) = Replica::start(id.clone(), SLOTS, STEP, register).await?;
        let proxy = Proxy::start(address).await?;
        self.write_replica(&id, proxy.address, "ready");
        self.replicas
            .borrow_mut()
            .insert(id, Behind { replica, proxy });
        Ok(())
    }

    /// Writes a replica's row.
    pub fn write_replica(&self, id: &str, address: SocketAddr, state: &str) {
        let row = json!({"service": SERVICE, "address": address, "zone": "z0", "version": "v1",
                         "slots": SLOTS, "state": state, "cold_left_ms": 0, "seq": 1});
        self.store.put("servers", id, &row);
    }
}

fn ip(at: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 77, u8::try_from(at + 1).unwrap_or(u8::MAX))
}

impl Node {
    /// Starts its process.
    ///
    /// # Errors
    /// When the program is not there.
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
            .wrap_err_with(|| format!("can't start {}; build it first", program.display()))?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Sends its process a signal; nothing happens to one that has ended.
    pub fn signal(&self, signal: Signal) {
        if matches!(signal, Signal::KILL | Signal::STOP) {
            self.strikes.borrow_mut().push(Strike {
                node: self.at,
                at: Instant::now(),
            });
        }
        log::info!("signal {signal:?} node={}", self.at);
        if let Some(child) = self.child.borrow().as_ref() {
            let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
            // It may have ended by itself.
            let _ = pid.map(|pid| kill_process(pid, signal));
        }
    }

    /// True while its process runs.
    pub fn runs(&self) -> bool {
        match self.child.borrow_mut().as_mut() {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The program, beside this one.
fn program() -> Result<PathBuf> {
    let mut folder = std::env::current_exe()?;
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    Ok(folder.join("auburnspoke"))
}

/// Plays one seed.
///
/// # Errors
/// When the processes can't be started.
pub async fn play(plan: Plan) -> Result<Report> {
    let folder = std::env::temp_dir().join(format!("soak-{}-{}", std::process::id(), plan.seed));
    std::fs::create_dir_all(&folder)?;
    let world = Rc::new(set_up(plan, &folder).await?);
    wait_ready(&world).await?;
    let mut callers = Vec::new();
    for at in 0..CALLERS {
        callers.push(actix_rt::spawn(caller::ask(Rc::clone(&world), at)));
    }
    for _ in 0..SUBMITTERS {
        callers.push(actix_rt::spawn(caller::submit(Rc::clone(&world))));
    }
    for at in 0..plan.killers {
        callers.push(actix_rt::spawn(caller::kill(Rc::clone(&world), at)));
    }
    actix_rt::spawn(fault::revive(Rc::clone(&world)));
    if plan.faults {
        fault::inject(&world).await?;
    } else {
        sleep(plan.length).await;
    }
    fault::heal(&world)?;
    // What was served before is served again.
    sleep(Duration::from_secs(3)).await;
    world.open.set(false);
    let until = Instant::now() + FINISH;
    while Instant::now() < until && callers.iter().any(|caller| !caller.is_finished()) {
        sleep(Duration::from_millis(100)).await;
    }
    for caller in callers {
        caller.abort();
    }
    // The nodes still run. Read at once, their logs would lack the end of an answer
    // that a caller got in the last moment.
    sleep(check::WRITTEN).await;
    let report = report(&world);
    if report.broken.is_empty() {
        std::fs::remove_dir_all(&folder)?;
    } else {
        eprintln!("logs of seed {} are in {}", plan.seed, folder.display());
    }
    Ok(report)
}

fn report(world: &World) -> Report {
    let mut report = Report {
        seed: world.plan.seed,
        faults: world.faults.get(),
        calls: world.store.calls.get(),
        broken: world.broken.take(),
        ..Report::default()
    };
    report.check_requests(&world.asked.borrow(), &world.register);
    report.check_killers(&world.register);
    let strikes: Vec<Strike> = world
        .nodes
        .iter()
        .flat_map(|node| node.strikes.borrow().clone())
        .collect();
    match logs(world) {
        Ok(logs) => {
            report.check_logs(&world.asked.borrow(), &strikes, &logs);
            report.check_keys(KEY, ORGANISATION, &world.register, &logs);
        }
        Err(error) => report.broke(format!("the nodes' logs can't be read: {error}")),
    }
    let jobs: Vec<Job> = world
        .jobs
        .borrow()
        .iter()
        .map(|job| job.borrow().clone())
        .collect();
    report.check_jobs(&jobs, &world.register);
    report
}

fn logs(world: &World) -> std::io::Result<Vec<String>> {
    let read = |node: &Node| std::fs::read_to_string(&node.log);
    world.nodes.iter().map(read).collect()
}

async fn set_up(plan: Plan, folder: &Path) -> Result<World> {
    let store = Store::new();
    // Runs side by side must not share ports.
    let port = FIRST_PORT + u16::try_from(std::process::id() % 400)? * 20;
    let mut nodes = Vec::new();
    for at in 0..plan.nodes {
        let proxy = Proxy::start(store.listen(at).await?).await?;
        nodes.push(Node {
            at,
            ip: ip(at),
            settings: folder.join(format!("node-{at}.toml")),
            log: folder.join(format!("node-{at}.log")),
            child: RefCell::default(),
            strikes: RefCell::default(),
            store: proxy,
        });
    }
    let world = World {
        plan,
        store,
        nodes,
        replicas: RefCell::default(),
        register: Register::default(),
        asked: RefCell::default(),
        killed: RefCell::default(),
        jobs: RefCell::default(),
        broken: RefCell::default(),
        open: Cell::new(true),
        faults: Cell::new(0),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(plan.seed)),
        next: Cell::new(plan.seed * 1_000_000),
        config: Cell::new(0),
        port,
    };
    world.write_config();
    for _ in 0..plan.replicas {
        world.add_replica().await?;
    }
    for node in &world.nodes {
        std::fs::write(&node.settings, settings(&world, node))?;
        node.start()?;
    }
    Ok(world)
}

fn settings(world: &World, node: &Node) -> String {
    let (ip, port) = (node.ip, world.port);
    let seeds: Vec<String> = (0..world.plan.nodes.min(3))
        .map(|at| format!("\"{}\"", world.address(at, 2)))
        .collect();
    format!(
        "node = \"n{at}\"\nzone = \"z{zone}\"\nregion = \"r\"\nport_range = [{first}, {last}]\n\
         seeds = [{seeds}]\n[zones]\nz0 = \"r\"\nz1 = \"r\"\n[listen]\nfront = \"{ip}:{port}\"\n\
         ready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\ndirectory = \"{ip}:{directory}\"\n\
         [limits]\ncpu_share = 0.5\n[bounds]\ngrace_s = 8\nstatus_s = 120\nttl_max_s = 5\n\
         [platform]\naddress = \"{store}\"\nrow_bytes = 65536\nblob_bytes = 8388608\n",
        at = node.at,
        zone = node.at % 2,
        first = port + 5,
        last = port + 12,
        seeds = seeds.join(", "),
        ready = port + 1,
        control = port + 2,
        directory = port + 3,
        store = node.store.address,
    )
}

async fn wait_ready(world: &World) -> Result<()> {
    let until = Instant::now() + START;
    for node in &world.nodes {
        while TcpStream::connect(world.callers(node.at)).await.is_err() {
            ensure!(
                node.runs(),
                "node {} ended; see {}",
                node.at,
                node.log.display()
            );
            ensure!(Instant::now() < until, "node {} does not listen", node.at);
            sleep(Duration::from_millis(50)).await;
        }
    }
    // Configuration, replicas and members are learnt within a second.
    sleep(Duration::from_millis(1_500)).await;
    Ok(())
}
