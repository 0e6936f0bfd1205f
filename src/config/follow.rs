//! Decides which version of the configuration this node may apply, as a pure
//! state machine.
//!
//! A node applies a document only if it has evidence that the document was
//! current at most [`EVIDENCE_TTL`] ago. There are two kinds of evidence: the
//! table confirmed it, to this node or to a peer that answers it; or the platform
//! is unavailable for most of the fleet, so that nothing newer can have been
//! accepted. A node without evidence (because it is partitioned, was paused, or
//! has just started) refuses work. docs/design/config.md has the proof;
//! [`super::commit::Announce`] is the other part of the protocol.
//!
//! All evidence is dated by the time at which this node sent its request, never
//! by the time at which the answer was read: a node that was paused finds old
//! answers in its buffers, which must not count as new.

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

/// How long evidence that a document is current remains valid. Within this time,
/// a change is in force on every node, or the node refuses work.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(13);
/// Interval between reads of the pointer row while the table answers.
pub const POLL_INTERVAL: Duration = Duration::from_secs(6);
/// Delay before the next read after the table did not answer.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Reads of the document are delayed by up to this time, so that nodes that learn
/// of a change at the same moment do not all read it at once.
const MAX_FETCH_DELAY: Duration = Duration::from_secs(1);
/// Time after which an answer is considered lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Age of the evidence from which on peers are queried.
const QUERY_AFTER: Duration = Duration::from_secs(9);
/// Minimum interval between queries to the same peer.
const QUERY_INTERVAL: Duration = Duration::from_secs(3);
/// One in this many peers is queried per tick of one second, so that more than
/// half of the fleet answers well within [`EVIDENCE_TTL`] and an outage causes
/// bounded traffic.
const QUERY_FRACTION: usize = 16;
/// Minimum number of peers queried per tick of one second.
const MIN_QUERIES: usize = 3;
/// Time after its announcement by which a change has been accepted or abandoned:
/// an announcement is then dropped if the table has a lower version.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(30);

/// Decides which configuration this node may apply.
#[derive(Debug)]
pub struct Follower {
    started: Time,
    fetch_delay: Duration,
    in_force: InForce,
    newest: u64,
    announced: Option<(u64, Time)>,
    /// Latest time at which the table is known to have had `force.document` or an
    /// older version as current.
    confirmed: Option<Time>,
    /// Evidence about a newer version than `force.document`.
    newer: Option<(u64, Time)>,
    witness: bool,
    peers: BTreeMap<Name, Option<(Time, Report)>>,
    queried_at: BTreeMap<Name, Time>,
    poll_at: Time,
    fetch_at: Option<Time>,
    /// Start of the outstanding read of the pointer row.
    polling: Option<Time>,
    /// Start of the outstanding read of the document.
    fetching: Option<Time>,
}

