//! Runs one item of a job at an endpoint. After a stop or a failure the item is queued again and
//! resumes at another endpoint.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt as _;
use hyper::StatusCode;

use super::commit::RETRY_DELAY;
use super::item::{Partial, State};
use super::shell::{Jobs, Pending};
use super::work::{Slot, Work};
use crate::answer::{self, Content, Framing, Reader};
use crate::catalog::Endpoint;
use crate::clock;
use crate::connect::process::{self, Fault};
use crate::event;
use crate::name::Name;
use crate::origin::Origin;
use crate::permit::{Claim, Permit};
use crate::platform::forward::{self, Forward, Verdict};
use crate::pool::message::{Class, End, Requirements};
use crate::quarantine::Fingerprint;
use crate::quarantine::detector::Run;
use crate::quarantine::loss::Finding;
use crate::split::{self, Events};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// An endpoint that sends nothing for this long is given up. Events arrive every 20 ms, or every
/// 100 ms from an endpoint that is five times as slow.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a batch item waits at one pool before it tries another. If the service has one pool,
/// the item keeps its place there, which depends on its due time.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest output of an item, in bytes: the most that a page of results may have. A faulty endpoint
/// may send events without end.
const MAX_OUTPUT_BYTES: usize = 1_000_000;

/// How a run ended.
enum Exit {
    /// The output is complete.
    Done,
    /// The item can never be completed.
    Impossible,
    /// The endpoint answered with an error.
    Failed,
    /// Any other interruption, which does not count as a failure of the item.
    Interrupted(End, &'static str),
    /// The endpoint crashed, which does not count as a failure of the item either.
    Crashed {
        /// How the run failed.
        why: &'static str,
        /// Delay before the next run.
        delay: Duration,
    },
    /// The pool reclaimed the slot.
    Stopped,
}

/// Runs an item once; output that it produced is kept in memory for the next run.
pub(super) async fn run(jobs: Rc<Jobs>, work: Rc<Work>, item: usize, pending: Pending) {
    let Some((service, forward, attempts)) = prepare(&jobs, &work, item) else {
        drop(pending);
        return requeue(&jobs, &work, item, "no_route");
    };
    let origin = settle_origin(&jobs, &work, item, &service);
    let now = jobs.now();
    let requirements = Requirements {
        class: Class::Batch,
        priority: u8::MAX,
        zone: jobs.setup.zone.clone(),
        max_wait: QUEUE_TIMEOUT,
        due: work.urgency(now, item, &jobs.estimator).since(now),
        prefix: 0,
        organisation: work.organisation_hash(),
        request: Fingerprint(hash(&work.items[item].id)),
        suspect: false,
        avoid: work.failed_at.borrow()[item].clone(),
        software: origin.as_ref().map(|origin| origin.software.clone()),
    };
    let claim = Claim {
        service: service.clone(),
        requirements,
    };
    let permit = jobs.setup.broker.acquire(claim).await;
    drop(pending);
    jobs.schedule();
    let Ok(permit) = permit else {
        return requeue(&jobs, &work, item, "no_place");
    };
    log::debug!(
        "{} job={} id={} endpoint={} last={:?}",
        event::ITEM_STARTED,
        work.id,
        work.items[item].id,
        permit.endpoint.id,
        work.partials.borrow()[item].last,
    );
    if let Some(origin) = &origin {
        let software = permit.endpoint.software.as_ref();
        let count = &jobs.setup.count;
        count.resumption("job", Some(&origin.software), software);
    }
    let written = Cell::new(0);
    let began = jobs.now();
    let is_first = work.partials.borrow()[item].last.is_none();
    let exit = tokio::select! {
        // Reclaiming the slot has priority.
        biased;
        () = permit.stopped() => Exit::Stopped,
        exit = exchange(&jobs, &work, item, &forward, &service, &permit, &written) => exit,
    };
    let took = jobs.now().since(began);
    work.run_time.borrow_mut()[item] += took;
    if is_first && matches!(exit, Exit::Done) {
        jobs.estimator.record(work.items[item].tokens, took);
    }
    let exit = match exit {
        Exit::Interrupted(End::Error, why) => {
            let run = Run {
                id: &work.items[item].id,
                subject: None,
                written: written.get(),
                ran: took,
                why,
            };
            match jobs.setup.detector.investigate(&permit.endpoint, run).await {
                Finding::Crashed => Exit::Crashed {
                    why,
                    delay: work.record_crash(item, written.get() > 0),
                },
                Finding::NotCrashed | Finding::Undecided => Exit::Interrupted(End::Error, why),
            }
        }
        exit => exit,
    };
    finish(&jobs, &work, item, attempts, permit, &exit);
}

/// Returns what began an item's output so far. Output that no endpoint can resume is dropped, so
/// that the item begins anew: nobody has seen it yet.
fn settle_origin(jobs: &Jobs, work: &Work, item: usize, service: &Name) -> Option<Origin> {
    let why = {
        let partials = work.partials.borrow();
        let partial = &partials[item];
        if partial.is_empty() {
            return None;
        }
        let catalog = jobs.setup.catalog.read();
        let endpoints = &catalog.endpoints;
        match &partial.origin {
            None => "origin_unknown",
            Some(origin) if origin.service != *service => "origin_moved",
            // While no endpoint is ready, the version may come back first.
            Some(origin)
                if endpoints.slots_of(service, &origin.software).is_none()
                    && endpoints.slots(service).is_some() =>
            {
                "version_gone"
            }
            Some(origin) => return Some(origin.clone()),
        }
    };
    report_stop(jobs, work, item, why);
    drop_output(work, item);
    None
}

/// Drops an item's output so far, so that it begins anew.
fn drop_output(work: &Work, item: usize) {
    work.partials.borrow_mut()[item] = Partial::default();
    work.run_time.borrow_mut()[item] = Duration::ZERO;
}

fn prepare(jobs: &Jobs, work: &Work, item: usize) -> Option<(Name, Forward, u32)> {
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

async fn exchange(
    jobs: &Jobs,
    work: &Work,
    item: usize,
    forward: &Forward,
    service: &Name,
    permit: &Permit,
    written: &Cell<u32>,
) -> Exit {
    let endpoint = &permit.endpoint;
    let last = work.partials.borrow()[item].last;
    let mut conn = match process::open(endpoint, last.is_some(), CONNECT_TIMEOUT).await {
        Ok(conn) => conn,
        Err(Fault::Unreachable) => return Exit::Interrupted(End::Failed, "connect"),
        Err(Fault::Replaced) => return Exit::Interrupted(End::Left, "replaced"),
    };
    // The process may have been paused since the item was scheduled.
    if jobs.is_behind() {
        return Exit::Interrupted(End::Left, "jobs_unread");
    }
    let Ok(request) = forward.request(endpoint, None, last) else {
        return Exit::Impossible;
    };
    let response = match clock::within(IDLE_TIMEOUT, conn.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => return Exit::Interrupted(End::Error, "broken_before_head"),
        Err(_) => return Exit::Interrupted(End::Error, "silent_before_head"),
    };
    match forward::classify(&response, &forward.id) {
        Verdict::Full => return Exit::Interrupted(End::Full, "full"),
        Verdict::Misdirected => return Exit::Interrupted(End::Failed, "elsewhere"),
        Verdict::Unverified => return Exit::Interrupted(End::Error, "foreign_answer"),
        Verdict::Unprocessable => return Exit::Impossible,
        Verdict::Failed if response.status() == StatusCode::INTERNAL_SERVER_ERROR => {
            return Exit::Failed;
        }
        Verdict::Failed => return Exit::Interrupted(End::Error, "endpoint_error"),
        Verdict::Answer => {}
    }
    if !forward::is_event_stream(&response) {
        return Exit::Interrupted(End::Error, "unexpected_answer");
    }
    let mut reader = Reader::new(Framing::of(&response), Content::Resumable, last);
    let mut body = response.into_body();
    loop {
        let frame = match clock::within(IDLE_TIMEOUT, body.frame()).await {
            Err(_) => return Exit::Interrupted(End::Error, "silent"),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Exit::Interrupted(End::Error, "broken_stream"),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if let Some(events) = reader.push(bytes) {
            append(work, item, &events, service, endpoint);
            permit.mark_answering();
            written.set(written.get() + 1);
            if work.partials.borrow()[item].output.len() > MAX_OUTPUT_BYTES {
                drop_output(work, item);
                return Exit::Interrupted(End::Error, "output_size");
            }
        }
        if let Some(fault) = reader.fault() {
            return Exit::Interrupted(End::Error, fault.reason());
        }
    }
    let end = reader.end(last.is_some());
    jobs.setup.count.answer(reader.framing(), end);
    match end {
        answer::End::Whole
            if reader.framing() == Framing::Connection
                && jobs.setup.detector.has_ended(endpoint).await =>
        {
            Exit::Interrupted(End::Error, "process_ended")
        }
        answer::End::Whole => Exit::Done,
        answer::End::InsideEvent | answer::End::NoEvent => {
            Exit::Interrupted(End::Error, "truncated")
        }
    }
}

/// Appends whole events of an endpoint to an item's output.
fn append(work: &Work, item: usize, events: &Events, service: &Name, endpoint: &Endpoint) {
    let mut partials = work.partials.borrow_mut();
    let partial = &mut partials[item];
    if partial.is_empty() {
        partial.origin = endpoint.software.clone().map(|software| Origin {
            service: service.clone(),
            software,
        });
    }
    for data in split::data(&events.bytes) {
        partial.push(&String::from_utf8_lossy(&data));
    }
    partial.last = events.last;
}

fn finish(
    jobs: &Rc<Jobs>,
    work: &Rc<Work>,
    item: usize,
    attempts: u32,
    permit: Permit,
    exit: &Exit,
) {
    match exit {
        Exit::Done => {
            permit.finish(End::Done);
            record_outcome(jobs, work, item, State::Done, "done");
        }
        Exit::Impossible => {
            permit.finish(End::Done);
            record_outcome(jobs, work, item, State::Failed, "impossible");
        }
        Exit::Failed => {
            // The failure counts against the item, but another endpoint may complete it.
            work.failed_at.borrow_mut()[item].push(permit.endpoint.id.clone());
            permit.finish(End::Error);
            let failures = {
                let mut failures = work.failures.borrow_mut();
                failures[item] += 1;
                failures[item]
            };
            if failures >= attempts {
                record_outcome(jobs, work, item, State::Failed, "attempts_used");
            } else {
                report_stop(jobs, work, item, "endpoint_error");
                work.set(item, Slot::FailureUnstored);
                jobs.commit(work);
            }
        }
        Exit::Crashed { why, delay } => {
            permit.finish(End::Crashed);
            requeue_after(jobs, work, item, *delay, why);
        }
        Exit::Interrupted(end, why) => {
            permit.finish(*end);
            requeue(jobs, work, item, why);
        }
        Exit::Stopped => {
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

/// Records the final outcome of an item.
fn record_outcome(jobs: &Rc<Jobs>, work: &Rc<Work>, item: usize, state: State, why: &'static str) {
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

/// Queues an item to run again after the usual delay.
fn requeue(jobs: &Rc<Jobs>, work: &Rc<Work>, item: usize, why: &'static str) {
    requeue_after(jobs, work, item, RETRY_DELAY, why);
}

/// Queues an item to run again after a delay.
fn requeue_after(jobs: &Jobs, work: &Work, item: usize, delay: Duration, why: &'static str) {
    report_stop(jobs, work, item, why);
    work.set(item, Slot::Ready(jobs.now() + delay));
}

/// Logs and counts a run that ended without an outcome.
fn report_stop(jobs: &Jobs, work: &Work, item: usize, why: &'static str) {
    log::info!(
        "{} job={} id={} why={why} last={:?}",
        event::ITEM_STOPPED,
        work.id,
        work.items[item].id,
        work.partials.borrow()[item].last,
    );
    jobs.setup.count.item(why);
}
