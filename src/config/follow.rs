//! Which version of the configuration this node may act by, as a pure
//! decision.
//!
//! A node acts by a document only while it knows that the document was current
//! at most [`EVIDENCE_TTL`] ago. It knows so by one of two things: the table said so,
//! to this node or to a peer that answers it; or the platform is down for most
//! of the fleet, so that nothing newer can have been accepted. A node that
//! knows neither (it is cut off, was paused, or has just started) refuses work.
//! docs/design/config.md has the argument; [`super::commit::Announce`] is its
//! other half.
//!
//! All evidence is dated by when this node *asked*, never by when the answer
//! was read: a node that was paused finds old answers in its buffers, and they
//! must not look new.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Document;
use super::row::Pointer;
use crate::clock::Time;
use crate::name::Name;
use crate::table::Fault;

mod message;

pub use message::{Action, InForce, Input, Report};

/// How long evidence that a document is current lasts. A change is in force
/// everywhere, or the node refuses work, within this time.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(13);
/// How often the small row is read while the table answers.
pub const POLL_INTERVAL: Duration = Duration::from_secs(6);
/// How soon it is read again when the table did not answer.
const POLL_AGAIN: Duration = Duration::from_secs(1);
/// Reads of the document are spread over this time, so that a fleet that hears
/// of a change at once does not read it at once.
const SPREAD: Duration = Duration::from_secs(1);
/// An answer that takes longer is not waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Without evidence for this long, peers are asked.
const ASK_AFTER: Duration = Duration::from_secs(9);
/// A peer that was asked this lately is not asked again.
const ASK_AGAIN: Duration = Duration::from_secs(3);
/// Part of the fleet that is asked in one tick of a second: more than half of
/// it answers well within [`EVIDENCE_TTL`], and an outage costs a bounded traffic.
const ASK_PART: usize = 16;
/// Peers that are asked in one tick of a second even when the part is smaller.
const ASK_LEAST: usize = 3;
/// This long after its announcement, a change has been accepted or given up:
/// an announcement is forgotten when the table names a lower version then.
const ANNOUNCED: Duration = Duration::from_secs(30);

/// Decides what this node may act by.
#[derive(Debug)]
pub struct Follower {
    started: Time,
    spread: Duration,
    force: InForce,
    newest: u64,
    announced: Option<(u64, Time)>,
    /// The latest time at which the table is known to have had `force.document`
    /// or an older one as current.
    confirmed: Option<Time>,
    /// Evidence about a newer version than `force.document`.
    newer: Option<(u64, Time)>,
    witness: bool,
    peers: BTreeMap<Name, Option<(Time, Report)>>,
    asked: BTreeMap<Name, Time>,
    poll_at: Time,
    fetch_at: Option<Time>,
    /// Since when a read of the small row is under way.
    polling: Option<Time>,
    /// Since when a read of the document is under way.
    fetching: Option<Time>,
}

