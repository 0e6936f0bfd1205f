//! A node of a deployment whose platform stores the configuration and the endpoint registry:
//! its threads, its start-up and its shutdown.
//!
//! The control thread replicates the platform's tables and runs the admission pools; the
//! traffic thread serves callers and executes batch items. docs/design/platform.md describes
//! the components.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use actix_rt::Arbiter;
use eyre::{Result, WrapErr as _};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};

use crate::batch::{self, Jobs};
use crate::catalog::Catalog;
use crate::clock::{Clock, Time, unix_millis};
use crate::dispatch;
use crate::event;
use crate::feed::reader;
use crate::feed::source::{self, Source};
use crate::leave::Phase;
use crate::link::Pool;
use crate::link::server::{PendingQuery, Services};
use crate::member::shell::{Counts, Event, Handle, Setup};
use crate::member::tuning::Tuning;
use crate::member::{Member, State, View};
use crate::name::Name;
use crate::permit::{self, Broker};
use crate::platform::settings;
use crate::platform::store::Client;
use crate::platform::{config, endpoint};
use crate::quarantine::export::Export;
use crate::quarantine::{self, Detector, detector};
use crate::site::Site;
use crate::snapshot::Cell;
use crate::wire::control::Note;
use crate::wire::query::{Query, Reply};

pub mod body;
pub mod count;
pub mod directory;
pub mod front;
pub mod grace;
mod keys;
pub mod learn;
pub mod node;
pub mod open;
pub mod pace;
pub mod relay;
mod reload;
pub mod roster;
mod socket;
mod stop;

use count::Count;
use learn::Learner;
use node::Node;
use socket::Sockets;
use stop::{Outstanding, Signals};

/// Capacity of the queue of other nodes' queries. Each change wakes all members that follow a
/// table here, and their next queries arrive at once: four tables of 200 members.
const QUERY_QUEUE: usize = 1_024;
/// Capacity of the channels that carry notes between the two threads.
const NOTE_QUEUE: usize = 256;
/// Tables whose changes nodes relay to each other, with the shortest interval between two reads
/// of each. A configuration must be in force within seconds, so it is read almost immediately;
/// endpoints and jobs change many times per second, and reading several changes at once is
/// cheaper.
const TOPICS: &[reader::Topic] = &[
    reader::Topic {
        table: config::TABLE,
        gap: Duration::from_millis(50),
    },
    reader::Topic {
        table: endpoint::TABLE,
        gap: Duration::from_millis(100),
    },
    reader::Topic {
        table: batch::record::TABLE,
        gap: Duration::from_millis(150),
    },
    reader::Topic {
        table: quarantine::record::TABLE,
        gap: Duration::from_millis(100),
    },
];

/// Runs a node until SIGTERM or SIGINT. A further SIGINT ends the shutdown at once.
///
/// # Errors
/// Returns an error if the settings are invalid or a socket can't be bound.
pub fn run(path: &Path, metrics_port: Option<u16>) -> Result<()> {
    let site = settings::read(path)?;
    actix_rt::System::new().block_on(async {
        // Installed before anything is started, so that a signal during start-up shuts down
        // gracefully.
        let mut terminate =
            signal(SignalKind::terminate()).wrap_err("can't install a handler for SIGTERM")?;
        let mut interrupt =
            signal(SignalKind::interrupt()).wrap_err("can't install a handler for SIGINT")?;
        let hangup = signal(SignalKind::hangup()).wrap_err("can't install a handler for SIGHUP")?;
        actix_rt::spawn(reload::watch(path.to_owned(), site.clone(), hangup));
        let running = start(Arc::new(site), metrics_port)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let force = async {
            interrupt.recv().await;
        };
        running.stop(force).await;
        Ok(())
    })
}

/// State shared by both threads.
#[derive(Clone)]
struct Shared {
    site: Arc<Site>,
    clock: Clock,
    me: Name,
    boot: u64,
    catalog: Arc<Cell<Catalog>>,
    view: Arc<Cell<View>>,
    phase: Arc<Cell<Phase>>,
    count: Count,
    outstanding: Outstanding,
    /// When a shutdown cuts open requests, once it has begun.
    cut_at: Arc<OnceLock<Time>>,
}

