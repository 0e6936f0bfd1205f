//! The quarantine of a node whose traffic runs on several threads: one thread decides,
//! the others read what it publishes and tell it what they see.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::Fingerprint;
use super::evidence::{Added, Evidence, Standing};
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
pub struct Standings {
    condemned: HashSet<Fingerprint>,
    held: HashSet<Fingerprint>,
    suspects: HashSet<Fingerprint>,
}

impl Standings {
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
    standings: Arc<Cell<Standings>>,
    observed: mpsc::Sender<Told>,
}

/// An observation, and who waits until it is published.
#[derive(Debug)]
pub struct Told {
    observation: Observation,
    done: Option<oneshot::Sender<()>>,
}

impl Handle {
    /// A handle, and what it tells.
    pub fn new() -> (Self, mpsc::Receiver<Told>) {
        let (observed, inbox) = mpsc::channel(WAITING);
        let standings = Arc::new(Cell::new(Standings::default()));
        let handle = Self {
            standings,
            observed,
        };
        (handle, inbox)
    }

    /// How requests stand.
    pub fn standings(&self) -> &Cell<Standings> {
        &self.standings
    }

    /// Tells the deciding thread.
    pub fn tell(&self, observation: Observation) {
        let done = None;
        // What does not fit is lost like a datagram; the next crash tells as much.
        let _ = self.observed.try_send(Told { observation, done });
    }

    /// The same, and waits until what it leads to is published: the next attempt of the
    /// same request may begin at once.
    pub async fn tell_first(&self, observation: Observation) {
        let (done, published) = oneshot::channel();
        let done = Some(done);
        if self.observed.try_send(Told { observation, done }).is_ok() {
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
    mut observed: mpsc::Receiver<Told>,
    mut notes: mpsc::Receiver<Note>,
) {
    let mut evidence = Evidence::default();
    loop {
        let mut waits = None;
        tokio::select! {
            Some(Told { observation, done }) = observed.recv() => {
                waits = done;
                if take(&clock, &mut evidence, &observation) {
                    let version = match observation {
                        Observation::Crashed(..) => 1,
                        Observation::Sound(_) => unix_millis(),
                    };
                    members.note(observation.note(version));
                }
                evidence.weigh(clock.now());
            }
            Some(note) = notes.recv() => {
                if let Some(observation) = Observation::read(&note) {
                    take(&clock, &mut evidence, &observation);
                }
            }
            () = sleep(TICK) => {}
        }
        let now = clock.now();
        for conviction in evidence.step(now) {
            let endpoints: Vec<&str> = conviction.crashes.iter().map(|it| &*it.endpoint).collect();
            log::warn!(
                "{} print={} source=evidence times={} term_s={} endpoints={}",
                event::REQUEST_CONDEMNED,
                conviction.request,
                conviction.times,
                conviction.term.as_secs(),
                endpoints.join(","),
            );
        }
        handle.standings.publish(publish(&evidence, &clock));
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
        Observation::Crashed(request, crash, moment) => {
            evidence.add(now, crash.clone(), *request, *moment) == Added::New
        }
        Observation::Sound(request) => evidence.clear(now, *request),
    }
}

fn publish(evidence: &Evidence, clock: &Clock) -> Standings {
    let now = clock.now();
    let mut standings = Standings::default();
    for request in evidence.requests() {
        let set = match evidence.standing(now, request) {
            Standing::Condemned => &mut standings.condemned,
            Standing::Held(_) => &mut standings.held,
            Standing::Suspect => &mut standings.suspects,
            Standing::Clear => continue,
        };
        set.insert(request);
    }
    standings
}
