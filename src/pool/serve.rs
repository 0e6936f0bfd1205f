//! Runs the pools of this node on a datagram socket of the control thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::message::{MAX_DATAGRAM, Question, Reply, Word};
use super::{Action, Judgement, Key, Pool, shard};
use crate::catalog::{Catalog, Endpoint};
use crate::clock::{Clock, Time};
use crate::event;
use crate::name::Name;
use crate::snapshot::Cell;
use crate::wire;

/// How often waiting requests and stops are looked at though nothing arrives.
const TICK: Duration = Duration::from_millis(25);

/// Datagrams that are taken before deciding; a burst must not hold up answers
/// for more than some milliseconds.
const MOST_AT_ONCE: usize = 64;

struct Pools {
    socket: UdpSocket,
    clock: Clock,
    catalog: Arc<Cell<Catalog>>,
    by_name: BTreeMap<Name, Pool>,
    /// The endpoints that each pool was last given.
    seen: BTreeMap<Name, Arc<BTreeMap<Name, Arc<Endpoint>>>>,
}

/// Answers gateways for as long as the thread lives.
pub async fn serve(socket: UdpSocket, clock: Clock, catalog: Arc<Cell<Catalog>>) {
    let mut pools = Pools {
        socket,
        clock,
        catalog,
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
        let key = |seq| Key { gateway: from, seq };
        let name = question.pool().clone();
        let pool = self
            .by_name
            .entry(name.clone())
            .or_insert_with(|| Pool::new(rand::random()));
        let actions = actions.entry(name).or_default();
        match question {
            Question::Ask { seq, ask, .. } => pool.ask(now, key(seq), ask, actions),
            Question::Holds { holds, .. } => {
                for hold in &holds {
                    pool.hold(now, key(hold.seq), hold, actions);
                }
            }
            Question::Release { seq, end, .. } => pool.release(now, key(seq), end),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
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
        let catalog = self.catalog.take();
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
        let reply = Reply { seq: key.seq, word };
        match wire::encode(&reply) {
            // What does not fit into the socket's buffer is lost like any other
            // datagram; the gateway asks again.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, key.gateway)),
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
