//! Simulation of nodes, endpoints and requests in virtual time, with the real evidence and pool.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::Endpoint;
use auburnspoke::clock::Time;
use auburnspoke::pool::message::{Class, End, Requirements};
use auburnspoke::pool::{Action, Key, Pool};
use auburnspoke::quarantine::Fingerprint;
use auburnspoke::quarantine::evidence::{Added, Crash, Evidence, Stage, Status, Verdict};
use auburnspoke::quarantine::record::Observation;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Step of the virtual time.
const STEP_MS: u64 = 10;
/// Down time of an endpoint after a crash.
const DOWN_MS: u64 = 3_000;
/// Time from a crash until the endpoint's entry is removed.
const ENTRY_REMOVAL_MS: u64 = 3_600;
/// Time of the first killer; harmless requests run from the start.
const FIRST_KILLER_MS: u64 = 1_000;
/// Intervals of the verdicts' evaluation and of the reads of the store.
const STEP_INTERVAL_MS: u64 = 100;
const READ_INTERVAL_MS: u64 = 500;
/// Time within which all connected nodes have the verdict after the third crash.
const PROPAGATION_MS: u64 = 3_000;
/// Delay until a node looks at an endpoint where a run was stopped.
const STOP_PROBE_MS: u64 = 100;
/// First fingerprint of the harmless requests.
const FIRST_HARMLESS: u64 = 1_000_000;

/// The protection that a simulation disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    Nothing,
    /// Nodes exchange no observations.
    Notes,
    /// No verdict is stored.
    Store,
    /// Requests are not marked as suspects in the pool.
    Suspects,
    /// Every request that was present at three crashes is condemned.
    Explaining,
    /// A lost answer counts as a crash.
    Causes,
    /// A completed run does not clear its request.
    Clearing,
    /// Nobody looks at an endpoint where a run was stopped.
    Stops,
}

/// Load and faults of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub nodes: usize,
    pub endpoints: usize,
    pub killers: u64,
    /// Milliseconds between two repeats of a killer or a regular request.
    pub gap: u64,
    /// Number of harmless requests that are repeated as well.
    pub regulars: u64,
    /// Distinct harmless requests per second.
    pub load: f64,
    /// Endpoint crashes per second that no request causes.
    pub crashes: f64,
    /// Share of answers that are lost.
    pub lost: f64,
    /// Share of runs that are stopped early. A killer's endpoint crashes nevertheless.
    pub stops: f64,
    /// Time at which all nodes restart.
    pub restart: Option<u64>,
    /// Start and length of a partition that cuts off a third of the nodes.
    pub cut: Option<(u64, u64)>,
    pub length: u64,
    pub without: Without,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Endpoints crashed by each killer.
    pub ended: BTreeMap<u64, usize>,
    /// Runs of each killer by connected nodes after all should have its verdict.
    pub late: BTreeMap<u64, usize>,
    /// Harmless requests that were condemned.
    pub condemned: BTreeSet<u64>,
    /// Harmless requests, and those of them that completed.
    pub sent: usize,
    pub completed: usize,
}

#[derive(Default)]
struct Node {
    evidence: Evidence,
    /// Crashes by request, for [`Without::Explaining`].
    naive: BTreeMap<u64, BTreeSet<Crash>>,
    unsaved: Vec<Fingerprint>,
    /// Time of its start, and of the end of its last partition.
    since: u64,
    reconnected: u64,
    cut_until: u64,
}

struct Host {
    endpoint: Arc<Endpoint>,
    up: bool,
    back: u64,
    gone: u64,
}

struct Run {
    node: usize,
    request: u64,
    host: usize,
    key: Key,
    began: u64,
    ends: u64,
    attempts: u32,
    outcome: RunEnd,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Done,
    Lost,
    Crash,
    Stopped,
}

struct Waiting {
    node: usize,
    request: u64,
    attempts: u32,
    until: u64,
    avoid: Vec<auburnspoke::name::Name>,
}

