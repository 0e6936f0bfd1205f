//! Connections that carry requests from gateways to dispatchers on other
//! nodes.
//!
//! A gateway thread keeps one connection to each peer it needs. A connection
//! that breaks ends every request on it with what can be proved: a request
//! still in our own queue has not run, one that was written may have.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::dispatch::Load;
use crate::dispatch::handle::Event;
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::{Piece, Request};
use crate::wire;
use crate::wire::query::{Query, Reply};
use crate::wire::traffic::Frame;

mod client;
pub mod server;

/// Frames that may wait to be written on one connection.
const FRAMES: usize = 1_024;
/// Pieces of one answer that may wait for its reader. The bound is an answer's
/// own length, so a slow reader never holds up the other answers on its
/// connection; one that is further behind is given up.
const ANSWER_PIECES: usize = 16 * 1_024;
/// Most time to connect and greet.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of each of a connection's two buffers, which are taken at once: with
/// the library's 128 KiB a node with a thousand connections would hold 256 MiB.
const BUFFER: usize = 8 * 1_024;
/// After this long without a frame a connection on which something is open asks
/// its peer for a sign of life. An idle one is not asked: with hundreds of peers
/// that alone would be more than the control budget.
const PING_EVERY: Duration = Duration::from_millis(500);
/// A peer that was silent for this long while something is open is taken for
/// gone: it is paused, cut off or dead, and requests on it must be tried
/// elsewhere.
const SILENCE: Duration = Duration::from_secs(2);
/// A peer that sends enough itself is still asked this often, because it takes a
/// gateway that says nothing for longer than that for gone.
const PING_AT_LEAST: Duration = Duration::from_secs(2);
/// A connection on which nothing was open for this long is closed.
const IDLE: Duration = Duration::from_secs(60);
/// When to come back after a link failed.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The connections of one gateway thread.
pub struct Pool {
    node: Name,
    peers: RefCell<HashMap<Name, Rc<Peer>>>,
}

/// One connection and the requests on it.
struct Peer {
    frames: mpsc::Sender<Frame>,
    pending: RefCell<HashMap<u64, Pending>>,
    last_id: Cell<u64>,
    open: Cell<bool>,
    /// When the last frame came.
    heard: Cell<Instant>,
}

struct Pending {
    reply: ReplyTo,
    /// True once its frame was handed to the socket.
    written: bool,
}

/// Who waits for what comes back.
enum ReplyTo {
    Request(mpsc::Sender<Event>),
    Query(oneshot::Sender<Reply>),
}

impl Pool {
    /// A pool without connections, for the node of that name.
    pub fn new(node: Name) -> Rc<Self> {
        Rc::new(Self {
            node,
            peers: RefCell::default(),
        })
    }

    /// Sends a request to the dispatcher of `endpoint` at the peer whose link
    /// listens at `address`, and returns what it says. Dropping the receiver
    /// cancels the request.
    pub fn submit(
        self: &Rc<Self>,
        address: &Name,
        endpoint: Name,
        request: Request,
    ) -> mpsc::Receiver<Event> {
        let (reply, events) = mpsc::channel(ANSWER_PIECES);
        let Some(peer) = self.peer(address) else {
            let _ = reply.try_send(lost(false, "its address can't be read"));
            return events;
        };
        let id = peer.next_id();
        let frame = Frame::Submit {
            id,
            endpoint,
            request: Box::new(request),
        };
        if !peer.send(id, frame, ReplyTo::Request(reply.clone())) {
            peer.end(id, lost(false, "the link to the dispatcher is full"));
            return events;
        }
        actix_rt::spawn(async move {
            reply.closed().await;
            // Absent when the answer has ended, which is the usual case.
            if peer.pending.borrow_mut().remove(&id).is_some() {
                let _ = peer.frames.try_send(Frame::Cancel { id });
            }
        });
        events
    }

    /// Asks the control thread of the peer whose link listens at `address`;
    /// none when it does not answer within `wait`.
    pub async fn ask(
        self: &Rc<Self>,
        address: &Name,
        query: Query,
        wait: Duration,
    ) -> Option<Reply> {
        let peer = self.peer(address)?;
        let id = peer.next_id();
        let (reply, answer) = oneshot::channel();
        peer.send(id, Frame::Query { id, query }, ReplyTo::Query(reply));
        let answer = tokio::time::timeout(wait, answer).await;
        peer.pending.borrow_mut().remove(&id);
        answer.ok()?.ok()
    }

    fn peer(self: &Rc<Self>, address: &Name) -> Option<Rc<Peer>> {
        if let Some(peer) = self.peers.borrow().get(address)
            && peer.open.get()
        {
            return Some(Rc::clone(peer));
        }
        let socket: SocketAddr = address.parse().ok()?;
        let (frames, outgoing) = mpsc::channel(FRAMES);
        let peer = Rc::new(Peer {
            frames,
            pending: RefCell::default(),
            last_id: Cell::new(0),
            open: Cell::new(true),
            heard: Cell::new(Instant::now()),
        });
        self.peers
            .borrow_mut()
            .insert(address.clone(), Rc::clone(&peer));
        let task = client::run(Rc::clone(&peer), self.node.clone(), socket, outgoing);
        actix_rt::spawn(task);
        Some(peer)
    }
}

impl Peer {
    fn next_id(&self) -> u64 {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        id
    }

    /// Hands a frame to the writer; false when its queue is full.
    fn send(&self, id: u64, frame: Frame, reply: ReplyTo) -> bool {
        let written = false;
        let pending = Pending { reply, written };
        self.pending.borrow_mut().insert(id, pending);
        self.frames.try_send(frame).is_ok()
    }

    /// Gives a request its last word and forgets it.
    fn end(&self, id: u64, event: Event) {
        let pending = self.pending.borrow_mut().remove(&id);
        if let Some(ReplyTo::Request(reply)) = pending.map(|pending| pending.reply) {
            let _ = reply.try_send(event);
        }
    }

    /// Gives a question its answer.
    fn answer(&self, id: u64, answer: Reply) {
        let pending = self.pending.borrow_mut().remove(&id);
        if let Some(ReplyTo::Query(reply)) = pending.map(|pending| pending.reply) {
            let _ = reply.send(answer);
        }
    }

    /// Passes on a piece; false when its reader is a whole answer behind.
    fn piece(&self, id: u64, piece: Piece, load: Option<Load>) -> bool {
        match self.pending.borrow().get(&id).map(|pending| &pending.reply) {
            Some(ReplyTo::Request(reply)) => reply.try_send(Event::Piece(piece, load)).is_ok(),
            // Late pieces of a cancelled request.
            Some(ReplyTo::Query(_)) | None => true,
        }
    }

    /// Ends every request with what can be proved of it. Questions end when
    /// their senders are dropped.
    fn close(&self, why: &str) {
        self.open.set(false);
        for (_, pending) in self.pending.borrow_mut().drain() {
            if let ReplyTo::Request(reply) = pending.reply {
                let _ = reply.try_send(lost(pending.written, why));
            }
        }
    }
}

fn lost(written: bool, why: &str) -> Event {
    let refusal = Refusal::new(Reason::LinkFailed)
        .after(RETRY_AFTER)
        .with_message(format!(
            "the link between two nodes failed ({why}); come back"
        ));
    let outcome = if written {
        Outcome::MayHaveRun(refusal)
    } else {
        Outcome::NotRun(refusal)
    };
    Event::End(outcome, Load::default())
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER)
        .write_buffer_size(BUFFER)
        .max_message_size(Some(wire::MAX_FRAME_BYTES))
        .max_frame_size(Some(wire::MAX_FRAME_BYTES))
}