impl Follower {
    /// A node that knows nothing yet. `node` spreads the reads of the fleet.
    pub fn new(now: Time, node: &str) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(node.as_bytes());
        let part = (hash % 1_000) as f64 / 1_000.0;
        Self {
            started: now,
            spread: SPREAD.mul_f64(part),
            force: InForce {
                document: Arc::default(),
                until: Time::ZERO,
            },
            newest: 0,
            announced: None,
            confirmed: None,
            newer: None,
            witness: false,
            peers: BTreeMap::new(),
            asked: BTreeMap::new(),
            poll_at: now,
            fetch_at: None,
            polling: None,
            fetching: None,
        }
    }

    /// What is in force, if its time has not run out.
    pub const fn force(&self) -> &InForce {
        &self.force
    }

    /// The newest version that this node has heard of.
    pub const fn newest(&self) -> u64 {
        self.newest
    }

    /// The answer to a peer that asks.
    pub fn report(&self, now: Time) -> Report {
        let fresh = self
            .confirmed
            .map(|at| now.since(at))
            .filter(|age| *age < EVIDENCE_TTL);
        Report {
            version: self.version(),
            newest: self.newest,
            announced: self.announced.map_or(0, |(version, _)| version),
            witness: self.witness,
            confirmed_ago: fresh,
            members: self.members(),
        }
    }

    /// When [`Input::Tick`] is due next.
    pub fn wake(&self) -> Time {
        self.fetch_at
            .map_or(self.poll_at, |at| at.min(self.poll_at))
    }

    /// Takes one input and appends what must be done to `actions`.
    pub fn step(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Tick => self.tick(now, actions),
            Input::Polled { asked, result } => self.polled(now, asked, &result),
            Input::Fetched { asked, result } => {
                self.fetching = None;
                if let Ok(Some(document)) = result {
                    self.take_current(now, asked, document, actions);
                }
            }
            Input::Offered(document) => self.adopt(now, document, actions),
            Input::Committed { asked, document } => {
                self.take_current(now, asked, document, actions);
            }
            Input::Announced(version) => self.announce(now, version),
            Input::Mentioned(version) => self.heard(now, version),
            Input::Answered {
                peer,
                asked,
                report,
            } => self.answered(now, &peer, asked, report, actions),
            Input::Peers(names) => self.set_peers(names),
        }
        self.extend(now, actions);
    }

    fn version(&self) -> u64 {
        self.force.document.version
    }

    /// Nodes of the fleet as far as anybody has told, so that a node that has
    /// just started and knows only a few does not take them for most of it.
    fn members(&self) -> u32 {
        let known = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let told = self
            .peers
            .values()
            .flatten()
            .map(|(_, report)| report.members);
        known.max(told.max().unwrap_or(0))
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self
            .polling
            .is_some_and(|since| now.since(since) >= ANSWER_TIMEOUT)
        {
            self.polling = None;
        }
        if self
            .fetching
            .is_some_and(|since| now.since(since) >= ANSWER_TIMEOUT)
        {
            self.fetching = None;
        }
        if self.polling.is_none() && now >= self.poll_at {
            self.polling = Some(now);
            self.poll_at = now + POLL_AGAIN;
            actions.push(Action::Poll);
        }
        if self.fetching.is_none() && self.fetch_at.is_some_and(|at| now >= at) {
            self.fetching = Some(now);
            self.fetch_at = Some(now + POLL_AGAIN);
            actions.push(Action::Fetch);
        }
        if self.confirmed.is_none_or(|at| now.since(at) >= ASK_AFTER) {
            self.ask(now, actions);
        }
    }

    /// Asks a part of the peers, those that were heard least lately first.
    fn ask(&mut self, now: Time, actions: &mut Vec<Action>) {
        let asked = |name: &Name| self.asked.get(name).copied();
        let mut due: Vec<(Option<Time>, Name)> = self
            .peers
            .keys()
            .filter(|name| asked(name).is_none_or(|at| now.since(at) >= ASK_AGAIN))
            .map(|name| (asked(name), name.clone()))
            .collect();
        due.sort_unstable();
        let part = self.peers.len().div_ceil(ASK_PART).max(ASK_LEAST);
        for (_, name) in due.into_iter().take(part) {
            self.asked.insert(name.clone(), now);
            actions.push(Action::Query(name));
        }
    }

    fn polled(&mut self, now: Time, asked: Time, result: &Result<Option<Pointer>, Fault>) {
        self.polling = None;
        let Ok(found) = result else { return };
        self.poll_at = asked + POLL_INTERVAL;
        let Some(pointer) = found else { return };
        self.heard(now, pointer.version);
        self.confirm(pointer.version, asked);
    }

    /// Takes a document that the table had as current at `asked` or later.
    fn take_current(
        &mut self,
        now: Time,
        asked: Time,
        document: Arc<Document>,
        actions: &mut Vec<Action>,
    ) {
        let version = document.version;
        self.adopt(now, document, actions);
        self.confirm(version, asked);
    }

    /// Takes a newer document. An older one is never taken, whoever offers it.
    ///
    /// Evidence about the older one stays: if that was current at some time,
    /// then the newer one was current at that time or later.
    fn adopt(&mut self, now: Time, document: Arc<Document>, actions: &mut Vec<Action>) {
        if document.version <= self.version() {
            return;
        }
        self.force.document = document;
        self.newest = self.newest.max(self.version());
        self.fetch_at = (self.newest > self.version()).then_some(now);
        if let Some((version, at)) = self.newer.take() {
            self.confirm(version, at);
        }
        self.publish(actions);
    }

    fn announce(&mut self, now: Time, version: u64) {
        let known = self.announced.map_or(0, |(version, _)| version);
        if version >= known && version > self.version() {
            self.announced = Some((version, now));
        }
    }

    fn heard(&mut self, now: Time, version: u64) {
        if version > self.newest {
            self.newest = version;
        }
        if self.newest > self.version() && self.fetch_at.is_none() {
            self.fetch_at = Some(now + self.spread);
        }
    }

    /// Notes that `version` was current at `at`.
    ///
    /// Evidence from before this process started does not count: the process
    /// that was here before may have acted by a version that was accepted
    /// since, and callers would see the node go back.
    fn confirm(&mut self, version: u64, at: Time) {
        if at < self.started {
            return;
        }
        if version > self.version() {
            self.newer = self.newer.max(Some((version, at)));
            return;
        }
        if version == 0 {
            return;
        }
        self.confirmed = self.confirmed.max(Some(at));
        let settled = |(announced, since): (u64, Time)| {
            announced <= self.version() || at >= since + ANNOUNCED
        };
        if self.announced.is_some_and(settled) {
            self.announced = None;
        }
    }

    fn answered(
        &mut self,
        now: Time,
        peer: &Name,
        asked: Time,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        self.heard(now, report.newest.max(report.version));
        if report.version > self.version() {
            actions.push(Action::FetchFrom(peer.clone()));
        }
        if let Some(ago) = report.confirmed_ago {
            self.confirm(report.version, asked - ago);
        }
        if let Some(heard) = self.peers.get_mut(peer)
            && heard.is_none_or(|(at, _)| at <= asked)
        {
            *heard = Some((asked, report));
        }
    }

    fn set_peers(&mut self, names: Vec<Name>) {
        let mut old = std::mem::take(&mut self.peers);
        self.asked.retain(|name, _| names.contains(name));
        for name in names {
            let heard = old.remove(&name).flatten();
            self.peers.insert(name, heard);
        }
    }

    /// Moves the end of the document's time as far as the evidence reaches.
    fn extend(&mut self, now: Time, actions: &mut Vec<Action>) {
        let by_table = self.confirmed;
        let by_peers = self.outage_since(now);
        let Some(known) = by_table.max(by_peers) else {
            return;
        };
        let until = known + EVIDENCE_TTL;
        // A process that was here before may have acknowledged an announcement
        // that this one knows nothing of. Once that must have been accepted or
        // given up, evidence that nothing was accepted makes up for it.
        self.witness |= known >= self.started + ANNOUNCED;
        if until > self.force.until {
            self.force.until = until;
            self.publish(actions);
        }
    }

    /// The time at which more than half of the fleet had not seen anything
    /// newer, this node included; none when no such time is known.
    ///
    /// Only witnesses count. A change is committed only after at least half of
    /// the fleet has acknowledged its announcement, and more than half always
    /// share a node with those; so more than half that know of no announcement
    /// prove that nothing was accepted before the least recent of them was asked.
    fn outage_since(&self, now: Time) -> Option<Time> {
        let announced = self.announced.map_or(0, |(version, _)| version);
        if self.version() == 0 || self.newest.max(announced) > self.version() {
            return None;
        }
        let mut times: Vec<Time> = self
            .peers
            .values()
            .flatten()
            .filter(|(_, report)| {
                report.witness && report.newest.max(report.announced) <= self.version()
            })
            .map(|(asked, _)| *asked)
            .collect();
        if self.witness {
            times.push(now);
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.members() as usize / 2;
        times.get(majority).copied()
    }

    fn publish(&self, actions: &mut Vec<Action>) {
        actions.push(Action::Publish(self.force.clone()));
    }
}