pub struct Fleet {
    plan: Plan,
    rng: ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    hosts: Vec<Host>,
    pool: Pool,
    runs: Vec<Run>,
    /// Stopped runs whose endpoints are still to be looked at.
    stopped: Vec<Run>,
    /// Stopped runs of killers: when each crashes which endpoint.
    doomed: Vec<(u64, Arc<Endpoint>, u64)>,
    waiting: BTreeMap<Key, Waiting>,
    in_transit: Vec<(u64, usize, Observation)>,
    store: BTreeMap<Fingerprint, u64>,
    seq: u64,
    next_harmless: u64,
    /// Times at which each killer crashed an endpoint, and its runs with their nodes.
    crashed: BTreeMap<u64, Vec<u64>>,
    ran: BTreeMap<u64, Vec<(u64, usize)>>,
    outcome: Outcome,
}

fn time(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn endpoint(at: usize, incarnation: u64) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: format!("e{at}-{incarnation}").into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "z".into(),
        slots: 8,
        ready: true,
        incarnation,
        software: None,
    })
}

impl Fleet {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let hosts = (0..plan.endpoints).map(|at| Host {
            endpoint: endpoint(at, 0),
            up: true,
            back: 0,
            gone: u64::MAX,
        });
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: (0..plan.nodes).map(|_| Node::default()).collect(),
            hosts: hosts.collect(),
            pool: Pool::new(seed),
            runs: Vec::new(),
            stopped: Vec::new(),
            doomed: Vec::new(),
            waiting: BTreeMap::new(),
            in_transit: Vec::new(),
            store: BTreeMap::new(),
            seq: 0,
            next_harmless: 2 * FIRST_HARMLESS,
            crashed: BTreeMap::new(),
            ran: BTreeMap::new(),
            outcome: Outcome::default(),
            plan,
        };
        fleet.set_endpoints();
        fleet
    }

    pub fn play(mut self) -> Outcome {
        while self.now < self.plan.length {
            self.inject_faults();
            self.deliver();
            self.send_requests();
            self.end_runs();
            self.end_stopped();
            self.restart_endpoints();
            self.grant_slots();
            if self.now.is_multiple_of(STEP_INTERVAL_MS) {
                self.reach_verdicts();
            }
            if self.now.is_multiple_of(READ_INTERVAL_MS) {
                self.read_store();
            }
            self.now += STEP_MS;
        }
        self.count();
        self.outcome
    }

    fn chance(&mut self, per_second: f64) -> bool {
        let per_step = per_second * STEP_MS as f64 / 1_000.0;
        self.rng.random_bool(per_step.min(1.0))
    }

    fn set_endpoints(&mut self) {
        let now = self.now;
        let known: Vec<Arc<Endpoint>> = self
            .hosts
            .iter()
            .filter(|host| now < host.gone)
            .map(|host| Arc::clone(&host.endpoint))
            .collect();
        self.pool.set_endpoints(known.iter());
    }

    fn inject_faults(&mut self) {
        if self.chance(self.plan.crashes) {
            let host = self.rng.random_range(0..self.hosts.len());
            self.crash(host, None);
        }
        if self.plan.restart == Some(self.now) {
            for node in &mut self.nodes {
                *node = Node {
                    since: self.now,
                    reconnected: self.now,
                    ..Node::default()
                };
            }
            self.in_transit.clear();
        }
        if let Some((from, length)) = self.plan.cut
            && from == self.now
        {
            let third = self.nodes.len() / 3;
            for node in &mut self.nodes[..third] {
                node.cut_until = from + length;
                node.reconnected = from + length;
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .in_transit
            .extract_if(.., |(at, _, _)| *at <= now)
            .collect();
        for (_, to, observation) in due {
            if self.nodes[to].cut_until <= now
                && self.apply(to, &observation)
                && let Observation::Crashed(request, _, _) = observation
            {
                self.broadcast(to, &Observation::Completed(request));
            }
        }
    }

    /// Applies an observation; returns true when the node refutes it, which it has to report.
    fn apply(&mut self, at: usize, observation: &Observation) -> bool {
        let now = time(self.now);
        let node = &mut self.nodes[at];
        match observation {
            Observation::Crashed(request, crash, ran) => {
                let crashes = node.naive.entry(request.0).or_default();
                crashes.insert(crash.clone());
                let added = node
                    .evidence
                    .add_crash(now, crash.clone(), *request, ran.clone());
                added == Added::Refuted(true)
            }
            Observation::Completed(request) => {
                node.naive.remove(&request.0);
                node.evidence.add_completion(now, *request);
                false
            }
            Observation::PartCompleted(part) => {
                node.evidence.add_part_completion(now, *part);
                false
            }
        }
    }

    fn broadcast(&mut self, from: usize, observation: &Observation) {
        if self.plan.without == Without::Notes || self.nodes[from].cut_until > self.now {
            return;
        }
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let at = self.now + self.rng.random_range(20..600);
            self.in_transit.push((at, to, observation.clone()));
        }
    }

    fn send_requests(&mut self) {
        for killer in 1..=self.plan.killers {
            if self.now >= FIRST_KILLER_MS && self.now.is_multiple_of(self.plan.gap) {
                let node = self.rng.random_range(0..self.nodes.len());
                self.acquire(node, killer, 2, Vec::new());
            }
        }
        for regular in 1..=self.plan.regulars {
            if self.now.is_multiple_of(self.plan.gap) {
                self.outcome.sent += 1;
                let node = self.rng.random_range(0..self.nodes.len());
                self.acquire(node, FIRST_HARMLESS + regular, 2, Vec::new());
            }
        }
        if self.chance(self.plan.load) {
            self.next_harmless += 1;
            self.outcome.sent += 1;
            let node = self.rng.random_range(0..self.nodes.len());
            // The caller retries.
            self.acquire(node, self.next_harmless, 4, Vec::new());
        }
    }

    fn status(&self, node: usize, request: u64) -> Status {
        let node = &self.nodes[node];
        if self.plan.without == Without::Explaining {
            let crashes = node.naive.get(&request).map_or(0, BTreeSet::len);
            return match crashes {
                0 => Status::Clear,
                1 | 2 => Status::Suspect,
                _ => Status::Condemned,
            };
        }
        node.evidence.status(time(self.now), Fingerprint(request))
    }

    fn acquire(
        &mut self,
        node: usize,
        request: u64,
        attempts: u32,
        avoid: Vec<auburnspoke::name::Name>,
    ) {
        let status = self.status(node, request);
        if status == Status::Condemned {
            if request > FIRST_HARMLESS {
                self.outcome.condemned.insert(request);
            }
            return;
        }
        let marks_suspects = self.plan.without != Without::Suspects;
        self.seq += 1;
        let key = Key {
            gateway: SocketAddr::from(([10, 0, 0, 1], u16::try_from(node).unwrap())),
            seq: self.seq,
        };
        let requirements = Requirements {
            class: Class::Online,
            priority: 0,
            zone: "z".into(),
            max_wait: Duration::from_millis(230),
            due: Duration::from_secs(5),
            prefix: 0,
            organisation: 0,
            request: Fingerprint(request),
            suspect: marks_suspects && status != Status::Clear,
            avoid: avoid.clone(),
            software: None,
        };
        let waiting = Waiting {
            node,
            request,
            attempts,
            until: self.now + 300,
            avoid,
        };
        self.waiting.insert(key, waiting);
        let mut actions = Vec::new();
        self.pool
            .acquire(time(self.now), key, requirements, &mut actions);
        self.act(actions);
    }

    fn grant_slots(&mut self) {
        let now = self.now;
        let late = self.waiting.iter().filter(|(_, it)| it.until <= now);
        let late: Vec<Key> = late.map(|(key, _)| *key).collect();
        for key in late {
            self.waiting.remove(&key);
            self.pool.release(time(now), key, End::Left);
        }
        let mut actions = Vec::new();
        self.pool.step(time(now), &mut actions);
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Grant(key, endpoint) => self.start(key, &endpoint),
                Action::Refuse(key, _) => {
                    self.waiting.remove(&key);
                }
                Action::Queued(_) | Action::Stop(_) | Action::HealthChanged(_) => {}
            }
        }
    }

    fn start(&mut self, key: Key, endpoint: &Endpoint) {
        let Some(waiting) = self.waiting.remove(&key) else {
            return;
        };
        let host = self
            .hosts
            .iter()
            .position(|host| host.endpoint.id == endpoint.id && host.up);
        let status = self.status(waiting.node, waiting.request);
        let stops = matches!(status, Status::Condemned | Status::Held(_));
        let Some(host) = host.filter(|_| !stops) else {
            let end = if stops { End::Left } else { End::Failed };
            self.pool.release(time(self.now), key, end);
            if !stops {
                let mut avoid = waiting.avoid;
                avoid.push(endpoint.id.clone());
                self.acquire(waiting.node, waiting.request, waiting.attempts, avoid);
            }
            return;
        };
        let is_killer = waiting.request < FIRST_HARMLESS;
        if is_killer {
            let ran = self.ran.entry(waiting.request).or_default();
            ran.push((self.now, waiting.node));
        }
        let (length, outcome) = if is_killer {
            (self.rng.random_range(40..150), RunEnd::Crash)
        } else if self.rng.random_bool(self.plan.lost) {
            (self.rng.random_range(20..400), RunEnd::Lost)
        } else {
            (self.rng.random_range(200..700), RunEnd::Done)
        };
        let is_stopped = self.plan.stops > 0.0 && self.rng.random_bool(self.plan.stops);
        if is_stopped && is_killer {
            let endpoint = Arc::clone(&self.hosts[host].endpoint);
            let doomed = (self.now + length, endpoint, waiting.request);
            self.doomed.push(doomed);
        }
        let (length, outcome) = if is_stopped {
            (self.rng.random_range(10..30), RunEnd::Stopped)
        } else {
            (length, outcome)
        };
        self.runs.push(Run {
            node: waiting.node,
            request: waiting.request,
            host,
            key,
            began: self.now,
            ends: self.now + length,
            attempts: waiting.attempts,
            outcome,
        });
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let due: Vec<Run> = self.runs.extract_if(.., |run| run.ends <= now).collect();
        for run in due {
            match run.outcome {
                RunEnd::Done => self.complete(&run),
                RunEnd::Lost => {
                    self.pool.release(time(now), run.key, End::Error);
                    if self.plan.without == Without::Causes {
                        self.observe(&run);
                    }
                    self.retry(&run);
                }
                RunEnd::Stopped => {
                    self.pool.release(time(now), run.key, End::Stopped);
                    if self.nodes[run.node].since <= run.began {
                        self.acquire(run.node, run.request, run.attempts, Vec::new());
                        self.stopped.push(run);
                    }
                }
                RunEnd::Crash => {
                    let host = run.host;
                    self.runs.push(run);
                    self.crash(host, Some(now));
                }
            }
        }
    }

    /// Crashes the endpoints on which killers were stopped, and looks at those of stopped runs.
    fn end_stopped(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .doomed
            .extract_if(.., |(at, _, _)| *at <= now)
            .collect();
        for (_, endpoint, killer) in due {
            let is_same = |host: &Host| host.up && host.endpoint.id == endpoint.id;
            if let Some(host) = self.hosts.iter().position(is_same) {
                self.crashed.entry(killer).or_default().push(now);
                self.crash(host, None);
            }
        }
        let due: Vec<Run> = self
            .stopped
            .extract_if(.., |run| run.ends + STOP_PROBE_MS <= now)
            .collect();
        for run in due {
            let host = &self.hosts[run.host];
            let is_seen = !host.up && self.nodes[run.node].since <= run.began;
            if is_seen && self.plan.without != Without::Stops {
                self.observe(&run);
            }
        }
    }

    fn complete(&mut self, run: &Run) {
        self.outcome.completed += 1;
        self.pool.release(time(self.now), run.key, End::Done);
        let request = Fingerprint(run.request);
        if self.plan.without == Without::Clearing {
            return;
        }
        let completed = Observation::Completed(request);
        let node = &mut self.nodes[run.node];
        node.naive.remove(&run.request);
        if node.evidence.add_completion(time(self.now), request) {
            self.broadcast(run.node, &completed);
        }
    }

    fn observe(&mut self, run: &Run) {
        let host = &self.hosts[run.host];
        let crash = Crash {
            endpoint: host.endpoint.id.clone(),
            incarnation: host.endpoint.incarnation,
        };
        // Without the check of its cause, each lost answer looks like a separate crash.
        let crash = match self.plan.without {
            Without::Causes => Crash {
                incarnation: self.now,
                ..crash
            },
            _ => crash,
        };
        let stage = Stage::of(Duration::from_millis(self.now - run.began));
        let observation = Observation::Crashed(Fingerprint(run.request), crash, stage.into());
        if !self.apply(run.node, &observation) {
            self.broadcast(run.node, &observation);
        }
        self.nodes[run.node].evidence.update_blame();
    }

    fn crash(&mut self, host: usize, by_killer: Option<u64>) {
        if !self.hosts[host].up {
            return;
        }
        self.hosts[host].up = false;
        self.hosts[host].back = self.now + DOWN_MS;
        self.hosts[host].gone = self.now + ENTRY_REMOVAL_MS;
        let hit: Vec<Run> = self.runs.extract_if(.., |run| run.host == host).collect();
        for run in &hit {
            if by_killer.is_some() && run.request < FIRST_HARMLESS && run.ends <= self.now {
                self.crashed.entry(run.request).or_default().push(self.now);
            }
            let end = match self.plan.without {
                Without::Suspects => End::Error,
                _ => End::Crashed,
            };
            self.pool.release(time(self.now), run.key, end);
            // A node that has restarted since has no record of the run.
            if self.nodes[run.node].since <= run.began {
                self.observe(run);
            }
        }
        for run in &hit {
            self.retry(run);
        }
    }

    fn retry(&mut self, run: &Run) {
        if run.attempts > 1 && self.nodes[run.node].since <= run.began {
            let avoid = vec![self.hosts[run.host].endpoint.id.clone()];
            self.acquire(run.node, run.request, run.attempts - 1, avoid);
        }
    }

    fn restart_endpoints(&mut self) {
        let now = self.now;
        let mut changed = false;
        for (at, host) in self.hosts.iter_mut().enumerate() {
            if !host.up && host.back <= now {
                *host = Host {
                    endpoint: endpoint(at, now),
                    up: true,
                    back: 0,
                    gone: u64::MAX,
                };
                changed = true;
            }
        }
        if changed {
            self.set_endpoints();
        }
    }

    fn reach_verdicts(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            let reached = node.evidence.step(time(now));
            node.unsaved
                .extend(reached.into_iter().map(|it| it.request));
            if node.cut_until > now || self.plan.without == Without::Store {
                continue;
            }
            for request in node.unsaved.drain(..) {
                self.store.insert(request, now + 900_000);
            }
        }
    }

    fn read_store(&mut self) {
        let now = self.now;
        for node in &mut self.nodes {
            if node.cut_until > now {
                continue;
            }
            for (request, until) in &self.store {
                let verdict = Verdict {
                    until: time(*until),
                    times: 1,
                    is_doubtful: false,
                };
                node.evidence.condemn(*request, verdict);
            }
        }
    }

    fn count(&mut self) {
        for (killer, crashed) in &self.crashed {
            self.outcome.ended.insert(*killer, crashed.len());
            let Some(third) = crashed.get(2) else {
                continue;
            };
            let in_touch = |(at, node): &&(u64, usize)| {
                let cut = self.plan.cut.is_some_and(|(from, length)| {
                    *node < self.nodes.len() / 3
                        && *at >= from
                        && *at < from + length + PROPAGATION_MS
                });
                let started = self
                    .plan
                    .restart
                    .is_some_and(|restart| *at >= restart && *at < restart + PROPAGATION_MS);
                !cut && !started
            };
            let late = self.ran[killer].iter().filter(in_touch);
            let late = late.filter(|(at, _)| *at > third + PROPAGATION_MS).count();
            self.outcome.late.insert(*killer, late);
        }
    }
}
