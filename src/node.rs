//! A node: starts its services, runs them and shuts them down in order.
//!
//! The thread that calls [`start`] becomes the control thread; each traffic thread has its own
//! runtime and shares no mutable state with the others.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use eyre::{OptionExt as _, Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::clock::{Clock, Time};
use crate::config::follow::InForce;
use crate::dispatch::Handle;
use crate::event;
use crate::gateway::Shared;
use crate::http;
use crate::job::runner;
use crate::kernel::{Kernel, Missing};
use crate::leave::drive::{self, Host};
use crate::leave::{self, Action, Leave, Phase, Summary, Times};
use crate::member::shell::{Counts, Setup};
use crate::member::tuning::Tuning;
use crate::member::{Member, State, View};
use crate::metric::Metrics;
use crate::quarantine::statuses as quarantine;
use crate::settings::Settings;
use crate::snapshot::Cell;
use crate::table::http::Client;

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

/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// Capacity of the channels between the control thread and the other threads.
const CHANNEL_CAPACITY: usize = 1_024;
/// Time for the last answers to leave the sockets' buffers before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Names under which services register with the kernel.
pub mod service {
    /// [`crate::snapshot::Cell`] of [`crate::config::follow::InForce`].
    pub const CONFIG: &str = "config";
    /// [`crate::snapshot::Cell`] of [`crate::member::View`].
    pub const VIEW: &str = "view";
    /// [`crate::dispatch::Handle`].
    pub const DISPATCH: &str = "dispatch";
    /// [`crate::metric::Metrics`].
    pub const METRICS: &str = "metrics";
    /// [`super::work::Work`] that counts callers' requests.
    pub const REQUESTS: &str = "questions";
    /// [`super::work::Work`] that counts the listeners for callers and their connections.
    pub const CONNECTIONS: &str = "connections";
    /// [`super::work::Work`] that counts requests held by dispatchers.
    pub const DISPATCHED: &str = "dispatched";
    /// Quarantine of requests that crash endpoints.
    pub const QUARANTINE: &str = "quarantine";
    /// [`crate::snapshot::Cell`] of [`crate::leave::Phase`].
    pub const PHASE: &str = "phase";
}

/// A running node.
pub struct Running {
    /// The address for callers, with the port that was bound.
    pub callers: SocketAddr,
    /// The address for requests from other nodes.
    pub link: SocketAddr,
    /// The address for control messages from other nodes.
    pub control: SocketAddr,
    /// The services by name.
    pub kernel: Kernel,
    shared: Shared,
    services: Rc<Control>,
    /// Signals of the shutdown phases.
    shutdown: Shutdown,
    arbiters: Vec<Arbiter>,
    drained: watch::Receiver<bool>,
    /// Number of requests that were in flight at the limit.
    cut: usize,
}

/// Channels that shut down the batch thread, the callers' connections and the remaining
/// requests, in this order.
struct Shutdown {
    batch: watch::Sender<bool>,
    batch_ended: mpsc::Receiver<()>,
    callers: watch::Sender<bool>,
    cut: watch::Sender<bool>,
}

/// All listening sockets, bound before the node's addresses are announced.
struct Sockets {
    callers: TcpListener,
    link: TcpListener,
    control: UdpSocket,
}

impl Sockets {
    fn bind(settings: &Settings) -> Result<Self> {
        let message = |what: &str, address| {
            format!("can't listen on {address} for {what}; is the port taken by another node?")
        };
        let listen = &settings.listen;
        let callers = http::listen(listen.callers);
        let link = http::listen(listen.link);
        // Control messages are datagrams; docs/design/members.md gives the reasons.
        let control = UdpSocket::bind(listen.control);
        let sockets = Self {
            callers: callers.wrap_err_with(|| message("callers", listen.callers))?,
            link: link.wrap_err_with(|| message("links", listen.link))?,
            control: control.wrap_err_with(|| message("control", listen.control))?,
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
            power: 0,
        })
    }
}

/// Runs a node until SIGTERM, SIGINT or a drain, and prints its addresses.
///
/// # Errors
/// Returns an error if a socket can't be bound or a thread can't be started.
pub fn run(settings: &Settings) -> Result<()> {
    actix_rt::System::new().block_on(async {
        // Installed before anything is started, so that a signal during start-up shuts down
        // gracefully.
        let mut terminate =
            signal(SignalKind::terminate()).wrap_err("can't install a handler for SIGTERM")?;
        let mut interrupt =
            signal(SignalKind::interrupt()).wrap_err("can't install a handler for SIGINT")?;
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
        let force = async move {
            // A second Ctrl-C skips the wait for requests in flight.
            interrupt.recv().await;
        };
        running.stop(settings.leave.limit, force).await;
        Ok(())
    })
}

