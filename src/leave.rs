//! Graceful shutdown of a node: in which order it stops its tasks, and when it
//! may exit.
//!
//! docs/design/leaving.md compares the alternatives and defines what happens on a
//! second signal, during start, during an outage and when the time limit passes.

use std::time::Duration;

use crate::clock::Time;

pub mod drive;

/// Lifecycle phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Does not serve callers yet.
    Starting,
    /// In full operation.
    Serving,
    /// The departure is announced; callers with a cached address are still
    /// served.
    Leaving,
    /// All cached addresses have expired; in-flight requests complete.
    Closing,
    /// The time limit has passed; in-flight requests get their final answer.
    Cutting,
    /// The process exits.
    Ended,
}

/// Outstanding work of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Unanswered requests from callers.
    pub requests: usize,
    /// Requests admitted to endpoints for other nodes, and jobs that this node runs.
    pub dispatched: usize,
    /// Held chunks of batch jobs.
    pub chunks: usize,
    /// Items of those chunks that are running at an endpoint.
    pub items: usize,
}

/// An input of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The node is ready to serve.
    Started,
    /// SIGTERM, the first SIGINT, or an operator's Drain.
    Stop,
    /// A second SIGINT, sent by an operator at a terminal: shut down without
    /// waiting.
    ForceStop,
    /// Time has passed; this work is outstanding.
    Tick(Work),
}

/// Actions that the caller must carry out in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Announce the departure to the members, which removes this node from Locate
    /// answers everywhere.
    Announce,
    /// Claim no more chunks, and start no more items of the held ones.
    StopClaiming,
    /// Return queued requests as not run, so that their gateways send them to the
    /// endpoints' next dispatchers. Requests that are running at an endpoint
    /// continue.
    HandOver,
    /// Write the results of the held chunks and release their leases. Repeated at
    /// intervals while chunks are still held.
    ReleaseChunks,
    /// Reject new requests as not run, so that callers use another address.
    RejectRequests,
    /// Give all in-flight requests their final answer now.
    AbortAll,
    /// Announce the exit to the members and end the process.
    Exit(Summary),
}

/// Result of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Client and dispatched requests that were aborted.
    pub aborted: usize,
    /// Chunks whose leases could not be released and will expire.
    pub chunks: usize,
}

impl Summary {
    /// Returns true if no request was aborted.
    pub const fn is_clean(self) -> bool {
        self.aborted == 0
    }
}

/// Time limits of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time until every node has received the announcement.
    pub propagation: Duration,
    /// How long callers may cache an address; see [`crate::locate::ADDRESS_TTL`].
    pub address_ttl: Duration,
    /// How long running items of held chunks may take to complete.
    pub item_grace: Duration,
    /// Interval between attempts to release chunks.
    pub release_interval: Duration,
    /// How long a node that holds only chunks waits for the platform. Their
    /// leases expire anyway, so a longer wait gains nothing.
    pub release_timeout: Duration,
    /// Time from the stop until in-flight requests are aborted.
    pub limit: Duration,
    /// How long final answers may take to reach their callers.
    pub flush_grace: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            propagation: Duration::from_secs(3),
            address_ttl: crate::locate::ADDRESS_TTL,
            item_grace: Duration::from_secs(5),
            release_interval: Duration::from_secs(2),
            release_timeout: Duration::from_secs(20),
            limit: Duration::from_secs(120),
            flush_grace: Duration::from_secs(1),
        }
    }
}

/// The graceful shutdown of one node.
#[derive(Clone, Debug)]
pub struct Leave {
    times: Times,
    phase: Phase,
    /// Time of the stop request.
    stopped: Time,
    /// Time since which only chunks are left.
    idle: Option<Time>,
    /// Time of the last attempt to release chunks.
    released: Option<Time>,
    /// Time of the abort and number of aborted requests.
    aborted: Option<(Time, usize)>,
}

