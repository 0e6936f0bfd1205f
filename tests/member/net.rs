//! Several members in one thread, connected by a seeded network in virtual time
//! that loses, duplicates, delays and partitions.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use auburnspoke::clock::Time;
use auburnspoke::member::gossip::{Action, Gossip, Input};
use auburnspoke::member::record::Record;
use auburnspoke::member::tuning::Tuning;
use auburnspoke::member::{Member, State};
use auburnspoke::wire::control::{Body, Frame, Head, Update, decode, encode};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const TICK: Duration = Duration::from_millis(100);

pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn address(at: usize) -> SocketAddr {
    let octet = |value| u8::try_from(value).unwrap();
    SocketAddr::from(([10, 0, octet(at / 250), octet(at % 250 + 1)], 7000))
}

pub fn member(at: usize) -> Member {
    let control = address(at).to_string();
    Member {
        name: format!("node-{at:03}").into(),
        address: format!("10.0.{}.{}:80", at / 250, at % 250 + 1).into(),
        link: format!("10.0.{}.{}:90", at / 250, at % 250 + 1).into(),
        control: control.into(),
        zone: format!("zone-{}", at % 5).into(),
        incarnation: 1,
        state: State::Alive,
        config_version: 0,
        power: 0,
    }
}

struct Packet {
    to: SocketAddr,
    from: SocketAddr,
    bytes: Vec<u8>,
}

#[derive(Default)]
pub struct Traffic {
    pub bytes: u64,
    pub datagrams: u64,
}

pub struct Node {
    pub gossip: Gossip,
    pub address: SocketAddr,
    pub paused: bool,
    pub actions: Vec<(Time, Action)>,
    pub sent: Traffic,
}

pub struct Net {
    pub now: Time,
    pub nodes: BTreeMap<SocketAddr, Node>,
    pub loss: f64,
    pub duplication: f64,
    /// Ordered pairs of addresses that cannot reach each other.
    pub cut: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Partitions: addresses in different groups cannot reach each other.
    pub groups: BTreeMap<SocketAddr, u8>,
    packets: BTreeMap<(Time, u64), Packet>,
    number: u64,
    rng: ChaCha8Rng,
    boots: u64,
}

impl Net {
    pub fn new(seed: u64) -> Self {
        Self {
            now: Time::from_millis(3_600_000),
            nodes: BTreeMap::new(),
            loss: 0.0,
            duplication: 0.0,
            cut: BTreeSet::new(),
            groups: BTreeMap::new(),
            packets: BTreeMap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            boots: seed * 1_000 + 1,
        }
    }

    /// A converged fleet whose nodes all have the first three as seeds.
    pub fn fleet(seed: u64, count: usize) -> Self {
        let mut net = Self::new(seed);
        for at in 0..count {
            net.start(at, &[0, 1, 2]);
        }
        let formed = net.run_until(secs(120), |net| net.converged(count));
        assert!(formed.is_some(), "a fleet of {count} did not form");
        net.run(secs(30));
        net
    }

    /// Starts node `at` as a new process, replacing one that ran there.
    pub fn start(&mut self, at: usize, seeds: &[usize]) {
        self.start_as(member(at), seeds);
    }

    pub fn start_as(&mut self, me: Member, seeds: &[usize]) {
        self.boots += 1;
        let boot = self.boots;
        self.start_boot(me, boot, seeds);
    }

    pub fn start_boot(&mut self, me: Member, boot: u64, seeds: &[usize]) {
        let own_address: SocketAddr = me.control.parse().unwrap();
        let seeds = seeds.iter().map(|at| address(*at)).collect();
        let gossip = Gossip::new(self.now, me, boot, seeds, Tuning::default());
        let node = Node {
            gossip,
            address: own_address,
            paused: false,
            actions: Vec::new(),
            sent: Traffic::default(),
        };
        self.nodes.insert(own_address, node);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes.remove(&address(at));
    }

    pub fn pause(&mut self, at: usize, paused: bool) {
        self.node(at).paused = paused;
    }

    pub fn node(&mut self, at: usize) -> &mut Node {
        self.nodes.get_mut(&address(at)).unwrap()
    }

    pub fn input(&mut self, at: usize, input: Input) {
        self.input_at(address(at), input);
    }

