//! Injects faults that are drawn by seed. They start one after the other and may overlap.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::Result;
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use rustix::process::Signal;
use tokio::time::sleep;

use super::check::stop::Target;
use super::fleet::Harness;
use crate::site::proxy::Mode;
use crate::site::replica::Fault;
use crate::site::store::Degradation;

/// Pause between the starts of two faults.
const PAUSES_MS: std::ops::Range<u64> = 100..900;
/// How long a fault lasts. The longest exceeds the time in which a lost node is detected.
const LENGTHS_MS: std::ops::Range<u64> = 300..4_000;
/// Factor by which a leaving replica is slow, so that items it runs take longer than it stays.
const LEAVING_SLOWDOWN: u32 = 8;
/// Time that a terminated process has to exit before it is killed.
const GRACE_PERIOD: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum Kind {
    Kill,
    KillAll,
    Pause,
    Terminate,
    Hangup,
    StoreRefuses,
    StoreRefusesAll,
    StoreLoses,
    StoreSlow,
    StoreSilent,
    StoreOneWay,
    StoreReset,
    Compact,
    Config,
    ReplicaCrash,
    ReplicaDark,
    ReplicaDelayed,
    ReplicaReset,
    ReplicaSlow,
    ReplicaBreaks,
    ReplicaLoses,
    ReplicaLeaves,
}

const KINDS: [Kind; 22] = [
    Kind::Kill,
    Kind::KillAll,
    Kind::Pause,
    Kind::Terminate,
    Kind::Hangup,
    Kind::StoreRefuses,
    Kind::StoreRefusesAll,
    Kind::StoreLoses,
    Kind::StoreSlow,
    Kind::StoreSilent,
    Kind::StoreOneWay,
    Kind::StoreReset,
    Kind::Compact,
    Kind::Config,
    Kind::ReplicaCrash,
    Kind::ReplicaDark,
    Kind::ReplicaDelayed,
    Kind::ReplicaReset,
    Kind::ReplicaSlow,
    Kind::ReplicaBreaks,
    Kind::ReplicaLoses,
    Kind::ReplicaLeaves,
];

/// Injects faults for the length of the plan and waits until all have ended.
///
/// # Errors
/// Fails if a process or a replica cannot be started.
pub async fn inject(harness: &Rc<Harness>) -> Result<()> {
    let until = Instant::now() + harness.plan.length;
    let mut running = Vec::new();
    while Instant::now() < until {
        let (pause, length, kind, node) = {
            let mut random = harness.random.borrow_mut();
            (
                random.random_range(PAUSES_MS),
                random.random_range(LENGTHS_MS),
                KINDS[random.random_range(0..KINDS.len())],
                random.random_range(0..harness.plan.nodes),
            )
        };
        sleep(Duration::from_millis(pause)).await;
        harness.faults.set(harness.faults.get() + 1);
        let length = Duration::from_millis(length);
        log::info!("fault {kind:?} node={node} for_ms={}", length.as_millis());
        let harness = Rc::clone(harness);
        running.push(actix_rt::spawn(async move {
            apply(&harness, kind, node, length).await
        }));
    }
    for fault in running {
        fault.await??;
    }
    Ok(())
}

/// Kills the nodes one after the other once all of them know the killers. Each starts again while
/// the store refuses it, and the store answers it only at the end.
///
/// # Errors
/// Fails if a process cannot be started.
pub async fn restart_without_store(harness: &Rc<Harness>) -> Result<()> {
    /// Time until every node knows the killers.
    const FIRST_KILL: Duration = Duration::from_secs(7);
    /// Time for which a started node serves without the store.
    const SERVED: Duration = Duration::from_secs(3);
    sleep(FIRST_KILL).await;
    for node in 0..harness.plan.nodes {
        harness.faults.set(harness.faults.get() + 1);
        let nodes = [node];
        let refuse = degrade_store(harness, &nodes, SERVED, |it| it.refuse = true);
        let start_again = async {
            harness.nodes[node].signal(Signal::KILL);
            restart(harness, node).await
        };
        let ((), started) = tokio::join!(refuse, start_again);
        started?;
    }
    Ok(())
}

