//! A small fleet of followers in virtual time, with a table, pauses, partitions,
//! restarts and changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::config::Document;
use auburnspoke::config::follow::{Action, EVIDENCE_TTL, Follower, Input};
use auburnspoke::config::row::Pointer;
use auburnspoke::name::Name;
use auburnspoke::table::Fault;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub const STEP: Duration = Duration::from_millis(250);
pub const NODES: usize = 5;
pub const START: Time = Time::from_millis(3_600_000);

/// A message in transit to a node.
pub enum Message {
    Input(Input),
    Ask { from: usize, requested_at: Time },
    FetchFrom { from: usize },
    Announced { version: u64, began: Time },
}

pub struct Node {
    pub follower: Follower,
    pub paused_until: Time,
    pub side: u32,
    pub inbox: BTreeMap<(Time, u64), Message>,
    pub applied: u64,
}

/// A change between its announcement and its commit.
pub struct Change {
    pub node: usize,
    pub version: u64,
    pub began: Time,
    pub acknowledged: Vec<usize>,
    pub commit_at: Time,
}

pub struct Fleet {
    pub now: Time,
    pub random: ChaCha8Rng,
    pub nodes: Vec<Node>,
    pub table_up: bool,
    /// Time at which each version became current; the first is version 1.
    pub commits: Vec<Time>,
    pub change: Option<Change>,
    pub messages: u64,
    /// Number of node steps at which work was accepted.
    pub accepted: u32,
}

pub fn name(at: usize) -> Name {
    format!("n{at}").into()
}

pub fn document(version: u64) -> Arc<Document> {
    Arc::new(Document {
        version,
        ..Document::default()
    })
}

impl Fleet {
    pub fn new(seed: u64) -> Self {
        let mut fleet = Self {
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            table_up: true,
            commits: vec![START],
            change: None,
            messages: 0,
            accepted: 0,
        };
        for at in 0..NODES {
            let node = fleet.start(at);
            fleet.nodes.push(node);
        }
        fleet
    }

    pub fn start(&self, at: usize) -> Node {
        let mut follower = Follower::new(self.now, &name(at));
        let peers = (0..NODES).filter(|peer| *peer != at).map(name).collect();
        follower.step(self.now, Input::Peers(peers), &mut Vec::new());
        Node {
            follower,
            paused_until: Time::ZERO,
            side: 0,
            inbox: BTreeMap::new(),
            applied: 0,
        }
    }

    pub fn restart(&mut self, at: usize) {
        let fresh = self.start(at);
        let old = std::mem::replace(&mut self.nodes[at], fresh);
        self.nodes[at].side = old.side;
        self.nodes[at].applied = old.applied;
    }

    pub fn table(&self, at: usize) -> std::result::Result<u64, Fault> {
        if self.table_up && self.nodes[at].side == 0 {
            Ok(self.commits.len() as u64)
        } else {
            Err(Fault::Unknown)
        }
    }

