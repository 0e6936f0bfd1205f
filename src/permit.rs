//! The gateway's side of admission: asks the pool of a service for a place at
//! an endpoint, keeps what it got in the pool's memory, and gives it back.
//!
//! The pool lies on the member that rendezvous hashing chooses. One that does
//! not answer within some tens of milliseconds is passed over for a while; when
//! the next is silent too, the gateway admits by itself, so that the loss of a
//! pool's node costs a moment of queueing and no request.

use std::cell::{Cell as Flag, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash as _, Hasher as _};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tokio::time::{MissedTickBehavior, interval};
use xxhash_rust::xxh3::Xxh3;

use crate::catalog::{Catalog, Endpoint};
use crate::clock::{Clock, Time};
use crate::event;
use crate::limit::Tolerance;
use crate::limit::meter::Meter;
use crate::member::View;
use crate::name::Name;
use crate::pool::message::{Body, Class, End, MAX_DATAGRAM, Renewal, Reply, Request, Requirements};
use crate::pool::shard;
use crate::snapshot::Cell;
use crate::wire;

mod alone;
pub mod count;
pub mod owner;
mod post;
mod tries;

use count::Counting;
use owner::Owners;
use tries::Tries;

/// How often questions without an answer are looked at.
const TICK: Duration = Duration::from_millis(20);
/// A pool that is there answers within two link delays; then the question is
/// sent again.
const ANSWER: Duration = Duration::from_millis(25);
/// After so many silent members this node decides by itself.
const MOST_PASSED: u32 = 2;
/// How often a waiting question is repeated, by class.
const AGAIN_ONLINE: Duration = Duration::from_millis(100);
const AGAIN_BATCH: Duration = Duration::from_secs(1);
/// How often held places are mentioned; the pool forgets after 1.7 s.
const MENTION: Duration = Duration::from_millis(400);
/// When to come back after no pool could be asked and no endpoint is known.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(300);

/// Why there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It would have to wait for too long; come back after this.
    Busy(Duration),
    /// No endpoint of the service is known.
    NoEndpoint(Duration),
}

/// What a request wants.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The service.
    pub service: Name,
    /// What the pool is asked.
    pub requirements: Requirements,
}

/// What a request does at a pool that has no place for it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stay {
    /// It waits there.
    Wait,
    /// It goes on to another one.
    Leave,
}

struct Waiting {
    want: Claim,
    pool: Name,
    stay: Stay,
    reply: oneshot::Sender<Result<Granted, Refusal>>,
    since: Time,
    tries: Tries,
}

struct Granted {
    endpoint: Arc<Endpoint>,
    owner: Option<SocketAddr>,
}

struct Held {
    pool: Name,
    renewal: Renewal,
    due: Time,
    stop: Rc<Notify>,
    owner: Option<SocketAddr>,
}

/// What a [`Broker`] works with.
pub struct Setup {
    /// Where it asks from.
    pub socket: UdpSocket,
    /// The port that pools listen on, the same on every node.
    pub pool_port: u16,
    /// Tells its questions from those of an earlier process at the same address.
    pub boot: u64,
    /// The process's clock.
    pub clock: Clock,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// How exactly limits are kept.
    pub tolerance: Tolerance,
}

/// The permits of one traffic thread.
pub struct Broker {
    socket: UdpSocket,
    clock: Clock,
    catalog: Arc<Cell<Catalog>>,
    next: Flag<u64>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    counting: RefCell<HashMap<u64, Counting>>,
    meter: RefCell<Meter>,
    view: Arc<Cell<View>>,
    held: RefCell<BTreeMap<u64, Held>>,
    owners: RefCell<Owners>,
}

/// The right to use one slot of an endpoint, until it is dropped.
pub struct Permit {
    desk: Rc<Broker>,
    seq: u64,
    pool: Name,
    end: End,
    stop: Rc<Notify>,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
}

impl Permit {
    /// Says how its use ended; [`End::Left`] if nothing is said.
    pub fn finish(mut self, end: End) {
        self.end = end;
    }

    /// The endpoint has begun to answer, which the pool hears with the next
    /// mention. Batch runs last for seconds; an endpoint on trial would stay on
    /// it as long if only their ends told.
    pub fn mark_answering(&self) {
        if let Some(held) = self.desk.held.borrow_mut().get_mut(&self.seq) {
            held.renewal.answering = true;
        }
    }

