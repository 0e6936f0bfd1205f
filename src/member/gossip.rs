//! The membership protocol as a pure state machine: inputs go in, actions come
//! out. It uses no socket, clock or log.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use super::broadcast::Queue;
use super::probe::Prober;
use super::record::Record;
use super::report::Reporter;
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

/// Bytes of a datagram without updates, as charged to a budget.
const BASE_BYTES: u64 = 64;

/// An input of the protocol.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A datagram was received.
    Frame {
        /// Source address.
        source: SocketAddr,
        /// Decoded datagram.
        frame: Frame,
    },
    /// The platform's list of VMs was read.
    Roster(Vec<Vm>),
    /// This node has a configuration version in force.
    InForce(u64),
    /// This node learned that a configuration version was committed.
    Committed(u64),
    /// A note to disseminate to all nodes.
    Note(Note),
    /// A message for one member.
    Direct {
        /// The member.
        to: Name,
        /// Topic of the message.
        topic: u8,
        /// Content of the message.
        value: Bytes,
    },
    /// The member at this address does not answer another part of this process.
    Silent(IpAddr),
    /// This node starts to leave.
    Leave,
    /// This node exits now.
    Exit,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Datagram.
        frame: Frame,
    },
    /// Publish [`Gossip::view`].
    Publish,
    /// A newer configuration version was committed.
    Committed(u64),
    /// A note was received.
    Note(Note),
    /// A message for this node was received.
    Direct {
        /// Name of the sender.
        from: Name,
        /// Topic of the message.
        topic: u8,
        /// Content of the message.
        value: Bytes,
    },
    /// The state of a member changed; for logs and counters.
    StateChanged {
        /// The member.
        name: Name,
        /// New state of the member.
        state: State,
    },
    /// This node refuted a suspicion or its own death.
    Refuted,
    /// This process was paused for longer than the pause threshold.
    Paused,
    /// A direct message was dropped: over budget, too long, or for an unknown
    /// member.
    Dropped,
    /// A datagram was misdirected or invalid.
    Refused,
    /// Another process won the conflict over this node's name; this one must
    /// leave.
    Replaced,
}

/// Local state of another member.
#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    control: SocketAddr,
    /// Time of the last datagram from the member itself.
    last_contact: Time,
    /// Time of the last state change.
    changed_at: Time,
    /// Time at which it is declared dead unless it refutes the suspicion.
    deadline: Option<Time>,
}

/// Another process that uses this node's name.
#[derive(Clone, Copy, Debug)]
struct Conflict {
    boot: u64,
    /// The highest incarnation received from it.
    incarnation: u64,
    /// How many times its incarnation has increased.
    increases: u32,
}

/// Whether this node has met all nodes on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Completeness {
    /// The list has not been read, or its last reading brought new nodes. While a fleet starts,
    /// the first readings bring only some.
    Growing,
    /// Some nodes may not have answered yet; the last introduction was sent at this time.
    Introducing(Time),
    /// Every node on the list has answered, or has had time to.
    Complete,
}

/// Times at which the periodic tasks are due.
#[derive(Clone, Copy, Debug)]
struct Due {
    gossip: Time,
    probe: Time,
    sync: Time,
    reconnect: Time,
    sync_request: Time,
}

/// Membership as seen by one node.
#[derive(Debug)]
pub struct Gossip {
    tuning: Tuning,
    me: Record,
    rng: ChaCha8Rng,
    entries: BTreeMap<Name, Entry>,
    /// Names of the newest known processes by control address.
    by_control: HashMap<SocketAddr, Name>,
    /// Names by the fingerprint of the record.
    by_fingerprint: BTreeMap<u64, Name>,
    seeds: Vec<SocketAddr>,
    /// Control addresses in the platform's last list of VMs.
    roster: Vec<SocketAddr>,
    /// Addresses of the last list to which no introduction was sent yet.
    uncontacted: Vec<SocketAddr>,
    /// Addresses that know this node from its answer to their introduction; kept only while
    /// `uncontacted` is not empty.
    introduced: HashSet<SocketAddr>,
    introductions_per_step: usize,
    completeness: Completeness,
    prober: Prober,
    broadcasts: Queue,
    /// Version of each note and the time of its receipt, by topic and key.
    notes: BTreeMap<(u8, Name), (u64, Time)>,
    /// The newest configuration version known to be committed.
    committed: u64,
    conflict: Option<Conflict>,
    replaced: bool,
    last_step: Time,
    /// Time of the last datagram, or of the end of this process's last pause.
    last_contact: Time,
    /// Bytes that may be sent now, refilled at a constant rate.
    budget: u64,
    /// The same for direct messages.
    direct_budget: u64,
    due: Due,
}

