//! Quarantine of a node whose traffic runs on several threads: one thread decides and publishes
//! the statuses of requests, the others read them and report their observations to it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::Fingerprint;
use super::backlog::Backlog;
use super::evidence::{Added, Evidence, Status};
use super::record::Observation;
use crate::clock::{Clock, Time};
use crate::event;
use crate::member::shell::Handle as Members;
use crate::snapshot::Cell;
use crate::wire::control::Note;

/// Interval between checks for verdicts that are due.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the queue of observations.
pub const MAX_QUEUED: usize = 256;

/// The requests whose status is not [`Status::Clear`], as a snapshot.
#[derive(Debug, Default)]
pub struct Statuses {
    condemned: HashSet<Fingerprint>,
    held: HashSet<Fingerprint>,
    suspects: HashSet<Fingerprint>,
    /// Whether the deciding thread was paused a moment ago.
    pub backlog: Backlog,
}

impl Statuses {
    /// True when the request is refused.
    pub fn is_condemned(&self, request: Fingerprint) -> bool {
        self.condemned.contains(&request)
    }

    /// True when the request is about to be condemned and does not run until then.
    pub fn is_held(&self, request: Fingerprint) -> bool {
        self.held.contains(&request)
    }

    /// True when a completion of the request has to be reported.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.suspects.contains(&request)
    }
}

/// Access of a traffic thread to the quarantine; clones share the same state.
#[derive(Clone, Debug)]
pub struct Handle {
    statuses: Arc<Cell<Statuses>>,
    observed: mpsc::Sender<Report>,
}

/// An observation, and the channel that is notified once its effect is published.
#[derive(Debug)]
pub struct Report {
    observation: Observation,
    done: Option<oneshot::Sender<()>>,
}

impl Handle {
    /// Returns a handle, and the receiver of its reports.
    pub fn new() -> (Self, mpsc::Receiver<Report>) {
        let (observed, inbox) = mpsc::channel(MAX_QUEUED);
        let statuses = Arc::new(Cell::new(Statuses::default()));
        let handle = Self { statuses, observed };
        (handle, inbox)
    }

    /// Returns the statuses that are currently published.
    pub fn statuses(&self) -> &Cell<Statuses> {
        &self.statuses
    }

    /// Reports an observation to the deciding thread.
    pub fn report(&self, observation: Observation) {
        let done = None;
        // A report that does not fit is dropped; the next crash reports the same request.
        let _ = self.observed.try_send(Report { observation, done });
    }

    /// Reports an observation and waits until its effect is published, because the next
    /// attempt of the same request may begin immediately.
    pub async fn report_and_wait(&self, observation: Observation) {
        let (done, published) = oneshot::channel();
        let done = Some(done);
        if self.observed.try_send(Report { observation, done }).is_ok() {
            // Fails only when the deciding thread has ended.
            let _ = published.await;
        }
    }
}

/// Runs the deciding task until its thread ends: applies this node's observations, which it
/// also sends to the other `members`, and the `notes` of other nodes.
pub async fn decide(
    clock: Clock,
    members: Members,
    handle: Handle,
    mut observed: mpsc::Receiver<Report>,
    mut notes: mpsc::Receiver<Note>,
) {
    let mut evidence = Evidence::default();
    let mut backlog = Backlog::default();
    loop {
        let mut waits = None;
        tokio::select! {
            Some(Report { observation, done }) = observed.recv() => {
                waits = done;
                if apply(&clock, &mut evidence, &observation) {
                    members.note(observation.note(observation.version()));
                }
                evidence.update_blame();
            }
            Some(note) = notes.recv() => {
                if let Some(observation) = Observation::read(&note) {
                    apply(&clock, &mut evidence, &observation);
                }
            }
            () = sleep(STEP_INTERVAL) => {}
        }
        let now = clock.now();
        for condemnation in evidence.step(now) {
            let endpoints: Vec<&str> = condemnation
                .crashes
                .iter()
                .map(|it| &*it.endpoint)
                .collect();
            log::warn!(
                "{} print={} source=evidence times={} term_s={} endpoints={}",
                event::REQUEST_CONDEMNED,
                condemnation.request,
                condemnation.times,
                condemnation.term.as_secs(),
                endpoints.join(","),
            );
        }
        backlog.step(now);
        handle.statuses.publish(Statuses {
            backlog,
            ..snapshot(&evidence, now)
        });
        if let Some(done) = waits {
            // Fails only when the request has ended.
            let _ = done.send(());
        }
    }
}

/// Applies an observation; returns true when other nodes have to be notified.
fn apply(clock: &Clock, evidence: &mut Evidence, observation: &Observation) -> bool {
    let now = clock.now();
    match observation {
        Observation::Crashed(request, crash, ran) => {
            evidence.add_crash(now, crash.clone(), *request, ran.clone()) == Added::New
        }
        Observation::Completed(request) => evidence.add_completion(now, *request),
        Observation::PartCompleted(part) => evidence.add_part_completion(now, *part),
    }
}

fn snapshot(evidence: &Evidence, now: Time) -> Statuses {
    let mut statuses = Statuses::default();
    for request in evidence.requests() {
        let set = match evidence.status(now, request) {
            Status::Condemned => &mut statuses.condemned,
            Status::Held(_) => &mut statuses.held,
            Status::Suspect => &mut statuses.suspects,
            Status::Clear => continue,
        };
        set.insert(request);
    }
    statuses
}