impl Shared {
    /// Returns a source that follows the store's tables through reader nodes. Each thread
    /// passes its own link pool.
    fn source(&self, links: Rc<Pool>) -> Source<Client, Rc<Pool>> {
        let setup = source::Setup {
            me: self.me.clone(),
            zone: self.site.zone.clone(),
            clock: self.clock,
            view: Arc::clone(&self.view),
            count: self.count.clone(),
        };
        Source::new(Client::new(self.site.store.address), links, setup)
    }
}

/// Returns this process as a member. Each process is a separate one, because a job is owned by a
/// process.
fn member(site: &Site, boot: u64) -> Member {
    Member {
        name: format!("{}.{boot:08x}", site.node).into(),
        address: site.listen.callers.to_string().into(),
        link: site.listen.link.to_string().into(),
        control: site.listen.control.to_string().into(),
        zone: site.zone.clone(),
        incarnation: unix_millis(),
        state: State::Alive,
        config_version: 0,
        power: site.cpu_millicores,
    }
}

fn start(site: Arc<Site>, metrics_port: Option<u16>) -> Result<stop::Node> {
    let clock = Clock::start();
    let sockets = Sockets::bind(&site)?;
    let boot = u64::from(rand::random::<u32>());
    let me = member(&site, boot);
    let counts = Counts::default();
    let shared = Shared {
        site: Arc::clone(&site),
        clock,
        me: me.name.clone(),
        boot,
        catalog: Arc::new(Cell::new(Catalog::default())),
        view: Arc::new(Cell::new(View::from(vec![me.clone()]))),
        phase: Arc::new(Cell::new(Phase::Serving)),
        count: Count::new(|registry| counts.register(registry)),
        outstanding: Outstanding::default(),
        cut_at: Arc::default(),
    };
    let (close, closed) = watch::channel(false);
    let (cut, is_cut) = watch::channel(false);
    let (notes, mut to_gossip) = mpsc::channel(NOTE_QUEUE);
    let (received_in, received) = mpsc::channel(NOTE_QUEUE);
    let (exports, export_queries) = mpsc::channel(NOTE_QUEUE);
    let traffic = Traffic {
        shared: shared.clone(),
        callers: sockets.callers,
        readiness: sockets.readiness,
        directory: sockets.directory,
        broker: sockets.broker,
        closed,
        is_cut,
        notes,
        inputs: detector::Inputs {
            notes: received,
            queries: export_queries,
        },
        metrics: metrics_port.map(|port| SocketAddr::new(site.listen.ip(), port)),
    };
    Arbiter::new().spawn_fn(move || {
        actix_rt::spawn(async move {
            if let Err(error) = traffic.run() {
                log::error!("{} why=\"{error:#}\"", event::LISTEN_FAILED);
            }
        });
    });
    let store = Client::new(site.store.address);
    let setup = Setup {
        me,
        boot,
        seeds: site.seeds.clone(),
        tuning: tuning(),
        clock,
        view: Arc::clone(&shared.view),
        counts,
    };
    let (members, mut events) = control(
        &shared,
        setup,
        sockets.control,
        sockets.pool,
        sockets.link,
        exports,
    )?;
    let gossip = members.clone();
    actix_rt::spawn(async move {
        while let Some(note) = to_gossip.recv().await {
            gossip.note(note);
        }
    });
    actix_rt::spawn(async move {
        while let Some(event) = events.recv().await {
            if let Event::Note(note) = event {
                // A note dropped because the channel is full is equivalent to a lost datagram.
                let _ = received_in.try_send(note);
            }
        }
    });
    log::info!(
        "{} node={} zone={} callers={} boot={boot:08x}",
        event::NODE_STARTED,
        site.node,
        site.zone,
        site.listen.callers,
    );
    Ok(stop::Node {
        site,
        clock,
        phase: shared.phase,
        members,
        signals: Signals { close, cut },
        cut_at: shared.cut_at,
        outstanding: shared.outstanding,
        store,
    })
}

