//! The control thread: follows the platform and the peers, publishes their state to the traffic
//! threads, and serves operators.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{mpsc, watch};

use super::peers::{CachedRoster, Net};
use super::shares::{self, Shares};
use crate::clock::{Time, unix_millis};
use crate::config::operator::{Operator, Stamp};
use crate::config::watch::Watch;
use crate::dispatch::Load;
use crate::dispatch::loads::Loads;
use crate::gateway::{DemandReport, Shared};
use crate::job::runner;
use crate::limit::Grant;
use crate::link::Pool;
use crate::link::server::PendingQuery;
use crate::member::shell::{self, Event, Handle, Setup};
use crate::name::Name;
use crate::placement;
use crate::placement::run::Context;
use crate::quarantine::statuses as quarantine;
use crate::table::Vm;
use crate::table::http::Client;
use crate::wire::control::Note;
use crate::wire::query::{Query, Reply};

/// Delay before a failed registration with the platform is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which a change of the version in force is announced to the members.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// Topic of notes about cancelled jobs.
const CANCELLED: u8 = 3;

/// Start parameters of the control thread.
pub struct Start {
    /// State that the threads of the node share.
    pub shared: Shared,
    /// Identity, seeds and counters of membership.
    pub setup: Setup,
    /// The bound socket of the control address.
    pub socket: tokio::net::UdpSocket,
    /// Distinguishes this process from others of the same name.
    pub boot: u64,
    /// Client of the platform.
    pub client: Client,
    /// Queries from other nodes' control threads.
    pub queries: mpsc::Receiver<PendingQuery>,
    /// The organisations' demand, as reported by the gateways.
    pub demands: mpsc::Receiver<DemandReport>,
    /// Channels for grants, one per traffic thread.
    pub grants: Vec<mpsc::Sender<(Name, Grant)>>,
    /// Handle of the batch thread.
    pub runner: runner::Handle,
    /// Becomes true when an operator drains this node.
    pub drain: watch::Sender<bool>,
    /// Endpoint crashes observed by this node.
    pub observed: mpsc::Receiver<quarantine::Report>,
}

/// The services of the control thread.
pub struct Control {
    /// Operators' access to the configuration.
    pub operator: Operator<Client, Watch<Client, Net>>,
    /// The members.
    pub members: Handle,
    shared: Shared,
    watch: Watch<Client, Net>,
    net: Net,
    runner: runner::Handle,
    drain: watch::Sender<bool>,
    /// Endpoint crashes observed by other nodes.
    crashes: mpsc::Sender<Note>,
}

/// Starts the control services on this thread.
pub fn start(start: Start) -> Rc<Control> {
    let shared = start.shared;
    actix_rt::spawn(register(start.client.clone(), start.setup.me.vm()));
    let roster = CachedRoster::new(start.client.clone());
    let (members, events) = shell::start(start.setup, start.socket, roster.clone());
    let (crashes, notes) = mpsc::channel(quarantine::MAX_QUEUED);
    actix_rt::spawn(quarantine::decide(
        shared.clock,
        members.clone(),
        shared.quarantine.clone(),
        start.observed,
        notes,
    ));
    let net = Net {
        node: shared.node.clone(),
        view: shared.view.clone(),
        pool: Pool::new(shared.node.clone()),
        roster,
    };
    let in_force = shared.in_force.clone();
    let client = start.client;
    let placement = client.clone();
    let watch = Watch::new(
        &shared.node,
        client.clone(),
        net.clone(),
        shared.clock,
        in_force,
    );
    let limits = Rc::new(Shares::new(shared.clone(), members.clone(), start.grants));
    let control = Rc::new(Control {
        operator: Operator::new(client, watch.clone()),
        members,
        shared,
        watch: watch.clone(),
        net,
        runner: start.runner,
        drain: start.drain,
        crashes,
    });
    actix_rt::spawn(watch.run());
    start_placement(&control.shared, start.boot, &placement);
    actix_rt::spawn(shares::serve(Rc::clone(&limits), start.demands));
    actix_rt::spawn(Rc::clone(&control).listen(events, limits));
    actix_rt::spawn(Rc::clone(&control).answer(start.queries));
    actix_rt::spawn(Rc::clone(&control).announce_version());
    control
}

/// Joins the placement of models in this node's region, which the holder of the region's lease
/// performs.
fn start_placement(shared: &Shared, boot: u64, client: &Client) {
    let context = Context {
        node: shared.node.clone(),
        zone: shared.zone.clone(),
        nonce: boot,
        clock: shared.clock,
        in_force: shared.in_force.clone(),
        view: shared.view.clone(),
    };
    placement::run::start(context, client.clone());
}

/// Registers this VM with the stand-in platform; a real platform needs no registration.
async fn register(client: Client, vm: Vm) {
    while client.register(vm.clone()).await.is_err() {
        actix_rt::time::sleep(REGISTER_RETRY_DELAY).await;
    }
}

