//! The cases.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::Random;
use crate::client::{Client, Job, Jobs, Outcome, Sent};
use crate::replica::{self, Flood, Pace, Trouble};
use crate::{Rig, Verdict};

const SERVICE: &str = "payrun-llm";
const NODES: usize = 3;
const READY_LIMIT: Duration = Duration::from_secs(20);
/// `config_ms` of the sheet.
const CONFIG_MS: u64 = 2_000;
/// `max_count` of the sheet, in tokens.
const MAX_COUNT: u64 = 1_500_000;
/// Output tokens of an item, on average.
const OUTPUT_TOKENS: usize = 236;
/// Bytes a second to one machine: 880 of its 1,000 Mbit/s.
const FLOOD_BYTES_PER_S: u64 = 110_000_000;
/// `finish_s` of the sheet.
const FINISH: Duration = Duration::from_secs(18);

fn pace() -> Pace {
    Pace {
        slots: 8,
        first: Duration::from_millis(20),
        gap: Duration::from_millis(20),
        events: 34,
        spread: 0.25,
        event_bytes: 65,
    }
}

/// Plays the case with this name.
pub fn play(case: &str, folder: &str) -> (Rig, Verdict) {
    match case {
        "spoiled-stream" => spoiled_stream(folder),
        "spoiled-item" => spoiled_item(folder),
        "endless-error" => endless_error(folder),
        "endless-item" => endless_item(folder),
        "comments-item" => comments_item(folder),
        "raised-ttl" => raised_ttl(folder),
        "moved-route" => moved_route(folder),
        "long-outputs" => long_outputs(folder),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    }
}

fn start(folder: &str, services: &[&str], pace: &Pace) -> Result<Rig, (Rig, Verdict)> {
    start_with(folder, NODES, services, pace, MAX_COUNT)
}

fn start_with(
    folder: &str,
    nodes: usize,
    services: &[&str],
    pace: &Pace,
    max_count: u64,
) -> Result<Rig, (Rig, Verdict)> {
    let mut rig = Rig::start(folder, nodes, services, pace);
    rig.max_count = max_count;
    rig.configure(SERVICE, SERVICE);
    if !rig.fleet.wait_ready(READY_LIMIT) {
        return Err((rig, Verdict::NotRun("the nodes are not ready".into())));
    }
    // Nodes meet all others within a second of their start.
    thread::sleep(Duration::from_millis(1_500));
    Ok(rig)
}

/// Clients that ask until `end`, each at a node of its own choice until its connection ends.
fn ask_until(
    rig: &Rig,
    end: Instant,
    clients: u64,
    pause: Duration,
) -> Vec<thread::JoinHandle<Vec<Sent>>> {
    (0..clients)
        .map(|at| {
            let (addresses, record) = (rig.addresses(), Arc::clone(&rig.record));
            let stop = Arc::clone(&rig.stop);
            thread::spawn(move || {
                let mut random = Random(0x1234_5678_9abc ^ (at + 1) << 20);
                let mut client = Client::new();
                let mut sent = Vec::new();
                let mut number = 0;
                while Instant::now() < end && !stop.load(Ordering::Relaxed) {
                    let node = random.below(addresses.len());
                    let id = format!("{:08x}{at:02x}{number:06x}", 0x9c41_d07b_u32);
                    number += 1;
                    sent.push(client.ask(&addresses, node, &id, &record));
                    thread::sleep(pause);
                }
                sent
            })
        })
        .collect()
}

/// Judges the rule on processes that end by themselves: on two machines at least, three times each.
fn judge_ends(rig: &Rig) -> Verdict {
    let ends = rig.fleet.over_limit();
    let others: usize = rig
        .fleet
        .nodes
        .iter()
        .map(|node| {
            node.ends
                .lock()
                .unwrap()
                .iter()
                .filter(|end| !end.is_over_limit)
                .count()
        })
        .sum();
    let text = format!(
        "processes ended for their memory {ends:?} times by machine, {others} ended otherwise"
    );
    rig.record.line(&text);
    if ends.iter().filter(|count| **count >= 3).count() >= 2 {
        Verdict::Broken(text)
    } else {
        Verdict::Held
    }
}

