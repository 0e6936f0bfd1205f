//! The quarantine of a node whose traffic runs on several threads: one thread decides,
//! the others read what it publishes and tell it what they see.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::Fingerprint;
use super::evidence::{Added, Evidence, Status};
use super::record::Observation;
use crate::clock::{Clock, unix_millis};
use crate::event;
use crate::member::shell::Handle as Members;
use crate::snapshot::Cell;
use crate::wire::control::Note;

/// How often verdicts that are due are looked for.
const TICK: Duration = Duration::from_millis(100);
/// Observations that may wait.
pub const WAITING: usize = 256;

/// The requests that don't stand like any other, at one moment.
#[derive(Debug, Default)]
pub struct Statuses {
    condemned: HashSet<Fingerprint>,
    held: HashSet<Fingerprint>,
    suspects: HashSet<Fingerprint>,
}

impl Statuses {
    /// It is not run any more.
    pub fn is_condemned(&self, request: Fingerprint) -> bool {
        self.condemned.contains(&request)
    }

    /// It is about to be condemned, and not run meanwhile.
    pub fn is_held(&self, request: Fingerprint) -> bool {
        self.held.contains(&request)
    }

    /// That it ran to its end is worth telling.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.suspects.contains(&request)
    }
}

/// What a traffic thread works with; clones share it.
#[derive(Clone, Debug)]
pub struct Handle {
    statuses: Arc<Cell<Statuses>>,
    observed: mpsc::Sender<Report>,
}

/// An observation, and who waits until it is published.
#[derive(Debug)]
pub struct Report {
    observation: Observation,
    done: Option<oneshot::Sender<()>>,
}

impl Handle {
    /// A handle, and what it tells.
    pub fn new() -> (Self, mpsc::Receiver<Report>) {
        let (observed, inbox) = mpsc::channel(WAITING);
        let statuses = Arc::new(Cell::new(Statuses::default()));
        let handle = Self { statuses, observed };
        (handle, inbox)
    }

    /// How requests stand.
    pub fn statuses(&self) -> &Cell<Statuses> {
        &self.statuses
    }

    /// Tells the deciding thread.
    pub fn report(&self, observation: Observation) {
        let done = None;
        // What does not fit is lost like a datagram; the next crash tells as much.
        let _ = self.observed.try_send(Report { observation, done });
    }

    /// The same, and waits until what it leads to is published: the next attempt of the
    /// same request may begin at once.
    pub async fn report_and_wait(&self, observation: Observation) {
        let (done, published) = oneshot::channel();
        let done = Some(done);
        if self.observed.try_send(Report { observation, done }).is_ok() {
            // An error means that the deciding thread has ended.
            let _ = published.await;
        }
    }
}

/// Decides for as long as the thread lives: takes this node's observations, which
/// `members` are told as well, and the `notes` of other nodes.
pub async fn decide(
    clock: Clock,
    members: Members,
    handle: Handle,
    mut observed: mpsc::Receiver<Report>,
    mut notes: mpsc::Receiver<Note>,
) {
    let mut evidence = Evidence::default();
    loop {
        let mut waits = None;
        tokio::select! {
            Some(Report { observation, done }) = observed.recv() => {
                waits = done;
                if take(&clock, &mut evidence, &observation) {
                    let version = match observation {
                        Observation::Crashed(..) => 1,
                        Observation::Completed(_) => unix_millis(),
                    };
                    members.note(observation.note(version));
                }
                evidence.update_blame(clock.now());
            }
            Some(note) = notes.recv() => {
                if let Some(observation) = Observation::read(&note) {
                    take(&clock, &mut evidence, &observation);
                }
            }
            () = sleep(TICK) => {}
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
        handle.statuses.publish(publish(&evidence, &clock));
        if let Some(done) = waits {
            // A failure means that the request has ended.
            let _ = done.send(());
        }
    }
}

/// Takes an observation; true when it was news.
fn take(clock: &Clock, evidence: &mut Evidence, observation: &Observation) -> bool {
    let now = clock.now();
    match observation {
        Observation::Crashed(request, crash, stage) => {
            evidence.add_crash(now, crash.clone(), *request, *stage) == Added::New
        }
        Observation::Completed(request) => evidence.add_completion(now, *request),
    }
}

fn publish(evidence: &Evidence, clock: &Clock) -> Statuses {
    let now = clock.now();
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
