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
    pub questions: usize,
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
    Hurry,
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
    RefuseQuestions,
    /// Give everything in flight its final answer now.
    CutOff,
    /// Tell the members goodbye and end the process.
    Exit(Ending),
}

/// How it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Questions and dispatched requests that were cut short.
    pub cut: usize,
    /// Chunks whose leases could not be given up; they run out by themselves.
    pub chunks: usize,
}

impl Ending {
    /// True when nobody was harmed.
    pub const fn is_clean(self) -> bool {
        self.cut == 0
    }
}

/// The times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long until every node knows that this one is leaving.
    pub spread: Duration,
    /// How long callers may keep an address; see [`crate::locate::KEEP`].
    pub keep: Duration,
    /// How long running items of held chunks may take to end.
    pub items: Duration,
    /// Time between attempts to give chunks up.
    pub retry: Duration,
    /// How long a node with nothing but chunks waits for the platform. Their
    /// leases run out anyway; a longer wait gains nothing.
    pub release: Duration,
    /// Longest time from the stop until what is in flight is cut off.
    pub limit: Duration,
    /// How long final answers may take to reach their callers.
    pub answers: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            spread: Duration::from_secs(3),
            keep: crate::locate::KEEP,
            items: Duration::from_secs(5),
            retry: Duration::from_secs(2),
            release: Duration::from_secs(20),
            limit: Duration::from_secs(120),
            answers: Duration::from_secs(1),
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
    cut: Option<(Time, usize)>,
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
            cut: None,
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
            (Phase::Starting, Input::Stop | Input::Hurry) => {
                // Nobody was told of this node, so there is nobody to tell.
                self.end(Ending { cut: 0, chunks: 0 })
            }
            (Phase::Serving, Input::Stop | Input::Hurry) => self.begin(now),
            (Phase::Leaving | Phase::Closing, Input::Hurry) => {
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
        if self.phase == Phase::Leaving && passed >= self.times.spread + self.times.keep {
            // Whoever comes now holds the address longer than it was told. Were
            // it served on and on, the node could never end.
            self.phase = Phase::Closing;
            actions.push(Action::RefuseQuestions);
        }
        let running = work.questions + work.dispatched;
        if self.phase != Phase::Cutting && passed >= self.times.limit {
            self.phase = Phase::Cutting;
            self.cut = Some((now, running));
            actions.push(Action::RefuseQuestions);
            actions.push(Action::CutOff);
            return actions;
        }
        if let Some(ending) = self.ending(now, work, running) {
            actions.extend(self.end(ending));
        }
        actions
    }

    /// Gives chunks up once their running items ended or had their time.
    fn release(&mut self, now: Time, work: Work, passed: Duration, actions: &mut Vec<Action>) {
        let ready = work.items == 0 || passed >= self.times.items;
        let due = self
            .released
            .is_none_or(|last| now.since(last) >= self.times.retry);
        if work.chunks > 0 && ready && due {
            self.released = Some(now);
            actions.push(Action::ReleaseChunks);
        }
    }

    fn ending(&mut self, now: Time, work: Work, running: usize) -> Option<Ending> {
        let chunks = work.chunks;
        if let Some((at, cut)) = self.cut {
            let over = running == 0 && chunks == 0 || now.since(at) >= self.times.answers;
            return over.then_some(Ending { cut, chunks });
        }
        if self.phase != Phase::Closing || running > 0 {
            self.idle = None;
            return None;
        }
        let idle = *self.idle.get_or_insert(now);
        let waited = now.since(idle) >= self.times.release;
        (chunks == 0 || waited).then_some(Ending { cut: 0, chunks })
    }

    fn end(&mut self, ending: Ending) -> Vec<Action> {
        self.phase = Phase::Ended;
        vec![Action::Exit(ending)]
    }
}