/// Waits until the rule on processes that end by themselves is broken, or `end` comes.
fn watch_ends(rig: &Rig, end: Instant) {
    while rig.is_before(end) {
        thread::sleep(Duration::from_millis(200));
        let ends = rig.fleet.over_limit();
        if ends.iter().filter(|count| **count >= 3).count() >= 2 {
            return;
        }
    }
}

/// One of nine replicas answers with status 500 and a body without end.
fn endless_error(folder: &str) -> (Rig, Verdict) {
    /// Requests that the rule allows to be lost.
    const MAX_LOST: usize = 3;
    let rig = match start(folder, &[SERVICE; 9], &pace()) {
        Ok(rig) => rig,
        Err(ended) => return ended,
    };
    let end = Instant::now() + Duration::from_secs(72);
    let clients = ask_until(&rig, end, 24, Duration::from_millis(60));
    thread::sleep(Duration::from_secs(4));
    if rig.has_trouble {
        rig.replicas[0].set_flood(Some(Flood {
            trouble: Trouble::EndlessError,
            bytes_per_s: FLOOD_BYTES_PER_S,
        }));
    }
    let sent: Vec<Sent> = clients
        .into_iter()
        .flat_map(|it| it.join().unwrap_or_default())
        .collect();
    let arrivals = rig.arrivals.lock().unwrap();
    let count = |wanted: &Outcome| sent.iter().filter(|it| it.outcome == *wanted).count();
    let reached = |id: &str| {
        arrivals
            .iter()
            .any(|it| it.id == id && it.is_sound && it.has_run)
    };
    let lost = sent
        .iter()
        .filter(|it| it.is_kept && it.outcome == Outcome::ClosedWithoutAnswer && reached(&it.id))
        .count();
    let answered = count(&Outcome::Answered(200));
    rig.record.line(&format!(
        "requests={} answered_200={} closed_without_answer={} closed_midway={} left={}; lost={lost} of those on kept connections that a sound replica ran",
        sent.len(),
        answered,
        count(&Outcome::ClosedWithoutAnswer),
        count(&Outcome::ClosedMidway),
        count(&Outcome::Left),
    ));
    drop(arrivals);
    // The rule on processes that end by themselves is judged for the record.
    judge_ends(&rig);
    let verdict = if answered == 0 {
        Verdict::NotRun("no request was answered".into())
    } else if lost > MAX_LOST {
        Verdict::Broken(format!(
            "{lost} requests on kept connections reached a sound replica, and their connections were closed without an answer; processes ended for their memory {:?} times by machine",
            rig.fleet.over_limit()
        ))
    } else {
        Verdict::Held
    };
    (rig, verdict)
}

/// Submits jobs until `end`, one each `pause`, each first at another node, and reads them all.
fn submit_until(
    rig: &Rig,
    end: Instant,
    items: usize,
    pause: Duration,
) -> (thread::JoinHandle<()>, Jobs) {
    let jobs: Jobs = Arc::default();
    let (all, addresses, record) = (Arc::clone(&jobs), rig.addresses(), Arc::clone(&rig.record));
    let submitting = thread::spawn(move || {
        let mut number = 0;
        while Instant::now() < end {
            let mut job = Job::new(&format!("7c41e09b52d6{number:04x}"), items, OUTPUT_TOKENS);
            if job.submit(&addresses, number, &record) {
                all.lock().unwrap().push(job);
            }
            number += 1;
            thread::sleep(pause);
        }
    });
    (submitting, jobs)
}

