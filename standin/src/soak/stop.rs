//! Planned stops that are drawn by seed. They come in series and overlap with each other and with
//! pauses, slow starts and changes of the configuration and the replicas.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::Result;
use rand::seq::index;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use super::check::stop::GRACE_PERIOD;
use super::fault;
use super::fleet::Harness;
use crate::site::proxy::Mode;

/// Pause between the starts of two faults, for each node of the run.
const PAUSE_PER_NODE: Duration = Duration::from_secs(4);
const MAX_PAUSE: Duration = Duration::from_millis(1_200);
/// Longest time between the signals of one fault.
const MAX_GAP: Duration = Duration::from_secs(7);
/// Pauses that are shorter than the drain of a stop, and longer.
const SHORT_PAUSES_MS: std::ops::Range<u64> = 100..2_500;
const LONG_PAUSES_MS: std::ops::Range<u64> = 6_500..9_000;
/// How long the store answers a starting node slowly.
const SLOW_START: Duration = Duration::from_secs(2);
/// How long a draining replica serves; longer than any request may take.
const REPLICA_DRAIN: Duration = Duration::from_secs(5);
/// Longest time until a node that has exited is started again.
const MAX_DOWN_MS: u64 = 1_500;
/// Time after the grace period at which a node that still runs is reported, and killed.
const REPORT_DELAY: Duration = Duration::from_millis(500);
const KILL_DELAY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
enum Kind {
    Stop,
    StopTwice,
    StopThenReload,
    ReloadThenStop,
    PauseInStop,
    StopInPause,
    StopInStart,
    StopSeveral,
    StopInTurn,
    StopAndConfig,
    StopAndReplica,
    Reload,
    Config,
    ReplicaLeaves,
}

const KINDS: [Kind; 14] = [
    Kind::Stop,
    Kind::StopTwice,
    Kind::StopThenReload,
    Kind::ReloadThenStop,
    Kind::PauseInStop,
    Kind::StopInPause,
    Kind::StopInStart,
    Kind::StopSeveral,
    Kind::StopInTurn,
    Kind::StopAndConfig,
    Kind::StopAndReplica,
    Kind::Reload,
    Kind::Config,
    Kind::ReplicaLeaves,
];

/// The random draws of one fault.
#[derive(Clone, Debug)]
struct Draw {
    kind: Kind,
    /// Different nodes, at least one.
    nodes: Vec<usize>,
    /// Time between two signals.
    gap: Duration,
    /// How long a paused node stands still.
    pause: Duration,
}

fn draw(random: &mut ChaCha8Rng, count: usize) -> (Duration, Draw) {
    let pause = (PAUSE_PER_NODE / u32::try_from(count).unwrap_or(u32::MAX)).min(MAX_PAUSE);
    let before = pause.mul_f64(random.random_range(0.1..1.9));
    let kind = KINDS[random.random_range(0..KINDS.len())];
    let several = random.random_range(1..=count.min(6));
    let nodes = index::sample(random, count, several).into_vec();
    // Most signals follow each other within a second.
    let gap = MAX_GAP.mul_f64(random.random_range(0.0_f64..1.0).powi(2));
    let pauses = if random.random_bool(0.7) {
        SHORT_PAUSES_MS
    } else {
        LONG_PAUSES_MS
    };
    let pause = Duration::from_millis(random.random_range(pauses));
    let draw = Draw {
        kind,
        nodes,
        gap,
        pause,
    };
    (before, draw)
}

/// Injects planned stops for the length of the plan and waits until all have ended.
///
/// # Errors
/// Fails if a replica cannot be started.
pub async fn inject(harness: &Rc<Harness>) -> Result<()> {
    let until = Instant::now() + harness.plan.length;
    // Callers draw at random times, which would change the faults of a seed.
    let mut random = ChaCha8Rng::seed_from_u64(harness.plan.seed);
    let mut running = Vec::new();
    while Instant::now() < until {
        let (before, draw) = draw(&mut random, harness.plan.nodes);
        sleep(before).await;
        harness.faults.set(harness.faults.get() + 1);
        log::info!("fault {draw:?}");
        let harness = Rc::clone(harness);
        running.push(actix_rt::spawn(async move { apply(&harness, draw).await }));
    }
    for fault in running {
        fault.await??;
    }
    Ok(())
}

