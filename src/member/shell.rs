//! Runs [`Gossip`] on a UDP socket of the control thread.

use std::cell::Cell as StdCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::gossip::{Action, Gossip, Input};
use super::report::Reporter;
use super::roster::Schedule;
use super::tuning::Tuning;
use super::{Member, State, View};
use crate::clock::{Clock, Time};
use crate::event;
use crate::name::Name;
use crate::snapshot::Cell;
use crate::table::{Roster, Vm};
use crate::wire::control::{Error, Frame, MAX_DATAGRAM_BYTES, Note, decode, encode};

/// Minimum interval between two published views. A view is a copy of all members, and while
/// a fleet starts, almost every datagram brings a new one.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of changes between two views that are logged one by one. While a fleet starts,
/// each node learns of all others, and a line for each would displace all other lines.
const MAX_LOGGED_CHANGES: usize = 16;
/// Capacity of the command and event channels.
const CHANNEL_CAPACITY: usize = 1_024;

/// Initial state of the membership of a node.
#[derive(Debug)]
pub struct Setup {
    /// This node; its control address is the one that the socket is bound to.
    pub me: Member,
    /// Distinguishes this process from others of the same name; drawn at random
    /// with the milliseconds of the wall clock in the upper bits.
    pub boot: u64,
    /// Control addresses from the settings, contacted in addition to the
    /// platform's list.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and limits.
    pub tuning: Tuning,
    /// Clock of the process.
    pub clock: Clock,
    /// Where the view of the members is published.
    pub view: Arc<Cell<View>>,
    /// Counters to update.
    pub counts: Counts,
}

/// A command from the rest of the process.
#[derive(Clone, Debug)]
enum Command {
    InForce(u64),
    Committed(u64),
    Note(Note),
    Direct { to: Name, topic: u8, value: Bytes },
    Leave,
    Exit,
}

/// An event for the rest of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
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
    /// Another process won the conflict over this node's name; this one must
    /// leave.
    Replaced,
}

/// Sends commands to membership. It never blocks: a command that does not fit
/// into the channel is dropped and counted, like a lost datagram.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    dropped: Counter,
}

impl Handle {
    /// Announces the configuration version that this node has in force.
    pub fn in_force(&self, version: u64) {
        self.enqueue(Command::InForce(version));
    }

    /// Announces a committed configuration version.
    pub fn committed(&self, version: u64) {
        self.enqueue(Command::Committed(version));
    }

    /// Disseminates a note to all nodes.
    pub fn note(&self, note: Note) {
        self.enqueue(Command::Note(note));
    }

    /// Sends one member a message of at most
    /// [`MAX_VALUE_BYTES`](crate::wire::control::MAX_VALUE_BYTES) bytes; it may
    /// get lost.
    pub fn direct(&self, to: Name, topic: u8, value: Bytes) {
        self.enqueue(Command::Direct { to, topic, value });
    }

    /// Announces that this node is leaving.
    pub fn leave(&self) {
        self.enqueue(Command::Leave);
    }

    /// Announces the exit of this node and returns once the datagrams were sent.
    pub async fn exit(&self) {
        // An error means that membership has already ended.
        let _ = self.commands.send(Command::Exit).await;
        self.commands.closed().await;
    }

    fn enqueue(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            self.dropped.inc();
        }
    }
}

/// Counters of membership.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: Counter,
    /// Bytes sent, without UDP and IP headers.
    pub sent_bytes: Counter,
    /// Datagrams received.
    pub received: Counter,
    /// Bytes received, without UDP and IP headers.
    pub received_bytes: Counter,
    /// Datagrams dropped because they are too long.
    pub too_long: Counter,
    /// Datagrams dropped because of their protocol version.
    pub wrong_version: Counter,
    /// Datagrams dropped because they cannot be decoded.
    pub malformed: Counter,
    /// Datagrams or records that were misdirected or invalid.
    pub refused: Counter,
    /// Members that became suspect.
    pub suspected: Counter,
    /// Members that were declared dead.
    pub died: Counter,
    /// Refutations of this node's suspicion or death.
    pub refuted: Counter,
    /// Detected pauses of this process.
    pub paused: Counter,
    /// Messages dropped: over budget, for an unknown member, or because a
    /// receiver within this process was slow.
    pub dropped: Counter,
    /// Failed reads of the platform's list.
    pub roster_failed: Counter,
}