impl Leave {
    /// Creates the state of a node that is starting.
    pub const fn new(times: Times) -> Self {
        Self {
            times,
            phase: Phase::Starting,
            stopped: Time::ZERO,
            idle: None,
            released: None,
            aborted: None,
        }
    }

    /// Returns the lifecycle phase of the node.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles one input and returns the resulting actions.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        match (self.phase, input) {
            (Phase::Starting, Input::Started) => {
                self.phase = Phase::Serving;
                Vec::new()
            }
            (Phase::Starting, Input::Stop | Input::ForceStop) => {
                // The node was never announced, so there is no departure to
                // announce.
                self.end(Summary {
                    aborted: 0,
                    chunks: 0,
                })
            }
            (Phase::Serving, Input::Stop | Input::ForceStop) => self.begin(now),
            (Phase::Leaving | Phase::Closing, Input::ForceStop) => {
                self.stopped = now - self.times.limit;
                Vec::new()
            }
            (Phase::Leaving | Phase::Closing | Phase::Cutting, Input::Tick(work)) => {
                self.tick(now, work)
            }
            // A platform that repeats SIGTERM must not abort requests, so a
            // second Stop has no effect.
            (
                Phase::Starting
                | Phase::Serving
                | Phase::Leaving
                | Phase::Closing
                | Phase::Cutting
                | Phase::Ended,
                _,
            ) => Vec::new(),
        }
    }

    fn begin(&mut self, now: Time) -> Vec<Action> {
        self.phase = Phase::Leaving;
        self.stopped = now;
        vec![Action::Announce, Action::StopClaiming, Action::HandOver]
    }

    fn tick(&mut self, now: Time, work: Work) -> Vec<Action> {
        let mut actions = Vec::new();
        let passed = now.since(self.stopped);
        self.release(now, work, passed, &mut actions);
        let closes = self.phase == Phase::Leaving
            && passed >= self.times.propagation + self.times.address_ttl;
        if closes {
            // A caller that arrives now has cached the address beyond its TTL. If
            // such callers were served, the node could never exit.
            self.phase = Phase::Closing;
            actions.push(Action::RejectRequests);
        }
        let running = work.requests + work.dispatched;
        if self.phase != Phase::Cutting && passed >= self.times.limit {
            self.phase = Phase::Cutting;
            self.aborted = Some((now, running));
            actions.push(Action::RejectRequests);
            actions.push(Action::AbortAll);
            return actions;
        }
        if closes {
            // A request may have been accepted between the count and its rejection.
            return actions;
        }
        if let Some(summary) = self.summary(now, work, running) {
            actions.extend(self.end(summary));
        }
        actions
    }

    /// Releases chunks once their running items have completed or timed out.
    fn release(&mut self, now: Time, work: Work, passed: Duration, actions: &mut Vec<Action>) {
        let ready = work.items == 0 || passed >= self.times.item_grace;
        let due = self
            .released
            .is_none_or(|last| now.since(last) >= self.times.release_interval);
        if work.chunks > 0 && ready && due {
            self.released = Some(now);
            actions.push(Action::ReleaseChunks);
        }
    }

    fn summary(&mut self, now: Time, work: Work, running: usize) -> Option<Summary> {
        let chunks = work.chunks;
        if let Some((at, aborted)) = self.aborted {
            let over = running == 0 && chunks == 0 || now.since(at) >= self.times.flush_grace;
            return over.then_some(Summary { aborted, chunks });
        }
        if self.phase != Phase::Closing || running > 0 {
            self.idle = None;
            return None;
        }
        let idle = *self.idle.get_or_insert(now);
        let waited = now.since(idle) >= self.times.release_timeout;
        (chunks == 0 || waited).then_some(Summary { aborted: 0, chunks })
    }

    fn end(&mut self, summary: Summary) -> Vec<Action> {
        self.phase = Phase::Ended;
        vec![Action::Exit(summary)]
    }
}