/// Kills all nodes soon after each crash of a replica by a killer, and starts them again, for the
/// length of the plan.
///
/// # Errors
/// Fails if a process cannot be started.
pub async fn kill_after_crashes(harness: &Rc<Harness>) -> Result<()> {
    /// Time from the start of a killer's run until its crash is known to one node, and before
    /// the others have told each other of it.
    const DELAY: Duration = Duration::from_millis(150);
    let runs = || {
        let history = harness.history.borrow();
        let runs = history.values().flatten();
        runs.filter(|run| run.is_killer()).count()
    };
    let until = Instant::now() + harness.plan.length;
    let mut seen = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(2)).await;
        if runs() == seen {
            continue;
        }
        sleep(DELAY).await;
        harness.faults.set(harness.faults.get() + 1);
        kill_all(harness, Duration::ZERO).await?;
        seen = runs();
    }
    Ok(())
}

/// Crashes a replica every moment, and kills all nodes again and again as the store begins to refuse
/// them, for the length of the plan.
///
/// # Errors
/// Fails if a process or a replica cannot be started.
pub async fn crash_and_kill(harness: &Rc<Harness>) -> Result<()> {
    const CRASH_INTERVAL: Duration = Duration::from_millis(300);
    const DOWN: Duration = Duration::from_millis(300);
    const KILL_INTERVAL: Duration = Duration::from_millis(3_200);
    const OUTAGE: Duration = Duration::from_millis(900);
    let until = Instant::now() + harness.plan.length;
    let crashes = async {
        while Instant::now() < until {
            let (first, second) = tokio::join!(crash(harness, DOWN), crash(harness, DOWN));
            first.and(second)?;
            sleep(CRASH_INTERVAL).await;
        }
        Ok(())
    };
    let kills = async {
        let all: Vec<usize> = (0..harness.plan.nodes).collect();
        while Instant::now() < until {
            sleep(KILL_INTERVAL).await;
            harness.faults.set(harness.faults.get() + 1);
            let refuse = degrade_store(harness, &all, OUTAGE, |it| it.refuse = true);
            let ((), killed) = tokio::join!(refuse, kill_all(harness, Duration::ZERO));
            killed?;
        }
        Ok(())
    };
    let (crashing, killing): (Result<()>, Result<()>) = tokio::join!(crashes, kills);
    crashing.and(killing)
}

/// Kills all nodes, and starts them again after `pause`.
async fn kill_all(harness: &Harness, pause: Duration) -> Result<()> {
    for node in &harness.nodes {
        node.signal(Signal::KILL);
    }
    sleep(pause).await;
    for at in 0..harness.plan.nodes {
        restart(harness, at).await?;
    }
    Ok(())
}

