//! The simulation's events and their schedule.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use auburnspoke::clock::Time;
use auburnspoke::dispatch::{End, Load, Report};
use auburnspoke::embedded::engine::model::Token;
use auburnspoke::outcome::Refusal;

/// An event at one component.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request reaches its gateway.
    Arrive(usize),
    /// A gateway retries a request.
    Retry(usize),
    /// A gateway checks whether a first token is late.
    Hedge(usize),
    /// An attempt reaches a queue.
    Offer(u64),
    /// The withdrawal of an attempt reaches a queue.
    Withdraw(u64),
    /// A queue's timer expires.
    Wake(usize),
    /// A run reaches an engine.
    Start {
        /// Index of the queue that sent it.
        queue: usize,
        /// Id of the request.
        id: u64,
    },
    /// A stop reaches an engine.
    Stop {
        /// Index of the queue that sent it.
        queue: usize,
        /// Id of the request.
        id: u64,
    },
    /// An engine's step ends.
    Step(usize),
    /// Tokens of one step reach a queue.
    Tokens {
        /// Index of the queue.
        queue: usize,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// The end of a run reaches a queue.
    Ended {
        /// Index of the queue.
        queue: usize,
        /// Id of the request.
        id: u64,
        /// How the run ended.
        end: End,
    },
    /// A token reaches the gateway.
    Piece {
        /// Id of the attempt.
        id: u64,
        /// Its offset in the response.
        offset: u32,
        /// The endpoint's load, sent with the first token.
        load: Option<Load>,
    },
    /// The end of an attempt reaches the gateway.
    AttemptEnded {
        /// Id of the attempt.
        id: u64,
        /// Whether it ran and why it failed; `None` if the response is complete.
        failure: Option<(bool, Refusal)>,
        /// The endpoint's load.
        load: Load,
    },
    /// The reports of all engines are polled.
    Poll,
    /// A report reaches a queue.
    Report {
        /// Index of the queue.
        queue: usize,
        /// The report.
        report: Report,
    },
    /// A fault starts (true) or ends.
    Fault(bool),
}

/// Events by time. Events of the same time keep the order in which they were added.
#[derive(Debug, Default)]
pub struct Schedule {
    heap: BinaryHeap<Reverse<(Time, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    added: u64,
}

impl Schedule {
    pub fn add(&mut self, at: Time, event: Event) {
        let slot = if let Some(slot) = self.free.pop() {
            self.events[slot] = Some(event);
            slot
        } else {
            self.events.push(Some(event));
            self.events.len() - 1
        };
        self.added += 1;
        self.heap.push(Reverse((at, self.added, slot)));
    }

    /// Removes and returns the next event.
    pub fn next(&mut self) -> Option<(Time, Event)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        let event = self.events[slot].take()?;
        Some((at, event))
    }
}
