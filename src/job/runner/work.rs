//! A held chunk and its items at endpoints.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::AbortHandle;

use super::{Event, Platform, Runner};
use crate::clock::Time;
use crate::job::change::{self, Change, Place};
use crate::job::chunk::Chunk;
use crate::job::key::Id;
use crate::job::record::Item;
use crate::job::{Execute, lane};
use crate::name::Name;
use crate::outcome::Outcome;
use crate::request::{Answer, Body, Class, Request};
use crate::table::{Store, Table};

/// Longest that one item may take before the dispatcher gives up on it.
const ITEM_TIME: Duration = Duration::from_secs(600);
/// Items marked with one write.
const MARKS: usize = 64;

/// A held chunk.
pub(super) struct Work {
    pub(super) id: Id,
    pub(super) place: Place,
    pub(super) held: lane::Held,
    pub(super) chunk: Chunk,
    pub(super) phase: Phase,
    /// Items at endpoints; dropping the work cancels them there.
    pub(super) running: BTreeMap<u32, Running>,
}

impl Work {
    /// Cancels what runs, for a stop.
    pub(super) fn interrupt(&mut self, now: Time) {
        self.running.clear();
        self.chunk.interrupt(now);
    }
}

/// What is under way for a chunk besides its items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Idle,
    Marking,
    Committing,
}

/// An item at an endpoint, cancelled when dropped.
pub(super) struct Running(AbortHandle);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An item that came back.
pub(super) struct Answered {
    work: u64,
    number: u32,
    outcome: Outcome<Answer>,
}

/// Marks that were written, or not.
pub(super) struct Marked {
    work: u64,
    numbers: Vec<u32>,
    change: Change,
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Sends items of the service, of the earliest due job first.
    pub(super) fn start_items(&mut self, now: Time, service: &Name) {
        let Some(search) = self.services.get(service) else {
            return;
        };
        let unseen = search.unseen.clone();
        let mut room = self.execute.capacity(service).saturating_sub(unseen.get());
        if self.start_alone(service, &unseen, room) {
            return;
        }
        for number in self.in_due_order(service) {
            while room > 0 {
                let next = self
                    .works
                    .get(&number)
                    .and_then(|work| work.chunk.next(now));
                let Some(item) = next else {
                    break;
                };
                self.send(number, item, &unseen);
                room -= 1;
            }
        }
    }

    /// Sends the item that must run alone, once nothing else of the service
    /// runs here. Returns true while others have to wait for it.
    fn start_alone(&mut self, service: &Name, unseen: &Rc<Cell<usize>>, room: usize) -> bool {
        let works = self
            .works
            .iter()
            .filter(|(_, work)| work.place.job.service == *service);
        let mut alone = None;
        let mut running = 0;
        for (number, work) in works {
            running += work.running.len();
            alone = alone.or_else(|| work.chunk.next_alone().map(|item| (*number, item)));
        }
        match alone {
            Some((work, item)) if running == 0 && room > 0 => {
                self.send(work, item, unseen);
                true
            }
            Some(_) => true,
            None => self.runs_alone(service),
        }
    }

    fn runs_alone(&self, service: &Name) -> bool {
        let mut works = self
            .works
            .values()
            .filter(|work| work.place.job.service == *service);
        works.any(|work| work.chunk.is_running_alone())
    }

    pub(super) fn in_due_order(&self, service: &Name) -> Vec<u64> {
        let works = self.works.iter();
        let mut order: Vec<(u64, u64)> = works
            .filter(|(_, work)| {
                work.place.job.service == *service && work.phase != Phase::Committing
            })
            .map(|(number, work)| (work.place.job.due_at_ms, *number))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    fn send(&mut self, number: u64, item: u32, unseen: &Rc<Cell<usize>>) {
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        let Some(content) = work.chunk.start(item) else {
            return;
        };
        let request = request(work, item, content);
        let execute = self.execute.clone();
        let unseen = unseen.clone();
        unseen.set(unseen.get() + 1);
        let task = self.tasks.spawn_local(async move {
            unseen.set(unseen.get() - 1);
            Event::Item(Answered {
                work: number,
                number: item,
                outcome: execute.execute(request).await,
            })
        });
        work.running.insert(item, Running(task));
        self.count(|stats| stats.sent += 1);
    }

    /// Writes the marks of the items that are sent next, before they are sent.
    pub(super) fn mark_items(&mut self) {
        let wanting = |work: &Work| {
            work.phase == Phase::Idle
                && work.chunk.is_once()
                && work.chunk.marked_waiting() < MARKS / 2
        };
        let works: Vec<u64> = self
            .works
            .iter()
            .filter(|(_, work)| wanting(work))
            .map(|(number, _)| *number)
            .collect();
        for number in works {
            self.mark(number);
        }
    }

    fn mark(&mut self, number: u64) {
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        let numbers = work.chunk.unmarked(MARKS);
        if numbers.is_empty() {
            return;
        }
        work.phase = Phase::Marking;
        let place = work.place.clone();
        let epoch = work.held.epoch;
        let settled = work.chunk.settled().to_vec();
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let change = mark(&platform, &place, epoch, &numbers, &settled).await;
            Event::Marked(Marked {
                work: number,
                numbers,
                change,
            })
        });
    }

    pub(super) fn marked(&mut self, marked: &Marked) {
        let Some(work) = self.works.get_mut(&marked.work) else {
            return;
        };
        work.phase = Phase::Idle;
        match marked.change {
            Change::Settled => work.chunk.marked(&marked.numbers),
            Change::Unsure(_) => {}
            Change::Lost | Change::Over => self.lose(marked.work),
        }
    }

    pub(super) fn answered(&mut self, answered: Answered) {
        let now = self.now();
        let Some(work) = self.works.get_mut(&answered.work) else {
            return;
        };
        work.running.remove(&answered.number);
        work.chunk.ended(now, answered.number, answered.outcome);
        if work.chunk.is_over() && work.phase == Phase::Idle {
            self.commit(answered.work);
        }
    }
}

async fn mark<T, S>(
    platform: &Platform<T, S>,
    place: &Place,
    epoch: u32,
    numbers: &[u32],
    settled: &[u32],
) -> Change
where
    T: Table,
{
    let change = change::apply(&platform.table, place, None, None, |lane| {
        lane.mark(epoch, numbers, settled)
    })
    .await;
    if let Change::Unsure(wait) = change {
        tokio::time::sleep(wait).await;
    }
    change
}

fn request(work: &Work, number: u32, item: Item) -> Request {
    let job = &work.place.job;
    Request {
        service: job.service.clone(),
        organisation: job.organisation.clone(),
        key: format!("{}/{number}", work.id).into(),
        once: job.once,
        class: Class::Batch,
        time_left: ITEM_TIME,
        body: Body::Prompt {
            prompt: item.prompt,
            max_tokens: item.max_tokens,
        },
        spills: false,
        resume_from: 0,
        resume_text: "".into(),
    }
}
