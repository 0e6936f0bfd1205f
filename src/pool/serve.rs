//! Runs the pools of this node on a datagram socket of the control thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::message::{MAX_DATAGRAM, Question, Reply, Word};
use super::{Action, Key, Pool};
use crate::catalog::Catalog;
use crate::clock::{Clock, Time};
use crate::event;
use crate::name::Name;
use crate::snapshot::Cell;
use crate::wire;

/// How often waiting requests and stops are looked at though nothing arrives.
const TICK: Duration = Duration::from_millis(25);

struct Pools {
    socket: UdpSocket,
    clock: Clock,
    catalog: Arc<Cell<Catalog>>,
    pools: BTreeMap<Name, Pool>,
}

/// Answers gateways for as long as the thread lives.
pub async fn serve(socket: UdpSocket, clock: Clock, catalog: Arc<Cell<Catalog>>) {
    let mut pools = Pools {
        socket,
        clock,
        catalog,
        pools: BTreeMap::new(),
    };
    let mut buffer = [0; MAX_DATAGRAM];
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            received = pools.socket.recv_from(&mut buffer) => match received {
                Ok((len, from)) => pools.receive(from, &buffer[..len]),
                // A gateway that is gone shows as a refused datagram.
                Err(error) => log::debug!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
            },
            _ = tick.tick() => pools.tick(),
        }
    }
}

impl Pools {
    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = self.clock.now();
        let question: Question = match wire::decode(bytes) {
            Ok(question) => question,
            Err(error) => {
                log::warn!("{} peer={from} why=\"{error}\"", event::DATAGRAM_REFUSED);
                return;
            }
        };
        let key = |seq| Key { gateway: from, seq };
        let mut actions = Vec::new();
        let service = match question {
            Question::Ask { service, seq, ask } => {
                let pool = self.pools.entry(service.clone()).or_default();
                pool.ask(now, key(seq), ask, &mut actions);
                service
            }
            Question::Holds { service, holds } => {
                let pool = self.pools.entry(service.clone()).or_default();
                for hold in &holds {
                    pool.hold(now, key(hold.seq), hold, &mut actions);
                }
                service
            }
            Question::Release { service, seq, end } => {
                let pool = self.pools.entry(service.clone()).or_default();
                pool.release(now, key(seq), end);
                service
            }
        };
        self.step(now, &service, actions);
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let busy: Vec<Name> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.is_idle())
            .map(|(service, _)| service.clone())
            .collect();
        for service in busy {
            self.step(now, &service, Vec::new());
        }
    }

    fn step(&mut self, now: Time, service: &Name, mut actions: Vec<Action>) {
        let catalog = self.catalog.read();
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let endpoints = catalog.endpoints.values();
        pool.set_endpoints(endpoints.filter(|endpoint| endpoint.service == *service));
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
        };
        let reply = Reply { seq: key.seq, word };
        match wire::encode(&reply) {
            // What does not fit into the socket's buffer is lost like any other
            // datagram; the gateway asks again.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, key.gateway)),
            Err(error) => log::warn!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
        }
    }
}
