//! Throughput of one node with the in-memory platform, in items per second by the number and size
//! of jobs, and memory of a chunk.
//!
//! `cargo bench --bench job`. Bounds on counts are in `tests/job_budget.rs`; these figures depend
//! on the machine and have no bounds.

use std::rc::Rc;
use std::time::{Duration, Instant};

use auburnspoke::job::chunk::Chunk;
use auburnspoke::job::lane::Lane;
use auburnspoke::job::runner::Runner;
use auburnspoke::job::{Execute, Id, Item, Jobs, Setting, State, Submission, record};
use auburnspoke::name::Name;
use auburnspoke::outcome::Outcome;
use auburnspoke::request::{Answer, Request};
use auburnspoke::table::memory::Platform;
use tokio::sync::oneshot;

/// Length of a prompt.
const PROMPT_BYTES: usize = 400;

/// An executor that completes every item without delay.
struct Immediate;

impl Execute for Immediate {
    fn capacity(&self, _service: &Name) -> usize {
        64
    }

    fn services(&self) -> Vec<Name> {
        vec!["rescale".into()]
    }

    async fn execute(&self, _request: Request) -> Outcome<Answer> {
        Outcome::Done(Answer {
            text: "scaled".to_owned(),
            tokens: 1,
            ..Answer::default()
        })
    }
}

fn items(count: usize) -> Vec<Item> {
    (0..count)
        .map(|number| Item {
            key: "".into(),
            prompt: format!("{number:0>PROMPT_BYTES$}").into(),
            max_tokens: 16,
        })
        .collect()
}

async fn submit(jobs: &Jobs<Platform, Platform>, number: usize, count: usize) -> Id {
    let submission = Submission {
        service: "rescale".into(),
        organisation: "trust".into(),
        key: format!("job-{number}").into(),
        items: items(count),
        due: Duration::from_secs(3_600),
        once: false,
    };
    match jobs.submit(1, submission).await {
        Outcome::Done(accepted) => accepted.job,
        refused => panic!("{refused:?}"),
    }
}

async fn wait(jobs: &Jobs<Platform, Platform>, id: &Id) {
    loop {
        match jobs.status(id).await {
            Outcome::Done(status) if status.job.state == State::Ended => return,
            _ => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Returns the seconds taken to accept and to run `count` jobs of `size` items.
async fn measure(count: usize, size: usize) -> (f64, f64) {
    let platform = Platform::new(1);
    let jobs = Jobs::new(platform.clone(), platform.clone());
    let from = Instant::now();
    let mut ids = Vec::new();
    for number in 0..count {
        ids.push(submit(&jobs, number, size).await);
    }
    let accepted = from.elapsed().as_secs_f64();
    let setting = Setting {
        poll_interval: Duration::from_millis(1),
        ..Setting::default()
    };
    let (runner, _handle) = Runner::new(
        "bench".into(),
        platform.clone(),
        platform,
        Immediate,
        setting,
    );
    let (stop, stopped) = oneshot::channel::<()>();
    let from = Instant::now();
    let running = tokio::task::spawn_local(runner.run(async move {
        let _ = stopped.await;
    }));
    for id in &ids {
        wait(&jobs, id).await;
    }
    let took = from.elapsed().as_secs_f64();
    drop(stop);
    let _ = running.await;
    (accepted, took)
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    println!("jobs  items each  accept items/s  run items/s");
    for (count, size) in [
        (1, 1_000),
        (1, 10_000),
        (1, 100_000),
        (10, 1_000),
        (100, 1_000),
        (1_000, 50),
    ] {
        let local = Rc::new(tokio::task::LocalSet::new());
        let (accepted, took) = local.block_on(&runtime, measure(count, size));
        let all = (count * size) as f64;
        println!(
            "{count:>4}  {size:>10}  {:>14.0}  {:>11.0}",
            all / accepted,
            all / took
        );
    }
    let (_, held) = Lane::new(0, 1).claim(&"bench".into(), 0).expect("free");
    for size in [128, 512] {
        let chunk = Chunk::new(&held, 0, items(size), false, 3, &[]);
        let encoded = record::encode(&items(size)).len();
        println!(
            "chunk of {size} items: {} bytes of prompts, {encoded} bytes as an object",
            chunk.size()
        );
    }
}
