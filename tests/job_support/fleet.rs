//! Several runners in virtual time against one in-memory platform.
//!
//! Each node is a `LocalSet` of its own: dropping it simulates the loss of its VM, and not polling
//! it a pause in which neither its clock nor its tasks advance.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::job::runner::{Handle, Runner, Stats};
use auburnspoke::job::{Execute, Id, Item, Jobs, Reply, Setting, State, Submission};
use auburnspoke::name::Name;
use auburnspoke::outcome::{Outcome, Reason, Refusal};
use auburnspoke::request::{Answer, Body, Request};
use auburnspoke::table::fault::Command;
use auburnspoke::table::memory::Platform;
use auburnspoke::table::{Fault, Page, Row, Store, Table, Transaction};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

pub const SERVICE: &str = "rescale";
pub const NOW_MS: u64 = 1_800_000_000_000;

/// The in-memory platform behind a network delay of a few milliseconds.
#[derive(Clone)]
pub struct Remote {
    platform: Platform,
    random: Rc<RefCell<ChaCha8Rng>>,
    origin: Instant,
}

impl Remote {
    pub fn new(platform: Platform, seed: u64) -> Self {
        Self {
            platform,
            random: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
            origin: Instant::now(),
        }
    }

    async fn network_delay(&self) {
        let micros = self.random.borrow_mut().random_range(300..3_000);
        sleep(Duration::from_micros(micros)).await;
        self.platform.set_time(Time::ZERO + self.origin.elapsed());
    }
}

impl Table for Remote {
    async fn transact(&self, transaction: Transaction) -> Result<u64, Fault> {
        self.network_delay().await;
        let answer = self.platform.transact(transaction).await;
        self.network_delay().await;
        answer
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        self.network_delay().await;
        let answer = Table::get(&self.platform, key).await;
        self.network_delay().await;
        answer
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Page, Fault> {
        self.network_delay().await;
        let answer = self.platform.scan(prefix, after, limit).await;
        self.network_delay().await;
        answer
    }
}

impl Store for Remote {
    async fn put(&self, name: &str, value: Bytes) -> Result<(), Fault> {
        self.network_delay().await;
        let answer = self.platform.put(name, value).await;
        self.network_delay().await;
        answer
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, Fault> {
        self.network_delay().await;
        let answer = Store::get(&self.platform, name).await;
        self.network_delay().await;
        answer
    }

    async fn delete(&self, name: &str) -> Result<(), Fault> {
        self.network_delay().await;
        let answer = self.platform.delete(name).await;
        self.network_delay().await;
        answer
    }
}

/// One run of an item at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub key: Name,
    pub node: usize,
    pub started: Duration,
    pub others: usize,
}

/// Runs and cancellations at the endpoints.
#[derive(Default)]
pub struct World {
    pub runs: Vec<Run>,
    pub cancelled: usize,
    /// Nodes that an item has crashed.
    pub doomed: Vec<usize>,
}

impl World {
    pub fn runs_of(&self, key: &str) -> usize {
        self.runs.iter().filter(|run| &*run.key == key).count()
    }
}

/// The simulated endpoint of one node.
pub struct Endpoint {
    node: usize,
    slots: usize,
    item_duration: Duration,
    service: Name,
    world: Rc<RefCell<World>>,
    running: Rc<Cell<usize>>,
    kills: watch::Sender<()>,
    origin: Instant,
}

struct Slot<'a> {
    endpoint: &'a Endpoint,
    whole: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let running = &self.endpoint.running;
        running.set(running.get() - 1);
        if !self.whole {
            self.endpoint.world.borrow_mut().cancelled += 1;
        }
    }
}

impl Endpoint {
    /// Waits for the duration of an item; returns false if the endpoint is killed meanwhile.
    async fn work(&self, took: Duration) -> bool {
        let mut kills = self.kills.subscribe();
        timeout(took, kills.changed()).await.is_err()
    }
}

impl Execute for Endpoint {
    fn capacity(&self, _service: &Name) -> usize {
        self.slots - self.running.get()
    }

    fn services(&self) -> Vec<Name> {
        vec![self.service.clone()]
    }

