//! Executes chunks on one node: claims them, sends their items, flushes and commits results.
//!
//! Drives [`Chunk`](super::chunk::Chunk), [`Scheduler`], [`Index`] and [`Watch`]. Each call to the
//! platform runs in a task of its own, so that a slow or unreachable platform never delays sending
//! an item. Dropping the runner stops all tasks, as the loss of the VM would.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::index::Index;
use super::key::Id;
use super::order::Scheduler;
use super::watch::Watch;
use super::{Execute, Setting};
use crate::clock::Time;
use crate::event;
use crate::name::Name;
use crate::table::{Fault, Store, Table};

mod claim;
mod commit;
mod drive;
mod flush;
mod lease;
mod work;

use claim::Claimed;
use commit::Ended;
use flush::Flush;
use work::Work;

/// Longest interval between checks for due work.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Jitter over which nodes spread their reads of the index after a job was accepted.
const ACCEPTED_JITTER: Duration = Duration::from_millis(250);
/// Start of the runner's clock, late enough that all intervals count as elapsed at the start.
const CLOCK_ORIGIN: Time = Time::from_millis(3_600_000);

/// Notifications from the rest of the node to the runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A job was cancelled.
    Cancelled(Id),
    /// New weights of the organisations, from configuration.
    Weights(BTreeMap<Name, u32>),
    /// A job of this service was accepted at some node.
    Accepted(Name),
}

/// Sends notifications to a runner on another thread.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Sends a notification; does nothing if the runner has ended.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }
}

/// Counters of one runner, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Items sent to the dispatchers.
    pub sent: u64,
    /// Chunks claimed.
    pub claimed: u64,
    /// Chunks taken over from lost holders.
    pub taken_over: u64,
    /// Chunks committed.
    pub committed: u64,
    /// Chunks lost to another holder.
    pub lost: u64,
    /// Chunks released.
    pub released: u64,
    /// Claims that conflicted with another node's.
    pub collided: u64,
    /// Segments flushed.
    pub flushed: u64,
}

/// Runs this node's share of all batch jobs.
pub struct Runner<T, S, E> {
    platform: Rc<Platform<T, S>>,
    execute: Rc<E>,
    setting: Setting,
    inputs: mpsc::UnboundedReceiver<Input>,
    tasks: JoinSet<Event>,
    started: Instant,
    lease: Lease,
    flush: Flush,
    works: BTreeMap<u64, Work>,
    next_work: u64,
    services: BTreeMap<Name, Backlog>,
    watch: Watch,
    timers: Timers,
    weights: BTreeMap<Name, u32>,
    stats: Rc<Cell<Stats>>,
    stopping: bool,
}

/// The platform's two services that the runner's tasks call.
struct Platform<T, S> {
    table: T,
    store: S,
}

/// The lease of this holder.
struct Lease {
    session: Name,
    acquired: bool,
    renewing: bool,
    renewed: Time,
}

/// The runner's state of one service.
struct Backlog {
    index: Index,
    scheduler: Scheduler,
    scanned: Time,
    scanning: bool,
    claiming: BTreeSet<String>,
    /// Items whose future has not been polled yet, so that the dispatcher does not count them.
    unpolled: Rc<Cell<usize>>,
}

/// Last times of periodic work.
struct Timers {
    listed: Time,
    listing: bool,
    checked: Time,
    checking: bool,
}

