//! The items of one held chunk: which to send next, and what became of them.
//!
//! Items that must run at most once are sent only after their mark is in the
//! lane's row. Items that were in flight when an endpoint failed are sent alone
//! from then on, each time only after the attempt is in the log, so that an item
//! which kills whatever runs it is found, bounded, and harms no neighbour twice.

use std::collections::BTreeMap;

use super::lane::{Committed, Held};
use super::record::{Counts, Item};
use super::segment::{Attempt, Entry};
use super::{End, Reply};
use crate::clock::Time;
use crate::name::Name;
use crate::outcome::Outcome;
use crate::request::Answer;

mod answer;
mod inherit;

/// Losses of holders after which every open item of a chunk runs alone,
/// because one of them may be what takes the VMs down.
const SUSPICIOUS_LOSSES: u32 = 2;
/// Where an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It may be sent from this time on.
    Waiting(Time),
    /// Its next attempt alone is being written to the log.
    Recording,
    /// Its next attempt alone is in the log.
    Recorded,
    /// It is at an endpoint.
    Running,
    /// It has its result.
    Over,
}

#[derive(Clone, Debug)]
struct Slot {
    item: Item,
    phase: Phase,
    sent: u32,
    alone: bool,
    tries: u32,
    marked: bool,
}

/// What a flush must write.
#[derive(Clone, Debug, Default)]
struct Unwritten {
    replies: Vec<u32>,
    attempts: Vec<Attempt>,
}

/// A held chunk.
#[derive(Clone, Debug)]
pub struct Chunk {
    number: u32,
    first: u32,
    once: bool,
    bound: u32,
    slots: Vec<Slot>,
    replies: BTreeMap<u32, Reply>,
    unwritten: Unwritten,
    settled: Vec<u32>,
    running: usize,
}

impl Chunk {
    /// A chunk with what its earlier holders left in their logs.
    pub fn new<I>(held: &Held, first: u32, items: I, once: bool, bound: u32, left: &[Entry]) -> Self
    where
        I: IntoIterator<Item = Item>,
    {
        let alone = held.losses >= SUSPICIOUS_LOSSES;
        let slots = items.into_iter().map(|item| Slot {
            item,
            phase: Phase::Waiting(Time::ZERO),
            sent: 0,
            alone,
            tries: 0,
            marked: false,
        });
        let mut chunk = Self {
            number: held.chunk,
            first,
            once,
            bound,
            slots: slots.collect(),
            replies: BTreeMap::new(),
            unwritten: Unwritten::default(),
            settled: Vec::new(),
            running: 0,
        };
        for entry in left {
            chunk.inherit(entry);
        }
        chunk.doubt(&held.marked);
        chunk.give_up();
        chunk
    }

    /// Whether items must run at most once.
    pub const fn is_once(&self) -> bool {
        self.once
    }

    /// True when every item has its result.
    pub fn is_over(&self) -> bool {
        self.replies.len() == self.slots.len()
    }

    /// Items at endpoints.
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Items that have no result and are not at an endpoint.
    pub fn waiting(&self) -> usize {
        self.slots.len() - self.replies.len() - self.running
    }

    /// The item to send next among others, if there is one.
    pub fn next(&self, now: Time) -> Option<u32> {
        let ready = |slot: &Slot| {
            matches!(slot.phase, Phase::Waiting(from) if from <= now)
                && !slot.alone
                && (slot.marked || !self.once)
        };
        self.slots
            .iter()
            .position(ready)
            .map(|at| self.number_of(at))
    }

    /// The item whose attempt alone is recorded, so that it can be sent as soon
    /// as nothing else runs.
    pub fn next_alone(&self) -> Option<u32> {
        let ready = |slot: &Slot| slot.phase == Phase::Recorded && (slot.marked || !self.once);
        self.slots
            .iter()
            .position(ready)
            .map(|at| self.number_of(at))
    }

    /// Chooses the next item to be sent alone, once all others are done, and
    /// notes the attempt for the log.
    pub fn record_alone(&mut self, now: Time) {
        let busy = |slot: &Slot| {
            matches!(
                slot.phase,
                Phase::Recording | Phase::Recorded | Phase::Running
            ) || (!slot.alone && slot.phase != Phase::Over)
        };
        if self.slots.iter().any(busy) {
            return;
        }
        let ready = |slot: &Slot| matches!(slot.phase, Phase::Waiting(from) if from <= now);
        let Some(at) = self.slots.iter().position(ready) else {
            return;
        };
        let number = self.number_of(at);
        let slot = &mut self.slots[at];
        slot.phase = Phase::Recording;
        slot.tries += 1;
        let count = slot.tries;
        self.unwritten.attempts.push(Attempt { number, count });
    }

    /// Up to `limit` items whose marks are needed before they can be sent.
    pub fn unmarked(&self, limit: usize) -> Vec<u32> {
        if !self.once {
            return Vec::new();
        }
        let mut numbers = self.numbers(|slot| slot.phase != Phase::Over && !slot.marked);
        numbers.truncate(limit);
        numbers
    }

    /// Items that are marked and wait to be sent.
    pub fn marked_waiting(&self) -> usize {
        let waiting = |slot: &&Slot| slot.marked && matches!(slot.phase, Phase::Waiting(_));
        self.slots.iter().filter(waiting).count()
    }

    /// Items whose results are in the log, so that their marks are not needed
    /// any more.
    pub fn settled(&self) -> &[u32] {
        &self.settled
    }

