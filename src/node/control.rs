//! The control thread: what the node learns from the platform and its peers,
//! published for the traffic threads, and what operators ask.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::sync::{mpsc, watch};

use super::peers::{Net, Remembered};
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

/// How often something that must be told to the platform is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(500);
/// How often members are told which version is in force here.
const TELL_EVERY: Duration = Duration::from_millis(250);
/// Topic of the note that a job was cancelled.
const CANCELLED: u8 = 3;

/// What the control thread starts with.
pub struct Start {
    /// What the node shares.
    pub shared: Shared,
    /// Identity, seeds and counters of membership.
    pub setup: Setup,
    /// The socket of the control address.
    pub socket: tokio::net::UdpSocket,
    /// Tells this process from others of the same name.
    pub boot: u64,
    /// The platform.
    pub client: Client,
    /// Questions of other nodes' control threads.
    pub queries: mpsc::Receiver<PendingQuery>,
    /// What gateways ask for organisations.
    pub demands: mpsc::Receiver<DemandReport>,
    /// Where grants go, one for each traffic thread.
    pub grants: Vec<mpsc::Sender<(Name, Grant)>>,
    /// The batch thread.
    pub runner: runner::Handle,
    /// Turns true when an operator drains this node.
    pub drain: watch::Sender<bool>,
    /// What this node saw of endpoints that ended.
    pub observed: mpsc::Receiver<quarantine::Report>,
}

/// The control thread's services.
pub struct Control {
    /// What operators do to the configuration.
    pub operator: Operator<Client, Watch<Client, Net>>,
    /// The members.
    pub members: Handle,
    shared: Shared,
    watch: Watch<Client, Net>,
    net: Net,
    runner: runner::Handle,
    drain: watch::Sender<bool>,
    /// What other nodes saw of endpoints that ended.
    crashes: mpsc::Sender<Note>,
}

