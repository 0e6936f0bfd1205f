//! Runs one item of a job at an endpoint, and goes on elsewhere after a stop or
//! a failure.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt as _;
use hyper::StatusCode;
use tokio::time::timeout;

use super::commit::FAILED_PAUSE;
use super::item::State;
use super::shell::{Asking, Jobs};
use super::work::{Slot, Work};
use crate::connect;
use crate::event;
use crate::permit::{Permit, Want};
use crate::platform::forward::{self, Forward, Verdict};
use crate::pool::message::{Ask, Class, End};
use crate::quarantine::evidence::Standing;
use crate::quarantine::loss::Finding;
use crate::quarantine::ward::Run;
use crate::split::{self, Splitter};

/// Most time to connect to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// An endpoint that sends nothing for so long is given up; events come every
/// 20 ms, and every 100 ms at one that is five times as slow.
const SILENCE: Duration = Duration::from_secs(1);
/// How long a batch item waits at one pool before it tries another; where the
/// service has one pool it keeps its turn by its due time anyway.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// How a run ended.
enum Ended {
    /// The output is whole.
    Done,
    /// The item can never be done.
    Impossible,
    /// The endpoint answered that it failed.
    Failed,
    /// Something else went wrong; it counts for nothing.
    Broken(End, &'static str),
    /// The pool wanted the place back.
    Stopped,
    /// It crashes endpoints.
    Condemned,
}

/// Runs an item once; what it brought stays in the job's memory.
pub(super) async fn run(jobs: Rc<Jobs>, work: Rc<Work>, item: usize, asking: Asking) {
    let Some((service, forward, attempts)) = prepare(&jobs, &work, item) else {
        drop(asking);
        return back(&jobs, &work, item, "no_route");
    };
    let ward = Rc::clone(&jobs.setup.ward);
    let request = work.print(item);
    let suspect = match ward.standing(request) {
        Standing::Condemned => return condemned(&jobs, &work, item),
        Standing::Held(_) => return back(&jobs, &work, item, "held"),
        Standing::Suspect => true,
        Standing::Clear => false,
    };
    let now = jobs.now();
    let want = Want {
        service,
        ask: Ask {
            class: Class::Batch,
            priority: u8::MAX,
            zone: jobs.setup.zone.clone(),
            patience: PATIENCE,
            due: work.urgency(now, item, &jobs.pace).since(now),
            prefix: 0,
            organisation: work.organisation(),
            request,
            suspect,
            avoid: work.failed_at.borrow()[item].clone(),
        },
    };
    let permit = jobs.setup.desk.acquire(want).await;
    drop(asking);
    jobs.schedule();
    let Ok(permit) = permit else {
        return back(&jobs, &work, item, "no_place");
    };
    log::debug!(
        "{} job={} id={} endpoint={} last={:?}",
        event::ITEM_STARTED,
        work.id,
        work.items[item].id,
        permit.endpoint.id,
        work.partials.borrow()[item].last,
    );
    let began = jobs.now();
    let is_first = work.partials.borrow()[item].last.is_none();
    let ended = tokio::select! {
        // A slot that is wanted back goes first.
        biased;
        () = permit.stopped() => Ended::Stopped,
        () = ward.condemned(request) => Ended::Condemned,
        ended = exchange(&work, item, &forward, &permit) => ended,
    };
    let took = jobs.now().since(began);
    work.ran.borrow_mut()[item] += took;
    if is_first && matches!(ended, Ended::Done) {
        jobs.pace.learn(work.items[item].tokens, took);
    }
    let ended = match ended {
        Ended::Broken(End::Error, why) => {
            let run = Run {
                id: &work.items[item].id,
                request,
                ran: took,
                why,
            };
            match ward.lost(&permit.endpoint, run).await {
                Finding::Crashed => Ended::Broken(End::Crashed, why),
                Finding::Innocent | Finding::Open => Ended::Broken(End::Error, why),
            }
        }
        Ended::Done => {
            ward.sound(request);
            Ended::Done
        }
        ended => ended,
    };
    finish(&jobs, &work, item, attempts, permit, &ended);
}

fn prepare(jobs: &Jobs, work: &Work, item: usize) -> Option<(crate::name::Name, Forward, u32)> {
    let entry = work.entry.borrow();
    let spec = &work.items[item];
    let config = jobs.config()?;
    let route = config.route(&entry.record.host, &spec.path)?;
    let service = route.service(hash(&spec.id))?.clone();
    let forward = Forward::item(
        &entry.record.host,
        &spec.path,
        &spec.headers,
        spec.body.clone(),
        &spec.id,
        entry.record.organisation.as_deref(),
    )
    .ok()?;
    Some((service, forward, route.attempts))
}

fn hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

async fn exchange(work: &Work, item: usize, forward: &Forward, permit: &Permit) -> Ended {
    let endpoint = &permit.endpoint;
    let Ok(mut conn) = connect::open(endpoint.address, CONNECT_TIMEOUT).await else {
        return Ended::Broken(End::Failed, "connect");
    };
    let last = work.partials.borrow()[item].last;
    let Ok(request) = forward.request(endpoint, None, last) else {
        return Ended::Impossible;
    };
    let response = match timeout(SILENCE, conn.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => return Ended::Broken(End::Error, "broken_before_head"),
        Err(_) => return Ended::Broken(End::Error, "silent_before_head"),
    };
    match forward::verdict(&response, &forward.id) {
        Verdict::Full => return Ended::Broken(End::Full, "full"),
        Verdict::Elsewhere => return Ended::Broken(End::Failed, "elsewhere"),
        Verdict::Foreign => return Ended::Broken(End::Error, "foreign_answer"),
        Verdict::Impossible => return Ended::Impossible,
        Verdict::Failed if response.status() == StatusCode::INTERNAL_SERVER_ERROR => {
            return Ended::Failed;
        }
        Verdict::Failed => return Ended::Broken(End::Error, "endpoint_error"),
        Verdict::Answer => {}
    }
    if !response.status().is_success() || !forward::is_stream(response.headers()) {
        return Ended::Broken(End::Error, "unexpected_answer");
    }
    let mut body = response.into_body();
    let mut splitter = Splitter::default();
    loop {
        let frame = match timeout(SILENCE, body.frame()).await {
            Err(_) => return Ended::Broken(End::Error, "silent"),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Ended::Broken(End::Error, "broken_stream"),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        match splitter.push(&bytes) {
            Ok(None) => {}
            Ok(Some(events)) => {
                if !take(work, item, &events) {
                    return Ended::Broken(End::Error, "event_order");
                }
                permit.begun();
            }
            Err(_) => return Ended::Broken(End::Error, "event_size"),
        }
    }
    if !splitter.rest().is_empty() || work.partials.borrow()[item].last.is_none() {
        return Ended::Broken(End::Error, "truncated");
    }
    Ended::Done
}

/// Adds whole events to what an item has; false when they don't follow on it.
fn take(work: &Work, item: usize, events: &split::Events) -> bool {
    let mut partials = work.partials.borrow_mut();
    let partial = &mut partials[item];
    if let (Some(first), Some(last)) = (events.first, partial.last)
        && first <= last
    {
        return false;
    }
    for data in split::data(&events.bytes) {
        partial.push(&String::from_utf8_lossy(&data));
    }
    partial.last = events.last.or(partial.last);
    true
}

fn finish(
    jobs: &Rc<Jobs>,
    work: &Rc<Work>,
    item: usize,
    attempts: u32,
    permit: Permit,
    ended: &Ended,
) {
    match ended {
        Ended::Done => {
            permit.finish(End::Done);
            settle(jobs, work, item, State::Done, "done");
        }
        Ended::Impossible => {
            permit.finish(End::Done);
            settle(jobs, work, item, State::Failed, "impossible");
        }
        Ended::Failed => {
            // It counts against the item; another endpoint may do better.
            work.failed_at.borrow_mut()[item].push(permit.endpoint.id.clone());
            permit.finish(End::Error);
            let failures = {
                let mut failures = work.failures.borrow_mut();
                failures[item] += 1;
                failures[item]
            };
            if failures >= attempts {
                settle(jobs, work, item, State::Failed, "attempts_used");
            } else {
                stopped(jobs, work, item, "endpoint_error");
                work.set(item, Slot::Failing);
                jobs.commit(work);
            }
        }
        Ended::Broken(end, why) => {
            permit.finish(*end);
            back(jobs, work, item, why);
        }
        Ended::Condemned => {
            permit.finish(End::Left);
            condemned(jobs, work, item);
        }
        Ended::Stopped => {
            permit.finish(End::Stopped);
            jobs.setup.count.item("stopped");
            log::debug!(
                "{} job={} id={} last={:?}",
                event::ITEM_STOPPED,
                work.id,
                work.items[item].id,
                work.partials.borrow()[item].last,
            );
            work.set(item, Slot::Ready(jobs.now()));
            jobs.schedule();
        }
    }
}

/// An item has its final outcome.
fn settle(jobs: &Rc<Jobs>, work: &Rc<Work>, item: usize, state: State, why: &'static str) {
    let event = match state {
        State::Done => event::ITEM_DONE,
        State::Failed => event::ITEM_FAILED,
    };
    log::info!(
        "{event} job={} id={} why={why}",
        work.id,
        work.items[item].id
    );
    jobs.setup.count.item(why);
    work.finish(item, state);
    jobs.commit(work);
}

/// An item waits a moment and is run again.
fn back(jobs: &Rc<Jobs>, work: &Rc<Work>, item: usize, why: &'static str) {
    stopped(jobs, work, item, why);
    work.set(item, Slot::Ready(jobs.now() + FAILED_PAUSE));
}

/// The item crashes endpoints. It is not run any more, and listed as failed when its
/// job's lifetime ends: until then its caller is owed that it is tried.
fn condemned(jobs: &Rc<Jobs>, work: &Rc<Work>, item: usize) {
    stopped(jobs, work, item, "condemned");
    work.set(item, Slot::Ready(work.expires));
}

/// Tells that a run ended without an outcome.
fn stopped(jobs: &Jobs, work: &Work, item: usize, why: &'static str) {
    log::info!(
        "{} job={} id={} why={why} last={:?}",
        event::ITEM_STOPPED,
        work.id,
        work.items[item].id,
        work.partials.borrow()[item].last,
    );
    jobs.setup.count.item(why);
}