/// Reads all jobs on until each is finished or `end` comes.
fn read_until(rig: &Rig, jobs: &Jobs, end: Instant) {
    let addresses = rig.addresses();
    let mut turn = 0;
    loop {
        let open: Vec<usize> = {
            let jobs = jobs.lock().unwrap();
            (0..jobs.len())
                .filter(|at| !jobs[*at].is_finished())
                .collect()
        };
        if open.is_empty() || Instant::now() >= end {
            return;
        }
        for at in open {
            if Instant::now() >= end {
                return;
            }
            turn += 1;
            let mut job = jobs.lock().unwrap()[at].clone();
            job.read(&addresses[turn % addresses.len()], &rig.record);
            jobs.lock().unwrap()[at] = job;
        }
    }
}

/// Three times in 30 s, five of nine replicas spoil 3 in 100 of their answers for 5 s.
fn spoil(rig: &Rig, is_apart: bool) {
    const SPOILERS: usize = 5;
    const ONE_IN: u64 = 34;
    const TIMES: usize = 3;
    const LENGTH: Duration = Duration::from_secs(5);
    for _ in 0..TIMES {
        for flood in [
            Some(Flood {
                trouble: Trouble::Spoiled {
                    one_in: ONE_IN,
                    is_apart,
                },
                bytes_per_s: 0,
            }),
            None,
        ] {
            if rig.has_trouble {
                for replica in &rig.replicas[..SPOILERS] {
                    replica.set_flood(flood);
                }
            }
            thread::sleep(LENGTH);
        }
    }
}

/// Replicas spoil answers to questions.
fn spoiled_stream(folder: &str) -> (Rig, Verdict) {
    let pace = pace();
    let rig = match start(folder, &[SERVICE; 9], &pace) {
        Ok(rig) => rig,
        Err(ended) => return ended,
    };
    let end = Instant::now() + Duration::from_secs(30);
    let clients = ask_until(&rig, end, 24, Duration::from_millis(60));
    spoil(&rig, false);
    let sent: Vec<Sent> = clients
        .into_iter()
        .flat_map(|it| it.join().unwrap_or_default())
        .collect();
    let answered: Vec<&Sent> = sent
        .iter()
        .filter(|it| it.outcome == Outcome::Answered(200))
        .collect();
    let midway = sent
        .iter()
        .filter(|it| it.outcome == Outcome::ClosedMidway)
        .count();
    let mut wrong = Vec::new();
    for sent in &answered {
        if sent.body != replica::stream(&sent.id, &pace) {
            let extra: Vec<&str> = sent
                .body
                .lines()
                .filter(|line| line.starts_with("data: ") && !line.contains(&sent.id))
                .collect();
            rig.record.line(&format!(
                "the complete answer to {} holds data that is not its own: {extra:?}",
                sent.id
            ));
            wrong.push(sent.id.clone());
        }
    }
    let text = format!(
        "{} of {} complete answers are not the replicas' events ({midway} more were broken off): {wrong:?}",
        wrong.len(),
        answered.len()
    );
    rig.record.line(&text);
    let verdict = if answered.is_empty() {
        Verdict::NotRun("no request was answered".into())
    } else if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(text)
    };
    (rig, verdict)
}

/// Replicas spoil answers to items.
fn spoiled_item(folder: &str) -> (Rig, Verdict) {
    let pace = Pace {
        events: OUTPUT_TOKENS as u64 / 4,
        ..pace()
    };
    let rig = match start(folder, &[SERVICE; 9], &pace) {
        Ok(rig) => rig,
        Err(ended) => return ended,
    };
    let end = Instant::now() + Duration::from_secs(30);
    let (submitting, jobs) = submit_until(&rig, end, 10, Duration::from_millis(500));
    spoil(&rig, true);
    let _ = submitting.join();
    read_until(
        &rig,
        &jobs,
        Instant::now() + FINISH + Duration::from_secs(20),
    );
    let jobs = jobs.lock().unwrap();
    let results: Vec<_> = jobs.iter().flat_map(|job| &job.results).collect();
    let mut wrong = Vec::new();
    for (id, is_complete, output) in &results {
        let whole = replica::output(id, &pace);
        if *is_complete && *output != whole {
            let extra: Vec<&str> = output
                .lines()
                .filter(|line| !line.starts_with(id.as_str()))
                .collect();
            rig.record.line(&format!(
                "item {id} is complete with {} lines in place of {}; lines that are not its own: {extra:?}",
                output.lines().count(),
                whole.lines().count()
            ));
            wrong.push(id.clone());
        }
    }
    let text = format!(
        "{} of {} complete results are not the item's whole output: {wrong:?}",
        wrong.len(),
        results.len()
    );
    rig.record.line(&text);
    let verdict = if results.is_empty() {
        Verdict::NotRun("no item has a result".into())
    } else if wrong.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(text)
    };
    drop(jobs);
    (rig, verdict)
}

