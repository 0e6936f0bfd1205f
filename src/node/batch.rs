//! The batch thread: runs this node's share of all jobs on the endpoints that
//! it dispatches for.

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
use super::assign::{Assignment, Own};
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

/// How often the counters follow the runner.
const COUNT_EVERY: Duration = Duration::from_secs(1);

/// Makes the runner of this node; it must be made on the thread that runs it.
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

/// Runs the runner until `stopped` turns true.
pub async fn run(runner: Runner<Client, Client, Executor>, mut stopped: watch::Receiver<bool>) {
    let stop = async move {
        // An error means that the node is gone, which is a stop as well.
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    runner.run(stop).await;
}

/// What the batch thread counts.
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
    /// Makes every counter known under `batch_...`; docs/BATCH.md says what
    /// each means.
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

    /// Adds what the runner has done since `before`.
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

    /// Follows a runner's tally, which lives on its thread, for as long as that
    /// thread runs.
    pub async fn follow(self, tally: Rc<std::cell::Cell<Stats>>) {
        let mut before = Stats::default();
        loop {
            let now = tally.get();
            self.add(before, now);
            before = now;
            actix_rt::time::sleep(COUNT_EVERY).await;
        }
    }
}

/// Hands batch items to the dispatchers of this node.
pub struct Executor {
    shared: Shared,
    assignment: Arc<Cell<Assignment>>,
    /// Items of ours at each endpoint: the published loads are a little old.
    running: RefCell<HashMap<Name, u32>>,
}

/// Counts an item at its endpoint for as long as its future lives.
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
    fn room_at(&self, own: &Own) -> usize {
        let room = match self.shared.dispatch.loads.load(&own.endpoint) {
            Some(load) => load.room,
            None => own.slots,
        };
        room as usize
    }

    /// The endpoint with the most room, those with fewer of our items first.
    fn choose(&self, service: &str) -> Option<Name> {
        let assignment = self.assignment.read();
        let running = self.running.borrow();
        let own = assignment.get(service)?.iter();
        own.max_by_key(|own| {
            let ours = running.get(&own.endpoint).copied().unwrap_or(0) as usize;
            (self.room_at(own), std::cmp::Reverse(ours))
        })
        .map(|own| own.endpoint.clone())
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
        let own = assignment.get(service).into_iter().flatten();
        own.map(|own| self.room_at(own)).sum()
    }

    fn services(&self) -> Vec<Name> {
        self.assignment.read().keys().cloned().collect()
    }

    async fn execute(&self, mut request: Request) -> Outcome<Answer> {
        // An item without a bound of its own has the service's, as a question
        // does; the endpoint would refuse it and every item of its job. What
        // else is wrong with it the endpoint says.
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