/// Starts the control services on this thread.
pub fn start(start: Start) -> Rc<Control> {
    let shared = start.shared;
    actix_rt::spawn(register(start.client.clone(), start.setup.me.vm()));
    let roster = Remembered::new(start.client.clone());
    let (members, events) = shell::start(start.setup, start.socket, roster.clone());
    let (crashes, notes) = mpsc::channel(quarantine::WAITING);
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
    let force = shared.force.clone();
    let client = start.client;
    let placement = client.clone();
    let watch = Watch::new(
        &shared.node,
        client.clone(),
        net.clone(),
        shared.clock,
        force,
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
    actix_rt::spawn(Rc::clone(&control).tell_version());
    control
}

/// Takes part in placing the models of this node's region: whoever holds the
/// region's lease does it.
fn start_placement(shared: &Shared, boot: u64, client: &Client) {
    let site = Context {
        node: shared.node.clone(),
        zone: shared.zone.clone(),
        nonce: boot,
        clock: shared.clock,
        force: shared.force.clone(),
        view: shared.view.clone(),
    };
    placement::run::start(site, client.clone());
}

/// Tells the stand-in platform that this VM runs; a real platform knows.
async fn register(client: Client, vm: Vm) {
    while client.register(vm.clone()).await.is_err() {
        actix_rt::time::sleep(TRY_AGAIN).await;
    }
}

impl Control {
    /// Takes what the members tell.
    async fn listen(self: Rc<Self>, mut events: mpsc::Receiver<Event>, shares: Rc<Shares>) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Committed(version) => self.watch.mention(version),
                Event::Note(note) => self.take_note(&note),
                Event::Direct { from, topic, value } => shares.receive(&from, topic, &value),
                Event::Replaced => {
                    let _ = self.drain.send(true);
                }
            }
        }
    }

    fn take_note(&self, note: &Note) {
        if note.topic == CANCELLED
            && let Some(id) = crate::job::Id::parse(&note.key)
        {
            self.runner.send(runner::Input::Cancelled(id));
            return;
        }
        // A full channel is as good as a lost datagram.
        let _ = self.crashes.try_send(note.clone());
    }

    /// A job of this service was accepted here.
    pub fn accepted(&self, service: Name) {
        self.runner.send(runner::Input::Accepted(service));
    }

    /// Tells every runner that a job was cancelled, so that they stop before
    /// they look at its row.
    pub fn broadcast_cancel(&self, id: &crate::job::Id) {
        self.runner.send(runner::Input::Cancelled(id.clone()));
        self.members.note(Note {
            topic: CANCELLED,
            key: id.to_string().into(),
            version: 1,
            value: bytes::Bytes::new(),
        });
    }

    /// Answers other nodes' control threads.
    async fn answer(self: Rc<Self>, mut queries: mpsc::Receiver<PendingQuery>) {
        while let Some(asked) = queries.recv().await {
            let reply = match asked.query {
                Query::Report => Reply::Report(self.watch.report()),
                Query::Document => {
                    let document = self.watch.force().document;
                    Reply::Document((document.version > 0).then_some(document))
                }
                Query::Announce { version } => {
                    self.watch.announced(version);
                    Reply::Announced
                }
                Query::Loads => {
                    Reply::Loads(self.shared.dispatch.loads.all().into_iter().collect())
                }
                // Only nodes whose platform keeps the configuration ask this.
                Query::Known { .. } => Reply::Known(None),
                Query::Changes { .. } => Reply::Busy,
                Query::Drain => Reply::Draining {
                    in_flight: self.drain_here(),
                },
            };
            // The asker may have given up.
            let _ = asked.reply.send(reply);
        }
    }

    /// Tells the members which version is in force here, and the runner the
    /// weights that come with it.
    async fn tell_version(self: Rc<Self>) {
        let mut told = 0;
        loop {
            let force = self.shared.force.load();
            let version = force.document.version;
            if version > told {
                told = version;
                self.members.committed(version);
                self.members.in_force(version);
                let organisations = force.document.organisations.values();
                let weights = organisations.map(|o| (o.name.clone(), o.weight)).collect();
                self.runner.send(runner::Input::Weights(weights));
            }
            actix_rt::time::sleep(TELL_EVERY).await;
        }
    }

    /// Makes this node leave; returns what is in flight here.
    pub fn drain_here(&self) -> u32 {
        let _ = self.drain.send(true);
        let loads = self.shared.dispatch.loads.all();
        let busy = loads
            .values()
            .map(|load| load.online + load.batch + load.queued);
        busy.sum()
    }

    /// Makes a node leave; none when it does not answer.
    pub async fn drain(&self, node: &str) -> Option<u32> {
        if node.is_empty() || *node == *self.shared.node {
            return Some(self.drain_here());
        }
        match self.net.ask(node, Query::Drain).await? {
            Reply::Draining { in_flight } => Some(in_flight),
            _ => None,
        }
    }

    /// The loads of every dispatcher that answers, with the node it is on.
    pub async fn loads(&self) -> Vec<(Name, Loads)> {
        let here = self.shared.dispatch.loads.all();
        let mut all = vec![(self.shared.node.clone(), here)];
        let view = self.shared.view.load();
        let peers = view
            .usable()
            .filter(|member| member.name != self.shared.node);
        let mut asking: FuturesUnordered<_> = peers
            .map(|member| async {
                let reply = self.net.ask(&member.name, Query::Loads).await;
                (member.name.clone(), reply)
            })
            .collect();
        while let Some((node, reply)) = asking.next().await {
            if let Some(Reply::Loads(loads)) = reply {
                all.push((node, loads.into_iter().collect()));
            }
        }
        all
    }

    /// True when callers can go to another node.
    pub fn has_peers(&self) -> bool {
        let view = self.shared.view.read();
        view.usable().any(|member| member.name != self.shared.node)
    }

    /// What marks a change of the configuration.
    pub fn stamp() -> Stamp {
        Stamp {
            id: rand::random(),
            at_ms: unix_millis(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.shared.clock.now()
    }

    /// Takes a document that was just committed here, so that this node acts
    /// by it at once.
    pub fn committed(&self, asked: Time, document: crate::config::Document) {
        self.watch.committed(asked, document.into());
    }
}

/// The busiest of several views of one endpoint: after a dispatcher moved, the
/// old one still shows its emptied queue for a while.
pub fn busiest(loads: &[(Name, Loads)], endpoint: &str) -> Option<(Name, Load)> {
    let found = loads.iter().filter_map(|(node, loads)| {
        let load = loads.get(endpoint)?;
        Some((node.clone(), *load))
    });
    found.max_by_key(|(_, load)| load.online + load.batch + load.queued)
}

/// A number that tells this process from others of the same name: the wall
/// clock first, so that a later process usually has the higher one, then chance.
pub fn boot() -> u64 {
    (unix_millis() << 20) | (rand::random::<u64>() & 0xF_FFFF)
}
