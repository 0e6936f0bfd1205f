//! Faults, drawn by seed, in series and overlapping.

use std::rc::Rc;
use std::time::{Duration, Instant};

use eyre::Result;
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use rustix::process::Signal;
use tokio::time::sleep;

use super::fleet::World;
use crate::site::proxy::Mode;
use crate::site::replica::Fault;
use crate::site::store::Treatment;

/// Pauses between two faults, in milliseconds.
const PAUSES: std::ops::Range<u64> = 100..900;
/// How long a fault lasts, in milliseconds; the longest is above the time in
/// which a lost node is noticed.
const LENGTHS: std::ops::Range<u64> = 300..4_000;
/// A stopped process ends within its grace.
const GRACE: Duration = Duration::from_secs(10);

/// The kinds of fault.
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

/// Injects faults for as long as the plan says.
///
/// # Errors
/// When a process or a replica can't be started.
pub async fn inject(world: &Rc<World>) -> Result<()> {
    let until = Instant::now() + world.plan.length;
    let mut running = Vec::new();
    while Instant::now() < until {
        let (pause, length, kind, node) = {
            let mut random = world.random.borrow_mut();
            (
                random.random_range(PAUSES),
                random.random_range(LENGTHS),
                KINDS[random.random_range(0..KINDS.len())],
                random.random_range(0..world.plan.nodes),
            )
        };
        sleep(Duration::from_millis(pause)).await;
        world.faults.set(world.faults.get() + 1);
        let length = Duration::from_millis(length);
        log::info!("fault {kind:?} node={node} for_ms={}", length.as_millis());
        let world = Rc::clone(world);
        running.push(actix_rt::spawn(async move {
            strike(&world, kind, node, length).await
        }));
    }
    for fault in running {
        fault.await??;
    }
    Ok(())
}

async fn strike(world: &Rc<World>, kind: Kind, node: usize, length: Duration) -> Result<()> {
    let target = &world.nodes[node];
    match kind {
        Kind::Kill => {
            target.signal(Signal::KILL);
            sleep(length).await;
            restart(world, node).await?;
        }
        Kind::KillAll => {
            for node in &world.nodes {
                node.signal(Signal::KILL);
            }
            sleep(length / 4).await;
            for at in 0..world.plan.nodes {
                restart(world, at).await?;
            }
        }
        Kind::Pause => {
            target.signal(Signal::STOP);
            sleep(length).await;
            target.signal(Signal::CONT);
        }
        Kind::Terminate => {
            target.signal(Signal::TERM);
            restart(world, node).await?;
        }
        Kind::Hangup => target.signal(Signal::HUP),
        Kind::StoreRefuses => {
            treat(world, &[node], length, |it| it.refuse = true).await;
        }
        Kind::StoreRefusesAll => {
            let all: Vec<usize> = (0..world.plan.nodes).collect();
            treat(world, &all, length, |it| it.refuse = true).await;
        }
        Kind::StoreLoses => treat(world, &[node], length, |it| it.lose = 0.4).await,
        Kind::StoreSlow => {
            let slow = Duration::from_millis(200);
            treat(world, &[node], length, |it| it.slow = slow).await;
        }
        Kind::StoreSilent => on_store(world, node, Mode::Silent, length).await,
        Kind::StoreOneWay => on_store(world, node, Mode::OneWay, length).await,
        Kind::StoreReset => target.store.reset(),
        Kind::Compact => world.store.rows.borrow_mut().compact(),
        Kind::Config => world.write_config(),
        Kind::ReplicaCrash => crash(world, length).await?,
        Kind::ReplicaDark => on_replica(world, Mode::Silent, length).await,
        Kind::ReplicaDelayed => {
            on_replica(world, Mode::Delay(Duration::from_millis(60)), length).await;
        }
        Kind::ReplicaReset => {
            if let Some(id) = any_replica(world)
                && let Some(behind) = world.replicas.borrow().get(&id)
            {
                behind.proxy.reset();
            }
        }
        Kind::ReplicaSlow => misbehave(world, length, |it| it.slow = 5).await,
        Kind::ReplicaBreaks => misbehave(world, length, |it| it.break_off = 0.2).await,
        Kind::ReplicaLoses => misbehave(world, length, |it| it.lose = 0.1).await,
        Kind::ReplicaLeaves => leave(world, length).await?,
    }
    Ok(())
}