    fn input_at(&mut self, address: SocketAddr, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&address) else {
            return;
        };
        let mut packets = Vec::new();
        for action in node.gossip.step(now, input) {
            if let Action::Send { to, frame } = &action {
                let bytes = encode(frame).expect("a frame above the bound");
                node.sent.bytes += bytes.len() as u64;
                node.sent.datagrams += 1;
                packets.push((*to, bytes));
            } else {
                node.actions.push((now, action));
            }
        }
        for (to, bytes) in packets {
            self.deliver(address, to, &bytes);
        }
    }

    /// Delivers a record of `about` to node `at`, as from an old process of
    /// `from`.
    pub fn inject(&mut self, at: usize, from: Member, body: Body, about: Member) {
        let source = from.control.parse().unwrap();
        let head = Head {
            from: from.name,
            boot: 0,
            incarnation: 0,
            in_force: 0,
            committed: 0,
        };
        let record = Record {
            member: about,
            boot: 0,
        };
        let frame = Frame {
            head,
            body,
            updates: vec![Update::Record(record)],
        };
        self.input(at, Input::Frame { source, frame });
    }

    /// Delivers bytes through the simulated network.
    pub fn deliver(&mut self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let group = |address| self.groups.get(&address).copied().unwrap_or_default();
        if self.cut.contains(&(from, to)) || group(from) != group(to) {
            return;
        }
        let mut copies = 1;
        if self.rng.random_bool(self.duplication) {
            copies += 1;
        }
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_micros(self.rng.random_range(200..20_000));
            self.number += 1;
            let packet = Packet {
                to,
                from,
                bytes: bytes.to_vec(),
            };
            self.packets.insert((self.now + delay, self.number), packet);
        }
    }

    /// Steps all nodes once and delivers the datagrams due before the next tick.
    pub fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(entry) = self.packets.first_entry()
            && entry.key().0 < end
        {
            let (at, _) = *entry.key();
            let packet = entry.remove();
            self.now = self.now.max(at);
            let paused = self.nodes.get(&packet.to).is_some_and(|node| node.paused);
            if paused {
                // The datagram waits in the socket's buffer.
                self.number += 1;
                self.packets.insert((end, self.number), packet);
                continue;
            }
            if let Ok(frame) = decode(&packet.bytes) {
                let source = packet.from;
                self.input_at(packet.to, Input::Frame { source, frame });
            }
        }
        self.now = end;
        let addresses: Vec<SocketAddr> = self.nodes.keys().copied().collect();
        for address in addresses {
            if !self.nodes[&address].paused {
                self.input_at(address, Input::Tick);
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until `done` and returns the elapsed time, or `None` after `limit`.
    pub fn run_until<F>(&mut self, limit: Duration, mut done: F) -> Option<Duration>
    where
        F: FnMut(&mut Self) -> bool,
    {
        let start = self.now;
        while self.now < start + limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.tick();
        }
        None
    }

    /// Returns the state of node `of` as seen by node `at`.
    pub fn sees(&self, at: usize, of: usize) -> Option<State> {
        let view = self.nodes[&address(at)].gossip.view();
        view.find(&member(of).name).map(|m| m.state)
    }

    /// Returns true if every running node sees `of` in `state`.
    pub fn all_see(&self, of: usize, state: State) -> bool {
        let name = member(of).name;
        self.nodes
            .values()
            .filter(|node| !node.paused && node.address != address(of))
            .all(|node| node.gossip.view().find(&name).map(|m| m.state) == Some(state))
    }

    /// Returns true if every node sees `count` live members and no suspect ones.
    pub fn converged(&self, count: usize) -> bool {
        self.nodes.values().all(|node| {
            let view = node.gossip.view();
            view.members
                .iter()
                .filter(|m| m.state == State::Alive)
                .count()
                == count
                && view.usable().count() == count
        })
    }

    /// Returns the changes to `state` in any node's view since `since`.
    pub fn changed_to(&self, state: State, since: Time) -> Vec<(Time, SocketAddr, String)> {
        let mut found = Vec::new();
        for node in self.nodes.values() {
            for (at, action) in &node.actions {
                if let Action::StateChanged { name, state: s } = action
                    && *s == state
                    && *at >= since
                {
                    found.push((*at, node.address, name.to_string()));
                }
            }
        }
        found
    }
}