/// One of nine replicas answers items with the head of a stream and events without end.
fn endless_item(folder: &str) -> (Rig, Verdict) {
    let rig = match start(folder, &[SERVICE; 9], &pace()) {
        Ok(rig) => rig,
        Err(ended) => return ended,
    };
    let end = Instant::now() + Duration::from_secs(80);
    let (submitting, jobs) = submit_until(
        &rig,
        end - Duration::from_secs(10),
        10,
        Duration::from_millis(1_500),
    );
    thread::sleep(Duration::from_secs(4));
    if rig.has_trouble {
        rig.replicas[0].set_flood(Some(Flood {
            trouble: Trouble::EndlessStream(
                b"data: core dump: 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00\n\n",
            ),
            bytes_per_s: FLOOD_BYTES_PER_S,
        }));
    }
    watch_ends(&rig, end);
    let verdict = judge_ends(&rig);
    rig.stop.store(true, Ordering::Relaxed);
    drop(submitting);
    let jobs = jobs.lock().unwrap();
    rig.record.line(&format!("jobs accepted={}", jobs.len()));
    drop(jobs);
    (rig, verdict)
}

/// For some seconds one of nine replicas answers items with the head of a stream and comments
/// without end, in place of events.
fn comments_item(folder: &str) -> (Rig, Verdict) {
    let rig = match start(folder, &[SERVICE; 9], &pace()) {
        Ok(rig) => rig,
        Err(ended) => return ended,
    };
    let end = Instant::now() + Duration::from_secs(14);
    let (submitting, jobs) = submit_until(&rig, end, 10, Duration::from_millis(1_000));
    thread::sleep(Duration::from_secs(4));
    if rig.has_trouble {
        rig.replicas[0].set_flood(Some(Flood {
            trouble: Trouble::EndlessStream(b": nothing\n\n"),
            bytes_per_s: 200,
        }));
    }
    thread::sleep(Duration::from_secs(6));
    // Requests from here on are answered as usual; what it sends without end, it goes on to send.
    rig.replicas[0].set_flood(None);
    let _ = submitting.join();
    let finish = Instant::now() + FINISH + Duration::from_secs(20);
    read_until(&rig, &jobs, finish);
    let verdict = judge_unlisted(&rig, &jobs);
    (rig, verdict)
}

/// Judges the rule on items that are not listed when `finish_s` is over.
fn judge_unlisted(rig: &Rig, jobs: &Jobs) -> Verdict {
    let jobs = jobs.lock().unwrap();
    let now = rig.record.now_ms();
    let arrivals = rig.arrivals.lock().unwrap();
    let mut open = Vec::new();
    for job in jobs.iter() {
        for item in &job.items {
            if !job.results.iter().any(|(id, _, _)| id == item) {
                let last = arrivals
                    .iter()
                    .filter(|it| it.id == *item)
                    .map(|it| (it.at_ms, it.is_sound))
                    .next_back();
                rig.record.line(&format!(
                    "job={} item={item} is not listed; accepted {:?} ms before; last arrival {last:?}",
                    job.id,
                    job.accepted_ms.map(|at| now - at)
                ));
                open.push(item.clone());
            }
        }
    }
    let recent = arrivals.iter().filter(|it| it.at_ms + 5_000 > now).count();
    let text = format!(
        "{} of {} items of accepted jobs are not listed; {recent} items reached a replica in the last 5 s",
        open.len(),
        jobs.iter().map(|job| job.items.len()).sum::<usize>()
    );
    rig.record.line(&text);
    if jobs.is_empty() {
        return Verdict::NotRun("no job was accepted".into());
    }
    if open.is_empty() || recent > 0 {
        Verdict::Held
    } else {
        Verdict::Broken(text)
    }
}

