//! A held chunk and its items at endpoints.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::AbortHandle;

use super::{Event, Platform, Runner};
use crate::clock::Time;
use crate::job::change::{self, Resolution, Target};
use crate::job::chunk::Chunk;
use crate::job::key::Id;
use crate::job::record::Item;
use crate::job::{Execute, lane};
use crate::name::Name;
use crate::outcome::Outcome;
use crate::request::{Answer, Body, Class, Request};
use crate::table::{Store, Table};

/// Time limit for one item at the dispatcher.
const ITEM_TIMEOUT: Duration = Duration::from_secs(600);
/// Most items marked by one write.
const MAX_MARKS: usize = 64;

/// A held chunk.
pub(super) struct Work {
    pub(super) id: Id,
    pub(super) target: Target,
    pub(super) held: lane::Held,
    pub(super) chunk: Chunk,
    pub(super) phase: Phase,
    /// Items at endpoints; dropping them cancels them there.
    pub(super) running: BTreeMap<u32, Running>,
}

impl Work {
    /// Cancels all running items, for a stop.
    pub(super) fn interrupt(&mut self, now: Time) {
        self.running.clear();
        self.chunk.interrupt(now);
    }
}

/// Operation in progress for a chunk, besides its items.
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

/// An item with its outcome.
pub(super) struct Answered {
    work: u64,
    number: u32,
    outcome: Outcome<Answer>,
}

/// Result of writing marks.
pub(super) struct Marked {
    work: u64,
    numbers: Vec<u32>,
    resolution: Resolution,
}

impl<T, S, E> Runner<T, S, E>
where
    T: Table + 'static,
    S: Store + 'static,
    E: Execute + 'static,
{
    /// Sends items of the service, in order of due times.
    pub(super) fn start_items(&mut self, now: Time, service: &Name) {
        let Some(backlog) = self.services.get(service) else {
            return;
        };
        let unpolled = backlog.unpolled.clone();
        let mut room = self
            .execute
            .capacity(service)
            .saturating_sub(unpolled.get());
        if self.start_isolated(service, &unpolled, room) {
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
                self.send(number, item, &unpolled);
                room -= 1;
            }
        }
    }

    /// Sends an isolated item once nothing else of the service runs on this node. Returns true
    /// while other items have to wait for it.
    fn start_isolated(&mut self, service: &Name, unpolled: &Rc<Cell<usize>>, room: usize) -> bool {
        let works = self
            .works
            .iter()
            .filter(|(_, work)| work.target.job.service == *service);
        let mut isolated = None;
        let mut running = 0;
        for (number, work) in works {
            running += work.running.len();
            isolated = isolated.or_else(|| work.chunk.next_isolated().map(|item| (*number, item)));
        }
        match isolated {
            Some((work, item)) if running == 0 && room > 0 => {
                self.send(work, item, unpolled);
                true
            }
            Some(_) => true,
            None => self.runs_isolated(service),
        }
    }

    fn runs_isolated(&self, service: &Name) -> bool {
        let mut works = self
            .works
            .values()
            .filter(|work| work.target.job.service == *service);
        works.any(|work| work.chunk.is_running_isolated())
    }

    pub(super) fn in_due_order(&self, service: &Name) -> Vec<u64> {
        let works = self.works.iter();
        let mut order: Vec<(u64, u64)> = works
            .filter(|(_, work)| {
                work.target.job.service == *service && work.phase != Phase::Committing
            })
            .map(|(number, work)| (work.target.job.due_at_ms, *number))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, number)| number).collect()
    }

    fn send(&mut self, number: u64, item: u32, unpolled: &Rc<Cell<usize>>) {
        let Some(work) = self.works.get_mut(&number) else {
            return;
        };
        let Some(content) = work.chunk.start(item) else {
            return;
        };
        let request = request(work, item, content);
        let execute = self.execute.clone();
        let unpolled = unpolled.clone();
        unpolled.set(unpolled.get() + 1);
        let task = self.tasks.spawn_local(async move {
            unpolled.set(unpolled.get() - 1);
            Event::Item(Answered {
                work: number,
                number: item,
                outcome: execute.execute(request).await,
            })
        });
        work.running.insert(item, Running(task));
        self.count(|stats| stats.sent += 1);
    }

    /// Writes the marks of the items to send next, before they are sent.
    pub(super) fn mark_items(&mut self) {
        let wanting = |work: &Work| {
            work.phase == Phase::Idle
                && work.chunk.is_at_most_once()
                && work.chunk.marked_waiting() < MAX_MARKS / 2
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
        let numbers = work.chunk.unmarked(MAX_MARKS);
        if numbers.is_empty() {
            return;
        }
        work.phase = Phase::Marking;
        let target = work.target.clone();
        let epoch = work.held.epoch;
        let logged = work.chunk.logged().to_vec();
        let platform = self.platform.clone();
        self.tasks.spawn_local(async move {
            let resolution = mark(&platform, &target, epoch, &numbers, &logged).await;
            Event::Marked(Marked {
                work: number,
                numbers,
                resolution,
            })
        });
    }

    pub(super) fn marked(&mut self, marked: &Marked) {
        let Some(work) = self.works.get_mut(&marked.work) else {
            return;
        };
        work.phase = Phase::Idle;
        match marked.resolution {
            Resolution::Applied => work.chunk.marked(&marked.numbers),
            Resolution::Unknown(_) => {}
            Resolution::Superseded | Resolution::Inactive => self.abandon(marked.work),
        }
    }

    pub(super) fn answered(&mut self, answered: Answered) {
        let now = self.now();
        let Some(work) = self.works.get_mut(&answered.work) else {
            return;
        };
        work.running.remove(&answered.number);
        work.chunk.ended(now, answered.number, answered.outcome);
        if work.chunk.is_finished() && work.phase == Phase::Idle {
            self.commit(answered.work);
        }
    }
}

async fn mark<T, S>(
    platform: &Platform<T, S>,
    target: &Target,
    epoch: u32,
    numbers: &[u32],
    logged: &[u32],
) -> Resolution
where
    T: Table,
{
    let resolution = change::apply(&platform.table, target, None, None, |lane| {
        lane.mark(epoch, numbers, logged)
    })
    .await;
    if let Resolution::Unknown(wait) = resolution {
        tokio::time::sleep(wait).await;
    }
    resolution
}

fn request(work: &Work, number: u32, item: Item) -> Request {
    let job = &work.target.job;
    Request {
        service: job.service.clone(),
        organisation: job.organisation.clone(),
        key: format!("{}/{number}", work.id).into(),
        once: job.once,
        class: Class::Batch,
        time_left: ITEM_TIMEOUT,
        body: Body::Prompt {
            prompt: item.prompt,
            max_tokens: item.max_tokens,
        },
        spills: false,
        resume_from: 0,
        resume_text: "".into(),
    }
}