/// Membership timing. A lost node is detected within about 3 s: its jobs wait for a new owner,
/// and until then callers are still directed to its address. Nodes that start together discover
/// each other within about 0.4 s instead of 1 s; until then each runs pools of its own, which
/// together grant more than the endpoints' slots.
fn tuning() -> Tuning {
    Tuning {
        tick: Duration::from_millis(50),
        gossip_interval: Duration::from_millis(100),
        join_interval: Duration::from_millis(100),
        reconnect_interval: Duration::from_millis(500),
        sync_interval: Duration::from_secs(4),
        probe_interval: Duration::from_millis(500),
        probe_timeout: Duration::from_millis(200),
        min_suspicion: Duration::from_millis(1_500),
        ..Tuning::default()
    }
}

/// Starts the services of the control thread, which is the calling thread.
fn control(
    shared: &Shared,
    setup: Setup,
    control: UdpSocket,
    pool: UdpSocket,
    link: TcpListener,
    exports: mpsc::Sender<oneshot::Sender<Option<Export>>>,
) -> Result<(Handle, mpsc::Receiver<Event>)> {
    let address = shared.site.store.address;
    let learner = Learner::new(shared.clock, Arc::clone(&shared.catalog));
    let links = Pool::new(shared.me.clone());
    learn::start(
        &learner,
        shared.source(Rc::clone(&links)),
        shared.source(Rc::clone(&links)),
    );
    let view = Arc::clone(&shared.view);
    actix_rt::spawn(learn::poll_peers(
        Rc::clone(&learner),
        shared.me.clone(),
        view,
        links,
    ));
    let pool = tokio::net::UdpSocket::from_std(pool)?;
    actix_rt::spawn(crate::pool::serve::serve(crate::pool::serve::Setup {
        socket: pool,
        clock: shared.clock,
        catalog: Arc::clone(&shared.catalog),
        view: Arc::clone(&shared.view),
        own: shared.site.listen.ip(),
        tolerance: shared.site.bounds.tolerance,
    }));
    let (queries, queued) = mpsc::channel(QUERY_QUEUE);
    // This kind of node has no dispatchers; its links carry only queries.
    let (handle, _) = dispatch::Handle::new(1);
    let services = Services {
        node: shared.me.clone(),
        handle,
        queries,
    };
    actix_rt::spawn(async move {
        if let Err(error) = crate::link::server::serve(link, services).await {
            log::error!("{} why=\"{error}\"", event::LISTEN_FAILED);
        }
    });
    let reader = reader::Reader::new(shared.clock, Client::new(address), TOPICS);
    actix_rt::spawn(answer(queued, Rc::clone(&learner), reader, exports));
    let store = Client::new(address);
    let roster = Rc::new(roster::Registration::new(store, setup.me.control.clone()));
    let registration = Rc::clone(&roster);
    actix_rt::spawn(async move { registration.register_until_stored().await });
    let socket = tokio::net::UdpSocket::from_std(control)?;
    Ok(crate::member::shell::start(setup, socket, roster))
}

/// Answers queries from other nodes.
async fn answer(
    mut queries: mpsc::Receiver<PendingQuery>,
    learner: Rc<Learner>,
    reader: Rc<reader::Reader<Client>>,
    exports: mpsc::Sender<oneshot::Sender<Option<Export>>>,
) {
    while let Some(PendingQuery { query, reply }) = queries.recv().await {
        let answer = match query {
            Query::Changes { table, after } => {
                let reader = Rc::clone(&reader);
                actix_rt::spawn(async move {
                    let changes = reader.answer(&table, after).await;
                    // An error means that the querying node has disconnected.
                    let _ = reply.send(Reply::Changes(changes));
                });
                continue;
            }
            Query::Rows { table, after } => {
                let reader = Rc::clone(&reader);
                actix_rt::spawn(async move {
                    let page = reader.rows(&table, &after).await;
                    // An error means that the querying node has disconnected.
                    let _ = reply.send(Reply::Rows(page));
                });
                continue;
            }
            Query::Quarantine => {
                let exports = exports.clone();
                actix_rt::spawn(async move {
                    let (sender, export) = oneshot::channel();
                    let sent = exports.try_send(sender).is_ok();
                    let answer = match export.await {
                        Ok(Some(export)) if sent => Reply::Quarantine(export),
                        Ok(_) | Err(_) => Reply::Busy,
                    };
                    // An error means that the querying node has disconnected.
                    let _ = reply.send(answer);
                });
                continue;
            }
            Query::Known {
                version,
                endpoints_version,
            } => Reply::Known(learner.export(version, endpoints_version).map(Box::new)),
            Query::Report
            | Query::Document
            | Query::Announce { .. }
            | Query::Loads
            | Query::Drain => Reply::Busy,
        };
        // An error means that the querying node has disconnected.
        let _ = reply.send(answer);
    }
}

