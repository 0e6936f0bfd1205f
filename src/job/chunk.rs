//! The items of a held chunk: which item to send next, and the state of each.
//!
//! Items that must run at most once are sent only after their mark is in the lane's row. Items that
//! were in flight when an endpoint failed are isolated: from then on they are sent alone, each time
//! after the attempt was written to the log. An item that crashes whatever runs it is thereby
//! identified, its attempts are bounded, and other items suffer from it only once.

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
mod replay;

/// Number of lost holders after which every open item of a chunk is isolated, because one of them
/// may crash VMs.
const ISOLATION_LOSSES: u32 = 2;
/// State of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// May be sent from this time on.
    Waiting(Time),
    /// Its next isolated attempt is being written to the log.
    Recording,
    /// Its next isolated attempt is in the log.
    Recorded,
    /// At an endpoint.
    Running,
    /// Has its result.
    Finished,
}

#[derive(Clone, Debug)]
struct Slot {
    item: Item,
    phase: Phase,
    sent: u32,
    isolated: bool,
    isolated_attempts: u32,
    marked: bool,
}

/// Data for the next flush.
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
    at_most_once: bool,
    max_attempts: u32,
    slots: Vec<Slot>,
    replies: BTreeMap<u32, Reply>,
    unwritten: Unwritten,
    logged: Vec<u32>,
    running: usize,
}

impl Chunk {
    /// Creates a chunk from the entries that earlier holders left in their logs.
    pub fn new<I>(
        held: &Held,
        first: u32,
        items: I,
        at_most_once: bool,
        max_attempts: u32,
        entries: &[Entry],
    ) -> Self
    where
        I: IntoIterator<Item = Item>,
    {
        let isolated = held.losses >= ISOLATION_LOSSES;
        let slots = items.into_iter().map(|item| Slot {
            item,
            phase: Phase::Waiting(Time::ZERO),
            sent: 0,
            isolated,
            isolated_attempts: 0,
            marked: false,
        });
        let mut chunk = Self {
            number: held.chunk,
            first,
            at_most_once,
            max_attempts,
            slots: slots.collect(),
            replies: BTreeMap::new(),
            unwritten: Unwritten::default(),
            logged: Vec::new(),
            running: 0,
        };
        for entry in entries {
            chunk.replay(entry);
        }
        chunk.fail_marked(&held.marked);
        chunk.fail_exhausted();
        chunk
    }

    /// Returns true if items must run at most once.
    pub const fn is_at_most_once(&self) -> bool {
        self.at_most_once
    }

    /// Returns true if every item has its result.
    pub fn is_finished(&self) -> bool {
        self.replies.len() == self.slots.len()
    }

    /// Number of items at endpoints.
    pub const fn running(&self) -> usize {
        self.running
    }

    /// Number of items that have no result and are not at an endpoint.
    pub fn waiting(&self) -> usize {
        self.slots.len() - self.replies.len() - self.running
    }

    /// Returns the next item to send that need not be isolated.
    pub fn next(&self, now: Time) -> Option<u32> {
        let ready = |slot: &Slot| {
            matches!(slot.phase, Phase::Waiting(from) if from <= now)
                && !slot.isolated
                && (slot.marked || !self.at_most_once)
        };
        self.slots
            .iter()
            .position(ready)
            .map(|at| self.number_of(at))
    }

    /// Returns an item whose isolated attempt is in the log, so that it can be sent as soon as
    /// nothing else runs.
    pub fn next_isolated(&self) -> Option<u32> {
        let ready =
            |slot: &Slot| slot.phase == Phase::Recorded && (slot.marked || !self.at_most_once);
        self.slots
            .iter()
            .position(ready)
            .map(|at| self.number_of(at))
    }

