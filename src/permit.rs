//! The gateway's side of admission control: acquires permits for slots from the
//! pool of a service, renews them, and releases them.
//!
//! Rendezvous hashing selects the member that owns a pool. An owner that does not
//! answer within a few tens of milliseconds is skipped for a while. If the next
//! one does not answer either, the gateway admits requests by itself, so that the
//! loss of a pool's node costs a short delay but no request.

use std::cell::{Cell as StdCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use crate::catalog::{Catalog, Endpoint};
use crate::clock::{Clock, Time, sleep};
use crate::event;
use crate::limit::Tolerance;
use crate::limit::meter::Meter;
use crate::limit::witness::Witnesses;
use crate::member::View;
use crate::name::Name;
use crate::pool::message::{Body, Class, End, MAX_DATAGRAM, Renewal, Reply, Request, Requirements};
use crate::pool::shard;
use crate::snapshot::Cell;
use crate::wire;

mod attempts;
pub mod count;
mod fallback;
mod origin;
pub mod owner;
mod send;

use attempts::Attempts;
use count::Counting;
use origin::Asking;
use owner::Owners;

/// Interval between checks for unanswered requests, while there are any.
const TICK: Duration = Duration::from_millis(20);
/// Time after which an unanswered request is repeated. A pool that is alive answers
/// within two link delays.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// Number of silent owners after which this node decides locally.
const MAX_SILENT_OWNERS: u32 = 2;
/// Intervals at which queued requests are repeated, by class.
const ONLINE_REPEAT_INTERVAL: Duration = Duration::from_millis(100);
const BATCH_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between renewals of held permits, which expire after 1.7 s.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// Retry delay when no pool is reachable and no endpoint is known.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Why there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The wait would be too long; retry after this delay.
    Busy(Duration),
    /// No endpoint of the service is known; retry after this delay.
    NoEndpoint(Duration),
}

/// A request's claim to a slot of a service.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The service.
    pub service: Name,
    /// Requirements of the slot.
    pub requirements: Requirements,
}

/// What a request does at a pool that has no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IfFull {
    /// It waits for a slot.
    Wait,
    /// It tries another pool.
    TryNext,
}

struct Waiting {
    claim: Claim,
    pool: Name,
    if_full: IfFull,
    reply: oneshot::Sender<Result<Granted, Refusal>>,
    started: Time,
    attempts: Attempts,
}

/// An endpoint as a pool names it in a grant.
struct Named {
    id: Name,
    address: SocketAddr,
    software: Option<Name>,
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

/// Dependencies of a [`Broker`].
pub struct Setup {
    /// Socket that requests are sent from.
    pub socket: UdpSocket,
    /// The port that pools listen on, the same on every node.
    pub pool_port: u16,
    /// Distinguishes this process from earlier ones at the same address. Sequence
    /// numbers start from it.
    pub boot: u64,
    /// The process's clock.
    pub clock: Clock,
    /// Configuration and endpoints.
    pub catalog: Arc<Cell<Catalog>>,
    /// The members.
    pub view: Arc<Cell<View>>,
    /// How precisely limits are enforced.
    pub tolerance: Tolerance,
}

/// Acquires and holds the permits of one traffic thread.
pub struct Broker {
    socket: UdpSocket,
    clock: Clock,
    catalog: Arc<Cell<Catalog>>,
    next_seq: StdCell<u64>,
    waiting: RefCell<HashMap<u64, Waiting>>,
    counting: RefCell<HashMap<u64, Counting>>,
    asking: RefCell<HashMap<u64, Asking>>,
    meter: RefCell<Meter>,
    view: Arc<Cell<View>>,
    held: RefCell<BTreeMap<u64, Held>>,
    owners: RefCell<Owners>,
    /// IP address of this node, if the socket is bound to it.
    own: Option<IpAddr>,
    /// Members that this node asks while it counts its own requests.
    witnesses: RefCell<Witnesses>,
    /// Notified when a request or a permit is added.
    activity: Notify,
}

/// The right to use one slot of an endpoint, until it is dropped.
pub struct Permit {
    broker: Rc<Broker>,
    seq: u64,
    pool: Name,
    end: End,
    stop: Rc<Notify>,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
}

impl Permit {
    /// Releases the permit with the given end. A permit that is dropped without it ends
    /// with [`End::Left`].
    pub fn finish(mut self, end: End) {
        self.end = end;
    }

    /// Records that the endpoint has started to answer, which the next renewal reports to
    /// the pool. Batch runs last for seconds, and an endpoint on trial would otherwise
    /// stay on trial until one ends.
    pub fn mark_answering(&self) {
        if let Some(held) = self.broker.held.borrow_mut().get_mut(&self.seq) {
            held.renewal.answering = true;
        }
    }

    /// Completes when the pool preempts the run, which only happens to batch runs.
    pub async fn stopped(&self) {
        self.stop.notified().await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.broker.release(self.seq, &self.pool, self.end);
    }
}

/// Withdraws a request when its future is dropped.
struct Withdraw<'a> {
    broker: &'a Rc<Broker>,
    seq: u64,
    pool: Name,
    done: bool,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.broker.waiting.borrow_mut().remove(&self.seq);
            self.broker.release(self.seq, &self.pool, End::Left);
        }
    }
}

