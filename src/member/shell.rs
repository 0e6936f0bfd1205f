//! Runs [`Gossip`] on a UDP socket of the control thread.

use std::cell::Cell as Flag;
use std::io;
use std::net::SocketAddr;
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
use super::tuning::Tuning;
use super::{Member, State, View};
use crate::clock::Clock;
use crate::event;
use crate::name::Name;
use crate::snapshot::Cell;
use crate::table::{Roster, Vm};
use crate::wire::control::{Error, Frame, MAX_DATAGRAM_BYTES, Note, decode, encode};

/// How often the platform's list is read. With 330 nodes of some 250 bytes each
/// that is 1.4 KB a second of the 13 that a node may spend on control.
const ROSTER: Duration = Duration::from_secs(60);
/// How soon it is read again after the first time: others may have come onto it
/// since, and have read it before this node was on it.
const ROSTER_SOON: Duration = Duration::from_millis(1_500);
/// How often it is read while this node knows nobody.
const ROSTER_ALONE: Duration = Duration::from_secs(1);
/// Commands and events that may wait.
const WAITING: usize = 1_024;

/// What a node starts with.
#[derive(Debug)]
pub struct Setup {
    /// This node; its control address is the one that the socket is bound to.
    pub me: Member,
    /// Tells this process from others of the same name; draw it at random with
    /// the wall clock's milliseconds in the upper bits.
    pub boot: u64,
    /// Control addresses out of the settings, to try beside the platform's list.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and bounds.
    pub tuning: Tuning,
    /// The process's clock.
    pub clock: Clock,
    /// Where to publish the members.
    pub view: Arc<Cell<View>>,
    /// What to count.
    pub counts: Counts,
}

/// What the rest of the process tells the fleet.
#[derive(Clone, Debug)]
enum Command {
    InForce(u64),
    Committed(u64),
    Note(Note),
    Direct { to: Name, topic: u8, value: Bytes },
    Leave,
    Exit,
}

/// What the fleet tells the rest of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A newer configuration version was committed somewhere.
    Committed(u64),
    /// A hint for everyone arrived.
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
    /// Another process keeps this node's name; this one must leave.
    Replaced,
}

/// Tells the fleet things. It never waits: what does not fit is dropped and
/// counted, as a lost datagram would be.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    dropped: Counter,
}

impl Handle {
    /// This node has a configuration version in force.
    pub fn in_force(&self, version: u64) {
        self.tell(Command::InForce(version));
    }

    /// A configuration version was committed.
    pub fn committed(&self, version: u64) {
        self.tell(Command::Committed(version));
    }

    /// Spreads a hint to everyone.
    pub fn note(&self, note: Note) {
        self.tell(Command::Note(note));
    }

    /// Sends one member a message of at most
    /// [`MAX_VALUE_BYTES`](crate::wire::control::MAX_VALUE_BYTES) bytes; it may get lost.
    pub fn direct(&self, to: Name, topic: u8, value: Bytes) {
        self.tell(Command::Direct { to, topic, value });
    }

    /// This node starts to leave.
    pub fn leave(&self) {
        self.tell(Command::Leave);
    }

    /// This node ends; returns once it has said so.
    pub async fn exit(&self) {
        // An error means that it has ended already.
        let _ = self.commands.send(Command::Exit).await;
        self.commands.closed().await;
    }

    fn tell(&self, command: Command) {
        if self.commands.try_send(command).is_err() {
            self.dropped.inc();
        }
    }
}

/// What membership counts.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: Counter,
    /// Bytes sent, without the headers below them.
    pub sent_bytes: Counter,
    /// Datagrams received.
    pub received: Counter,
    /// Bytes received, without the headers below them.
    pub received_bytes: Counter,
    /// Datagrams dropped as too long.
    pub too_long: Counter,
    /// Datagrams dropped as of another protocol version.
    pub wrong_version: Counter,
    /// Datagrams dropped as unreadable.
    pub malformed: Counter,
    /// Datagrams or records meant for another node, or impossible.
    pub refused: Counter,
    /// Members that became suspect.
    pub suspected: Counter,
    /// Members that were taken for dead.
    pub died: Counter,
    /// Times that this node objected to being suspect or dead.
    pub refuted: Counter,
    /// Times that this process noticed a pause of its own.
    pub paused: Counter,
    /// Messages dropped: above their budget, for nobody, or because a receiver
    /// within this process was slow.
    pub dropped: Counter,
    /// Readings of the platform's list that failed.
    pub roster_failed: Counter,
}