    pub fn send(&mut self, to: usize, message: Message) {
        self.messages += 1;
        let latency = Duration::from_millis(self.random.random_range(1..2_000));
        let at = (self.now + latency, self.messages);
        self.nodes[to].inbox.insert(at, message);
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for at in 0..NODES {
            if self.now < self.nodes[at].paused_until {
                continue;
            }
            // Work is accepted first: a node that was paused may do so before it
            // has read any message or noticed that time has passed.
            self.work(at);
            while let Some(entry) = self.nodes[at].inbox.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let message = entry.remove();
                self.receive(at, message);
                self.work(at);
            }
            self.input(at, Input::Tick);
            self.work(at);
        }
        self.commit();
    }

    /// Accepts work if the node may, and checks that its version is current
    /// enough.
    pub fn work(&mut self, at: usize) {
        let (now, node) = (self.now, &mut self.nodes[at]);
        let in_force = node.follower.in_force();
        if !in_force.is_valid(now) {
            return;
        }
        self.accepted += 1;
        let version = in_force.document.version;
        assert!(
            version >= node.applied,
            "n{at} returned to version {version}"
        );
        node.applied = version;
        if let Some(superseded) = self.commits.get(usize::try_from(version).unwrap()) {
            let late = now.since(*superseded);
            assert!(
                late <= EVIDENCE_TTL,
                "n{at} applied version {version} {late:?} after it was superseded"
            );
        }
    }

    pub fn receive(&mut self, at: usize, message: Message) {
        match message {
            Message::Input(input) => self.input(at, input),
            Message::Ask { from, requested_at } => {
                let report = self.nodes[at].follower.report(self.now);
                let peer = name(at);
                let answer = Input::Answered {
                    peer,
                    requested_at,
                    report,
                };
                self.send_to_peer(at, from, Message::Input(answer));
            }
            Message::FetchFrom { from } => {
                let document = Arc::clone(&self.nodes[at].follower.in_force().document);
                self.send_to_peer(at, from, Message::Input(Input::Offered(document)));
            }
            Message::Announced { version, began } => {
                self.input(at, Input::Announced(version));
                // A late acknowledgement of an earlier announcement does not
                // count.
                if let Some(change) = self.change.as_mut().filter(|change| change.began == began) {
                    change.acknowledged.push(at);
                }
            }
        }
    }

    /// Sends between nodes unless they are partitioned.
    pub fn send_to_peer(&mut self, from: usize, to: usize, message: Message) {
        if self.nodes[from].side == self.nodes[to].side && self.random.random_bool(0.95) {
            self.send(to, message);
        }
    }

    pub fn input(&mut self, at: usize, input: Input) {
        let mut actions = Vec::new();
        self.nodes[at].follower.step(self.now, input, &mut actions);
        let requested_at = self.now;
        for action in actions {
            match action {
                Action::Publish(_) => {}
                Action::Poll => {
                    let result = self
                        .table(at)
                        .map(|version| Some(Pointer { version, change: 0 }));
                    self.send(
                        at,
                        Message::Input(Input::Polled {
                            requested_at,
                            result,
                        }),
                    );
                }
                Action::Fetch => {
                    let result = self.table(at).map(|version| Some(document(version)));
                    self.send(
                        at,
                        Message::Input(Input::Fetched {
                            requested_at,
                            result,
                        }),
                    );
                }
                Action::Query(peer) => {
                    self.send_to_peer(
                        at,
                        index(&peer),
                        Message::Ask {
                            from: at,
                            requested_at,
                        },
                    );
                }
                Action::FetchFrom(peer) => {
                    self.send_to_peer(at, index(&peer), Message::FetchFrom { from: at });
                }
            }
        }
    }

    /// Announces a change of this node, as `commit::apply` does.
    pub fn begin(&mut self, node: usize) {
        let Ok(current) = self.table(node) else {
            return;
        };
        if self.change.is_some() || self.now < self.nodes[node].paused_until {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(3_000..18_000));
        let version = current + 1;
        self.change = Some(Change {
            node,
            version,
            began: self.now,
            acknowledged: vec![node],
            commit_at: self.now + delay,
        });
        self.input(node, Input::Announced(version));
        let began = self.now;
        for peer in (0..NODES).filter(|peer| *peer != node) {
            self.send_to_peer(node, peer, Message::Announced { version, began });
        }
    }

    /// Commits the change when it is due, if half of the fleet has acknowledged
    /// it.
    pub fn commit(&mut self) {
        let due = |change: &mut Change| self.now >= change.commit_at;
        let Some(change) = self.change.take_if(due) else {
            return;
        };
        let known = change.acknowledged.len() * 2 >= NODES;
        let current = self
            .table(change.node)
            .is_ok_and(|version| version + 1 == change.version);
        if known && current {
            self.commits.push(self.now);
            let document = document(change.version);
            let requested_at = change.began;
            self.send(
                change.node,
                Message::Input(Input::Committed {
                    requested_at,
                    document,
                }),
            );
        }
    }

    pub fn inject_faults(&mut self) {
        let node = self.random.random_range(0..NODES);
        match self.random.random_range(0..7) {
            0 => {
                let pause = Duration::from_millis(self.random.random_range(1_000..40_000));
                self.nodes[node].paused_until = self.now + pause;
            }
            1 => self.restart(node),
            2 => self.table_up = !self.table_up,
            3 => {
                for node in &mut self.nodes {
                    node.side = self.random.random_range(0..2);
                }
            }
            4 => self.nodes.iter_mut().for_each(|node| node.side = 0),
            _ => self.begin(node),
        }
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 4 {
            self.step();
        }
    }

    pub fn versions(&self) -> Vec<u64> {
        let all = self.nodes.iter().map(|node| node.follower.in_force());
        let held = all.map(|in_force| {
            if in_force.is_valid(self.now) {
                in_force.document.version
            } else {
                0
            }
        });
        held.collect()
    }
}

pub fn index(peer: &str) -> usize {
    peer[1..].parse().unwrap()
}
