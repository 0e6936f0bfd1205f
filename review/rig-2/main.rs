//! Plays one case of the review: real nodes as processes, with stand-ins for the store, the
//! replicas and the clients around them.
//!
//! `rig CASE FOLDER`, from the root of the repository. It exits with 1 if the rule was broken, with 0
//! if it held, and with 2 if the case couldn't run. With `TROUBLE=0` it leaves the disruption out.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod base;
mod cases;
mod client;
mod node;
mod replica;
mod store;

use base::Record;
use node::Fleet;
use replica::{Arrival, Pace, Replica};
use store::Store;

/// The parts of a small deployment.
pub struct Rig {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fleet: Fleet,
    pub replicas: Vec<Arc<Replica>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub has_trouble: bool,
    pub stop: Arc<AtomicBool>,
    version: Mutex<u64>,
    /// `max_count` of the route of batch jobs.
    pub max_count: u64,
    /// `queue_ttl_s` of that route.
    pub ttl_s: std::sync::atomic::AtomicU64,
}

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

impl Rig {
    /// Starts the store, replicas and `nodes` machines. `replicas` gives the service of each replica.
    fn start(folder: &str, nodes: usize, services: &[&str], pace: &Pace) -> Self {
        let record = Arc::new(Record::create(&format!("{folder}/record.txt")));
        let scratch = std::env::var("SCRATCH").expect("SCRATCH is not set");
        let store = Store::start();
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let answers = Arc::default();
        let zones = ["ruwi-hall", "seeb-hall", "qurum-hall"];
        let replicas: Vec<Arc<Replica>> = services
            .iter()
            .enumerate()
            .map(|(at, service)| {
                let id = format!("i-7f3a91c{at}");
                Replica::start(
                    &id,
                    service,
                    zones[at % 3],
                    pace.clone(),
                    &arrivals,
                    &record,
                    &answers,
                )
            })
            .collect();
        let stop = Arc::new(AtomicBool::new(false));
        for replica in &replicas {
            store.put("servers", &replica.id, &replica.entry());
        }
        let fleet = Fleet::start(nodes, &store.address, &scratch, &record);
        let rig = Self {
            record,
            store,
            fleet,
            replicas,
            arrivals,
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            stop,
            version: Mutex::new(0),
            max_count: 1_500_000,
            ttl_s: 60.into(),
        };
        rig.record
            .line(&format!("trouble={}", u8::from(rig.has_trouble)));
        rig.beat();
        rig
    }

    /// Replicas write their entries every `heartbeat_ms`.
    fn beat(&self) {
        let (store, replicas) = (Arc::clone(&self.store), self.replicas.clone());
        let stop = Arc::clone(&self.stop);
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1_200));
                for replica in &replicas {
                    store.put("servers", &replica.id, &replica.entry());
                }
            }
        });
    }

    /// Writes a configuration that sends batch jobs to `batch` and questions to `online`. Returns
    /// when it was acknowledged.
    pub fn configure(&self, online: &str, batch: &str) -> u64 {
        let version = {
            let mut version = self.version.lock().unwrap();
            *version += 3;
            *version
        };
        let route = |name: &str, prefix: &str, kind: &str, rest: &str, service: &str| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{}\",\"prefix\":\"/{prefix}/\",\"type\":\"{kind}\",\"timeout_ms\":5000,\"goal_ms\":300,\"priority\":0,\"service\":\"{service}\",\"resumable\":true,\"gap_goal_ms\":400,\"sticky\":true,{rest}}}",
                client::HOST
            )
        };
        let routes = [
            route(
                "remit-query",
                "lohu930",
                "streaming",
                "\"attempts\":2",
                online,
            ),
            route(
                "recon-notes",
                "pule252",
                "batch",
                &format!(
                    "\"attempts\":3,\"run_goal_ms\":18000,\"queue_ttl_s\":{},\"max_count\":{}",
                    self.ttl_s.load(Ordering::Relaxed),
                    self.max_count
                ),
                batch,
            ),
        ];
        let config = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes.join(",")
        );
        self.store.put("op", "config", &config);
        let now = self.record.now_ms();
        self.record.line(&format!(
            "operator version={version} online={online} batch={batch} queue_ttl_s={} acknowledged",
            self.ttl_s.load(Ordering::Relaxed)
        ));
        now
    }

    pub fn addresses(&self) -> Vec<String> {
        let nodes = self.fleet.nodes.iter();
        nodes.map(|node| node.front.clone()).collect()
    }

    /// True until the moment `end` of the run.
    pub fn is_before(&self, end: Instant) -> bool {
        Instant::now() < end && !self.stop.load(Ordering::Relaxed)
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let (rig, verdict) = cases::play(&case, &folder);
    rig.stop.store(true, Ordering::Relaxed);
    rig.fleet.end();
    let peaks: Vec<u64> = rig
        .fleet
        .nodes
        .iter()
        .map(|node| *node.peak_mb.lock().unwrap())
        .collect();
    rig.record
        .line(&format!("peak memory of each node in MB: {peaks:?}"));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(why) => (format!("the rule was broken: {why}"), 1),
        Verdict::NotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    rig.record.line(&text);
    println!("{case}: {text}; peak memory in MB {peaks:?}");
    drop(rig);
    std::process::exit(code);
}
