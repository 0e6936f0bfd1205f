//! The nodes: processes of the deploy file, with the platform's part of keeping them.

use std::fs::{self, File};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::base::{self, Record};

/// `memory_mb` of the sheet: a process that exceeds it is killed.
pub const MEMORY_MB: u64 = 290;
/// Delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
const METRICS_PORT: u16 = 9464;

/// A process that ended, and why.
#[derive(Clone, Debug)]
pub struct End {
    pub at_ms: u64,
    pub memory_mb: u64,
    /// True where the platform killed it for its memory.
    pub is_over_limit: bool,
}

/// A machine with one process.
pub struct Node {
    pub name: String,
    pub ip: String,
    pub front: String,
    pub ready: String,
    settings: String,
    log: String,
    child: Mutex<Option<Child>>,
    pub ends: Mutex<Vec<End>>,
    pub peak_mb: Mutex<u64>,
}

/// All machines of a case.
pub struct Fleet {
    pub nodes: Vec<Arc<Node>>,
    stop: Arc<AtomicBool>,
    keepers: Mutex<Vec<JoinHandle<()>>>,
}

/// Finds ports that are free at all addresses; each kind of listener has the same at every node.
fn free_ports(ips: &[String]) -> u16 {
    let mut random = base::Random(0x9e37_79b9 ^ u64::from(std::process::id()) << 7);
    for _ in 0..200 {
        let first = 20_000 + random.below(10_000) as u16;
        let is_free = |port| {
            ips.iter().all(|ip| {
                TcpListener::bind((ip.as_str(), port)).is_ok()
                    && std::net::UdpSocket::bind((ip.as_str(), port)).is_ok()
            })
        };
        if (first..first + 14).all(is_free) {
            return first;
        }
    }
    panic!("no free ports");
}

impl Fleet {
    /// Starts `count` machines in three zones, with the commands of the deploy file.
    pub fn start(count: usize, store: &str, folder: &str, record: &Arc<Record>) -> Self {
        let third = 100 + (std::process::id() % 100) as u8;
        let ips: Vec<String> = (0..count)
            .map(|at| format!("127.0.{third}.{}", at + 1))
            .collect();
        let first = free_ports(&ips);
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{}\"", first + 2))
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        let mut nodes = Vec::new();
        for (at, ip) in ips.iter().enumerate() {
            let zone = ["ruwi-hall", "seeb-hall", "qurum-hall"][at % 3];
            let name = format!("edge-{zone}-{}", at / 3 + 1);
            let settings = format!(
                "node = \"{name}\"\nrole = \"node\"\nmachine_class = \"edge\"\n\
                 serves = [\"edge\",\"registry\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
                 region = \"muscat\"\nport_range = [{}, {}]\nseeds = [{}]\nbootstrap = true\n\
                 counts_as_loss = false\ndiscovery = \"platform\"\nentry = \"registry\"\n\
                 heartbeat_ms = 1200\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n\
                 [zones]\nruwi-hall = \"muscat\"\nseeb-hall = \"muscat\"\nqurum-hall = \"muscat\"\n\
                 [listen]\nfront = \"{ip}:{first}\"\nready = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
                 directory = \"{ip}:{}\"\n\
                 [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = {MEMORY_MB}\nmax_fds = 8200\n\
                 link_mbps = 1000.0\ndisk_mb = 0\n\
                 [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
                 [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
                 catchup_s = 4.7\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
                 config_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nrecovery_s = 12\n\
                 pass_ms = 120\nretry_after_s = 0\nfinish_s = 18\nstatus_s = 120\n\
                 cancel_ms = 3000\nsettle_ms = 1000\nquota_excess = 0.1\nttl_max_s = 5\n\
                 [platform]\naddress = \"{store}\"\nform = \"table\"\nwrites_per_s = 800\n\
                 reads_per_s = 2000\ntx_ms = 5.0\npart_writes_s = 200\nrow_bytes = 65536\n\
                 across = false\nhistory_s = 20\nblob_bytes = 8388608\nblob_ms = 25.0\n\
                 blob_mb_s = 80.0\n",
                first + 5,
                first + 13,
                seeds.join(", "),
                first + 1,
                first + 2,
                first + 3,
            );
            let path = format!("{folder}/{name}.toml");
            fs::write(&path, settings).expect("the settings can't be written");
            nodes.push(Arc::new(Node {
                front: format!("{ip}:{first}"),
                ready: format!("{ip}:{}", first + 1),
                ip: ip.clone(),
                log: format!("{folder}/{name}.log"),
                name,
                settings: path,
                child: Mutex::default(),
                ends: Mutex::default(),
                peak_mb: Mutex::default(),
            }));
        }
        for node in &nodes {
            node.spawn(record);
        }
        let keepers = nodes
            .iter()
            .map(|node| {
                let (node, stop) = (Arc::clone(node), Arc::clone(&stop));
                let record = Arc::clone(record);
                thread::spawn(move || node.keep(&stop, &record))
            })
            .collect();
        Self {
            nodes,
            stop,
            keepers: Mutex::new(keepers),
        }
    }

    /// Waits until every node is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            if self.nodes.iter().all(|node| node.is_ready()) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Ends all processes.
    pub fn end(&self) {
        self.stop.store(true, Ordering::Relaxed);
        for keeper in self.keepers.lock().unwrap().drain(..) {
            let _ = keeper.join();
        }
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Returns how often processes of each machine ended by themselves for their memory.
    pub fn over_limit(&self) -> Vec<usize> {
        let count = |node: &Arc<Node>| {
            let ends = node.ends.lock().unwrap();
            ends.iter().filter(|end| end.is_over_limit).count()
        };
        self.nodes.iter().map(count).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

impl Node {
    fn spawn(&self, record: &Record) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log can't be opened");
        // The metrics listen at the node's own address, so the port may be the same everywhere.
        let child = Command::new("target/release/auburnspoke")
            .args(["edge", "--metrics", &METRICS_PORT.to_string()])
            .env_remove("RUST_LOG")
            .env("AUBURNSPOKE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("target/release/auburnspoke can't be started");
        record.line(&format!("node {} started pid={}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let answer = base::call(
            &self.ready,
            "GET",
            "/-/readyz",
            &[("Host", "ready")],
            b"",
            limit,
        );
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Resident memory of the process in MB.
    fn memory_mb(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024)
    }

    /// Keeps the process as the platform does: kills it above its memory, and starts it again
    /// after it has ended.
    fn keep(&self, stop: &AtomicBool, record: &Record) {
        let mut last_mb = 0;
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
            if let Some(mb) = self.memory_mb() {
                last_mb = mb;
                let mut peak = self.peak_mb.lock().unwrap();
                *peak = (*peak).max(mb);
            }
            let is_over_limit = last_mb > MEMORY_MB;
            let has_ended = {
                let mut child = self.child.lock().unwrap();
                let Some(child) = child.as_mut() else {
                    continue;
                };
                if is_over_limit {
                    let _ = child.kill();
                    let _ = child.wait();
                }
                is_over_limit || matches!(child.try_wait(), Ok(Some(_)))
            };
            if !has_ended || stop.load(Ordering::Relaxed) {
                continue;
            }
            record.line(&format!(
                "node {} ended memory_mb={last_mb} over_limit={is_over_limit}",
                self.name
            ));
            self.ends.lock().unwrap().push(End {
                at_ms: record.now_ms(),
                memory_mb: last_mb,
                is_over_limit,
            });
            last_mb = 0;
            thread::sleep(RESTART_DELAY);
            if !stop.load(Ordering::Relaxed) {
                self.spawn(record);
            }
        }
    }
}
