//! Serves the pools and limits of this node on a datagram socket of the control thread.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::message::{Body, MAX_DATAGRAM, Reply, Request};
use super::{Action, Key, Pool, Transition, shard};
use crate::catalog::Catalog;
use crate::catalog::endpoints::{Difference, Endpoints};
use crate::clock::{Clock, Time, Uptime};
use crate::event;
use crate::identity;
use crate::limit::Tolerance;
use crate::limit::coordinator::{Answer, Coordinator, Decision};
use crate::limit::isolation::Isolation;
use crate::member::View;
use crate::name::Name;
use crate::origin::Ledger;
use crate::snapshot::Cell;
use crate::wire;

/// Interval at which pools that are not idle take a step when no datagrams arrive.
const TICK: Duration = Duration::from_millis(25);

/// Maximum number of datagrams received before a step, so that a burst delays replies
/// by a few milliseconds at most.
const MAX_DATAGRAMS_PER_STEP: usize = 64;
/// Interval between updates of the limits from the members.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

struct Pools {
    socket: UdpSocket,
    clock: Clock,
    catalog: Arc<Cell<Catalog>>,
    by_name: BTreeMap<Name, Pool>,
    /// Limits that this node coordinates.
    coordinator: Coordinator,
    /// What began the streams that other nodes told this one of.
    origins: Ledger,
    view: Arc<Cell<View>>,
    /// Source address of this node's own requests.
    own: IpAddr,
    /// When the last request of another node arrived.
    last_remote_request: Time,
    isolation: Isolation,
    /// When the limits were last updated.
    last_maintenance: Time,
    last_tick: Time,
    /// The endpoints last set in each pool.
    applied: BTreeMap<Name, Endpoints>,
}

/// Dependencies of the pools of a node.
pub struct Setup {
    /// Socket that gateways send their requests to.
    pub socket: UdpSocket,
    /// The process's clock.
    pub clock: Clock,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// IP address of this node.
    pub own: IpAddr,
    /// How precisely limits are enforced.
    pub tolerance: Tolerance,
}

/// Serves gateways until the thread ends.
pub async fn serve(setup: Setup) {
    let mut pools = Pools {
        coordinator: Coordinator::new(setup.clock.now(), setup.tolerance),
        socket: setup.socket,
        clock: setup.clock,
        catalog: setup.catalog,
        view: setup.view,
        own: setup.own,
        origins: Ledger::default(),
        last_remote_request: Time::ZERO,
        isolation: Isolation::default(),
        last_maintenance: Time::ZERO,
        last_tick: Time::ZERO,
        by_name: BTreeMap::new(),
        applied: BTreeMap::new(),
    };
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        let wait = pools.next_tick().since(pools.clock.now());
        tokio::select! {
            received = pools.socket.recv_from(&mut buffer) => match received {
                Ok((len, from)) => pools.receive_all(from, len, &mut buffer),
                // The port of a gateway that is gone refuses datagrams.
                Err(error) => log::debug!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
            },
            () = sleep(wait) => pools.tick(),
        }
    }
}

