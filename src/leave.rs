//! How a node leaves: what it stops doing when, and when it may end.
//!
//! docs/design/leaving.md weighs the ways and defines what happens on a second
//! signal, during start, during an outage and when the limit passes.

use std::time::Duration;

use crate::clock::Time;

/// Where a node is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not answer callers yet.
    Starting,
    /// It does everything.
    Serving,
    /// Others are told; callers with a cached address are still served.
    Leaving,
    /// No caller may hold its address any more; what is in flight ends.
    Closing,
    /// The limit passed; what is in flight gets its final answer.
    Cutting,
    /// It ends.
    Ended,
}

/// How much is going on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Questions that came from callers and are not answered.
    pub requests: usize,
    /// Requests admitted to endpoints for other nodes.
    pub dispatched: usize,
    /// Chunks of batch jobs that are held.
    pub chunks: usize,
    /// Items of those chunks that run at an endpoint.
    pub items: usize,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The node is ready to serve.
    Started,
    /// SIGTERM, the first SIGINT, or an operator's Drain.
    Stop,
    /// A second SIGINT: a person at a terminal will not wait.
    ForceStop,
    /// Time passed, and this is going on.
    Tick(Work),
}

/// What is to be done, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell the members; that takes this node out of Locate everywhere.
    Announce,
    /// Claim no chunk, and start no item of those held.
    StopClaiming,
    /// Give queued requests back as not run, so that their gateways go to the
    /// endpoints' next dispatchers. Those that run at an endpoint go on.
    HandOver,
    /// Write what the held chunks have, and give their leases up. It comes
    /// again, with pauses, while chunks are still held.
    ReleaseChunks,
    /// Refuse new questions as not run: use another address.
    RejectRequests,
    /// Give everything in flight its final answer now.
    AbortAll,
    /// Tell the members goodbye and end the process.
    Exit(Summary),
}

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Questions and dispatched requests that were cut short.
    pub aborted: usize,
    /// Chunks whose leases could not be given up; they run out by themselves.
    pub chunks: usize,
}

impl Summary {
    /// True when nobody was harmed.
    pub const fn is_clean(self) -> bool {
        self.aborted == 0
    }
}

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long until every node knows that this one is leaving.
    pub propagation: Duration,
    /// How long callers may keep an address; see [`crate::locate::ADDRESS_TTL`].
    pub address_ttl: Duration,
    /// How long running items of held chunks may take to end.
    pub item_grace: Duration,
    /// Time between attempts to give chunks up.
    pub release_interval: Duration,
    /// How long a node with nothing but chunks waits for the platform. Their
    /// leases run out anyway; a longer wait gains nothing.
    pub release_timeout: Duration,
    /// Longest time from the stop until what is in flight is cut off.
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

/// The leaving of one node.
#[derive(Clone, Debug)]
pub struct Leave {
    times: Times,
    phase: Phase,
    /// When it was told to stop.
    stopped: Time,
    /// When only chunks were left.
    idle: Option<Time>,
    /// When giving up chunks was tried last.
    released: Option<Time>,
    /// When and how much was cut off.
    aborted: Option<(Time, usize)>,
}

impl Leave {
    /// A node that starts.
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

    /// Where the node is in its life.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes one input and says what is to be done.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        match (self.phase, input) {
            (Phase::Starting, Input::Started) => {
                self.phase = Phase::Serving;
                Vec::new()
            }
            (Phase::Starting, Input::Stop | Input::ForceStop) => {
                // Nobody was told of this node, so there is nobody to tell.
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
            // A platform that repeats SIGTERM must not cut answers short, so a
            // second Stop does nothing.
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
        if self.phase == Phase::Leaving && passed >= self.times.propagation + self.times.address_ttl
        {
            // Whoever comes now holds the address longer than it was told. Were
            // it served on and on, the node could never end.
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
        if let Some(summary) = self.summary(now, work, running) {
            actions.extend(self.end(summary));
        }
        actions
    }

    /// Gives chunks up once their running items ended or had their time.
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