impl Counts {
    /// Makes every counter known under `member_...`.
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
    alone: Rc<Flag<bool>>,
}

/// Starts membership on this thread and returns at once. The members are
/// published in `setup.view`; it ends with [`Handle::exit`] or when another
/// process keeps this node's name.
pub fn start<R>(setup: Setup, socket: UdpSocket, roster: R) -> (Handle, mpsc::Receiver<Event>)
where
    R: Roster + 'static,
{
    let (commands, inbox) = mpsc::channel(WAITING);
    let (events, outbox) = mpsc::channel(WAITING);
    let (vms, lists) = mpsc::channel(1);
    let now = setup.clock.now();
    let tick = setup.tuning.tick;
    let handle = Handle {
        commands,
        dropped: setup.counts.dropped.clone(),
    };
    let alone = Rc::new(Flag::new(true));
    let shell = Shell {
        gossip: Gossip::new(now, setup.me, setup.boot, setup.seeds, setup.tuning),
        socket,
        clock: setup.clock,
        view: setup.view,
        counts: setup.counts.clone(),
        events,
        alone: alone.clone(),
    };
    shell.view.publish(shell.gossip.view());
    actix_rt::spawn(read_roster(roster, vms, setup.counts, alone));
    actix_rt::spawn(run(shell, tick, inbox, lists));
    (handle, outbox)
}

/// Reads the platform's list now and then; a failed reading changes nothing.
async fn read_roster<R>(
    roster: R,
    lists: mpsc::Sender<Vec<Vm>>,
    counts: Counts,
    alone: Rc<Flag<bool>>,
) where
    R: Roster,
{
    let mut read = 0;
    loop {
        match roster.list().await {
            Ok(list) => {
                read += 1;
                if lists.send(list).await.is_err() {
                    return;
                }
            }
            Err(_) => {
                counts.roster_failed.inc();
            }
        }
        let wait = match read {
            0 => ROSTER_ALONE,
            1 => ROSTER_SOON,
            _ if alone.get() => ROSTER_ALONE,
            _ => ROSTER,
        };
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
) {
    let mut ticks = interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // One byte more than allowed, to tell a datagram that is too long from one
    // that just fits.
    let mut buffer = vec![0_u8; MAX_DATAGRAM_BYTES + 1];
    loop {
        let input = tokio::select! {
            got = shell.socket.recv_from(&mut buffer) => match shell.read(got, &buffer) {
                Some(input) => input,
                None => continue,
            },
            _ = ticks.tick() => Input::Tick,
            Some(list) = lists.recv() => Input::Roster(list),
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
        // An error here is a peer's closed port, reported late; probes tell more.
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

    /// Steps the decision and acts on it; true when this node lost its name.
    async fn step(&mut self, input: Input) -> bool {
        let actions = self.gossip.step(self.clock.now(), input);
        let mut publish = false;
        let mut replaced = false;
        for action in actions {
            match action {
                Action::Send { to, frame } => self.post(to, &frame).await,
                Action::Publish => publish = true,
                Action::Committed(version) => self.emit(Event::Committed(version)),
                Action::Note(note) => self.emit(Event::Note(note)),
                Action::Direct { from, topic, value } => {
                    self.emit(Event::Direct { from, topic, value });
                }
                Action::StateChanged { name, state } => self.count_state(&name, state),
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
        if publish {
            let view = self.gossip.view();
            self.alone.set(view.usable().count() <= 1);
            self.view.publish(view);
        }
        replaced
    }

    async fn post(&self, to: SocketAddr, frame: &Frame) {
        match encode(frame) {
            Ok(bytes) => {
                self.counts.sent.inc();
                self.counts.sent_bytes.inc_by(bytes.len() as u64);
                // A datagram that can't be sent is as good as a lost one.
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

    fn count_state(&self, name: &Name, state: State) {
        match state {
            State::Suspect => self.counts.suspected.inc(),
            State::Dead => self.counts.died.inc(),
            State::Alive | State::Leaving => 0,
        };
        log::info!("{} member={name} state={state:?}", event::MEMBER_CHANGED);
    }
}