async fn apply(harness: &Rc<Harness>, draw: Draw) -> Result<()> {
    let Draw {
        kind,
        nodes,
        gap,
        pause,
    } = draw;
    let first = nodes[0];
    let node = &harness.nodes[first];
    match kind {
        Kind::Stop => node.signal(Signal::TERM),
        Kind::StopTwice => signal_both(harness, first, Signal::TERM, Signal::TERM, gap).await,
        Kind::StopThenReload => signal_both(harness, first, Signal::TERM, Signal::HUP, gap).await,
        Kind::ReloadThenStop => signal_both(harness, first, Signal::HUP, Signal::TERM, gap).await,
        Kind::PauseInStop => {
            signal_both(harness, first, Signal::TERM, Signal::STOP, gap).await;
            sleep(pause).await;
            node.signal(Signal::CONT);
        }
        Kind::StopInPause => {
            node.signal(Signal::STOP);
            sleep(pause / 2).await;
            node.signal(Signal::TERM);
            sleep(pause / 2).await;
            node.signal(Signal::CONT);
        }
        Kind::StopInStart => {
            let slow = async {
                node.signal(Signal::TERM);
                while node.stopped().is_some() {
                    sleep(Duration::from_millis(10)).await;
                }
                let delay = Mode::Delay(Duration::from_millis(150));
                fault::set_store_proxy(harness, first, delay, SLOW_START).await;
            };
            let stop = async {
                while node.stopped().is_none() {
                    sleep(Duration::from_millis(10)).await;
                }
                while node.stopped().is_some() {
                    sleep(Duration::from_millis(10)).await;
                }
                sleep(gap / 3).await;
                node.signal(Signal::TERM);
            };
            tokio::join!(slow, stop);
        }
        Kind::StopSeveral => {
            for node in nodes {
                harness.nodes[node].signal(Signal::TERM);
            }
        }
        Kind::StopInTurn => {
            for node in nodes {
                harness.nodes[node].signal(Signal::TERM);
                sleep(gap / 4).await;
            }
        }
        Kind::StopAndConfig => {
            node.signal(Signal::TERM);
            for _ in 0..3 {
                sleep(gap / 3).await;
                harness.write_config();
            }
        }
        Kind::StopAndReplica => {
            node.signal(Signal::TERM);
            sleep(gap / 3).await;
            fault::drain(harness, REPLICA_DRAIN, 1).await?;
        }
        Kind::Reload => node.signal(Signal::HUP),
        Kind::Config => harness.write_config(),
        Kind::ReplicaLeaves => fault::drain(harness, REPLICA_DRAIN, 1).await?,
    }
    Ok(())
}

async fn signal_both(harness: &Harness, node: usize, one: Signal, other: Signal, gap: Duration) {
    harness.nodes[node].signal(one);
    sleep(gap).await;
    harness.nodes[node].signal(other);
}

/// Starts nodes again that have exited, as the platform does. Reports those that outlive their grace
/// period or end without being told to.
pub async fn supervise(harness: Rc<Harness>) {
    let mut reported = BTreeSet::new();
    loop {
        sleep(Duration::from_millis(20)).await;
        for (at, node) in harness.nodes.iter().enumerate() {
            if !node.is_running() {
                reported.remove(&at);
                start_later(&harness, at);
                continue;
            }
            let Some(stopped) = node.stopped() else {
                continue;
            };
            let over = stopped.elapsed().saturating_sub(GRACE_PERIOD);
            let paused = harness.ledger.borrow().is_node_disrupted(at, stopped);
            if over > REPORT_DELAY && !paused && reported.insert(at) {
                harness.record_violation(format!(
                    "node {at} still ran {} ms after SIGTERM",
                    stopped.elapsed().as_millis()
                ));
            }
            if over > KILL_DELAY {
                node.signal(Signal::KILL);
            }
        }
    }
}

fn start_later(harness: &Rc<Harness>, at: usize) {
    if harness.nodes[at].is_starting.replace(true) {
        return;
    }
    if !harness.nodes[at].may_end() {
        harness.record_violation(format!("node {at} ended by itself"));
    }
    let down = harness.random.borrow_mut().random_range(0..MAX_DOWN_MS);
    let harness = Rc::clone(harness);
    actix_rt::spawn(async move {
        sleep(Duration::from_millis(down)).await;
        let node = &harness.nodes[at];
        node.is_starting.set(false);
        // The end of the run starts it as well.
        if !node.is_running()
            && let Err(error) = node.start()
        {
            harness.record_violation(format!("could not start node {at}: {error}"));
        }
    });
}