/// Start parameters of the traffic thread.
struct Traffic {
    shared: Shared,
    callers: TcpListener,
    readiness: TcpListener,
    directory: TcpListener,
    broker: UdpSocket,
    closed: watch::Receiver<bool>,
    is_cut: watch::Receiver<bool>,
    /// Crashes that this node observed, to be gossiped to the others.
    notes: mpsc::Sender<Note>,
    /// What other nodes tell and ask about requests that crash endpoints.
    inputs: detector::Inputs,
    metrics: Option<SocketAddr>,
}

impl Traffic {
    fn run(self) -> Result<()> {
        let shared = self.shared;
        let broker = Broker::new(permit::Setup {
            socket: tokio::net::UdpSocket::from_std(self.broker)?,
            pool_port: shared.site.listen.pool.port(),
            boot: shared.boot,
            clock: shared.clock,
            catalog: Arc::clone(&shared.catalog),
            view: Arc::clone(&shared.view),
            tolerance: shared.site.bounds.tolerance,
        });
        actix_rt::spawn(Rc::clone(&broker).run());
        let detector = Detector::new(detector::Setup {
            me: shared.me.clone(),
            clock: shared.clock,
            store: Client::new(shared.site.store.address),
            catalog: Arc::clone(&shared.catalog),
            view: Arc::clone(&shared.view),
            notes: self.notes,
            count: shared.count.clone(),
        });
        let links = Pool::new(shared.me.clone());
        let verdicts = shared.source(Rc::clone(&links));
        let detecting = Rc::clone(&detector);
        actix_rt::spawn(detecting.run(verdicts, Rc::clone(&links), self.inputs));
        let jobs = Jobs::new(batch::Setup {
            me: shared.me.clone(),
            zone: shared.site.zone.clone(),
            clock: shared.clock,
            store: Client::new(shared.site.store.address),
            row_bytes: shared.site.store.max_row_bytes,
            result_retention: shared.site.bounds.result_retention,
            broker: Rc::clone(&broker),
            detector: Rc::clone(&detector),
            catalog: Arc::clone(&shared.catalog),
            view: Arc::clone(&shared.view),
            phase: Arc::clone(&shared.phase),
            owned: shared.outstanding.jobs.clone(),
            count: shared.count.clone(),
        });
        actix_rt::spawn(Rc::clone(&jobs).run(shared.source(links)));
        let node = Rc::new(Node {
            zone: shared.site.zone.clone(),
            site: shared.site,
            clock: shared.clock,
            catalog: shared.catalog,
            view: shared.view,
            phase: shared.phase,
            broker,
            count: shared.count,
            detector,
            jobs,
            open: shared.outstanding.open,
            cut: self.is_cut,
            cut_at: shared.cut_at,
            pace: RefCell::default(),
        });
        actix_rt::spawn(keys::watch(Rc::clone(&node)));
        for listener in [self.callers, self.readiness, self.directory] {
            let listener = tokio::net::TcpListener::from_std(listener)?;
            let node = Rc::clone(&node);
            let connections = shared.outstanding.connections.clone();
            let closed = self.closed.clone();
            actix_rt::spawn(front::serve(listener, node, closed, connections));
        }
        if let Some(address) = self.metrics {
            actix_rt::spawn(front::serve_metrics(address, Rc::clone(&node)));
        }
        Ok(())
    }
}