    /// Returns when the pool wants the slot back; only batch runs are stopped.
    pub async fn stopped(&self) {
        self.stop.notified().await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.desk.release(self.seq, &self.pool, self.end);
    }
}

/// Withdraws a question whose asker has gone.
struct Withdraw<'a> {
    desk: &'a Rc<Broker>,
    seq: u64,
    pool: Name,
    done: bool,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.desk.waiting.borrow_mut().remove(&self.seq);
            self.desk.release(self.seq, &self.pool, End::Left);
        }
    }
}

impl Broker {
    /// A desk that asks nothing yet.
    pub fn new(setup: Setup) -> Rc<Self> {
        let owners = Owners::new(Arc::clone(&setup.view), setup.pool_port);
        Rc::new(Self {
            socket: setup.socket,
            clock: setup.clock,
            catalog: setup.catalog,
            next: Flag::new(setup.boot << 24),
            waiting: RefCell::default(),
            counting: RefCell::default(),
            meter: RefCell::new(Meter::new(setup.tolerance)),
            view: setup.view,
            held: RefCell::default(),
            owners: RefCell::new(owners),
        })
    }

    /// Waits for a place at an endpoint. Dropping the future withdraws.
    ///
    /// # Errors
    /// [`Refusal`] when it would take too long, or nothing is known.
    pub async fn acquire(self: &Rc<Self>, want: Claim) -> Result<Permit, Refusal> {
        let shards = shard::shards(&self.catalog.read(), &want.service);
        // All gateways ask the same pool for a suspect, or each would run it once.
        let (first, point) = if want.requirements.suspect {
            let point = want.requirements.request.0;
            (shard::choose(&shards, point, None), point)
        } else {
            let first = shard::choose_near(&shards, &want.requirements.zone, rand::random());
            (first, rand::random())
        };
        let first = first.unwrap_or(want.service.clone());
        // One zone may be full while another has room.
        let Some(other) = shard::choose(&shards, point, Some(&first)) else {
            return self.acquire_from(first, Stay::Wait, want).await;
        };
        let stay = match want.requirements.class {
            Class::Online if !want.requirements.suspect => Stay::Leave,
            Class::Online | Class::Batch => Stay::Wait,
        };
        match self.acquire_from(first, stay, want.clone()).await {
            Ok(permit) => Ok(permit),
            Err(_) => self.acquire_from(other, Stay::Wait, want).await,
        }
    }

    async fn acquire_from(
        self: &Rc<Self>,
        pool: Name,
        stay: Stay,
        want: Claim,
    ) -> Result<Permit, Refusal> {
        let seq = self.next.get();
        self.next.set(seq + 1);
        let now = self.clock.now();
        let (reply, answer) = oneshot::channel();
        let class = want.requirements.class;
        let organisation = want.requirements.organisation;
        let (request, suspect) = (want.requirements.request, want.requirements.suspect);
        let due = now + want.requirements.due;
        let mut waiting = Waiting {
            want,
            pool: pool.clone(),
            stay,
            reply,
            since: now,
            tries: Tries::new(now),
        };
        self.send_ask(now, seq, &mut waiting);
        self.waiting.borrow_mut().insert(seq, waiting);
        let mut withdraw = Withdraw {
            desk: self,
            seq,
            pool: pool.clone(),
            done: false,
        };
        // The sender is dropped only with the desk.
        let granted = answer
            .await
            .unwrap_or(Err(Refusal::NoEndpoint(NO_ENDPOINT_RETRY)))
            .inspect_err(|_| withdraw.done = true)?;
        withdraw.done = true;
        let stop = Rc::new(Notify::new());
        let held = Held {
            pool: pool.clone(),
            renewal: Renewal {
                seq,
                endpoint: granted.endpoint.id.clone(),
                class,
                organisation,
                request,
                suspect,
                due: Duration::ZERO,
                answering: false,
            },
            due,
            stop: Rc::clone(&stop),
            owner: granted.owner,
        };
        self.held.borrow_mut().insert(seq, held);
        Ok(Permit {
            desk: Rc::clone(self),
            seq,
            pool,
            end: End::Left,
            stop,
            endpoint: granted.endpoint,
        })
    }

    /// Places held now.
    pub fn held(&self) -> usize {
        self.held.borrow().len()
    }