impl Follower {
    /// Creates a follower without a document. `node` determines the delay of its
    /// reads of the document.
    pub fn new(now: Time, node: &str) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(node.as_bytes());
        let part = (hash % 1_000) as f64 / 1_000.0;
        Self {
            started: now,
            fetch_delay: MAX_FETCH_DELAY.mul_f64(part),
            in_force: InForce {
                document: Arc::default(),
                until: Time::ZERO,
            },
            newest: 0,
            announced: None,
            confirmed: None,
            newer: None,
            witness: false,
            peers: BTreeMap::new(),
            queried_at: BTreeMap::new(),
            poll_at: now,
            fetch_at: None,
            polling: None,
            fetching: None,
        }
    }

    /// Returns the document in force and its expiry.
    pub const fn in_force(&self) -> &InForce {
        &self.in_force
    }

    /// Returns the newest version known to this node.
    pub const fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the answer to a query of a peer.
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

    /// Returns when [`Input::Tick`] is due next.
    pub fn wake(&self) -> Time {
        self.fetch_at
            .map_or(self.poll_at, |at| at.min(self.poll_at))
    }

    /// Handles one input and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: Time, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Tick => self.tick(now, actions),
            Input::Polled {
                requested_at,
                result,
            } => self.polled(now, requested_at, &result),
            Input::Fetched {
                requested_at,
                result,
            } => {
                self.fetching = None;
                if let Ok(Some(document)) = result {
                    self.apply_current(now, requested_at, document, actions);
                }
            }
            Input::Offered(document) => self.apply(now, document, actions),
            Input::Committed {
                requested_at,
                document,
            } => {
                self.apply_current(now, requested_at, document, actions);
            }
            Input::Announced(version) => self.announce(now, version),
            Input::Mentioned(version) => self.note_version(now, version),
            Input::Answered {
                peer,
                requested_at,
                report,
            } => self.answered(now, &peer, requested_at, report, actions),
            Input::Peers(names) => self.set_peers(names),
        }
        self.extend(now, actions);
    }

    fn version(&self) -> u64 {
        self.in_force.document.version
    }

    /// Returns the largest fleet size that this node or a peer has reported, so
    /// that a node that has just started and knows only a few peers does not
    /// mistake them for a majority.
    fn members(&self) -> u32 {
        let known = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let reported = self
            .peers
            .values()
            .flatten()
            .map(|(_, report)| report.members);
        known.max(reported.max().unwrap_or(0))
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
            self.poll_at = now + RETRY_DELAY;
            actions.push(Action::Poll);
        }
        if self.fetching.is_none() && self.fetch_at.is_some_and(|at| now >= at) {
            self.fetching = Some(now);
            self.fetch_at = Some(now + RETRY_DELAY);
            actions.push(Action::Fetch);
        }
        if self.confirmed.is_none_or(|at| now.since(at) >= QUERY_AFTER) {
            self.query_peers(now, actions);
        }
    }

    /// Queries a part of the peers, least recently queried first.
    fn query_peers(&mut self, now: Time, actions: &mut Vec<Action>) {
        let queried_at = |name: &Name| self.queried_at.get(name).copied();
        let mut due: Vec<(Option<Time>, Name)> = self
            .peers
            .keys()
            .filter(|name| queried_at(name).is_none_or(|at| now.since(at) >= QUERY_INTERVAL))
            .map(|name| (queried_at(name), name.clone()))
            .collect();
        due.sort_unstable();
        let part = self.peers.len().div_ceil(QUERY_FRACTION).max(MIN_QUERIES);
        for (_, name) in due.into_iter().take(part) {
            self.queried_at.insert(name.clone(), now);
            actions.push(Action::Query(name));
        }
    }

    fn polled(&mut self, now: Time, requested_at: Time, result: &Result<Option<Pointer>, Fault>) {
        self.polling = None;
        let Ok(found) = result else { return };
        self.poll_at = requested_at + POLL_INTERVAL;
        let Some(pointer) = found else { return };
        self.note_version(now, pointer.version);
        self.confirm(pointer.version, requested_at);
    }

    /// Applies a document that the table had as current at `requested_at` or later.
    fn apply_current(
        &mut self,
        now: Time,
        requested_at: Time,
        document: Arc<Document>,
        actions: &mut Vec<Action>,
    ) {
        let version = document.version;
        self.apply(now, document, actions);
        self.confirm(version, requested_at);
    }

    /// Applies a newer document. An older one is never applied, whatever its
    /// source.
    ///
    /// Evidence about the older document remains valid: if it was current at some
    /// time, the newer one was current at that time or later.
    fn apply(&mut self, now: Time, document: Arc<Document>, actions: &mut Vec<Action>) {
        if document.version <= self.version() {
            return;
        }
        self.in_force.document = document;
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

    fn note_version(&mut self, now: Time, version: u64) {
        if version > self.newest {
            self.newest = version;
        }
        if self.newest > self.version() && self.fetch_at.is_none() {
            self.fetch_at = Some(now + self.fetch_delay);
        }
    }

    /// Records that `version` was current at `at`.
    ///
    /// Evidence from before the start of this process does not count: an earlier
    /// process of this node may have applied a version that was accepted since,
    /// and callers would see the node return to an older one.
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
            announced <= self.version() || at >= since + ANNOUNCEMENT_TTL
        };
        if self.announced.is_some_and(settled) {
            self.announced = None;
        }
    }

    fn answered(
        &mut self,
        now: Time,
        peer: &Name,
        requested_at: Time,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        self.note_version(now, report.newest.max(report.version));
        if report.version > self.version() {
            actions.push(Action::FetchFrom(peer.clone()));
        }
        if let Some(ago) = report.confirmed_ago {
            self.confirm(report.version, requested_at - ago);
        }
        if let Some(latest) = self.peers.get_mut(peer)
            && latest.is_none_or(|(at, _)| at <= requested_at)
        {
            *latest = Some((requested_at, report));
        }
    }

    fn set_peers(&mut self, names: Vec<Name>) {
        let mut old = std::mem::take(&mut self.peers);
        self.queried_at.retain(|name, _| names.contains(name));
        for name in names {
            let answer = old.remove(&name).flatten();
            self.peers.insert(name, answer);
        }
    }

    /// Extends the validity of the document as far as the evidence permits.
    fn extend(&mut self, now: Time, actions: &mut Vec<Action>) {
        let by_table = self.confirmed;
        let by_peers = self.unchanged_since(now);
        let Some(known) = by_table.max(by_peers) else {
            return;
        };
        let until = known + EVIDENCE_TTL;
        // An earlier process of this node may have acknowledged an announcement
        // that is unknown to this one. Once that change must have been accepted
        // or abandoned, evidence that nothing was accepted makes up for it.
        self.witness |= known >= self.started + ANNOUNCEMENT_TTL;
        if until > self.in_force.until {
            self.in_force.until = until;
            self.publish(actions);
        }
    }

    /// Returns a time at which more than half of the fleet, including this node,
    /// had not learned of a newer version; `None` if no such time is known.
    ///
    /// Only witnesses count. A change is committed only after at least half of
    /// the fleet has acknowledged its announcement, and any majority shares a
    /// node with that half. A majority that knows of no announcement therefore
    /// proves that nothing was accepted before the earliest of its answers was
    /// requested.
    fn unchanged_since(&self, now: Time) -> Option<Time> {
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
            .map(|(requested_at, _)| *requested_at)
            .collect();
        if self.witness {
            times.push(now);
        }
        times.sort_unstable_by(|a, b| b.cmp(a));
        let majority = self.members() as usize / 2;
        times.get(majority).copied()
    }

    fn publish(&self, actions: &mut Vec<Action>) {
        actions.push(Action::Publish(self.in_force.clone()));
    }
}