impl Gossip {
    /// Creates a node that is its own only member. `boot` distinguishes this
    /// process from others of the same name; `seeds` are control addresses to
    /// contact first.
    pub fn new(now: Time, me: Member, boot: u64, seeds: Vec<SocketAddr>, tuning: Tuning) -> Self {
        let mut me = Record { member: me, boot };
        me.member.state = State::Alive;
        me.member.incarnation = me.member.incarnation.max(1);
        let mut broadcasts = Queue::default();
        broadcasts.push(Update::Record(me.clone()));
        Self {
            tuning,
            committed: me.member.config_version,
            me,
            rng: ChaCha8Rng::seed_from_u64(boot),
            entries: BTreeMap::new(),
            by_control: HashMap::new(),
            by_fingerprint: BTreeMap::new(),
            seeds,
            roster: Vec::new(),
            uncontacted: Vec::new(),
            introduced: HashSet::new(),
            introductions_per_step: 0,
            completeness: Completeness::Growing,
            prober: Prober::default(),
            broadcasts,
            notes: BTreeMap::new(),
            conflict: None,
            replaced: false,
            last_step: now,
            last_contact: now,
            budget: tuning.burst,
            direct_budget: tuning.direct_burst,
            due: Due {
                gossip: now,
                probe: now,
                sync: now + tuning.sync_interval,
                reconnect: now,
                sync_request: now,
            },
        }
    }

    /// Handles one input and returns the resulting actions.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.replaced {
            return actions;
        }
        self.detect_pause(now, &mut actions);
        match input {
            Input::Tick => self.tick(now, &mut actions),
            Input::Frame { source, frame } => self.receive(now, source, frame, &mut actions),
            Input::Roster(vms) => self.set_roster(now, &vms),
            Input::InForce(version) => self.put_in_force(version, &mut actions),
            Input::Committed(version) => {
                self.learn_committed(version);
            }
            Input::Note(note) => {
                self.learn_note(now, &note);
            }
            Input::Direct { to, topic, value } => self.direct(&to, topic, value, &mut actions),
            Input::Silent(address) => self.report_silent(address),
            Input::Leave => self.leave(now, &mut actions),
            Input::Exit => self.exit(&mut actions),
        }
        actions
    }

    /// Returns the members as seen by this node, including itself.
    pub fn view(&self) -> View {
        let mut members: Vec<Member> = self
            .entries
            .values()
            .map(|entry| entry.record.member.clone())
            .collect();
        let at = members.partition_point(|member| member.name < self.me.member.name);
        members.insert(at, self.me.member.clone());
        View {
            members,
            is_complete: self.completeness == Completeness::Complete,
            reporter: Reporter::default(),
        }
    }

    /// Returns this node as advertised to others.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// Returns the newest committed configuration version known to this node.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Returns the time of the last datagram from a member.
    pub fn last_contact(&self, name: &str) -> Option<Time> {
        self.entries.get(name).map(|entry| entry.last_contact)
    }

    /// Returns the number of updates that this node still has to send.
    pub fn pending_updates(&self) -> usize {
        self.broadcasts.len()
    }

    /// Returns the number of members that are not dead, including this node.
    fn live_members(&self) -> usize {
        1 + self.peers().count()
    }

    /// Returns the other members that are not dead.
    fn peers(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(|entry| entry.record.member.state != State::Dead)
    }

    /// Returns up to `count` random peers other than `excluded`.
    fn random_peers(&mut self, count: usize, excluded: Option<&Name>) -> Vec<(Name, SocketAddr)> {
        let Self { entries, rng, .. } = self;
        entries
            .values()
            .filter(|entry| entry.record.member.state != State::Dead)
            .filter(|entry| Some(&entry.record.member.name) != excluded)
            .choose_multiple(rng, count)
            .into_iter()
            .map(|entry| (entry.record.member.name.clone(), entry.control))
            .collect()
    }

    /// Sends `body` with the updates that fit into the datagram and the budget.
    fn send(&mut self, to: SocketAddr, body: Body, first: Vec<Update>, actions: &mut Vec<Action>) {
        let taken: usize = first.iter().map(Update::size).sum();
        let budget = usize::try_from(self.budget).unwrap_or(usize::MAX);
        let room = (MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES)
            .saturating_sub(taken)
            .min(budget);
        let limit = self.tuning.retransmit_limit(self.live_members());
        let mut updates = first;
        if matches!(body, Body::Ping { .. } | Body::Ack { .. } | Body::Gossip) {
            updates.extend(self.broadcasts.take(room, limit));
        }
        self.send_exact(to, body, updates, actions);
    }

    /// Sends exactly these updates and charges them to the gossip budget.
    fn send_exact(
        &mut self,
        to: SocketAddr,
        body: Body,
        updates: Vec<Update>,
        actions: &mut Vec<Action>,
    ) {
        let size: usize = updates.iter().map(Update::size).sum();
        self.budget = self.budget.saturating_sub(size as u64 + BASE_BYTES);
        actions.push(self.action(to, body, updates));
    }

    fn action(&self, to: SocketAddr, body: Body, updates: Vec<Update>) -> Action {
        let head = Head {
            from: self.me.member.name.clone(),
            boot: self.me.boot,
            incarnation: self.me.member.incarnation,
            in_force: self.me.member.config_version,
            committed: self.committed,
        };
        let frame = Frame {
            head,
            body,
            updates,
        };
        Action::Send { to, frame }
    }

    /// Returns the suspicion or death recorded for a member, so that it can
    /// refute it.
    fn suspicion_of(&self, name: &str) -> Vec<Update> {
        self.entries
            .get(name)
            .filter(|entry| matches!(entry.record.member.state, State::Suspect | State::Dead))
            .map(|entry| Update::Record(entry.record.clone()))
            .into_iter()
            .collect()
    }
}