impl Pools {
    /// Processes the datagram in `buffer` and those that are already waiting, and then
    /// takes a single step, since many datagrams arrive together at a peak.
    fn receive_all(&mut self, from: SocketAddr, len: usize, buffer: &mut [u8]) {
        let now = self.clock.now();
        let mut actions = BTreeMap::new();
        self.receive(now, from, &buffer[..len], &mut actions);
        for _ in 0..MAX_DATAGRAMS_PER_STEP {
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
        let request: Request = match wire::decode(bytes) {
            Ok(request) => request,
            Err(error) => {
                log::warn!("{} peer={from} why=\"{error}\"", event::DATAGRAM_REFUSED);
                return;
            }
        };
        if from.ip() != self.own {
            self.last_remote_request = now;
        }
        let key = |seq| Key { gateway: from, seq };
        let Some(name) = request.pool().cloned() else {
            return self.receive_other(now, from, request);
        };
        let pool = self
            .by_name
            .entry(name.clone())
            .or_insert_with(|| Pool::new(rand::random()));
        let actions = actions.entry(name).or_default();
        match request {
            Request::Acquire {
                seq, requirements, ..
            } => pool.acquire(now, key(seq), requirements, actions),
            Request::Renew { renewals, .. } => {
                for renewal in &renewals {
                    pool.renew(now, key(renewal.seq), renewal, actions);
                }
            }
            Request::Release { seq, end, .. } => pool.release(now, key(seq), end),
            Request::Count { .. }
            | Request::Refund { .. }
            | Request::Levels { .. }
            | Request::Probe
            | Request::Began { .. }
            | Request::FindOrigin { .. } => {}
        }
    }

    /// Handles requests that are not addressed to a pool.
    fn receive_other(&mut self, now: Time, from: SocketAddr, request: Request) {
        match request {
            Request::Began { key, origin } => self.origins.record(now, key, origin),
            Request::FindOrigin { seq, key } => {
                let body = Body::Origin(self.origins.find(now, key).cloned());
                self.send(from, &Reply { seq, body });
            }
            request => self.count(now, from, request),
        }
    }

    /// Handles counts and refunds of limits, and probes.
    fn count(&mut self, now: Time, from: SocketAddr, request: Request) {
        let nodes = self.view.read().usable().count();
        self.coordinator.set_node_count(now, nodes);
        if !self.coordinator.is_settled() && from.ip() != self.own {
            return;
        }
        match request {
            Request::Count { seq, count } => {
                let key = Key { gateway: from, seq };
                let answer = if from.ip() == self.own && self.is_isolated(now, count.others_silent)
                {
                    self.coordinator.record_isolated(now, &count);
                    Answer {
                        decision: Decision::Isolated(self.isolation.nodes()),
                        tokens: 0.0,
                    }
                } else {
                    self.coordinator.take(now, key, &count)
                };
                let body = Body::Counted(answer);
                self.send(from, &Reply { seq, body });
            }
            Request::Refund { seq, organisation } => {
                let key = Key { gateway: from, seq };
                self.coordinator.refund(now, key, &organisation);
            }
            Request::Levels { levels } => {
                for (organisation, hint) in levels {
                    self.coordinator.learn(now, &organisation, hint);
                }
            }
            Request::Probe => {
                let body = Body::Alive;
                self.send(from, &Reply { seq: 0, body });
            }
            Request::Acquire { .. }
            | Request::Renew { .. }
            | Request::Release { .. }
            | Request::Began { .. }
            | Request::FindOrigin { .. } => {}
        }
    }

    /// True when this node may be cut off from all others, so that they don't account for
    /// the requests that it lets through.
    fn is_isolated(&self, now: Time, others_silent: bool) -> bool {
        let confirmed_ago = identity::age(&self.catalog.read(), Uptime::now());
        let query_age = now.since(self.last_remote_request);
        self.isolation
            .is_isolated(confirmed_ago, query_age, others_silent)
    }

    /// Updates the limits that this node coordinates, at most once per interval.
    fn maintain_limits(&mut self, now: Time) {
        if now.since(self.last_maintenance) < MAINTENANCE_INTERVAL {
            return;
        }
        self.last_maintenance = now;
        let nodes = self.view.read().usable().count();
        self.coordinator.set_node_count(now, nodes);
        self.isolation.set_node_count(now, nodes);
        self.coordinator.sweep(now);
    }

    /// Returns when the next tick is due. Most nodes own no pool.
    fn next_tick(&self) -> Time {
        let is_idle = self.by_name.values().all(Pool::is_idle);
        let interval = if is_idle { MAINTENANCE_INTERVAL } else { TICK };
        self.last_tick + interval
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.last_tick = now;
        self.maintain_limits(now);
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
        let applied = self.applied.entry(name.clone()).or_default();
        if !applied.is_same(&catalog.endpoints) {
            for difference in catalog.endpoints.changes_since(applied) {
                match difference {
                    Difference::Put(endpoint) if shard::contains(name, endpoint) => {
                        pool.put_endpoint(endpoint);
                    }
                    // Its service or zone may have been another one.
                    Difference::Put(endpoint) => pool.remove_endpoint(&endpoint.id),
                    Difference::Removed(id) => pool.remove_endpoint(id),
                }
            }
            *applied = catalog.endpoints.clone();
        }
        pool.step(now, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        let (key, body) = match action {
            Action::Grant(key, endpoint) => (
                key,
                Body::Grant {
                    endpoint: endpoint.id.clone(),
                    address: endpoint.address,
                    software: endpoint.software.clone(),
                },
            ),
            Action::Queued(key) => (key, Body::Queued),
            Action::Refuse(key, retry_after) => (key, Body::Refuse { retry_after }),
            Action::Stop(key) => (key, Body::Stop),
            Action::HealthChanged(transition) => return log_transition(&transition),
        };
        self.send(key.gateway, &Reply { seq: key.seq, body });
    }

    fn send(&self, gateway: SocketAddr, reply: &Reply) {
        match wire::encode(reply) {
            // A datagram that does not fit into the socket's buffer is lost like any
            // other; the gateway repeats its request.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, gateway)),
            Err(error) => log::warn!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
        }
    }
}

fn log_transition(transition: &Transition) {
    match transition {
        Transition::Ejected {
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
        Transition::Restored { endpoint } => {
            log::info!("{} endpoint={endpoint}", event::ENDPOINT_TRUSTED);
        }
    }
}