/// Result of a task.
enum Event {
    Item(work::Answered),
    Scanned(claim::Scanned),
    Claimed(Box<Claimed>),
    Listed(Result<Vec<(Name, u64)>, Fault>),
    Renewed(bool),
    Flushed(flush::Flushed),
    Marked(work::Marked),
    Ended(Ended),
    Checked(Vec<Id>),
    LeaseRemoved,
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Creates a runner for the holder `session`, which must be unique for each start of a process.
    pub fn new(session: Name, table: T, store: S, execute: E, setting: Setting) -> (Self, Handle) {
        let (sender, inputs) = mpsc::unbounded_channel();
        let runner = Self {
            platform: Rc::new(Platform { table, store }),
            execute: Rc::new(execute),
            setting,
            inputs,
            tasks: JoinSet::new(),
            started: Instant::now(),
            lease: Lease {
                session,
                acquired: false,
                renewing: false,
                renewed: Time::ZERO,
            },
            flush: Flush::default(),
            works: BTreeMap::new(),
            next_work: 0,
            services: BTreeMap::new(),
            watch: Watch::new(setting.lease_duration),
            timers: Timers {
                listed: Time::ZERO,
                listing: false,
                checked: CLOCK_ORIGIN,
                checking: false,
            },
            weights: BTreeMap::new(),
            stats: Rc::default(),
            stopping: false,
        };
        (runner, Handle { inputs: sender })
    }

    /// Returns the runner's counters, which must be read on its own thread.
    pub fn stats(&self) -> Rc<Cell<Stats>> {
        self.stats.clone()
    }

    /// Runs until `stop` is ready, then releases all chunks and returns.
    ///
    /// Must run inside a `LocalSet` or on an `actix-rt` arbiter.
    pub async fn run<F>(mut self, stop: F)
    where
        F: Future<Output = ()>,
    {
        let mut stop = pin!(stop);
        loop {
            self.run_due();
            tokio::select! {
                biased;
                () = &mut stop => break,
                Some(input) = self.inputs.recv() => self.input(input),
                Some(done) = self.tasks.join_next(), if !self.tasks.is_empty() => {
                    if let Ok(event) = done {
                        self.event(event);
                    }
                }
                () = tokio::time::sleep(MAX_TICK_INTERVAL) => {}
            }
        }
        self.drain().await;
    }

    fn now(&self) -> Time {
        CLOCK_ORIGIN + self.started.elapsed()
    }

    /// Returns a fraction of `period` that differs between nodes. Nodes that read the index in the
    /// same millisecond would all claim the same rows.
    fn jitter(&self, period: Duration) -> Duration {
        let hash = xxh3_64(self.lease.session.as_bytes());
        let micros = u64::try_from(period.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(hash % micros.max(1))
    }

    fn count<F>(&self, change: F)
    where
        F: FnOnce(&mut Stats),
    {
        let mut stats = self.stats.get();
        change(&mut stats);
        self.stats.set(stats);
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Cancelled(id) => self.drop_job(&id),
            Input::Weights(weights) => {
                for backlog in self.services.values_mut() {
                    backlog.scheduler.set_weights(weights.clone());
                }
                self.weights = weights;
            }
            Input::Accepted(service) => {
                let now = self.now();
                let poll = self.setting.poll_interval;
                let wait = self.jitter(ACCEPTED_JITTER);
                if let Some(backlog) = self.services.get_mut(&service) {
                    backlog.scanned = backlog.scanned.min((now + wait) - poll);
                }
            }
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Item(answered) => self.answered(answered),
            Event::Scanned(scanned) => self.scanned(scanned),
            Event::Claimed(claimed) => self.claimed(*claimed),
            Event::Listed(list) => self.listed(list),
            Event::Renewed(done) => self.renewed(done),
            Event::Flushed(flushed) => self.flushed(&flushed),
            Event::Marked(marked) => self.marked(&marked),
            Event::Ended(ended) => self.ended(&ended),
            Event::Checked(over) => self.checked(&over),
            Event::LeaseRemoved => {}
        }
    }

    /// Stops sending items of a job that is no longer active, and cancels its items at endpoints.
    fn drop_job(&mut self, id: &Id) {
        let of_job = |work: &Work| work.id == *id;
        let dropped: Vec<u64> = self
            .works
            .iter()
            .filter(|(_, work)| of_job(work))
            .map(|(number, _)| *number)
            .collect();
        for number in dropped {
            log::info!("{} job={id} held=1", event::CHUNK_CANCELLED);
            self.works.remove(&number);
        }
    }
}