    /// Chooses the next item to isolate, once all others are finished, and adds the attempt to the
    /// next segment.
    pub fn start_isolation(&mut self, now: Time) {
        let busy = |slot: &Slot| {
            matches!(
                slot.phase,
                Phase::Recording | Phase::Recorded | Phase::Running
            ) || (!slot.isolated && slot.phase != Phase::Finished)
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
        slot.isolated_attempts += 1;
        let count = slot.isolated_attempts;
        self.unwritten.attempts.push(Attempt { number, count });
    }

    /// Returns up to `limit` items that need a mark before they can be sent.
    pub fn unmarked(&self, limit: usize) -> Vec<u32> {
        if !self.at_most_once {
            return Vec::new();
        }
        let mut numbers = self.numbers(|slot| slot.phase != Phase::Finished && !slot.marked);
        numbers.truncate(limit);
        numbers
    }

    /// Number of items that are marked and wait to be sent.
    pub fn marked_waiting(&self) -> usize {
        let waiting = |slot: &&Slot| slot.marked && matches!(slot.phase, Phase::Waiting(_));
        self.slots.iter().filter(waiting).count()
    }

    /// Items whose results are in the log, so that their marks are no longer needed.
    pub fn logged(&self) -> &[u32] {
        &self.logged
    }

    /// Returns true while an isolated item runs.
    pub fn is_running_isolated(&self) -> bool {
        let isolated = |slot: &Slot| {
            slot.isolated && slot.phase == Phase::Running && slot.isolated_attempts > 0
        };
        self.slots.iter().any(isolated)
    }

    /// Aborts all running items. Items that must run at most once may have run; the others count as
    /// not sent.
    pub fn interrupt(&mut self, now: Time) {
        for number in self.numbers(|slot| slot.phase == Phase::Running) {
            self.running -= 1;
            if self.at_most_once {
                let text = "broken off when its node stopped; it may have run".to_owned();
                self.reply(number, End::MayHaveRun, text, 0);
            } else {
                self.requeue(number, now);
            }
        }
    }

    /// Marked items that were not sent, whose marks a release removes.
    pub fn unsent(&self) -> Vec<u32> {
        let unsent = |slot: &Slot| slot.marked && slot.sent == 0 && slot.phase != Phase::Finished;
        self.numbers(unsent)
    }

    /// Records that the marks of these items are in the lane's row.
    pub fn marked(&mut self, numbers: &[u32]) {
        for number in numbers {
            if let Some(slot) = self.slot(*number) {
                slot.marked = true;
            }
        }
    }

    /// Marks an item as running and returns its content.
    pub fn start(&mut self, number: u32) -> Option<Item> {
        let slot = self.slot(number)?;
        if matches!(
            slot.phase,
            Phase::Running | Phase::Finished | Phase::Recording
        ) {
            return None;
        }
        slot.phase = Phase::Running;
        slot.sent += 1;
        let item = slot.item.clone();
        self.running += 1;
        Some(item)
    }

    /// Records the outcome of an item from its endpoint.
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
            Outcome::MayHaveRun(refusal) => self.may_have_run(now, number, &refusal),
        }
    }

    /// Takes the data for the next segment, if there is any.
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

    /// Records that a segment with these attempts and results is in the store.
    pub fn written(&mut self, attempts: &[Attempt], replies: &[u32]) {
        self.logged.extend(replies);
        for attempt in attempts {
            if let Some(slot) = self.slot(attempt.number)
                && slot.phase == Phase::Recording
                && slot.isolated_attempts == attempt.count
            {
                slot.phase = Phase::Recorded;
            }
        }
    }

    /// Returns true if an item waits for its attempt to be written, so that the flush should not
    /// wait for its interval.
    pub fn is_recording(&self) -> bool {
        self.unwritten
            .attempts
            .iter()
            .any(|attempt| attempt.count > 0)
    }

    /// The results in item order, once [`Chunk::is_finished`].
    pub fn replies(&self) -> Vec<Reply> {
        self.replies.values().cloned().collect()
    }

    /// The record to commit under `epoch`.
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

    /// Bytes of prompts and results in memory.
    pub fn size(&self) -> usize {
        let prompts = self.slots.iter().map(|slot| slot.item.prompt.len());
        let texts = self.replies.values().map(|reply| reply.text.len());
        prompts.sum::<usize>() + texts.sum::<usize>()
    }

    fn reply(&mut self, number: u32, end: End, text: String, tokens: u32) {
        let Some(slot) = self.slot(number) else {
            return;
        };
        slot.phase = Phase::Finished;
        let reply = Reply {
            number,
            key: slot.item.key.clone(),
            end,
            text,
            tokens,
            attempts: slot.sent.max(slot.isolated_attempts),
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