    async fn execute(&self, request: Request) -> Outcome<Answer> {
        let Body::Prompt { prompt, .. } = request.body else {
            return Outcome::NotRun(Refusal::new(Reason::Invalid));
        };
        if &*prompt == "malformed" {
            return Outcome::NotRun(Refusal::new(Reason::Invalid).with_message("no such language"));
        }
        self.running.set(self.running.get() + 1);
        let mut slot = Slot {
            endpoint: self,
            whole: false,
        };
        let run = {
            let mut world = self.world.borrow_mut();
            world.runs.push(Run {
                key: request.key.clone(),
                node: self.node,
                started: self.origin.elapsed(),
                others: self.running.get() - 1,
            });
            world.runs.len()
        };
        let spread = u64::try_from(run).unwrap_or(0) % 7;
        let whole = self
            .work(self.item_duration + Duration::from_millis(10 * spread))
            .await;
        slot.whole = true;
        if &*prompt == "kill the endpoint" {
            self.kills.send_replace(());
        }
        if &*prompt == "kill the vm" {
            self.world.borrow_mut().doomed.push(self.node);
            std::future::pending::<()>().await;
        }
        if !whole || &*prompt == "kill the endpoint" {
            return Outcome::MayHaveRun(Refusal::new(Reason::EndpointFailed));
        }
        Outcome::Done(Answer {
            text: format!("{prompt} by run {run}"),
            tokens: 1,
            ..Answer::default()
        })
    }
}

/// One node.
pub struct Node {
    local: Option<LocalSet>,
    stop: Option<oneshot::Sender<()>>,
    pub frozen: bool,
    pub handle: Handle,
    pub stats: Rc<Cell<Stats>>,
    pub running: Rc<Cell<usize>>,
    done: Rc<Cell<bool>>,
}

/// All nodes, the platform and the endpoints.
pub struct Fleet {
    pub platform: Platform,
    pub remote: Remote,
    pub jobs: Jobs<Remote, Remote>,
    pub world: Rc<RefCell<World>>,
    pub nodes: BTreeMap<usize, Node>,
    pub setting: Setting,
    pub slots: usize,
    pub item_duration: Duration,
    next: usize,
    /// Every result as it was when first readable.
    pub readable: BTreeMap<(Id, u32), Reply>,
    origin: Instant,
}

impl Fleet {
    pub fn new(seed: u64, nodes: usize) -> Self {
        Self::with(seed, nodes, Duration::from_millis(200))
    }

    /// Creates a fleet whose endpoints take `item_duration` for an item.
    pub fn with(seed: u64, nodes: usize, item_duration: Duration) -> Self {
        let platform = Platform::in_virtual_time(Time::ZERO, seed);
        let remote = Remote::new(platform.clone(), seed);
        let mut fleet = Self {
            platform,
            jobs: Jobs::new(remote.clone(), remote.clone()),
            remote,
            world: Rc::default(),
            nodes: BTreeMap::new(),
            setting: Setting::default(),
            slots: 8,
            item_duration,
            next: 0,
            readable: BTreeMap::new(),
            origin: Instant::now(),
        };
        for _ in 0..nodes {
            fleet.add();
        }
        fleet
    }

    /// Starts a node and returns its number.
    pub fn add(&mut self) -> usize {
        self.add_for(SERVICE)
    }

    pub fn add_for(&mut self, service: &str) -> usize {
        let number = self.next;
        self.next += 1;
        let running = Rc::new(Cell::new(0));
        let endpoint = Endpoint {
            node: number,
            slots: self.slots,
            item_duration: self.item_duration,
            service: service.into(),
            world: self.world.clone(),
            running: running.clone(),
            kills: watch::Sender::default(),
            origin: self.origin,
        };
        let session = format!("node-{number}").into();
        let remote = self.remote.clone();
        let (runner, handle) = Runner::new(session, remote.clone(), remote, endpoint, self.setting);
        let stats = runner.stats();
        let (stop, stopped) = oneshot::channel();
        let local = LocalSet::new();
        let done = Rc::new(Cell::new(false));
        let ended = done.clone();
        local.spawn_local(async move {
            runner
                .run(async move {
                    let _ = stopped.await;
                })
                .await;
            ended.set(true);
        });
        let node = Node {
            local: Some(local),
            stop: Some(stop),
            frozen: false,
            handle,
            stats,
            running,
            done,
        };
        self.nodes.insert(number, node);
        number
    }