    /// True while an item runs that must run alone.
    pub fn is_running_alone(&self) -> bool {
        let alone = |slot: &Slot| slot.alone && slot.phase == Phase::Running && slot.tries > 0;
        self.slots.iter().any(alone)
    }

    /// What runs is broken off: what must run at most once may have run, the
    /// rest is as if it had not been sent.
    pub fn interrupt(&mut self, now: Time) {
        for number in self.numbers(|slot| slot.phase == Phase::Running) {
            self.running -= 1;
            if self.once {
                let text = "broken off when its node stopped; it may have run".to_owned();
                self.reply(number, End::MayHaveRun, text, 0);
            } else {
                self.unsend(number, now);
            }
        }
    }

    /// Marked items that were not sent, for a release.
    pub fn unsent(&self) -> Vec<u32> {
        let unsent = |slot: &Slot| slot.marked && slot.sent == 0 && slot.phase != Phase::Over;
        self.numbers(unsent)
    }

    /// The marks of these items are in the lane's row.
    pub fn marked(&mut self, numbers: &[u32]) {
        for number in numbers {
            if let Some(slot) = self.slot(*number) {
                slot.marked = true;
            }
        }
    }

    /// Sends an item: returns what to send, and counts it as running.
    pub fn start(&mut self, number: u32) -> Option<Item> {
        let slot = self.slot(number)?;
        if matches!(slot.phase, Phase::Running | Phase::Over | Phase::Recording) {
            return None;
        }
        slot.phase = Phase::Running;
        slot.sent += 1;
        let item = slot.item.clone();
        self.running += 1;
        Some(item)
    }

    /// An item came back from its endpoint.
    pub fn ended(&mut self, now: Time, number: u32, outcome: Outcome<Answer>) {
        let Some(slot) = self.slot(number) else {
            return;
        };
        if slot.phase != Phase::Running {
            return;
        }
        self.running -= 1;
        match outcome {
            Outcome::Done(answer) => self.done(number, answer),
            Outcome::NotRun(refusal) => self.not_run(now, number, &refusal),
            Outcome::MayHaveRun(refusal) => self.doubtful(now, number, &refusal),
        }
    }

    /// What has to go into the next segment, if anything.
    pub fn take_unwritten(&mut self, job: &Name) -> Option<Entry> {
        let unwritten = std::mem::take(&mut self.unwritten);
        if unwritten.replies.is_empty() && unwritten.attempts.is_empty() {
            return None;
        }
        let replies = unwritten.replies.iter().filter_map(|n| self.replies.get(n));
        Some(Entry {
            job: job.clone(),
            chunk: self.number,
            replies: replies.cloned().collect(),
            attempts: unwritten.attempts,
        })
    }

    /// A segment with these attempts and results is in the store.
    pub fn written(&mut self, attempts: &[Attempt], replies: &[u32]) {
        self.settled.extend(replies);
        for attempt in attempts {
            if let Some(slot) = self.slot(attempt.number)
                && slot.phase == Phase::Recording
                && slot.tries == attempt.count
            {
                slot.phase = Phase::Recorded;
            }
        }
    }

    /// True when an item waits for its attempt to be written, so that the flush
    /// should not wait for its period.
    pub fn is_recording(&self) -> bool {
        self.unwritten
            .attempts
            .iter()
            .any(|attempt| attempt.count > 0)
    }

    /// The results, in item order, once [`Chunk::is_over`].
    pub fn replies(&self) -> Vec<Reply> {
        self.replies.values().cloned().collect()
    }

    /// What to commit under `epoch`.
    pub fn committed(&self, epoch: u32) -> Committed {
        let mut counts = Counts::default();
        for reply in self.replies.values() {
            match reply.end {
                End::Done => counts.done += 1,
                End::MayHaveRun => counts.unknown += 1,
                End::Failed | End::Cancelled => counts.failed += 1,
            }
        }
        Committed {
            chunk: self.number,
            epoch,
            counts,
        }
    }

    /// Bytes of prompts and results, for the bound on what a node holds.
    pub fn size(&self) -> usize {
        let prompts = self.slots.iter().map(|slot| slot.item.prompt.len());
        let texts = self.replies.values().map(|reply| reply.text.len());
        prompts.sum::<usize>() + texts.sum::<usize>()
    }

    fn reply(&mut self, number: u32, end: End, text: String, tokens: u32) {
        let Some(slot) = self.slot(number) else {
            return;
        };
        slot.phase = Phase::Over;
        let reply = Reply {
            number,
            key: slot.item.key.clone(),
            end,
            text,
            tokens,
            attempts: slot.sent.max(slot.tries),
        };
        self.replies.insert(number, reply);
        self.unwritten.replies.push(number);
    }

    fn numbers<F>(&self, wanted: F) -> Vec<u32>
    where
        F: Fn(&Slot) -> bool,
    {
        let slots = self.slots.iter().enumerate();
        let found = slots.filter(|(_, slot)| wanted(slot));
        found.map(|(at, _)| self.number_of(at)).collect()
    }

    fn number_of(&self, at: usize) -> u32 {
        self.first + u32::try_from(at).unwrap_or(u32::MAX)
    }

    fn slot(&mut self, number: u32) -> Option<&mut Slot> {
        let at = number.checked_sub(self.first)?;
        self.slots.get_mut(at as usize)
    }
}