impl Counts {
    /// Registers every counter as `member_...`.
    pub fn register(&self, registry: &mut Registry) {
        let all = [
            ("sent", "Datagrams sent", &self.sent),
            ("sent_bytes", "Bytes sent", &self.sent_bytes),
            ("received", "Datagrams received", &self.received),
            ("received_bytes", "Bytes received", &self.received_bytes),
            ("too_long", "Datagrams too long", &self.too_long),
            (
                "wrong_version",
                "Datagrams of another version",
                &self.wrong_version,
            ),
            ("malformed", "Datagrams unreadable", &self.malformed),
            (
                "refused",
                "Datagrams misdirected or impossible",
                &self.refused,
            ),
            ("suspected", "Members suspected", &self.suspected),
            ("died", "Members taken for dead", &self.died),
            ("refuted", "Own deaths denied", &self.refuted),
            ("paused", "Own pauses noticed", &self.paused),
            (
                "dropped",
                "Messages to or from the fleet dropped",
                &self.dropped,
            ),
            (
                "roster_failed",
                "Failed readings of the platform's list",
                &self.roster_failed,
            ),
        ];
        for (name, help, counter) in all {
            registry.register(format!("member_{name}"), help, counter.clone());
        }
    }

    fn refuse(&self, error: Error) {
        match error {
            Error::TooLong => self.too_long.inc(),
            Error::Version => self.wrong_version.inc(),
            Error::Malformed => self.malformed.inc(),
        };
    }
}

struct Shell {
    gossip: Gossip,
    socket: UdpSocket,
    clock: Clock,
    view: Arc<Cell<View>>,
    counts: Counts,
    events: mpsc::Sender<Event>,
    alone: Rc<StdCell<bool>>,
    /// The members have changed since the last published view.
    is_unpublished: bool,
    published: Time,
    /// Changes of members' states that are not logged yet.
    changes: Vec<(Name, State)>,
    /// Published with each view.
    reporter: Reporter,
}