async fn apply(harness: &Rc<Harness>, kind: Kind, node: usize, length: Duration) -> Result<()> {
    let target = &harness.nodes[node];
    match kind {
        Kind::Kill => {
            target.signal(Signal::KILL);
            sleep(length).await;
            restart(harness, node).await?;
        }
        Kind::KillAll => kill_all(harness, length / 4).await?,
        Kind::Pause => {
            target.signal(Signal::STOP);
            sleep(length).await;
            target.signal(Signal::CONT);
        }
        Kind::Terminate => {
            target.signal(Signal::TERM);
            restart(harness, node).await?;
        }
        Kind::Hangup => target.signal(Signal::HUP),
        Kind::StoreRefuses => {
            degrade_store(harness, &[node], length, |it| it.refuse = true).await;
        }
        Kind::StoreRefusesAll => {
            let all: Vec<usize> = (0..harness.plan.nodes).collect();
            degrade_store(harness, &all, length, |it| it.refuse = true).await;
        }
        Kind::StoreLoses => degrade_store(harness, &[node], length, |it| it.loss_rate = 0.4).await,
        Kind::StoreSlow => {
            let delay = Duration::from_millis(200);
            degrade_store(harness, &[node], length, |it| it.delay = delay).await;
        }
        Kind::StoreSilent => set_store_proxy(harness, node, Mode::Silent, length).await,
        Kind::StoreOneWay => set_store_proxy(harness, node, Mode::OneWay, length).await,
        Kind::StoreReset => {
            harness.record_disruption(Target::Node(node));
            target.store.reset();
        }
        Kind::Compact => harness.store.rows.borrow_mut().compact(),
        Kind::Config => harness.write_config(),
        Kind::ReplicaCrash => crash(harness, length).await?,
        Kind::ReplicaDark => set_replica_proxy(harness, Mode::Silent, length).await,
        Kind::ReplicaDelayed => {
            set_replica_proxy(harness, Mode::Delay(Duration::from_millis(60)), length).await;
        }
        Kind::ReplicaReset => {
            if let Some(id) = random_replica(harness)
                && let Some(upstream) = harness.replicas.borrow().get(&id)
            {
                harness.record_disruption(Target::Replica(id));
                upstream.proxy.reset();
            }
        }
        Kind::ReplicaSlow => set_replica_fault(harness, length, |it| it.slowdown = 5).await,
        Kind::ReplicaBreaks => set_replica_fault(harness, length, |it| it.break_rate = 0.2).await,
        Kind::ReplicaLoses => set_replica_fault(harness, length, |it| it.loss_rate = 0.1).await,
        Kind::ReplicaLeaves => drain(harness, length, LEAVING_SLOWDOWN).await?,
    }
    Ok(())
}

/// Starts a node's process again once the old one has exited.
async fn restart(harness: &Harness, node: usize) -> Result<()> {
    let node = &harness.nodes[node];
    let until = Instant::now() + GRACE_PERIOD;
    while node.is_running() {
        sleep(Duration::from_millis(30)).await;
        if Instant::now() > until {
            // The platform kills a process that outlives its grace period as well. A paused process
            // cannot exit by itself.
            node.signal(Signal::KILL);
        }
    }
    node.start()
}

async fn degrade_store<C>(harness: &Harness, nodes: &[usize], length: Duration, change: C)
where
    C: Fn(&mut Degradation),
{
    let targets = nodes.iter().map(|node| Target::Node(*node));
    let disruptions: Vec<usize> = targets.map(|it| harness.begin_disruption(it)).collect();
    for node in nodes {
        change(
            harness
                .store
                .degradations
                .borrow_mut()
                .entry(*node)
                .or_default(),
        );
    }
    sleep(length).await;
    for node in nodes {
        harness.store.degradations.borrow_mut().remove(node);
    }
    for disruption in disruptions {
        harness.end_disruption(disruption);
    }
}

pub(super) async fn set_store_proxy(harness: &Harness, node: usize, mode: Mode, length: Duration) {
    let disruption = harness.begin_disruption(Target::Node(node));
    harness.nodes[node].store.set(mode);
    sleep(length).await;
    harness.nodes[node].store.set(Mode::Pass);
    harness.end_disruption(disruption);
}

fn random_replica(harness: &Harness) -> Option<String> {
    let replicas = harness.replicas.borrow();
    let mut random = harness.random.borrow_mut();
    replicas.keys().choose(&mut *random).cloned()
}

async fn set_replica_proxy(harness: &Harness, mode: Mode, length: Duration) {
    let Some(id) = random_replica(harness) else {
        return;
    };
    let set = |mode| {
        if let Some(upstream) = harness.replicas.borrow().get(&id) {
            upstream.proxy.set(mode);
        }
    };
    let disruption = harness.begin_disruption(Target::Replica(id.clone()));
    set(mode);
    sleep(length).await;
    set(Mode::Pass);
    harness.end_disruption(disruption);
}