/// Starts a node on this thread, which becomes its control thread.
///
/// # Errors
/// Returns an error if a socket can't be bound or a thread can't be started.
pub fn start(settings: &Settings) -> Result<Running> {
    let clock = Clock::start();
    let sockets = Sockets::bind(settings)?;
    let own = sockets.member(settings)?;
    let mut metrics = Metrics::new();
    let counts = Counts::default();
    metrics.extend(|registry| counts.register(registry));
    let batch_counts = batch::Counts::default();
    metrics.extend(|registry| batch_counts.register(registry));
    let threads = settings.traffic_threads;
    let (dispatch, channels) = Handle::new(threads);
    let (crashes, observed) = quarantine::Handle::new();
    let kernel = services(&own, dispatch, metrics, crashes);
    let shared = shared(settings, &own, clock, &kernel)?;
    let (callers_stop, callers_stopped) = watch::channel(false);
    let (drain, drained) = watch::channel(false);
    let (queries_in, queries) = mpsc::channel(CHANNEL_CAPACITY);
    let (demands_in, demands) = mpsc::channel(CHANNEL_CAPACITY);
    let (remote, inbox) = remote::channel();
    let (cut_off, cut) = watch::channel(false);
    let mut arbiters = Vec::new();
    let mut grants_in = Vec::new();
    for (number, dispatch_channels) in channels.into_iter().enumerate() {
        let (grant, grants) = mpsc::channel(CHANNEL_CAPACITY);
        grants_in.push(grant);
        let thread = traffic::Thread {
            number,
            threads,
            shared: shared.clone(),
            channels: dispatch_channels,
            queries: queries_in.clone(),
            demands: demands_in.clone(),
            grants,
            control: remote.clone(),
            callers: sockets.callers.try_clone()?,
            links: sockets.link.try_clone()?,
            cut: cut.clone(),
            stopped: callers_stopped.clone(),
            platform: settings.platform.address,
        };
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || thread.start());
        arbiters.push(arbiter);
    }
    let boot = control::boot();
    let batch = start_batch(&shared, settings, boot, batch_counts)?;
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
        boot,
        client: Client::new(settings.platform.address, PLATFORM_TIMEOUT),
        shared: shared.clone(),
        queries,
        demands,
        grants: grants_in,
        runner: batch.handle,
        drain,
        observed,
    });
    actix_rt::spawn(inbox.serve(Rc::clone(&services)));
    log::info!(
        "{} node={} zone={} callers={callers}",
        event::NODE_STARTED,
        settings.node.name,
        settings.node.zone,
    );
    shared.phase.publish(Phase::Serving);
    Ok(Running {
        callers,
        link,
        control,
        kernel,
        shared,
        services,
        shutdown: Shutdown {
            batch: batch.stop,
            batch_ended: batch.ended,
            callers: callers_stop,
            cut: cut_off,
        },
        arbiters,
        drained,
        cut: 0,
    })
}

/// Creates the services that threads share and registers each under its name.
fn services(
    own: &Member,
    dispatch: Handle,
    metrics: Metrics,
    crashes: quarantine::Handle,
) -> Kernel {
    let view = View::from(vec![own.clone()]);
    let in_force = InForce {
        document: Arc::default(),
        until: Time::ZERO,
    };
    let mut kernel = Kernel::default();
    kernel.register(service::CONFIG, Arc::new(Cell::new(in_force)));
    kernel.register(service::VIEW, Arc::new(Cell::new(view)));
    kernel.register(service::DISPATCH, Arc::new(dispatch));
    kernel.register(service::METRICS, Arc::new(metrics));
    kernel.register(service::REQUESTS, Arc::new(Work::default()));
    kernel.register(service::CONNECTIONS, Arc::new(Work::default()));
    kernel.register(service::DISPATCHED, Arc::new(Work::default()));
    kernel.register(service::QUARANTINE, Arc::new(crashes));
    kernel.register(service::PHASE, Arc::new(Cell::new(Phase::Starting)));
    kernel
}