/// The operator moves the route of batch jobs to another service and back, while items wait for a
/// slot.
fn moved_route(folder: &str) -> (Rig, Verdict) {
    const OLD: &str = "payrun-llm";
    const NEW: &str = "payrun-llm-2";
    let pace = Pace {
        events: 236,
        ..pace()
    };
    let rig = match start_with(folder, 2 * NODES, &[OLD, NEW, OLD, NEW], &pace, MAX_COUNT) {
        Ok(rig) => rig,
        Err(ended) => return ended,
    };
    let end = Instant::now() + Duration::from_secs(84);
    let (submitting, jobs) = submit_until(&rig, end, 10, Duration::from_millis(2_000));
    thread::sleep(Duration::from_secs(10));
    let mut changes: Vec<(u64, &str)> = vec![(0, OLD)];
    let mut batch = OLD;
    let mut random = Random(0x5eed_5eed_5eed);
    while rig.is_before(end) {
        if rig.has_trouble {
            batch = if batch == OLD { NEW } else { OLD };
            changes.push((rig.configure(SERVICE, batch), batch));
        }
        thread::sleep(Duration::from_millis(5_000 + random.below(3_000) as u64));
    }
    let _ = submitting.join();
    let arrivals = rig.arrivals.lock().unwrap();
    let mut late = Vec::new();
    for arrival in arrivals.iter().filter(|it| it.has_run) {
        // The configurations that may be in force: the newest that has been acknowledged for
        // `config_ms`, and all later ones.
        let settled = changes
            .iter()
            .rposition(|(at, _)| at + CONFIG_MS < arrival.at_ms)
            .unwrap_or(0);
        let is_allowed = changes[settled..]
            .iter()
            .any(|(at, service)| *at <= arrival.at_ms && *service == arrival.service);
        if !is_allowed {
            let text = format!(
                "item {} reached {} of service {} {} ms after the route was moved to {}",
                arrival.id,
                arrival.replica,
                arrival.service,
                arrival.at_ms - changes[settled].0,
                changes[settled].1
            );
            rig.record.line(&text);
            late.push(text);
        }
    }
    let items = arrivals.len();
    drop(arrivals);
    let text = format!(
        "{} of {items} items ran by a service that only older versions allow, after {} changes",
        late.len(),
        changes.len() - 1
    );
    rig.record.line(&text);
    if jobs.lock().unwrap().is_empty() {
        return (rig, Verdict::NotRun("no job was accepted".into()));
    }
    let verdict = if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(text)
    };
    (rig, verdict)
}

