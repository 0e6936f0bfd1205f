//! Runs the pools of this node on a datagram socket of the control thread.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::message::{MAX_DATAGRAM, Question, Reply, Word};
use super::{Action, Judgement, Key, Pool, shard};
use crate::catalog::{Catalog, Endpoint};
use crate::clock::{Clock, Time, Uptime};
use crate::event;
use crate::identity;
use crate::limit::Tolerance;
use crate::limit::coordinator::{Answer, Coordinator, Decision};
use crate::limit::isolation::Isolation;
use crate::member::View;
use crate::name::Name;
use crate::snapshot::Cell;
use crate::wire;

/// How often waiting requests and stops are looked at though nothing arrives.
const TICK: Duration = Duration::from_millis(25);

/// Datagrams that are taken before deciding; a burst must not hold up answers
/// for more than some milliseconds.
const MOST_AT_ONCE: usize = 64;
/// How often a keeper looks at the members.
const KEEP_EVERY: Duration = Duration::from_millis(250);

struct Pools {
    socket: UdpSocket,
    clock: Clock,
    catalog: Arc<Cell<Catalog>>,
    by_name: BTreeMap<Name, Pool>,
    /// The limits that this node keeps.
    keeper: Coordinator,
    view: Arc<Cell<View>>,
    /// The address of this node's own questions.
    own: IpAddr,
    /// When another node last asked something.
    asked: Time,
    reach: Isolation,
    /// When the keeper was last looked after.
    kept: Time,
    /// The endpoints that each pool was last given.
    seen: BTreeMap<Name, Arc<BTreeMap<Name, Arc<Endpoint>>>>,
}

/// What the pools of a node work with.
pub struct Setup {
    /// Where gateways send their questions.
    pub socket: UdpSocket,
    /// The process's clock.
    pub clock: Clock,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// The IP number of this node.
    pub own: IpAddr,
    /// How exactly limits are kept.
    pub tolerance: Tolerance,
}

/// Answers gateways for as long as the thread lives.
pub async fn serve(setup: Setup) {
    let mut pools = Pools {
        keeper: Coordinator::new(setup.clock.now(), setup.tolerance),
        socket: setup.socket,
        clock: setup.clock,
        catalog: setup.catalog,
        view: setup.view,
        own: setup.own,
        asked: Time::ZERO,
        reach: Isolation::default(),
        kept: Time::ZERO,
        by_name: BTreeMap::new(),
        seen: BTreeMap::new(),
    };
    let mut buffer = [0; MAX_DATAGRAM];
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = pools.socket.recv_from(&mut buffer) => match received {
                Ok((len, from)) => pools.receive_all(from, len, &mut buffer),
                // A gateway that is gone shows as a refused datagram.
                Err(error) => log::debug!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
            },
            _ = tick.tick() => pools.tick(),
        }
    }
}

