//! The batch thread: runs this node's share of all jobs on the endpoints that it dispatches
//! for.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::sync::watch;

use super::PLATFORM_TIMEOUT;
use super::assign::{Assigned, Assignment};
use crate::dispatch::handle::Event;
use crate::event;
use crate::gateway::{Shared, complete};
use crate::job::runner::{self, Runner, Stats};
use crate::job::{Execute, Setting};
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::{Answer, Request};
use crate::snapshot::Cell;
use crate::table::http::Client;

/// Interval at which the counters are updated from the runner.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Creates the runner of this node. It must be created on the thread that runs it.
pub fn runner(
    shared: Shared,
    assignment: Arc<Cell<Assignment>>,
    platform: SocketAddr,
    session: Name,
) -> (Runner<Client, Client, Executor>, runner::Handle) {
    let client = Client::new(platform, PLATFORM_TIMEOUT);
    let executor = Executor {
        shared,
        assignment,
        running: RefCell::default(),
    };
    Runner::new(
        session,
        client.clone(),
        client,
        executor,
        Setting::default(),
    )
}

/// Runs the runner until `stopped` becomes true.
pub async fn run(runner: Runner<Client, Client, Executor>, mut stopped: watch::Receiver<bool>) {
    let stop = async move {
        // An error means that the node has ended, which also stops the runner.
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    runner.run(stop).await;
}

/// The metrics of the batch thread.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    sent: Counter,
    claimed: Counter,
    taken_over: Counter,
    committed: Counter,
    lost: Counter,
    released: Counter,
    collided: Counter,
    flushed: Counter,
}

impl Counts {
    /// Registers every counter under `batch_...`; docs/BATCH.md describes them.
    pub fn register(&self, registry: &mut Registry) {
        let all = [
            ("sent", "Items sent to dispatchers", &self.sent),
            ("claimed", "Chunks claimed", &self.claimed),
            (
                "taken_over",
                "Chunks taken from lost holders",
                &self.taken_over,
            ),
            ("committed", "Chunks committed", &self.committed),
            ("lost", "Chunks lost to other holders", &self.lost),
            ("released", "Chunks given back", &self.released),
            ("collided", "Claims that met another node's", &self.collided),
            ("flushed", "Segments written", &self.flushed),
        ];
        for (name, help, counter) in all {
            registry.register(format!("batch_{name}"), help, counter.clone());
        }
    }

    /// Adds the runner's progress since `before`.
    fn add(&self, before: Stats, now: Stats) {
        let all = [
            (&self.sent, before.sent, now.sent),
            (&self.claimed, before.claimed, now.claimed),
            (&self.taken_over, before.taken_over, now.taken_over),
            (&self.committed, before.committed, now.committed),
            (&self.lost, before.lost, now.lost),
            (&self.released, before.released, now.released),
            (&self.collided, before.collided, now.collided),
            (&self.flushed, before.flushed, now.flushed),
        ];
        for (counter, before, now) in all {
            counter.inc_by(now.saturating_sub(before));
        }
    }

    /// Copies the statistics of a runner, which are not shared between threads, into the counters for
    /// the lifetime of its thread.
    pub async fn follow(self, stats: Rc<std::cell::Cell<Stats>>) {
        let mut before = Stats::default();
        loop {
            let now = stats.get();
            self.add(before, now);
            before = now;
            actix_rt::time::sleep(COUNT_INTERVAL).await;
        }
    }
}

/// Submits batch items to the dispatchers of this node.
pub struct Executor {
    shared: Shared,
    assignment: Arc<Cell<Assignment>>,
    /// Number of this executor's items per endpoint. The published loads lag slightly behind.
    running: RefCell<HashMap<Name, u32>>,
}

/// Counts an item at its endpoint until dropped.
struct Running<'a> {
    executor: &'a Executor,
    endpoint: Name,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if let Some(count) = self.executor.running.borrow_mut().get_mut(&self.endpoint) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Executor {
    fn room_at(&self, assigned: &Assigned) -> usize {
        let room = match self.shared.dispatch.loads.load(&assigned.endpoint) {
            Some(load) => load.room,
            None => assigned.slots,
        };
        room as usize
    }

    /// Returns the endpoint with the most room; of equals, the one with the fewest items of
    /// this executor.
    fn choose(&self, service: &str) -> Option<Name> {
        let assignment = self.assignment.read();
        let running = self.running.borrow();
        let assigned = assignment.get(service)?.iter();
        assigned
            .max_by_key(|assigned| {
                let items = running.get(&assigned.endpoint).copied().unwrap_or(0) as usize;
                (self.room_at(assigned), std::cmp::Reverse(items))
            })
            .map(|assigned| assigned.endpoint.clone())
    }

    fn enter(&self, endpoint: &Name) -> Running<'_> {
        *self
            .running
            .borrow_mut()
            .entry(endpoint.clone())
            .or_default() += 1;
        Running {
            executor: self,
            endpoint: endpoint.clone(),
        }
    }
}

impl Execute for Executor {
    fn capacity(&self, service: &Name) -> usize {
        let assignment = self.assignment.read();
        let assigned = assignment.get(service).into_iter().flatten();
        assigned.map(|assigned| self.room_at(assigned)).sum()
    }

    fn services(&self) -> Vec<Name> {
        self.assignment.read().keys().cloned().collect()
    }

    async fn execute(&self, mut request: Request) -> Outcome<Answer> {
        // An item without a token limit gets that of its service, as an online request does; otherwise
        // the endpoint would reject it, and every item of its job. Any other error in the item
        // is reported by the endpoint.
        if let Ok(config) = self.shared.config()
            && let Err(refusal) = complete(&config, &mut request)
        {
            log::debug!("{} {refusal}", event::REQUEST_REFUSED);
        }
        let Some(endpoint) = self.choose(&request.service) else {
            return Outcome::NotRun(Refusal::new(Reason::NoEndpoint));
        };
        let _running = self.enter(&endpoint);
        let mut events = self.shared.dispatch.submit(endpoint, request);
        while let Some(event) = events.recv().await {
            if let Event::End(outcome, _) = event {
                return outcome;
            }
        }
        Outcome::MayHaveRun(Refusal::new(Reason::Internal))
    }
}