/// Many jobs come at once, and the operator raises `queue_ttl_s` while their items wait.
fn raised_ttl(folder: &str) -> (Rig, Verdict) {
    const LOW_S: u64 = 20;
    const HIGH_S: u64 = 60;
    const JOBS: usize = 6;
    let pace = Pace {
        events: OUTPUT_TOKENS as u64,
        ..pace()
    };
    let rig = match start(folder, &[SERVICE], &pace) {
        Ok(rig) => rig,
        Err(ended) => return ended,
    };
    // Without the disruption, the route has the higher value all the time.
    if rig.has_trouble {
        rig.ttl_s.store(LOW_S, Ordering::Relaxed);
        rig.configure(SERVICE, SERVICE);
        thread::sleep(Duration::from_secs(3));
    }
    let sent_ms = rig.record.now_ms();
    let mut all = Vec::new();
    for number in 0..JOBS {
        let mut job = Job::new(&format!("7c41e09b52d6{number:04x}"), 10, OUTPUT_TOKENS);
        if job.submit(&rig.addresses(), number, &rig.record) {
            all.push(job);
        }
    }
    if all.len() < JOBS {
        return (rig, Verdict::NotRun("a job was not accepted".into()));
    }
    let jobs: Jobs = Arc::new(Mutex::new(all));
    thread::sleep(Duration::from_secs(4));
    let raised_ms = if rig.has_trouble {
        rig.ttl_s.store(HIGH_S, Ordering::Relaxed);
        rig.configure(SERVICE, SERVICE)
    } else {
        0
    };
    let expires_ms = sent_ms + HIGH_S * 1_000;
    let left = expires_ms.saturating_sub(rig.record.now_ms() + 2_000);
    read_until(&rig, &jobs, Instant::now() + Duration::from_millis(left));
    let now = rig.record.now_ms();
    let jobs = jobs.lock().unwrap();
    let results: Vec<_> = jobs.iter().flat_map(|job| &job.results).collect();
    let errored = results
        .iter()
        .filter(|(_, is_complete, _)| !is_complete)
        .count();
    let text = format!(
        "{errored} of {} items are listed as errored {} ms after their jobs were sent, and {} ms after queue_ttl_s = {HIGH_S} was acknowledged; no run of an item failed",
        JOBS * 10,
        now - sent_ms,
        now - raised_ms,
    );
    rig.record.line(&text);
    let verdict = if results.is_empty() {
        Verdict::NotRun("no item has a result".into())
    } else if errored > 0 && now < expires_ms {
        Verdict::Broken(text)
    } else {
        Verdict::Held
    };
    drop(jobs);
    (rig, verdict)
}

/// Items of a job take longer than usual and write longer outputs.
fn long_outputs(folder: &str) -> (Rig, Verdict) {
    let long = std::env::var("TROUBLE").as_deref() != Ok("0");
    let pace = Pace {
        events: if long { 1_180 } else { 118 },
        spread: 0.0,
        event_bytes: 260,
        gap: Duration::from_millis(4),
        ..pace()
    };
    // There is no limit on waiting tokens.
    let rig = match start_with(folder, NODES, &[SERVICE; 9], &pace, 0) {
        Ok(rig) => rig,
        Err(ended) => return ended,
    };
    // An event holds some 65 tokens of four bytes each.
    let output_tokens = if long { 77_000 } else { 7_700 };
    let mut job = Job::new("7c41e09b52d60001", 60, output_tokens);
    if !job.submit(&rig.addresses(), 0, &rig.record) {
        return (rig, Verdict::NotRun("the job was not accepted".into()));
    }
    let jobs: Jobs = Arc::new(Mutex::new(vec![job.clone()]));
    read_until(&rig, &jobs, Instant::now() + Duration::from_secs(45));
    let first = jobs.lock().unwrap()[0].clone();
    rig.record
        .line(&format!("first reading: {} results", first.results.len()));
    // Read from the start again, at each node.
    let mut unread = Vec::new();
    for (at, address) in rig.addresses().iter().enumerate() {
        let until = Instant::now() + Duration::from_secs(10);
        let mut again = job.clone();
        let mut last = 0;
        while again.results.len() < first.results.len() && Instant::now() < until {
            last = again.read(address, &rig.record);
        }
        rig.record.line(&format!(
            "read from the start at node {at}: {} of {} results, last status {last}",
            again.results.len(),
            first.results.len()
        ));
        if again.results.len() < first.results.len() {
            unread.push(at);
        }
    }
    let text = format!("the first reading gave {} of 60 results; a second one from the start ended early at the nodes {unread:?}", first.results.len());
    let verdict = if first.results.len() < 60 || !unread.is_empty() {
        Verdict::Broken(text)
    } else {
        Verdict::Held
    };
    (rig, verdict)
}