impl Broker {
    /// Creates a broker without permits.
    pub fn new(setup: Setup) -> Rc<Self> {
        let owners = Owners::new(Arc::clone(&setup.view), setup.pool_port);
        let own = setup.socket.local_addr().ok().map(|own| own.ip());
        Rc::new(Self {
            socket: setup.socket,
            own,
            witnesses: RefCell::default(),
            clock: setup.clock,
            catalog: setup.catalog,
            next_seq: StdCell::new(setup.boot << 24),
            waiting: RefCell::default(),
            counting: RefCell::default(),
            asking: RefCell::default(),
            meter: RefCell::new(Meter::new(setup.tolerance)),
            view: setup.view,
            held: RefCell::default(),
            owners: RefCell::new(owners),
            activity: Notify::new(),
        })
    }

    /// Waits for a slot at an endpoint. Dropping the future withdraws the request.
    ///
    /// # Errors
    /// [`Refusal`] when the wait would be too long, or no endpoint is known.
    pub async fn acquire(self: &Rc<Self>, claim: Claim) -> Result<Permit, Refusal> {
        let shards = {
            let catalog = self.catalog.read();
            match &claim.requirements.software {
                Some(software) => shard::with_software(&catalog, &claim.service, software),
                None => shard::shards(&catalog, &claim.service),
            }
        };
        if shards.is_empty() {
            return Err(Refusal::NoEndpoint(NO_ENDPOINT_RETRY_DELAY));
        }
        // All gateways use the same pool for a suspect; otherwise each pool would run it.
        let (first, point) = if claim.requirements.suspect {
            let point = claim.requirements.request.0;
            (shard::choose(&shards, point, None), point)
        } else {
            let first = shard::choose_near(&shards, &claim.requirements.zone, rand::random());
            (first, rand::random())
        };
        let first = first.unwrap_or(claim.service.clone());
        // One zone may be full while another has free slots.
        let Some(other) = shard::choose(&shards, point, Some(&first)) else {
            return self.acquire_from(first, IfFull::Wait, claim).await;
        };
        let if_full = match claim.requirements.class {
            Class::Online if !claim.requirements.suspect => IfFull::TryNext,
            Class::Online | Class::Batch => IfFull::Wait,
        };
        match self.acquire_from(first, if_full, claim.clone()).await {
            Ok(permit) => Ok(permit),
            Err(_) => self.acquire_from(other, IfFull::Wait, claim).await,
        }
    }

    async fn acquire_from(
        self: &Rc<Self>,
        pool: Name,
        if_full: IfFull,
        claim: Claim,
    ) -> Result<Permit, Refusal> {
        let seq = self.next_seq.get();
        self.next_seq.set(seq + 1);
        let now = self.clock.now();
        let (reply, answer) = oneshot::channel();
        let class = claim.requirements.class;
        let organisation = claim.requirements.organisation;
        let (request, suspect) = (claim.requirements.request, claim.requirements.suspect);
        let due = now + claim.requirements.due;
        let mut waiting = Waiting {
            claim,
            pool: pool.clone(),
            if_full,
            reply,
            started: now,
            attempts: Attempts::new(now),
        };
        self.send_acquire(now, seq, &mut waiting);
        self.waiting.borrow_mut().insert(seq, waiting);
        self.activity.notify_one();
        let mut withdraw = Withdraw {
            broker: self,
            seq,
            pool: pool.clone(),
            done: false,
        };
        // The sender is dropped only with the broker.
        let granted = answer
            .await
            .unwrap_or(Err(Refusal::NoEndpoint(NO_ENDPOINT_RETRY_DELAY)))
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
        self.activity.notify_one();
        Ok(Permit {
            broker: Rc::clone(self),
            seq,
            pool,
            end: End::Left,
            stop,
            endpoint: granted.endpoint,
        })
    }