/// Starts membership on this thread and returns at once. The members are
/// published in `setup.view`; membership ends with [`Handle::exit`] or when
/// another process wins a conflict over this node's name.
pub fn start<R>(setup: Setup, socket: UdpSocket, roster: R) -> (Handle, mpsc::Receiver<Event>)
where
    R: Roster + 'static,
{
    let (commands, inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (events, outbox) = mpsc::channel(CHANNEL_CAPACITY);
    let (vms, lists) = mpsc::channel(1);
    let (reporter, reports) = Reporter::channel();
    let now = setup.clock.now();
    let tick = setup.tuning.tick;
    let handle = Handle {
        commands,
        dropped: setup.counts.dropped.clone(),
    };
    let alone = Rc::new(StdCell::new(true));
    let shell = Shell {
        gossip: Gossip::new(now, setup.me, setup.boot, setup.seeds, setup.tuning),
        socket,
        clock: setup.clock,
        view: setup.view,
        counts: setup.counts.clone(),
        events,
        alone: alone.clone(),
        is_unpublished: false,
        published: now,
        changes: Vec::new(),
        reporter,
    };
    shell.view.publish(shell.view());
    actix_rt::spawn(read_roster(roster, vms, setup.counts, alone));
    actix_rt::spawn(run(shell, tick, inbox, lists, reports));
    (handle, outbox)
}

/// Reads the platform's list periodically; a failed read changes nothing.
async fn read_roster<R>(
    roster: R,
    lists: mpsc::Sender<Vec<Vm>>,
    counts: Counts,
    alone: Rc<StdCell<bool>>,
) where
    R: Roster,
{
    let mut schedule = Schedule::default();
    loop {
        match roster.list().await {
            Ok(list) => {
                schedule.succeeded(&list);
                if lists.send(list).await.is_err() {
                    return;
                }
            }
            Err(fault) => {
                counts.roster_failed.inc();
                schedule.failed();
                log::info!(
                    "{} retry_ms={} why=\"{fault}\"",
                    event::MEMBERS_UNREAD,
                    schedule.delay(alone.get()).as_millis(),
                );
            }
        }
        let wait = schedule.delay(alone.get());
        tokio::select! {
            () = sleep(wait) => {}
            () = lists.closed() => return,
        }
    }
}

async fn run(
    mut shell: Shell,
    tick: Duration,
    mut inbox: mpsc::Receiver<Command>,
    mut lists: mpsc::Receiver<Vec<Vm>>,
    mut reports: mpsc::Receiver<IpAddr>,
) {
    let mut ticks = interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // One byte more than allowed, to distinguish a datagram that is too long from
    // one that just fits.
    let mut buffer = vec![0_u8; MAX_DATAGRAM_BYTES + 1];
    loop {
        let input = tokio::select! {
            got = shell.socket.recv_from(&mut buffer) => match shell.read(got, &buffer) {
                Some(input) => input,
                None => continue,
            },
            _ = ticks.tick() => Input::Tick,
            Some(list) = lists.recv() => Input::Roster(list),
            Some(address) = reports.recv() => Input::Silent(address),
            command = inbox.recv() => match command {
                Some(command) => command.into(),
                None => Input::Exit,
            },
        };
        let last = matches!(input, Input::Exit);
        let replaced = shell.step(input).await;
        if last || replaced {
            return;
        }
    }
}

impl From<Command> for Input {
    fn from(command: Command) -> Self {
        match command {
            Command::InForce(version) => Self::InForce(version),
            Command::Committed(version) => Self::Committed(version),
            Command::Note(note) => Self::Note(note),
            Command::Direct { to, topic, value } => Self::Direct { to, topic, value },
            Command::Leave => Self::Leave,
            Command::Exit => Self::Exit,
        }
    }
}

impl Shell {
    fn read(&self, got: io::Result<(usize, SocketAddr)>, buffer: &[u8]) -> Option<Input> {
        // An error here is a delayed report of a peer's closed port; probes
        // detect that.
        let (len, source) = got.ok()?;
        self.counts.received.inc();
        self.counts.received_bytes.inc_by(len as u64);
        match decode(&buffer[..len]) {
            Ok(frame) => Some(Input::Frame { source, frame }),
            Err(error) => {
                self.counts.refuse(error);
                log::debug!(
                    "{} from={source} cause=\"{error}\"",
                    event::DATAGRAM_REFUSED
                );
                None
            }
        }
    }

    /// Steps the protocol and carries out its actions; returns true if this node
    /// lost its name.
    async fn step(&mut self, input: Input) -> bool {
        let now = self.clock.now();
        let actions = self.gossip.step(now, input);
        let mut replaced = false;
        for action in actions {
            match action {
                Action::Send { to, frame } => self.send(to, &frame).await,
                Action::Publish => self.is_unpublished = true,
                Action::Committed(version) => self.emit(Event::Committed(version)),
                Action::Note(note) => self.emit(Event::Note(note)),
                Action::Direct { from, topic, value } => {
                    self.emit(Event::Direct { from, topic, value });
                }
                Action::StateChanged { name, state } => {
                    self.count_state(state);
                    self.changes.push((name, state));
                }
                Action::Refuted => {
                    self.counts.refuted.inc();
                    log::warn!("{}", event::MEMBER_REFUTED);
                }
                Action::Paused => {
                    self.counts.paused.inc();
                    log::warn!("{}", event::NODE_PAUSED);
                }
                Action::Refused => {
                    self.counts.refused.inc();
                }
                Action::Dropped => {
                    self.counts.dropped.inc();
                }
                Action::Replaced => {
                    replaced = true;
                    log::error!("{}", event::NAME_TAKEN);
                    self.emit(Event::Replaced);
                }
            }
        }
        if self.is_unpublished && now.since(self.published) >= PUBLISH_INTERVAL {
            self.publish(now);
        }
        replaced
    }

    fn view(&self) -> View {
        View {
            reporter: self.reporter.clone(),
            ..self.gossip.view()
        }
    }

    fn publish(&mut self, now: Time) {
        self.is_unpublished = false;
        self.published = now;
        let view = self.view();
        self.alone.set(view.usable().count() <= 1);
        if view.is_complete && !self.view.read().is_complete {
            let members = view.members.len();
            log::info!("{} members={members}", event::VIEW_COMPLETE);
        }
        self.view.publish(view);
        log_changes(&std::mem::take(&mut self.changes));
    }

    async fn send(&self, to: SocketAddr, frame: &Frame) {
        match encode(frame) {
            Ok(bytes) => {
                self.counts.sent.inc();
                self.counts.sent_bytes.inc_by(bytes.len() as u64);
                // A datagram that cannot be sent counts as lost.
                let _ = self.socket.send_to(&bytes, to).await;
            }
            Err(error) => self.counts.refuse(error),
        }
    }

    fn emit(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            self.counts.dropped.inc();
        }
    }

    fn count_state(&self, state: State) {
        match state {
            State::Suspect => self.counts.suspected.inc(),
            State::Dead => self.counts.died.inc(),
            State::Alive | State::Leaving => 0,
        };
    }
}

fn log_changes(changes: &[(Name, State)]) {
    if changes.len() <= MAX_LOGGED_CHANGES {
        for (name, state) in changes {
            log::info!("{} member={name} state={state:?}", event::MEMBER_CHANGED);
        }
        return;
    }
    let count = |state| changes.iter().filter(|(_, it)| *it == state).count();
    log::info!(
        "{} members={} alive={} suspect={} leaving={} dead={}",
        event::MEMBER_CHANGED,
        changes.len(),
        count(State::Alive),
        count(State::Suspect),
        count(State::Leaving),
        count(State::Dead),
    );
}