impl Control {
    /// Handles events from the membership protocol.
    async fn listen(self: Rc<Self>, mut events: mpsc::Receiver<Event>, shares: Rc<Shares>) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Committed(version) => self.watch.mention(version),
                Event::Note(note) => self.handle_note(&note),
                Event::Direct { from, topic, value } => shares.receive(&from, topic, &value),
                Event::Replaced => {
                    let _ = self.drain.send(true);
                }
            }
        }
    }

    fn handle_note(&self, note: &Note) {
        if note.topic == CANCELLED
            && let Some(id) = crate::job::Id::parse(&note.key)
        {
            self.runner.send(runner::Input::Cancelled(id));
            return;
        }
        // A note dropped because the channel is full is equivalent to a lost datagram.
        let _ = self.crashes.try_send(note.clone());
    }

    /// Notifies the runner that a job of this service was accepted on this node.
    pub fn accepted(&self, service: Name) {
        self.runner.send(runner::Input::Accepted(service));
    }

    /// Broadcasts the cancellation of a job, so that runners stop before they next read its
    /// row.
    pub fn broadcast_cancel(&self, id: &crate::job::Id) {
        self.runner.send(runner::Input::Cancelled(id.clone()));
        self.members.note(Note {
            topic: CANCELLED,
            key: id.to_string().into(),
            version: 1,
            value: bytes::Bytes::new(),
        });
    }

    /// Answers queries from other nodes' control threads.
    async fn answer(self: Rc<Self>, mut queries: mpsc::Receiver<PendingQuery>) {
        while let Some(pending) = queries.recv().await {
            let reply = match pending.query {
                Query::Report => Reply::Report(self.watch.report()),
                Query::Document => {
                    let document = self.watch.in_force().document;
                    Reply::Document((document.version > 0).then_some(document))
                }
                Query::Announce { version } => {
                    self.watch.announced(version);
                    Reply::Announced
                }
                Query::Loads => {
                    Reply::Loads(self.shared.dispatch.loads.all().into_iter().collect())
                }
                // Sent only by nodes whose platform stores the configuration.
                Query::Known { .. } => Reply::Known(None),
                Query::Changes { .. } | Query::Rows { .. } | Query::Quarantine => Reply::Busy,
                Query::Drain => Reply::Draining {
                    in_flight: self.drain_self(),
                },
            };
            // An error means that the querying node no longer waits.
            let _ = pending.reply.send(reply);
        }
    }

    /// Announces the version in force to the members, and passes the organisations' weights to
    /// the runner.
    async fn announce_version(self: Rc<Self>) {
        let mut announced = 0;
        loop {
            let in_force = self.shared.in_force.load();
            let version = in_force.document.version;
            if version > announced {
                announced = version;
                self.members.committed(version);
                self.members.in_force(version);
                let organisations = in_force.document.organisations.values();
                let weights = organisations.map(|o| (o.name.clone(), o.weight)).collect();
                self.runner.send(runner::Input::Weights(weights));
            }
            actix_rt::time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    /// Starts the shutdown of this node; returns the number of requests in flight.
    pub fn drain_self(&self) -> u32 {
        let _ = self.drain.send(true);
        let loads = self.shared.dispatch.loads.all();
        let counts = loads
            .values()
            .map(|load| load.online + load.batch + load.queued);
        counts.sum()
    }

    /// Starts the shutdown of a node; returns none if it does not answer.
    pub async fn drain(&self, node: &str) -> Option<u32> {
        if node.is_empty() || *node == *self.shared.node {
            return Some(self.drain_self());
        }
        match self.net.query(node, Query::Drain).await? {
            Reply::Draining { in_flight } => Some(in_flight),
            _ => None,
        }
    }

    /// Returns the loads of every dispatcher that answers, with its node.
    pub async fn loads(&self) -> Vec<(Name, Loads)> {
        let here = self.shared.dispatch.loads.all();
        let mut all = vec![(self.shared.node.clone(), here)];
        let view = self.shared.view.load();
        let peers = view
            .usable()
            .filter(|member| member.name != self.shared.node);
        let mut replies: FuturesUnordered<_> = peers
            .map(|member| async {
                let reply = self.net.query(&member.name, Query::Loads).await;
                (member.name.clone(), reply)
            })
            .collect();
        while let Some((node, reply)) = replies.next().await {
            if let Some(Reply::Loads(loads)) = reply {
                all.push((node, loads.into_iter().collect()));
            }
        }
        all
    }

    /// Returns true if callers can use another node.
    pub fn has_peers(&self) -> bool {
        let view = self.shared.view.read();
        view.usable().any(|member| member.name != self.shared.node)
    }

    /// Returns the id and time of a configuration change.
    pub fn stamp() -> Stamp {
        Stamp {
            id: rand::random(),
            at_ms: unix_millis(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Applies a document that was just committed through this node, so that it is in force
    /// here immediately.
    pub fn committed(&self, requested_at: Time, document: crate::config::Document) {
        self.watch.committed(requested_at, document.into());
    }
}

/// Returns the busiest of several views of one endpoint. After a dispatcher has moved, the old
/// one reports its empty queue for a while.
pub fn busiest(loads: &[(Name, Loads)], endpoint: &str) -> Option<(Name, Load)> {
    let found = loads.iter().filter_map(|(node, loads)| {
        let load = loads.get(endpoint)?;
        Some((node.clone(), *load))
    });
    found.max_by_key(|(_, load)| load.online + load.batch + load.queued)
}

/// Returns a number that distinguishes this process from others of the same name. The wall
/// clock forms the high bits, so that a later process usually has the higher number; the low
/// bits are random.
pub fn boot() -> u64 {
    (unix_millis() << 20) | (rand::random::<u64>() & 0xF_FFFF)
}