impl Pools {
    /// Takes the datagram in `buffer` and all that wait behind it, and then
    /// decides once: at a peak many arrive together.
    fn receive_all(&mut self, from: SocketAddr, len: usize, buffer: &mut [u8]) {
        let now = self.clock.now();
        let mut actions = BTreeMap::new();
        self.receive(now, from, &buffer[..len], &mut actions);
        for _ in 0..MOST_AT_ONCE {
            let Ok((len, from)) = self.socket.try_recv_from(buffer) else {
                break;
            };
            self.receive(now, from, &buffer[..len], &mut actions);
        }
        for (pool, actions) in actions {
            self.step(now, &pool, actions);
        }
    }

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        actions: &mut BTreeMap<Name, Vec<Action>>,
    ) {
        let question: Question = match wire::decode(bytes) {
            Ok(question) => question,
            Err(error) => {
                log::warn!("{} peer={from} why=\"{error}\"", event::DATAGRAM_REFUSED);
                return;
            }
        };
        if from.ip() != self.own {
            self.asked = now;
        }
        let key = |seq| Key { gateway: from, seq };
        let Some(name) = question.pool().cloned() else {
            return self.count(now, from, question);
        };
        let pool = self
            .by_name
            .entry(name.clone())
            .or_insert_with(|| Pool::new(rand::random()));
        let actions = actions.entry(name).or_default();
        match question {
            Question::Acquire {
                seq, requirements, ..
            } => pool.acquire(now, key(seq), requirements, actions),
            Question::Holds { holds, .. } => {
                for hold in &holds {
                    pool.hold(now, key(hold.seq), hold, actions);
                }
            }
            Question::Release { seq, end, .. } => pool.release(now, key(seq), end),
            Question::Count { .. } | Question::Back { .. } | Question::Probe => {}
        }
    }

    /// Answers what is about no pool: a request of an organisation that has a limit is
    /// counted, or counted no more.
    fn count(&mut self, now: Time, from: SocketAddr, question: Question) {
        let nodes = self.view.read().usable().count();
        self.keeper.set_node_count(now, nodes);
        if !self.keeper.is_settled() && from.ip() != self.own {
            return;
        }
        match question {
            Question::Count { seq, count } => {
                let key = Key { gateway: from, seq };
                let verdict = if from.ip() == self.own && self.is_cut(now) {
                    Answer {
                        decision: Decision::Isolated(self.reach.nodes()),
                        tokens: 0.0,
                    }
                } else {
                    self.keeper.take(now, key, &count)
                };
                let word = Word::Counted(verdict);
                self.send(from, &Reply { seq, word });
            }
            Question::Back { seq, organisation } => {
                let key = Key { gateway: from, seq };
                self.keeper.refund(now, key, &organisation);
            }
            Question::Probe => {
                let word = Word::Here;
                self.send(from, &Reply { seq: 0, word });
            }
            Question::Acquire { .. } | Question::Holds { .. } | Question::Release { .. } => {}
        }
    }

    /// True when no other node may know what this one lets through.
    fn is_cut(&self, now: Time) -> bool {
        let heard = identity::age(&self.catalog.read(), Uptime::now());
        self.reach.is_isolated(heard, now.since(self.asked))
    }

    /// Looks after the limits that this node keeps.
    fn keep(&mut self, now: Time) {
        if now.since(self.kept) < KEEP_EVERY {
            return;
        }
        self.kept = now;
        let nodes = self.view.read().usable().count();
        self.keeper.set_node_count(now, nodes);
        self.reach.set_node_count(now, nodes);
        self.keeper.sweep(now);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.keep(now);
        let busy: Vec<Name> = self
            .by_name
            .iter()
            .filter(|(_, pool)| !pool.is_idle())
            .map(|(service, _)| service.clone())
            .collect();
        for service in busy {
            self.step(now, &service, Vec::new());
        }
    }

    fn step(&mut self, now: Time, name: &Name, mut actions: Vec<Action>) {
        let catalog = self.catalog.load();
        let Some(pool) = self.by_name.get_mut(name) else {
            return;
        };
        let seen = self.seen.get(name);
        if seen.is_none_or(|seen| !Arc::ptr_eq(seen, &catalog.endpoints)) {
            let endpoints = catalog.endpoints.values();
            pool.set_endpoints(endpoints.filter(|endpoint| shard::has(name, endpoint)));
            self.seen
                .insert(name.clone(), Arc::clone(&catalog.endpoints));
        }
        pool.step(now, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        let (key, word) = match action {
            Action::Grant(key, endpoint) => (
                key,
                Word::Grant {
                    endpoint: endpoint.id.clone(),
                    address: endpoint.address,
                },
            ),
            Action::Queued(key) => (key, Word::Queued),
            Action::Refuse(key, retry_after) => (key, Word::Refuse { retry_after }),
            Action::Stop(key) => (key, Word::Stop),
            Action::Judged(judgement) => return log_judgement(&judgement),
        };
        self.send(key.gateway, &Reply { seq: key.seq, word });
    }

    fn send(&self, gateway: SocketAddr, reply: &Reply) {
        match wire::encode(reply) {
            // What does not fit into the socket's buffer is lost like any other
            // datagram; the gateway asks again.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, gateway)),
            Err(error) => log::warn!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
        }
    }
}

fn log_judgement(judgement: &Judgement) {
    match judgement {
        Judgement::LeftOut {
            endpoint,
            pause,
            strikes,
            errors_online,
            errors_batch,
        } => log::info!(
            "{} endpoint={endpoint} pause_ms={} strikes={strikes} errors_online={errors_online} errors_batch={errors_batch}",
            event::ENDPOINT_LEFT_OUT,
            pause.as_millis(),
        ),
        Judgement::Trusted { endpoint } => {
            log::info!("{} endpoint={endpoint}", event::ENDPOINT_TRUSTED);
        }
    }
}
