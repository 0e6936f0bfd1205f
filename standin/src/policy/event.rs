//! What happens when.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::{End, Load, Report};
use auburnspoke::embedded::engine::model::Token;
use auburnspoke::outcome::Refusal;

/// Something that happens at one place.
#[derive(Clone, Debug)]
pub enum Event {
    /// A question reaches its gateway.
    Arrive(usize),
    /// A gateway tries again.
    Retry(usize),
    /// A gateway looks whether a first token is late.
    Hedge(usize),
    /// An attempt reaches a queue.
    Offer(u64),
    /// A gateway gave an attempt up.
    Withdraw(u64),
    /// A queue's own time has come.
    Wake(usize),
    /// A run reaches an engine.
    Start {
        /// The queue that sent it.
        queue: usize,
        /// Which request.
        id: u64,
    },
    /// A stop reaches an engine.
    Stop {
        /// The queue that sent it.
        queue: usize,
        /// Which request.
        id: u64,
    },
    /// An engine's step ends.
    Step(usize),
    /// Tokens of one step reach a queue.
    Tokens {
        /// Which queue.
        queue: usize,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// The end of a run reaches a queue.
    Ended {
        /// Which queue.
        queue: usize,
        /// Which request.
        id: u64,
        /// How.
        end: End,
    },
    /// A token reaches the gateway.
    Piece {
        /// Which attempt.
        id: u64,
        /// Its place in the answer.
        offset: u32,
        /// The endpoint's load, with the first one.
        load: Option<Load>,
    },
    /// The end of an attempt reaches the gateway.
    Tell {
        /// Which attempt.
        id: u64,
        /// None when the answer is whole.
        failure: Option<(bool, Refusal)>,
        /// The endpoint's load.
        load: Load,
    },
    /// Engines are asked for their reports.
    Poll,
    /// A report reaches a queue.
    Report {
        /// Which queue.
        queue: usize,
        /// The report.
        report: Report,
    },
    /// A fault begins or ends.
    Fault(bool),
}

/// Events by time; those of the same time in the order they were added.
#[derive(Debug, Default)]
pub struct Agenda {
    heap: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    added: u64,
}

impl Agenda {
    /// Adds an event.
    pub fn add(&mut self, at: Time, event: Event) {
        let place = if let Some(place) = self.free.pop() {
            self.events[place] = Some(event);
            place
        } else {
            self.events.push(Some(event));
            self.events.len() - 1
        };
        self.added += 1;
        self.heap.push(Reverse((at, self.added, place)));
    }

    /// The next event.
    pub fn next(&mut self) -> Option<(Time, Event)> {
        let Reverse((at, _, place)) = self.heap.pop()?;
        self.free.push(place);
        let event = self.events[place].take()?;
        Some((at, event))
    }
}
