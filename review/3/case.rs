//! All nodes are killed at the same moment, and the one that owns a batch job never comes back.
//! The store answers 503 for 4.5 s from a second after the others have started again. What the
//! lost node had accepted has to be listed all the same.

#[path = "../rig/rig.rs"]
mod rig;

use std::path::Path;
use std::process::exit;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use rig::{Framing, Listed, Nodes, Record, Replica, Store};

const NODES: usize = 4;
const REPLICAS: usize = 4;
const SLOTS: usize = 8;
const ITEMS: u64 = 10;
const EVENTS: u64 = 236;
const EVENT_BYTES: usize = 60;
const STEP: Duration = Duration::from_millis(20);
/// From the kill until the remaining nodes are started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// From their start until the outage, and its length: `for_s = 4.5` of `platform_down`.
const OUTAGE_START: Duration = Duration::from_millis(1_000);
const OUTAGE: Duration = Duration::from_millis(4_500);
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(18);
const CALM: Duration = Duration::from_secs(5);
const JOB: &str = "7c41e09b52d6a3f8";

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| "review/3".into());
    let code = match run(Path::new(&folder)) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(why) => {
            eprintln!("the case could not run: {why}");
            2
        }
    };
    exit(code);
}

/// Lists everything that one node returns, from the start. A node that isn't sure answers 503, and
/// is asked again.
fn read_all(nodes: &Nodes, at: usize) -> Option<Vec<Listed>> {
    let mut all = Vec::new();
    let mut failures = 0;
    while failures < 10 {
        match rig::read_results(nodes.front(at), JOB, all.len()) {
            Some((_, results)) if results.is_empty() => return Some(all),
            Some((_, results)) => all.extend(results),
            None => {
                failures += 1;
                sleep(Duration::from_millis(150));
            }
        }
    }
    None
}

fn run(folder: &Path) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let record = Record::create(&folder.join("record.txt")).map_err(text)?;
    let has_trouble = rig::has_trouble();
    record.line(&format!("trouble={has_trouble}"));
    let store = Store::start(&record).map_err(text)?;
    store.put("op", "config", &rig::config(7));
    let mut replicas = Vec::new();
    for at in 0..REPLICAS {
        let id = format!("i-{at}");
        let sink = Box::new(rig::Lines::new(&record));
        let (replica, address) =
            Replica::start(&id, SLOTS, Framing::Chunks, STEP, EVENT_BYTES, sink).map_err(text)?;
        let zone = rig::ZONES[at % rig::ZONES.len()];
        store.put(
            "servers",
            &id,
            &rig::server_row(rig::SERVICE, address, zone, SLOTS, "ready"),
        );
        replicas.push(replica);
    }
    let mut nodes = Nodes::start(NODES, &[store.address()], 3).map_err(text)?;
    if !nodes.wait_ready(Duration::from_secs(20)) {
        return Err("the nodes did not become ready".into());
    }
    sleep(Duration::from_secs(5));

    let items: Vec<(String, String)> = (0..ITEMS)
        .map(|number| {
            (
                format!("e5b2907c14da{number:04x}"),
                format!("/n/{number}/{EVENTS}"),
            )
        })
        .collect();
    // The node that accepts a batch job runs it.
    if !rig::submit(&record, &nodes, "/n/7c41e0", JOB, &rig::job_body(&items), 0) {
        return Err("the batch job was not accepted".into());
    }
    sleep(Duration::from_secs(1));
    if has_trouble {
        record.line("nodes: all are killed");
        for at in 0..NODES {
            nodes.kill(at);
        }
        sleep(RESTART_DELAY);
        for at in 1..NODES {
            nodes.relaunch(at, store.address()).map_err(text)?;
        }
        record.line("nodes: 1 to 3 are started again; 0 is gone for good");
        sleep(OUTAGE_START);
        record.line("store: answers 503 to each call from here on");
        store.is_down.store(true, Ordering::SeqCst);
        sleep(OUTAGE);
        record.line("store: answers again");
        store.is_down.store(false, Ordering::SeqCst);
    }
    let back = Instant::now();
    let until = back + FINISH + CALM;
    let mut last_active = Instant::now();
    while Instant::now() < until {
        sleep(Duration::from_millis(100));
        let active: usize = replicas.iter().map(|it| it.active()).sum();
        if active > 0 {
            last_active = Instant::now();
        }
    }
    let idle = last_active.elapsed();
    record.line(&format!(
        "check: {:.1} s after the last disruption; no replica has run anything for {:.1} s",
        back.elapsed().as_secs_f64(),
        idle.as_secs_f64(),
    ));
    if idle < CALM {
        return Err("a replica still ran in the last 5 s, so the rule does not apply".into());
    }
    let mut holds = true;
    for at in 1..NODES {
        if !nodes.is_running(at) {
            return Err(format!("the process of node {at} has ended"));
        }
        let Some(results) = read_all(&nodes, at) else {
            return Err(format!("node {at} did not return the results"));
        };
        let right = results.iter().filter(|it| {
            let item = items.iter().find(|(id, _)| *id == it.id);
            it.state == "complete"
                && item.is_some_and(|(_, path)| it.output == rig::output(path, EVENT_BYTES))
        });
        record.line(&format!(
            "client: node {at} lists {} of {ITEMS} results, {} complete with their whole text",
            results.len(),
            right.count(),
        ));
        holds &= results.len() as u64 == ITEMS;
    }
    record.line(if holds {
        "the rule held"
    } else {
        "LOST: accepted items are left lying"
    });
    Ok(holds)
}
