//! One node: puts the services together, runs them and stops them in good
//! order.
//!
//! The thread that calls [`start`] becomes the control thread; each traffic
//! thread has a runtime of its own and shares nothing mutable with the others.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_rt::Arbiter;
use eyre::{OptionExt as _, Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::clock::{Clock, Time};
use crate::config::follow::Force;
use crate::dispatch::Handle;
use crate::event;
use crate::gateway::Shared;
use crate::http;
use crate::job::runner;
use crate::kernel::Kernel;
use crate::member::shell::{Counts, Setup};
use crate::member::tuning::Tuning;
use crate::member::{Member, State, View};
use crate::metric::Metrics;
use crate::platform::http::Client;
use crate::settings::Settings;
use crate::snapshot::Cell;

mod assign;
mod batch;
pub mod control;
mod peers;
pub mod remote;
mod shares;
mod traffic;
pub mod work;

use control::Control;
use work::Work;

/// Most time to wait for one answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// Messages that may wait between the control thread and the others.
const WAITING: usize = 1_024;
/// How long a leaving node goes on accepting connections: a caller may keep an
/// address for this long after it asked for one.
const LINGER: Duration = Duration::from_secs(5);
/// How often a stop looks whether work has ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Names under which services register with the kernel.
pub mod service {
    /// [`crate::snapshot::Cell`] of [`crate::config::follow::Force`].
    pub const CONFIG: &str = "config";
    /// [`crate::snapshot::Cell`] of [`crate::member::View`].
    pub const VIEW: &str = "view";
    /// [`crate::dispatch::Handle`].
    pub const DISPATCH: &str = "dispatch";
    /// [`crate::metric::Metrics`].
    pub const METRICS: &str = "metrics";
}

/// A node that runs.
pub struct Running {
    /// Where callers reach it, with the port that was bound.
    pub callers: SocketAddr,
    /// Where it takes requests from other nodes.
    pub link: SocketAddr,
    /// Where it takes control messages from other nodes.
    pub control: SocketAddr,
    /// The services by name.
    pub kernel: Kernel,
    leaving: Arc<AtomicBool>,
    work: Work,
    services: Rc<Control>,
    /// Ends the batch thread's claims, then the callers' connections.
    stop: Stop,
    arbiters: Vec<Arbiter>,
    drained: watch::Receiver<bool>,
}

/// What a stop turns true, one after the other.
struct Stop {
    batch: watch::Sender<bool>,
    batch_ended: mpsc::Receiver<()>,
    callers: watch::Sender<bool>,
}

/// The listening sockets, all bound before anything is told to anyone.
struct Sockets {
    callers: TcpListener,
    link: TcpListener,
    control: UdpSocket,
}

impl Sockets {
    fn bind(settings: &Settings) -> Result<Self> {
        let why = |what: &str, address| {
            format!("can't listen on {address} for {what}; is the port taken by another node?")
        };
        let listen = &settings.listen;
        let callers = http::listen(listen.callers);
        let link = http::listen(listen.link);
        // Control messages are datagrams; docs/design/members.md says why.
        let control = UdpSocket::bind(listen.control);
        let sockets = Self {
            callers: callers.wrap_err_with(|| why("callers", listen.callers))?,
            link: link.wrap_err_with(|| why("links", listen.link))?,
            control: control.wrap_err_with(|| why("control", listen.control))?,
        };
        sockets.control.set_nonblocking(true)?;
        Ok(sockets)
    }

    fn member(&self, settings: &Settings) -> Result<Member> {
        Ok(Member {
            name: settings.node.name.clone(),
            address: self.callers.local_addr()?.to_string().into(),
            link: self.link.local_addr()?.to_string().into(),
            control: self.control.local_addr()?.to_string().into(),
            zone: settings.node.zone.clone(),
            incarnation: crate::clock::unix_millis(),
            state: State::Alive,
            config_version: 0,
        })
    }
}

/// Runs a node until it is told to stop, and prints where it listens.
///
/// # Errors
/// When it can't listen, or a thread can't be started.
pub fn run(settings: &Settings) -> Result<()> {
    actix_rt::System::new().block_on(async {
        // Before anything is started: a stop during the start must be graceful.
        let mut terminate = signal(SignalKind::terminate()).wrap_err("can't wait for SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't wait for SIGINT")?;
        let mut running = start(settings)?;
        println!(
            "listening callers={} link={} control={}",
            running.callers, running.link, running.control
        );
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = running.drained() => {}
        }
        running.stop(settings.leave.limit).await;
        Ok(())
    })
}

