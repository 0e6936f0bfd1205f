//! One node: puts the services together, runs them and stops them in good
//! order.
//!
//! The thread that calls [`start`] becomes the control thread; each traffic
//! thread has a runtime of its own and shares nothing mutable with the others.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::time::Duration;

use actix_rt::Arbiter;
use eyre::{Result, WrapErr};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::config::Document;
use crate::dispatch::Handle;
use crate::event;
use crate::gateway::Shared;
use crate::http;
use crate::kernel::Kernel;
use crate::member::shell::{self, Setup};
use crate::member::tuning::Tuning;
use crate::member::{Member, State, View};
use crate::metric::Metrics;
use crate::platform;
use crate::settings::Settings;
use crate::snapshot::Cell;

mod assign;
mod batch;
mod control;
mod traffic;

pub use control::CONFIG_ROW;

/// Most time to wait for one answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Names under which services register with the kernel.
pub mod service {
    /// [`crate::snapshot::Cell`] of [`crate::config::Document`].
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
    in_flight: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
    arbiters: Vec<Arbiter>,
    members: Option<shell::Handle>,
}

/// The listening sockets, all bound before anything is told to anyone.
struct Sockets {
    callers: TcpListener,
    link: TcpListener,
    control: std::net::UdpSocket,
}

impl Sockets {
    fn bind(settings: &Settings) -> Result<Self> {
        let bind = |what: &str, address| {
            http::listen(address).wrap_err_with(|| {
                format!("can't listen on {address} for {what}; is the port taken by another node?")
            })
        };
        Ok(Self {
            callers: bind("callers", settings.listen.callers)?,
            link: bind("links", settings.listen.link)?,
            control: datagrams(settings.listen.control)?,
        })
    }
}

/// Control messages are datagrams; docs/design/members.md says why.
fn datagrams(address: SocketAddr) -> Result<std::net::UdpSocket> {
    let socket = std::net::UdpSocket::bind(address).wrap_err_with(|| {
        format!("can't listen on {address} for control; is the port taken by another node?")
    })?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// Runs a node until it is told to stop, and prints where it listens.
///
/// # Errors
/// When it can't listen, or a thread can't be started.
pub fn run(settings: &Settings) -> Result<()> {
    actix_rt::System::new().block_on(async {
        let running = start(settings)?;
        println!(
            "listening callers={} link={} control={}",
            running.callers, running.link, running.control
        );
        control::terminated().await?;
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
    let control = sockets.control.local_addr()?;
    let own = own_member(settings, &sockets)?;
    let mut metrics = Metrics::new();
    let counts = control::counts(&mut metrics);
    let (dispatch, desks) = Handle::new(settings.traffic_threads);
    let view = View {
        members: vec![own.clone()],
    };
    let shared = Shared {
        node: own.name.clone(),
        clock,
        config: Arc::new(Cell::new(Document::default())),
        view: Arc::new(Cell::new(view)),
        dispatch,
        metrics: Arc::new(metrics),
    };
    let kernel = register(&shared);
    let (stop, stopped) = watch::channel(false);
    let leaving = Arc::new(AtomicBool::new(false));
    let in_flight = Arc::new(AtomicUsize::new(0));
    let mut arbiters = Vec::new();
    for desk in desks {
        let thread = traffic::Thread {
            shared: shared.clone(),
            desk,
            callers: sockets.callers.try_clone()?,
            links: sockets.link.try_clone()?,
            leaving: Arc::clone(&leaving),
            stopped: stopped.clone(),
            platform: settings.platform.address,
        };
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || thread.start());
        arbiters.push(arbiter);
    }
    let assignment = Arc::new(Cell::new(assign::Assignment::new()));
    actix_rt::spawn(assign::follow(shared.clone(), Arc::clone(&assignment)));
    let boot = control::boot();
    arbiters.push(start_batch(&shared, assignment, settings, boot, stopped));
    let mut running = Running {
        callers: sockets.callers.local_addr()?,
        link: sockets.link.local_addr()?,
        control,
        kernel,
        leaving,
        in_flight,
        stop,
        arbiters,
        members: None,
    };
    let client = platform::http::Client::new(settings.platform.address, PLATFORM_TIMEOUT);
    let membership = control::Membership {
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
    };
    running.members = Some(control::start(&shared, membership, client));
    log::info!(
        "{} node={} zone={} callers={}",
        event::NODE_STARTED,
        settings.node.name,
        settings.node.zone,
        running.callers
    );
    Ok(running)
}

/// Starts the thread that runs batch work.
fn start_batch(
    shared: &Shared,
    assignment: Arc<Cell<assign::Assignment>>,
    settings: &Settings,
    boot: u64,
    stopped: watch::Receiver<bool>,
) -> Arbiter {
    let arbiter = Arbiter::new();
    let shared = shared.clone();
    let platform = settings.platform.address;
    let session = format!("{}-{boot:x}", shared.node).into();
    arbiter.spawn_fn(move || {
        let (runner, _handle) = batch::runner(shared, assignment, platform, session);
        actix_rt::spawn(batch::run(runner, stopped));
    });
    arbiter
}

fn own_member(settings: &Settings, sockets: &Sockets) -> Result<Member> {
    let text = |listener: &TcpListener| listener.local_addr().map(|a| a.to_string().into());
    Ok(Member {
        name: settings.node.name.clone(),
        address: text(&sockets.callers)?,
        link: text(&sockets.link)?,
        control: sockets.control.local_addr()?.to_string().into(),
        zone: settings.node.zone.clone(),
        incarnation: crate::clock::unix_millis(),
        state: State::Alive,
        config_version: 0,
    })
}

fn register(shared: &Shared) -> Kernel {
    let mut kernel = Kernel::default();
    kernel.register(service::CONFIG, Arc::clone(&shared.config));
    kernel.register(service::VIEW, Arc::clone(&shared.view));
    kernel.register(service::DISPATCH, Arc::new(shared.dispatch.clone()));
    kernel.register(service::METRICS, Arc::clone(&shared.metrics));
    kernel
}

impl Running {
    /// Stops the node in good order, within `limit`.
    pub async fn stop(self, limit: Duration) {
        use std::sync::atomic::Ordering;
        self.leaving.store(true, Ordering::Relaxed);
        log::info!("{}", event::NODE_LEAVING);
        let _ = self.stop.send(true);
        let _ = limit;
        while self.in_flight.load(Ordering::Relaxed) > 0 {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        for arbiter in self.arbiters {
            arbiter.stop();
        }
        log::info!("{}", event::NODE_STOPPED);
    }
}