/// Resolves the services that every thread of a node uses, once, at start-up.
fn shared(
    settings: &Settings,
    own: &Member,
    clock: Clock,
    kernel: &Kernel,
) -> Result<Shared, Missing> {
    Ok(Shared {
        node: own.name.clone(),
        zone: own.zone.clone(),
        clock,
        in_force: kernel.find(service::CONFIG)?,
        view: kernel.find(service::VIEW)?,
        dispatch: Handle::clone(&*kernel.find(service::DISPATCH)?),
        metrics: kernel.find(service::METRICS)?,
        requests: Work::clone(&*kernel.find(service::REQUESTS)?),
        connections: Work::clone(&*kernel.find(service::CONNECTIONS)?),
        dispatched: Work::clone(&*kernel.find(service::DISPATCHED)?),
        phase: kernel.find(service::PHASE)?,
        limits: settings.limits,
        timeouts: settings.timeouts,
        quarantine: quarantine::Handle::clone(&*kernel.find(service::QUARANTINE)?),
    })
}

/// Handles to the batch thread.
struct Batch {
    arbiter: Arbiter,
    handle: runner::Handle,
    stop: watch::Sender<bool>,
    ended: mpsc::Receiver<()>,
}

fn start_batch(
    shared: &Shared,
    settings: &Settings,
    boot: u64,
    counts: batch::Counts,
) -> Result<Batch> {
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
        actix_rt::spawn(counts.follow(runner.stats()));
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

impl Running {
    /// Returns when an operator has drained this node.
    pub async fn drained(&mut self) {
        // An error would mean that the control thread has ended, but this is the control
        // thread.
        let _ = self.drained.wait_for(|drained| *drained).await;
    }

    /// Shuts down the node in order; [`Leave`] decides on the phases.
    ///
    /// Requests still in flight after `limit`, or once `force` is ready, are aborted with a
    /// final answer.
    pub async fn stop<H>(mut self, limit: Duration, force: H)
    where
        H: Future<Output = ()>,
    {
        let in_flight = self.shared.requests.count();
        log::info!("{} in_flight={in_flight}", event::NODE_LEAVING);
        let leave = Leave::new(self.times(limit));
        let clock = self.shared.clock;
        let phase = self.shared.phase.clone();
        let summary = drive::run(leave, clock, &phase, &mut self, force).await;
        self.exit(summary).await;
    }

    /// Returns the durations of the shutdown phases. A node without peers has nobody to notify
    /// and no other address for its callers, so it skips those waits.
    fn times(&self, limit: Duration) -> Times {
        let times = Times {
            limit,
            ..Times::default()
        };
        if self.services.has_peers() {
            return times;
        }
        Times {
            propagation: Duration::ZERO,
            address_ttl: Duration::ZERO,
            ..times
        }
    }

    async fn exit(self, summary: Summary) {
        self.services.members.exit().await;
        // The last answers may still be in the sockets' buffers.
        actix_rt::time::sleep(FLUSH_TIME).await;
        for arbiter in self.arbiters {
            arbiter.stop();
        }
        let Summary { chunks, .. } = summary;
        log::info!("{} cut={} chunks={chunks}", event::NODE_STOPPED, self.cut);
    }
}

impl Host for Running {
    fn work(&mut self) -> leave::Work {
        // The batch thread releases its chunks before it ends.
        let ended = self.shutdown.batch_ended.try_recv();
        let is_running = ended == Err(mpsc::error::TryRecvError::Empty);
        leave::Work {
            // A connection is open until its last answer has been written, and may hold a request
            // that is not read yet.
            requests: self.shared.connections.count(),
            dispatched: self.shared.dispatched.count(),
            chunks: usize::from(is_running),
            items: 0,
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Announce => self.services.members.leave(),
            Action::StopClaiming => {
                let _ = self.shutdown.batch.send(true);
            }
            Action::RejectRequests => {
                let _ = self.shutdown.callers.send(true);
            }
            Action::AbortAll => {
                self.cut = self.shared.requests.count() + self.shared.dispatched.count();
                let _ = self.shutdown.cut.send(true);
            }
            // The dispatchers observe the phase, and the batch thread releases its chunks by
            // itself once it is stopped.
            Action::HandOver | Action::ReleaseChunks | Action::Exit(_) => {}
        }
    }
}