async fn set_replica_fault<C>(harness: &Harness, length: Duration, change: C)
where
    C: Fn(&mut Fault),
{
    let Some(id) = random_replica(harness) else {
        return;
    };
    let replica = harness
        .replicas
        .borrow()
        .get(&id)
        .map(|it| Rc::clone(&it.replica));
    if let Some(replica) = replica {
        let mut fault = Fault::default();
        change(&mut fault);
        let disruption = harness.begin_disruption(Target::Replica(id));
        replica.fault.set(fault);
        sleep(length).await;
        replica.fault.set(Fault::default());
        harness.end_disruption(disruption);
    }
}

/// Crashes a replica. After `length` its row is removed and a new replica is started.
async fn crash(harness: &Harness, length: Duration) -> Result<()> {
    let Some(id) = random_replica(harness) else {
        return Ok(());
    };
    let Some(upstream) = harness.replicas.borrow_mut().remove(&id) else {
        return Ok(());
    };
    harness.record_disruption(Target::Replica(id.clone()));
    upstream.replica.crash();
    upstream.proxy.set(Mode::Refuse);
    upstream.proxy.reset();
    sleep(length).await;
    harness.store.remove("servers", &id);
    harness.add_replica().await
}

/// Replaces replicas that a killer crashed, until the run ends.
pub async fn replace_crashed(harness: Rc<Harness>) {
    /// How long a crashed replica's row stays before it is removed and a new replica is started.
    const DOWN: Duration = Duration::from_secs(2);
    loop {
        sleep(Duration::from_millis(2)).await;
        let down = {
            let mut replicas = harness.replicas.borrow_mut();
            let id = replicas
                .iter()
                .find(|(_, upstream)| upstream.replica.is_down())
                .map(|(id, _)| id.clone());
            id.and_then(|id| Some((id.clone(), replicas.remove(&id)?)))
        };
        let Some((id, upstream)) = down else {
            continue;
        };
        harness.record_disruption(Target::Replica(id.clone()));
        upstream.proxy.close();
        let harness = Rc::clone(&harness);
        actix_rt::spawn(async move {
            sleep(DOWN).await;
            harness.store.remove("servers", &id);
            if let Err(error) = harness.add_replica().await {
                harness.record_violation(format!("could not start a replacement replica: {error}"));
            }
        });
    }
}

/// Marks a replica as draining, lets it serve for a while, and removes it. What it begins in the last
/// moment before is slower by this factor, so that it may not have ended by the exit.
pub(super) async fn drain(harness: &Harness, length: Duration, slowdown: u32) -> Result<()> {
    const SLOW_TIME: Duration = Duration::from_millis(500);
    harness.add_replica().await?;
    let Some(id) = random_replica(harness) else {
        return Ok(());
    };
    if let Some(upstream) = harness.replicas.borrow().get(&id) {
        let fault = upstream.replica.fault.get();
        upstream.replica.fault.set(Fault { slowdown, ..fault });
    }
    sleep(SLOW_TIME).await;
    let Some(upstream) = harness.replicas.borrow_mut().remove(&id) else {
        return Ok(());
    };
    harness.write_replica(&upstream, "draining");
    sleep(Duration::from_secs(2) + length).await;
    harness.store.remove("servers", &id);
    harness.record_disruption(Target::Replica(id));
    upstream.replica.crash();
    Ok(())
}

/// Ends every active fault.
///
/// # Errors
/// Fails if a process cannot be started.
pub fn clear_faults(harness: &Harness) -> Result<()> {
    harness.store.degradations.borrow_mut().clear();
    for node in &harness.nodes {
        node.store.set(Mode::Pass);
        node.signal(Signal::CONT);
        if !node.is_running() {
            node.start()?;
        }
    }
    for upstream in harness.replicas.borrow().values() {
        upstream.proxy.set(Mode::Pass);
        upstream.replica.fault.set(Fault::default());
    }
    Ok(())
}