/// Starts a node's process again once the old one has ended.
async fn restart(world: &World, node: usize) -> Result<()> {
    let node = &world.nodes[node];
    let until = Instant::now() + GRACE;
    while node.runs() {
        sleep(Duration::from_millis(30)).await;
        if Instant::now() > until {
            // As the platform does with one that outlives its grace; a paused
            // one can't have ended.
            node.signal(Signal::KILL);
        }
    }
    node.start()
}

async fn treat<C>(world: &World, nodes: &[usize], length: Duration, change: C)
where
    C: Fn(&mut Treatment),
{
    for node in nodes {
        change(world.store.treatment.borrow_mut().entry(*node).or_default());
    }
    sleep(length).await;
    for node in nodes {
        world.store.treatment.borrow_mut().remove(node);
    }
}

async fn on_store(world: &World, node: usize, mode: Mode, length: Duration) {
    world.nodes[node].store.set(mode);
    sleep(length).await;
    world.nodes[node].store.set(Mode::Pass);
}

fn any_replica(world: &World) -> Option<String> {
    let replicas = world.replicas.borrow();
    let mut random = world.random.borrow_mut();
    replicas.keys().choose(&mut *random).cloned()
}

async fn on_replica(world: &World, mode: Mode, length: Duration) {
    let Some(id) = any_replica(world) else {
        return;
    };
    let set = |mode| {
        if let Some(behind) = world.replicas.borrow().get(&id) {
            behind.proxy.set(mode);
        }
    };
    set(mode);
    sleep(length).await;
    set(Mode::Pass);
}

async fn misbehave<C>(world: &World, length: Duration, change: C)
where
    C: Fn(&mut Fault),
{
    let Some(id) = any_replica(world) else {
        return;
    };
    let replica = world
        .replicas
        .borrow()
        .get(&id)
        .map(|it| Rc::clone(&it.replica));
    if let Some(replica) = replica {
        let mut fault = Fault::default();
        change(&mut fault);
        replica.fault.set(fault);
        sleep(length).await;
        replica.fault.set(Fault::default());
    }
}

/// A replica crashes; its entry goes after a while and a new one comes.
async fn crash(world: &World, length: Duration) -> Result<()> {
    let Some(id) = any_replica(world) else {
        return Ok(());
    };
    let Some(behind) = world.replicas.borrow_mut().remove(&id) else {
        return Ok(());
    };
    behind.replica.crash();
    behind.proxy.set(Mode::Refuse);
    behind.proxy.reset();
    sleep(length).await;
    world.store.remove("servers", &id);
    world.add_replica().await
}

/// Replaces replicas that a request crashed, for as long as the run lasts.
pub async fn revive(world: Rc<World>) {
    /// How long a crashed replica's entry stays, and until another one comes.
    const DOWN: Duration = Duration::from_secs(2);
    loop {
        sleep(Duration::from_millis(2)).await;
        let down = {
            let mut replicas = world.replicas.borrow_mut();
            let id = replicas
                .iter()
                .find(|(_, behind)| behind.replica.is_down())
                .map(|(id, _)| id.clone());
            id.and_then(|id| Some((id.clone(), replicas.remove(&id)?)))
        };
        let Some((id, behind)) = down else {
            continue;
        };
        behind.proxy.close();
        let world = Rc::clone(&world);
        actix_rt::spawn(async move {
            sleep(DOWN).await;
            world.store.remove("servers", &id);
            if let Err(error) = world.add_replica().await {
                world.broke(format!("a replica can't be replaced: {error}"));
            }
        });
    }
}

/// A replica says that it leaves, serves on for a while, and goes.
async fn leave(world: &World, length: Duration) -> Result<()> {
    world.add_replica().await?;
    let Some(id) = any_replica(world) else {
        return Ok(());
    };
    let Some(behind) = world.replicas.borrow_mut().remove(&id) else {
        return Ok(());
    };
    world.write_replica(&id, behind.proxy.address, "draining");
    sleep(Duration::from_secs(2) + length).await;
    world.store.remove("servers", &id);
    behind.replica.crash();
    Ok(())
}

/// Ends every fault that still goes on.
///
/// # Errors
/// When a process can't be started.
pub fn heal(world: &World) -> Result<()> {
    world.store.treatment.borrow_mut().clear();
    for node in &world.nodes {
        node.store.set(Mode::Pass);
        node.signal(Signal::CONT);
        if !node.runs() {
            node.start()?;
        }
    }
    for behind in world.replicas.borrow().values() {
        behind.proxy.set(Mode::Pass);
        behind.replica.fault.set(Fault::default());
    }
    Ok(())
}