    /// Runs the broker until the thread ends.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0; MAX_DATAGRAM];
        let mut last_tick = Time::ZERO;
        let mut last_renewal = Time::ZERO;
        loop {
            let due = self.next_tick(last_tick, last_renewal);
            let wait = due.map(|due| due.since(self.clock.now()));
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((len, from)) => self.receive(from, &buffer[..len]),
                    // The port of a pool that is gone refuses datagrams.
                    Err(error) => log::debug!("{} why=\"{error}\"", event::DATAGRAM_REFUSED),
                },
                // Something to repeat or renew was added.
                () = self.activity.notified() => {}
                () = sleep(wait) => {
                    let now = self.clock.now();
                    last_tick = now;
                    self.repeat_requests(now);
                    self.repeat_counts(now);
                    self.repeat_questions(now);
                    self.repeat_witnesses(now);
                    self.probe(now);
                    if now.since(last_renewal) >= RENEW_INTERVAL {
                        last_renewal = now;
                        self.send_renewals(now);
                    }
                }
            }
        }
    }

    /// Returns when something may have to be repeated, renewed or probed; none while there is
    /// nothing. Most nodes of a large fleet have no requests at most times, and a tick that finds
    /// nothing to do costs them more than all else that they do.
    fn next_tick(&self, last_tick: Time, last_renewal: Time) -> Option<Time> {
        let is_waiting = !self.waiting.borrow().is_empty()
            || !self.counting.borrow().is_empty()
            || !self.asking.borrow().is_empty();
        if is_waiting {
            return Some(last_tick + TICK);
        }
        let renewal = (!self.held.borrow().is_empty()).then(|| last_renewal + RENEW_INTERVAL);
        let probe = self.owners.borrow().next_probe();
        let witness = self.witnesses.borrow().next_overdue();
        renewal.into_iter().chain(probe).chain(witness).min()
    }

    fn receive(&self, from: SocketAddr, bytes: &[u8]) {
        let now = self.clock.now();
        let Ok(reply) = wire::decode::<Reply>(bytes) else {
            log::warn!("{} peer={from}", event::DATAGRAM_REFUSED);
            return;
        };
        self.witnesses.borrow_mut().record_answer(from);
        if self.owners.borrow_mut().mark_alive(from) {
            self.send_levels(now, from);
        }
        match reply.body {
            Body::Stop => {
                if let Some(held) = self.held.borrow().get(&reply.seq) {
                    held.stop.notify_one();
                }
            }
            Body::Queued => self.handle_queued(from, reply.seq),
            Body::Refuse { retry_after } => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&reply.seq) {
                    let _ = waiting.reply.send(Err(Refusal::Busy(retry_after)));
                }
            }
            // Receiving it has already marked the owner as alive.
            Body::Alive => {}
            Body::Origin(origin) => self.handle_origin(from, reply.seq, origin),
            Body::Counted(answer) => self.handle_count(now, from, reply.seq, answer),
            Body::Grant {
                endpoint,
                address,
                software,
            } => {
                let named = Named {
                    id: endpoint,
                    address,
                    software,
                };
                self.handle_grant(now, from, reply.seq, named);
            }
        }
    }

    /// Handles the reply that a pool has no free slot.
    fn handle_queued(&self, from: SocketAddr, seq: u64) {
        let mut all = self.waiting.borrow_mut();
        let Some(waiting) = all.get_mut(&seq) else {
            return;
        };
        waiting.attempts.unanswered = 0;
        if waiting.if_full == IfFull::Wait {
            return;
        }
        if let Some(waiting) = all.remove(&seq) {
            self.send_release(from, seq, &waiting.pool, End::Left);
            // Fails only if the requester is gone.
            let _ = waiting
                .reply
                .send(Err(Refusal::Busy(NO_ENDPOINT_RETRY_DELAY)));
        }
    }

    fn handle_grant(&self, now: Time, from: SocketAddr, seq: u64, named: Named) {
        let Some(mut waiting) = self.waiting.borrow_mut().remove(&seq) else {
            // A duplicated grant is already held; any other one is no longer needed.
            if !self.held.borrow().contains_key(&seq) {
                self.release_in_all_pools(seq, from);
            }
            return;
        };
        let Some(endpoint) = self.usable(now, &named, &waiting.claim) else {
            // By this node's catalog, the endpoint is leaving or gone, or has other software.
            self.send_release(from, seq, &waiting.pool, End::Left);
            waiting.claim.requirements.avoid.push(named.id);
            waiting.attempts.unanswered = 0;
            self.send_acquire(now, seq, &mut waiting);
            self.waiting.borrow_mut().insert(seq, waiting);
            return;
        };
        let owner = Some(from);
        if waiting.reply.send(Ok(Granted { endpoint, owner })).is_err() {
            self.send_release(from, seq, &waiting.pool, End::Left);
        }
    }

    /// Repeats unanswered requests, and switches to the next owner after several attempts.
    fn repeat_requests(&self, now: Time) {
        let mut exhausted = Vec::new();
        for (seq, waiting) in self.waiting.borrow_mut().iter_mut() {
            let interval = match (
                waiting.attempts.unanswered,
                waiting.claim.requirements.class,
            ) {
                (0, Class::Online) => ONLINE_REPEAT_INTERVAL,
                (0, Class::Batch) => BATCH_REPEAT_INTERVAL,
                _ => ANSWER_TIMEOUT,
            };
            let Some(due) = waiting.attempts.due(now, interval, MAX_SILENT_OWNERS) else {
                continue;
            };
            if let Some(owner) = due.silent {
                self.mark_silent(now, owner);
            }
            if due.give_up {
                exhausted.push(*seq);
            } else {
                self.send_acquire(now, *seq, waiting);
            }
        }
        for seq in exhausted {
            self.admit_locally(now, seq);
        }
    }

    /// Probes silent owners.
    fn probe(&self, now: Time) {
        let due = self.owners.borrow_mut().probes(now);
        for owner in due {
            self.send(owner, &Request::Probe);
        }
    }

    /// Records that the owner of a pool or of a shard of limits does not answer.
    fn mark_silent(&self, now: Time, owner: SocketAddr) {
        log::info!("{} silent={owner}", event::POOL_CHANGED);
        self.owners.borrow_mut().mark_silent(now, owner);
    }
}
