//! Membership as a decision: what arrives goes in, what is to be sent and told
//! comes out. No socket, clock or log is touched here.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::broadcast::Queue;
use super::probe::Prober;
use super::record::Record;
use super::tuning::Tuning;
use super::{Member, State, View};
use crate::clock::Time;
use crate::name::Name;
use crate::table::Vm;
use crate::wire::control::{Body, Frame, Head, MAX_DATAGRAM_BYTES, MAX_HEAD_BYTES, Note, Update};

mod learn;
mod receive;
mod schedule;
mod sync;

/// Bytes of a datagram without news, as far as budgets go.
const HEAD: u64 = 64;

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A datagram arrived.
    Frame {
        /// Where it came from.
        source: SocketAddr,
        /// What it says.
        frame: Frame,
    },
    /// The platform's list was read.
    Roster(Vec<Vm>),
    /// This node has a configuration version in force.
    InForce(u64),
    /// This node learned that a configuration version was committed.
    Committed(u64),
    /// A hint for everyone.
    Note(Note),
    /// A message for one member.
    Direct {
        /// The member.
        to: Name,
        /// What it is about.
        topic: u8,
        /// The message.
        value: Bytes,
    },
    /// This node starts to leave.
    Leave,
    /// This node ends now.
    Exit,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        frame: Frame,
    },
    /// Publish [`Gossip::view`].
    Publish,
    /// A newer configuration version was committed somewhere.
    Committed(u64),
    /// A hint arrived.
    Note(Note),
    /// A message for this node arrived.
    Direct {
        /// Who sent it.
        from: Name,
        /// What it is about.
        topic: u8,
        /// The message.
        value: Bytes,
    },
    /// A member seems to be in another state than before; for log and counters.
    StateChanged {
        /// The member.
        name: Name,
        /// Its state.
        state: State,
    },
    /// This node was thought dead or suspect and said that it lives.
    Refuted,
    /// This process was paused for longer than others wait.
    Paused,
    /// A message for a member was dropped: there are too many of them, it is too
    /// long, or the member is not there.
    Dropped,
    /// A datagram was meant for somebody else, or can't be true.
    Refused,
    /// Another process uses this node's name and keeps it; this one must leave.
    Replaced,
}

/// What is known of another member.
#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    control: SocketAddr,
    /// When it was last heard of, from itself.
    heard: Time,
    /// When its state last changed.
    since: Time,
    /// When it is taken for dead unless it says that it lives.
    deadline: Option<Time>,
}

/// Another process that uses this node's name.
#[derive(Clone, Copy, Debug)]
struct Rival {
    boot: u64,
    incarnation: u64,
    rises: u32,
}

/// When each thing is due next.
#[derive(Clone, Copy, Debug)]
struct Due {
    gossip: Time,
    probe: Time,
    sync: Time,
    reconnect: Time,
    ask: Time,
}

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Gossip {
    tuning: Tuning,
    me: Record,
    rng: ChaCha8Rng,
    entries: BTreeMap<Name, Entry>,
    prints: BTreeMap<u64, Name>,
    seeds: Vec<SocketAddr>,
    roster: Vec<SocketAddr>,
    /// Addresses of the last list that this node has not introduced itself at.
    unmet: Vec<SocketAddr>,
    prober: Prober,
    rumours: Queue,
    notes: BTreeMap<(u8, Name), (u64, Time)>,
    committed: u64,
    rival: Option<Rival>,
    replaced: bool,
    last_step: Time,
    last_heard: Time,
    budget: u64,
    direct_budget: u64,
    due: Due,
}

impl Gossip {
    /// Starts as the only member. `boot` tells this process from others of the
    /// same name; `seeds` are control addresses to try first.
    pub fn new(now: Time, me: Member, boot: u64, seeds: Vec<SocketAddr>, tuning: Tuning) -> Self {
        let mut me = Record { member: me, boot };
        me.member.state = State::Alive;
        me.member.incarnation = me.member.incarnation.max(1);
        let mut rumours = Queue::default();
        rumours.push(Update::Record(me.clone()));
        Self {
            tuning,
            committed: me.member.config_version,
            me,
            rng: ChaCha8Rng::seed_from_u64(boot),
            entries: BTreeMap::new(),
            prints: BTreeMap::new(),
            seeds,
            roster: Vec::new(),
            unmet: Vec::new(),
            prober: Prober::default(),
            rumours,
            notes: BTreeMap::new(),
            rival: None,
            replaced: false,
            last_step: now,
            last_heard: now,
            budget: tuning.burst,
            direct_budget: tuning.direct_burst,
            due: Due {
                gossip: now,
                probe: now,
                sync: now + tuning.sync_interval,
                reconnect: now,
                ask: now,
            },
        }
    }