    /// Runs the desk for as long as the thread lives.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM];
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut mentioned = Time::ZERO;
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((len, from)) => self.receive(from, &buffer[..len]),
                    // A pool that is gone shows as a refused datagram.
                    Err(error) => log::debug!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
                },
                _ = tick.tick() => {
                    let now = self.clock.now();
                    self.repeat(now);
                    self.repeat_counts(now);
                    self.probe(now);
                    if now.since(mentioned) >= MENTION {
                        mentioned = now;
                        self.mention(now);
                    }
                }
            }
        }
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let now = self.clock.now();
        let Ok(reply) = wire::decode::<Reply>(bytes) else {
            log::warn!("{} peer={from}", event::DATAGRAM_REFUSED);
            return;
        };
        self.owners.borrow_mut().heard(from);
        match reply.body {
            Body::Stop => {
                if let Some(held) = self.held.borrow().get(&reply.seq) {
                    held.stop.notify_one();
                }
            }
            Body::Queued => self.queued(from, reply.seq),
            Body::Refuse { retry_after } => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&reply.seq) {
                    let _ = waiting.reply.send(Err(Refusal::Busy(retry_after)));
                }
            }
            // That it answers is all it says.
            Body::Alive => {}
            Body::Counted(verdict) => self.counted(now, from, reply.seq, verdict),
            Body::Grant { endpoint, address } => {
                self.granted(now, from, reply.seq, &endpoint, address);
            }
        }
    }

    /// A pool has no place now.
    fn queued(&self, from: SocketAddr, seq: u64) {
        let mut all = self.waiting.borrow_mut();
        let Some(waiting) = all.get_mut(&seq) else {
            return;
        };
        waiting.tries.unanswered = 0;
        if waiting.stay == Stay::Wait {
            return;
        }
        if let Some(waiting) = all.remove(&seq) {
            self.send_release(from, seq, &waiting.pool, End::Left);
            // A failure means that the asker has gone.
            let _ = waiting.reply.send(Err(Refusal::Busy(NO_ENDPOINT_RETRY)));
        }
    }

    fn granted(&self, now: Time, from: SocketAddr, seq: u64, id: &Name, address: SocketAddr) {
        let Some(mut waiting) = self.waiting.borrow_mut().remove(&seq) else {
            // A grant that was sent twice is held already; else nobody wants it.
            if !self.held.borrow().contains_key(&seq) {
                self.release_everywhere(seq, from);
            }
            return;
        };
        let Some(endpoint) = self.usable(now, id, &waiting.want.service, address) else {
            // This node knows better: the endpoint is leaving or gone.
            self.send_release(from, seq, &waiting.pool, End::Left);
            waiting.want.requirements.avoid.push(id.clone());
            waiting.tries.unanswered = 0;
            self.send_ask(now, seq, &mut waiting);
            self.waiting.borrow_mut().insert(seq, waiting);
            return;
        };
        let owner = Some(from);
        if waiting.reply.send(Ok(Granted { endpoint, owner })).is_err() {
            self.send_release(from, seq, &waiting.pool, End::Left);
        }
    }

    /// Sends unanswered questions again, to the next member after a while.
    fn repeat(&self, now: Time) {
        let mut alone = Vec::new();
        for (seq, waiting) in self.waiting.borrow_mut().iter_mut() {
            let again = match (waiting.tries.unanswered, waiting.want.requirements.class) {
                (0, Class::Online) => AGAIN_ONLINE,
                (0, Class::Batch) => AGAIN_BATCH,
                _ => ANSWER,
            };
            let Some(due) = waiting.tries.due(now, again, MOST_PASSED) else {
                continue;
            };
            if let Some(owner) = due.silent {
                self.pass_over(now, owner);
            }
            if due.alone {
                alone.push(*seq);
            } else {
                self.send_ask(now, *seq, waiting);
            }
        }
        for seq in alone {
            self.admit_alone(now, seq);
        }
    }

    /// Asks silent members whether they are there again.
    fn probe(&self, now: Time) {
        let due = self.owners.borrow_mut().probes(now);
        for owner in due {
            self.send(owner, &Request::Probe);
        }
    }

    /// A member that keeps a pool or a shard of limits does not answer.
    fn pass_over(&self, now: Time, owner: SocketAddr) {
        log::info!("{} silent={owner}", event::POOL_CHANGED);
        self.owners.borrow_mut().silent(now, owner);
    }
}

fn hash(name: &Name) -> u64 {
    let mut hasher = Xxh3::new();
    name.hash(&mut hasher);
    hasher.finish()
}