/// Starts a node on this thread, which becomes its control thread.
///
/// # Errors
/// When it can't listen, or a thread can't be started.
pub fn start(settings: &Settings) -> Result<Running> {
    let clock = Clock::start();
    let sockets = Sockets::bind(settings)?;
    let own = sockets.member(settings)?;
    let mut metrics = Metrics::new();
    let counts = Counts::default();
    metrics.extend(|registry| counts.register(registry));
    let threads = settings.traffic_threads;
    let (dispatch, desks) = Handle::new(threads);
    let shared = shared(&own, clock, dispatch, metrics);
    let (callers_stop, callers_stopped) = watch::channel(false);
    let (drain, drained) = watch::channel(false);
    let (queries_in, queries) = mpsc::channel(WAITING);
    let (wishes_in, wishes) = mpsc::channel(WAITING);
    let (remote, inbox) = remote::channel();
    let leaving = Arc::new(AtomicBool::new(false));
    let mut arbiters = Vec::new();
    let mut grants_in = Vec::new();
    for (number, desk) in desks.into_iter().enumerate() {
        let (grant, grants) = mpsc::channel(WAITING);
        grants_in.push(grant);
        let thread = traffic::Thread {
            number,
            threads,
            shared: shared.clone(),
            desk,
            queries: queries_in.clone(),
            wishes: wishes_in.clone(),
            grants,
            control: remote.clone(),
            callers: sockets.callers.try_clone()?,
            links: sockets.link.try_clone()?,
            leaving: Arc::clone(&leaving),
            stopped: callers_stopped.clone(),
            platform: settings.platform.address,
        };
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || thread.start());
        arbiters.push(arbiter);
    }
    let boot = control::boot();
    let batch = start_batch(&shared, settings, boot)?;
    arbiters.push(batch.arbiter);
    let callers = sockets.callers.local_addr()?;
    let link = sockets.link.local_addr()?;
    let control = sockets.control.local_addr()?;
    let services = control::start(control::Start {
        setup: Setup {
            me: own,
            boot,
            seeds: settings.seeds.clone(),
            tuning: Tuning::default(),
            clock,
            view: Arc::clone(&shared.view),
            counts,
        },
        socket: tokio::net::UdpSocket::from_std(sockets.control)?,
        client: Client::new(settings.platform.address, PLATFORM_TIMEOUT),
        shared: shared.clone(),
        queries,
        wishes,
        grants: grants_in,
        runner: batch.handle,
        drain,
    });
    actix_rt::spawn(inbox.serve(Rc::clone(&services)));
    log::info!(
        "{} node={} zone={} callers={callers}",
        event::NODE_STARTED,
        settings.node.name,
        settings.node.zone,
    );
    Ok(Running {
        callers,
        link,
        control,
        kernel: register(&shared),
        leaving,
        work: shared.work,
        services,
        stop: Stop {
            batch: batch.stop,
            batch_ended: batch.ended,
            callers: callers_stop,
        },
        arbiters,
        drained,
    })
}

fn shared(own: &Member, clock: Clock, dispatch: Handle, metrics: Metrics) -> Shared {
    let view = View {
        members: vec![own.clone()],
    };
    let force = Force {
        document: Arc::default(),
        until: Time::ZERO,
    };
    Shared {
        node: own.name.clone(),
        zone: own.zone.clone(),
        clock,
        force: Arc::new(Cell::new(force)),
        view: Arc::new(Cell::new(view)),
        dispatch,
        metrics: Arc::new(metrics),
        work: Work::default(),
    }
}

/// The batch thread as the rest of the node knows it.
struct Batch {
    arbiter: Arbiter,
    handle: runner::Handle,
    stop: watch::Sender<bool>,
    ended: mpsc::Receiver<()>,
}

fn start_batch(shared: &Shared, settings: &Settings, boot: u64) -> Result<Batch> {
    let assignment = Arc::new(Cell::new(assign::Assignment::new()));
    actix_rt::spawn(assign::follow(shared.clone(), Arc::clone(&assignment)));
    let arbiter = Arbiter::new();
    let shared = shared.clone();
    let platform = settings.platform.address;
    let session = format!("{}-{boot:x}", shared.node).into();
    let (stop, stopped) = watch::channel(false);
    let (end, ended) = mpsc::channel(1);
    let (sender, handle) = std::sync::mpsc::channel();
    arbiter.spawn_fn(move || {
        let (runner, handle) = batch::runner(shared, assignment, platform, session);
        let _ = sender.send(handle);
        actix_rt::spawn(async move {
            batch::run(runner, stopped).await;
            drop(end);
        });
    });
    let handle = handle
        .recv()
        .ok()
        .ok_or_eyre("the batch thread did not start")?;
    Ok(Batch {
        arbiter,
        handle,
        stop,
        ended,
    })
}

fn register(shared: &Shared) -> Kernel {
    let mut kernel = Kernel::default();
    kernel.register(service::CONFIG, Arc::clone(&shared.force));
    kernel.register(service::VIEW, Arc::clone(&shared.view));
    kernel.register(service::DISPATCH, Arc::new(shared.dispatch.clone()));
    kernel.register(service::METRICS, Arc::clone(&shared.metrics));
    kernel
}

impl Running {
    /// Returns when an operator has drained this node.
    pub async fn drained(&mut self) {
        // An error means that the control thread is gone, which can't be: it is
        // this one.
        let _ = self.drained.wait_for(|drained| *drained).await;
    }

    /// Stops the node in good order, within `limit`.
    ///
    /// It says that it leaves, gives back its chunks, serves callers who still
    /// hold its address, and ends when nothing is in flight any more.
    pub async fn stop(mut self, limit: Duration) {
        log::info!("{} in_flight={}", event::NODE_LEAVING, self.work.count());
        let ending = tokio::time::timeout(limit, self.wind_down()).await;
        let cut = self.work.count();
        for arbiter in self.arbiters {
            arbiter.stop();
        }
        let in_time = ending.is_ok();
        log::info!("{} in_time={in_time} cut={cut}", event::NODE_STOPPED);
    }

    async fn wind_down(&mut self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.services.members.leave();
        let _ = self.stop.batch.send(true);
        if self.services.has_peers() {
            actix_rt::time::sleep(LINGER).await;
        }
        // Ends with the last sender, when the runner has given back its chunks.
        let _ = self.stop.batch_ended.recv().await;
        let _ = self.stop.callers.send(true);
        while self.work.count() > 0 {
            actix_rt::time::sleep(STOP_POLL).await;
        }
        self.services.members.exit().await;
    }
}