    /// Simulates the loss of a VM.
    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&number);
    }

    /// Asks a node to stop gracefully.
    pub fn stop(&mut self, number: usize) {
        if let Some(stop) = self
            .nodes
            .get_mut(&number)
            .and_then(|node| node.stop.take())
        {
            let _ = stop.send(());
        }
    }

    /// Pauses a node, or resumes it.
    pub fn freeze(&mut self, number: usize, frozen: bool) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.frozen = frozen;
        }
    }

    /// Number of rows in the index of unfinished lanes.
    pub async fn open_lanes(&mut self) -> usize {
        let remote = self.remote.clone();
        let page = self
            .during(async { remote.scan("open/", "", 1_000).await })
            .await;
        page.map_or(usize::MAX, |page| page.rows.len())
    }

    /// Chunks claimed by all running nodes.
    pub fn claimed(&self) -> u64 {
        self.nodes
            .values()
            .map(|node| node.stats.get().claimed)
            .sum()
    }

    pub fn has_stopped(&self, number: usize) -> bool {
        self.nodes.get(&number).is_none_or(|node| node.done.get())
    }

    pub fn command(&self, command: &Command) {
        self.platform.set_time(Time::ZERO + self.origin.elapsed());
        self.platform.command(command);
    }

    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Advances virtual time.
    pub async fn pass(&mut self, time: Duration) {
        self.during(sleep(time)).await;
    }

    /// Waits for `future` while the nodes run.
    pub async fn during<F>(&mut self, future: F) -> F::Output
    where
        F: Future,
    {
        let mut future = Box::pin(future);
        loop {
            let polled = poll_fn(|context| {
                for node in self.nodes.values_mut().filter(|node| !node.frozen) {
                    if let Some(local) = &mut node.local
                        && Pin::new(local).poll(context).is_ready()
                    {
                        node.local = None;
                    }
                }
                if let Poll::Ready(output) = future.as_mut().poll(context) {
                    return Poll::Ready(Some(output));
                }
                if self.world.borrow().doomed.is_empty() {
                    Poll::Pending
                } else {
                    Poll::Ready(None)
                }
            })
            .await;
            if let Some(output) = polled {
                return output;
            }
            let doomed = std::mem::take(&mut self.world.borrow_mut().doomed);
            for node in doomed {
                self.kill(node);
            }
        }
    }

    /// Submits a job and panics unless it is accepted.
    pub async fn submit(&mut self, submission: &Submission) -> Id {
        let jobs = self.jobs.clone();
        let submission = submission.clone();
        match self
            .during(async move { jobs.submit(NOW_MS, submission).await })
            .await
        {
            Outcome::Done(accepted) => accepted.job,
            refused => panic!("not accepted: {refused:?}"),
        }
    }

    /// The job's state; `None` if the platform does not answer.
    pub async fn state(&mut self, id: &Id) -> Option<State> {
        let jobs = self.jobs.clone();
        match self.during(async { jobs.status(id).await }).await {
            Outcome::Done(status) => Some(status.job.state),
            _ => None,
        }
    }

    /// Reads all results, and panics if one differs from what was readable before.
    pub async fn read(&mut self, id: &Id) -> Vec<Reply> {
        let jobs = self.jobs.clone();
        let read = self
            .during(async {
                let mut replies = Vec::new();
                let mut from = 0;
                loop {
                    let Outcome::Done(page) = jobs.results(id, from, 1_000).await else {
                        return replies;
                    };
                    replies.extend(page.replies);
                    match page.next {
                        Some(next) => from = next,
                        None => return replies,
                    }
                }
            })
            .await;
        for reply in &read {
            let key = (id.clone(), reply.number);
            let first = self.readable.entry(key).or_insert_with(|| reply.clone());
            assert_eq!(first, reply, "a readable result has changed");
        }
        read
    }

    /// Waits until the job is no longer active; panics after an hour of virtual time.
    pub async fn finish(&mut self, id: &Id) -> State {
        for _ in 0..3_600 {
            match self.state(id).await {
                Some(State::Active) | None => self.pass(Duration::from_secs(1)).await,
                Some(state) => return state,
            }
        }
        panic!(
            "job {id} did not end within an hour of virtual time: {:?}",
            self.platform.counts()
        );
    }

    /// Waits until `ready` returns true, for at most ten minutes of virtual time.
    pub async fn until<F>(&mut self, mut ready: F)
    where
        F: FnMut(&Self) -> bool,
    {
        for _ in 0..60_000 {
            if ready(self) {
                return;
            }
            self.pass(Duration::from_millis(10)).await;
        }
        panic!("condition not met within ten minutes of virtual time");
    }
}

/// Runs a test in virtual time.
pub fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let hang = Duration::from_secs(100 * 3_600);
    runtime
        .block_on(async { timeout(hang, test).await })
        .expect("test did not end within 100 hours of virtual time");
}

pub fn items(count: u32) -> Vec<Item> {
    (0..count)
        .map(|number| Item {
            key: "".into(),
            prompt: format!("recipe {number}").into(),
            max_tokens: 16,
        })
        .collect()
}

pub fn submission(key: &str, items: Vec<Item>) -> Submission {
    Submission {
        service: SERVICE.into(),
        organisation: "trust".into(),
        key: key.into(),
        items,
        due: Duration::from_secs(3_600),
        once: false,
    }
}

/// Panics unless there is exactly one result for each item, in order.
pub fn assert_whole(replies: &[Reply], items: u32) {
    let numbers: Vec<u32> = replies.iter().map(|reply| reply.number).collect();
    let wanted: Vec<u32> = (0..items).collect();
    assert_eq!(numbers, wanted, "one result for each item");
}
