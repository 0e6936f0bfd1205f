//! Executes chunks on one node: claims, sends items, flushes, commits.
//!
//! The shell around [`Chunk`], [`Ledger`], [`Index`] and [`Watch`]. Every call
//! to the platform is a task of its own, so that a platform which is down or
//! slow never keeps an item from being sent. Dropping the runner stops all of
//! them, as the loss of the VM would.

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
use super::order::Ledger;
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

/// Longest time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Time over which the nodes spread that are told of a new job.
const ACCEPTED_SPREAD: Duration = Duration::from_millis(250);
/// Virtual origin, so that periods that passed before the start count as over.
const ORIGIN: Time = Time::from_millis(3_600_000);

/// What the rest of the node tells the runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A job was cancelled.
    Cancelled(Id),
    /// Weights of the organisations, from configuration.
    Weights(BTreeMap<Name, u32>),
    /// A job of this service was accepted somewhere.
    Accepted(Name),
}

/// Tells a runner on another thread.
#[derive(Clone, Debug)]
pub struct Handle {
    inputs: mpsc::UnboundedSender<Input>,
}

impl Handle {
    /// Passes on what happened; does nothing when the runner has ended.
    pub fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }
}

/// What one runner has done, for metrics and tests.
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
    /// Chunks given back.
    pub released: u64,
    /// Claims that collided with another node's.
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
    services: BTreeMap<Name, Search>,
    watch: Watch,
    due: Due,
    weights: BTreeMap<Name, u32>,
    stats: Rc<Cell<Stats>>,
    stopping: bool,
}

/// The two services that the runner's tasks use.
struct Platform<T, S> {
    table: T,
    store: S,
}

/// The lease of this holder.
struct Lease {
    session: Name,
    taken: bool,
    renewing: bool,
    renewed: Time,
}

/// What the runner knows of one service.
struct Search {
    index: Index,
    ledger: Ledger,
    scanned: Time,
    scanning: bool,
    claiming: BTreeSet<String>,
    /// Items whose future has not been polled yet, so that the dispatcher has
    /// not counted them.
    unseen: Rc<Cell<usize>>,
}

/// When periodic work was done last.
struct Due {
    listed: Time,
    listing: bool,
    checked: Time,
    checking: bool,
}

/// What a task came to.
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
    Swept,
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// A runner whose holder is called `session`, which must be unique for each
    /// start of a process.
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
                taken: false,
                renewing: false,
                renewed: Time::ZERO,
            },
            flush: Flush::default(),
            works: BTreeMap::new(),
            next_work: 0,
            services: BTreeMap::new(),
            watch: Watch::new(setting.lease_duration),
            due: Due {
                listed: Time::ZERO,
                listing: false,
                checked: ORIGIN,
                checking: false,
            },
            weights: BTreeMap::new(),
            stats: Rc::default(),
            stopping: false,
        };
        (runner, Handle { inputs: sender })
    }

    /// Where this runner counts what it does; read it on its own thread.
    pub fn stats(&self) -> Rc<Cell<Stats>> {
        self.stats.clone()
    }

    /// Runs until `stop` is ready, then gives back what it holds and returns.
    ///
    /// Must run inside a `LocalSet` or on an `actix-rt` arbiter.
    pub async fn run<F>(mut self, stop: F)
    where
        F: Future<Output = ()>,
    {
        let mut stop = pin!(stop);
        loop {
            self.drive();
            tokio::select! {
                biased;
                () = &mut stop => break,
                Some(input) = self.inputs.recv() => self.input(input),
                Some(done) = self.tasks.join_next(), if !self.tasks.is_empty() => {
                    if let Ok(event) = done {
                        self.event(event);
                    }
                }
                () = tokio::time::sleep(TICK) => {}
            }
        }
        self.drain().await;
    }

    fn now(&self) -> Time {
        ORIGIN + self.started.elapsed()
    }

    /// A part of `period` that differs between nodes. Nodes that looked at the
    /// index in the same millisecond would all claim the same rows.
    fn phase(&self, period: Duration) -> Duration {
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
                for search in self.services.values_mut() {
                    search.ledger.weigh(weights.clone());
                }
                self.weights = weights;
            }
            Input::Accepted(service) => {
                let now = self.now();
                let poll = self.setting.poll_interval;
                let wait = self.phase(ACCEPTED_SPREAD);
                if let Some(search) = self.services.get_mut(&service) {
                    search.scanned = search.scanned.min((now + wait) - poll);
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
            Event::Swept => {}
        }
    }

    /// Stops sending items of a job that is no longer active, and cancels those
    /// at endpoints.
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
