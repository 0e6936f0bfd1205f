//! Connections that carry requests from gateways to dispatchers on other nodes.
//!
//! Each gateway thread keeps one connection per peer it needs. When a connection breaks, every
//! request on it ends with what is certain: a request that is still queued locally has not run,
//! one that was written may have run.

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

/// Capacity of a connection's queue of outgoing frames.
const MAX_QUEUED_FRAMES: usize = 1_024;
/// Capacity of the channel that buffers one answer's pieces. It covers the length of a whole
/// answer, so a slow reader never blocks the other answers on its connection; the stream of a
/// reader that falls further behind is cancelled.
const MAX_BUFFERED_PIECES: usize = 16 * 1_024;
/// Longest time to connect and complete the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of each of a connection's two buffers, which are allocated when it opens. With the
/// library's 128 KiB, a node with a thousand connections would use 256 MiB.
const BUFFER_BYTES: usize = 8 * 1_024;
/// After this long without an incoming frame, a connection with open requests pings its peer.
/// An idle connection sends no pings: with hundreds of peers these alone would exceed the
/// bandwidth budget for control traffic.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that is silent for this long while requests are open is considered gone: it is
/// paused, partitioned or dead, and its requests must be retried elsewhere.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of pings to a peer that sends frames itself. They are needed because the peer in
/// turn closes the connection of a silent gateway.
const MAX_PING_INTERVAL: Duration = Duration::from_secs(2);
/// A connection without open requests is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Retry delay after a link failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

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
    /// When the last frame arrived.
    last_activity: Cell<Instant>,
}

struct Pending {
    reply: ReplyTo,
    /// True once the frame has been passed to the socket.
    written: bool,
}

/// The receiver of the response.
enum ReplyTo {
    Request(mpsc::Sender<Event>),
    Query(oneshot::Sender<Reply>),
}

impl Pool {
    /// Creates a pool without connections for the node of that name.
    pub fn new(node: Name) -> Rc<Self> {
        Rc::new(Self {
            node,
            peers: RefCell::default(),
        })
    }

    /// Sends a request to the dispatcher of `endpoint` at the peer whose link address is
    /// `address`, and returns the events of its answer. Dropping the receiver cancels the
    /// request.
    pub fn submit(
        self: &Rc<Self>,
        address: &Name,
        endpoint: Name,
        request: Request,
    ) -> mpsc::Receiver<Event> {
        let (reply, events) = mpsc::channel(MAX_BUFFERED_PIECES);
        let Some(peer) = self.peer(address) else {
            let _ = reply.try_send(link_failed(false, "its address is invalid"));
            return events;
        };
        let id = peer.next_id();
        let frame = Frame::Submit {
            id,
            endpoint,
            request: Box::new(request),
        };
        if !peer.send(id, frame, ReplyTo::Request(reply.clone())) {
            peer.finish(id, link_failed(false, "the send queue is full"));
            return events;
        }
        actix_rt::spawn(async move {
            reply.closed().await;
            // Absent if the answer has ended, which is the usual case.
            if peer.pending.borrow_mut().remove(&id).is_some() {
                let _ = peer.frames.try_send(Frame::Cancel { id });
            }
        });
        events
    }

    /// Queries the control thread of the peer whose link address is `address`; returns none if
    /// no reply arrives within `wait`.
    pub async fn query(
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
        let (frames, outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
        let peer = Rc::new(Peer {
            frames,
            pending: RefCell::default(),
            last_id: Cell::new(0),
            open: Cell::new(true),
            last_activity: Cell::new(Instant::now()),
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

    /// Queues a frame for the writer; returns false if the queue is full.
    fn send(&self, id: u64, frame: Frame, reply: ReplyTo) -> bool {
        let written = false;
        let pending = Pending { reply, written };
        self.pending.borrow_mut().insert(id, pending);
        self.frames.try_send(frame).is_ok()
    }

    /// Sends a request's final event and removes the request.
    fn finish(&self, id: u64, event: Event) {
        let pending = self.pending.borrow_mut().remove(&id);
        if let Some(ReplyTo::Request(reply)) = pending.map(|pending| pending.reply) {
            let _ = reply.try_send(event);
        }
    }

    /// Delivers the reply to a query.
    fn reply(&self, id: u64, answer: Reply) {
        let pending = self.pending.borrow_mut().remove(&id);
        if let Some(ReplyTo::Query(reply)) = pending.map(|pending| pending.reply) {
            let _ = reply.send(answer);
        }
    }

    /// Delivers a piece; returns false if its reader is a whole answer behind.
    fn deliver_piece(&self, id: u64, piece: Piece, load: Option<Load>) -> bool {
        match self.pending.borrow().get(&id).map(|pending| &pending.reply) {
            Some(ReplyTo::Request(reply)) => reply.try_send(Event::Piece(piece, load)).is_ok(),
            // A late piece of a cancelled request.
            Some(ReplyTo::Query(_)) | None => true,
        }
    }

    /// Ends every request with what is certain about it. Queries end when their senders are
    /// dropped.
    fn close(&self, why: &str) {
        self.open.set(false);
        for (_, pending) in self.pending.borrow_mut().drain() {
            if let ReplyTo::Request(reply) = pending.reply {
                let _ = reply.try_send(link_failed(pending.written, why));
            }
        }
    }
}

fn link_failed(written: bool, why: &str) -> Event {
    let refusal = Refusal::new(Reason::LinkFailed)
        .after(RETRY_DELAY)
        .with_message(format!("the link between two nodes failed ({why}); retry"));
    let outcome = if written {
        Outcome::MayHaveRun(refusal)
    } else {
        Outcome::NotRun(refusal)
    };
    Event::End(outcome, Load::default())
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(wire::MAX_FRAME_BYTES))
        .max_frame_size(Some(wire::MAX_FRAME_BYTES))
}