    /// Takes one input and says what is to be done.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.replaced {
            return actions;
        }
        self.notice_pause(now, &mut actions);
        match input {
            Input::Tick => self.tick(now, &mut actions),
            Input::Frame { source, frame } => self.receive(now, source, frame, &mut actions),
            Input::Roster(vms) => self.list(&vms),
            Input::InForce(version) => self.put_in_force(version, &mut actions),
            Input::Committed(version) => {
                self.learn_committed(version);
            }
            Input::Note(note) => {
                self.remember(now, &note);
            }
            Input::Direct { to, topic, value } => self.direct(&to, topic, value, &mut actions),
            Input::Leave => self.leave(now, &mut actions),
            Input::Exit => self.exit(&mut actions),
        }
        actions
    }

    /// The members as this node sees them, itself among them.
    pub fn view(&self) -> View {
        let mut members: Vec<Member> = self
            .entries
            .values()
            .map(|entry| entry.record.member.clone())
            .collect();
        let at = members.partition_point(|member| member.name < self.me.member.name);
        members.insert(at, self.me.member.clone());
        View { members }
    }

    /// This node as it tells others.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// The newest configuration version that this node has heard of.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// When a member last spoke to this node.
    pub fn last_contact(&self, name: &str) -> Option<Time> {
        self.entries.get(name).map(|entry| entry.heard)
    }

    /// Number of news items that this node still has to send.
    pub fn pending_updates(&self) -> usize {
        self.rumours.len()
    }

    /// Number of members that are not dead, this node among them.
    fn living(&self) -> usize {
        1 + self.peers().count()
    }

    /// The other members that are not dead.
    fn peers(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|entry| entry.record.member.state != State::Dead)
    }

    /// Up to `count` peers, chosen at random.
    fn some_peers(&mut self, count: usize, but: Option<&Name>) -> Vec<(Name, SocketAddr)> {
        let all: Vec<(Name, SocketAddr)> = self
            .peers()
            .filter(|entry| Some(&entry.record.member.name) != but)
            .map(|entry| (entry.record.member.name.clone(), entry.control))
            .collect();
        all.choose_multiple(&mut self.rng, count).cloned().collect()
    }

    /// Sends `body` with whatever news fits and the budget allows.
    fn send(&mut self, to: SocketAddr, body: Body, first: Vec<Update>, actions: &mut Vec<Action>) {
        let taken: usize = first.iter().map(Update::size).sum();
        let budget = usize::try_from(self.budget).unwrap_or(usize::MAX);
        let room = (MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES)
            .saturating_sub(taken)
            .min(budget);
        let limit = self.tuning.retransmit_limit(self.living());
        let mut updates = first;
        if matches!(body, Body::Ping { .. } | Body::Ack { .. } | Body::Gossip) {
            updates.extend(self.rumours.take(room, limit));
        }
        self.post(to, body, updates, actions);
    }

    /// Sends exactly this, on the account of news.
    fn post(
        &mut self,
        to: SocketAddr,
        body: Body,
        updates: Vec<Update>,
        actions: &mut Vec<Action>,
    ) {
        let size: usize = updates.iter().map(Update::size).sum();
        self.budget = self.budget.saturating_sub(size as u64 + HEAD);
        actions.push(self.action(to, body, updates));
    }

    fn action(&self, to: SocketAddr, body: Body, updates: Vec<Update>) -> Action {
        let head = Head {
            from: self.me.member.name.clone(),
            boot: self.me.boot,
            incarnation: self.me.member.incarnation,
            in_force: self.me.member.config_version,
            heard: self.committed,
        };
        let frame = Frame {
            head,
            body,
            updates,
        };
        Action::Send { to, frame }
    }

    /// What a member that is doubted has to be told, so that it can object.
    fn accusation(&self, name: &str) -> Vec<Update> {
        self.entries
            .get(name)
            .filter(|entry| matches!(entry.record.member.state, State::Suspect | State::Dead))
            .map(|entry| Update::Record(entry.record.clone()))
            .into_iter()
            .collect()
    }
}
