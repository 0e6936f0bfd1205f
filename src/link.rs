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
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::dispatch::Load;
use crate::dispatch::handle::Event;
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::Request;
use crate::wire;
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
/// How often an idle connection asks its peer for a sign of life.
const PING_EVERY: Duration = Duration::from_millis(500);
/// A peer that was silent for this long is taken for gone: it is paused, cut
/// off or dead, and requests on it must be tried elsewhere.
const SILENCE: Duration = Duration::from_secs(2);
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
}

struct Pending {
    reply: mpsc::Sender<Event>,
    /// True once its frame was handed to the socket.
    written: bool,
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
        let id = peer.last_id.get() + 1;
        peer.last_id.set(id);
        let frame = Frame::Submit {
            id,
            endpoint,
            request: Box::new(request),
        };
        let pending = Pending {
            reply: reply.clone(),
            written: false,
        };
        peer.pending.borrow_mut().insert(id, pending);
        if peer.frames.try_send(frame).is_err() {
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
    /// Gives a request its last word and forgets it.
    fn end(&self, id: u64, event: Event) {
        if let Some(pending) = self.pending.borrow_mut().remove(&id) {
            let _ = pending.reply.try_send(event);
        }
    }

    /// Ends every request with what can be proved of it.
    fn close(&self, why: &str) {
        self.open.set(false);
        for (_, pending) in self.pending.borrow_mut().drain() {
            let _ = pending.reply.try_send(lost(pending.written, why));
        }
    }
}

fn lost(written: bool, why: &str) -> Event {
    let refusal = Refusal::new(Reason::LinkFailed)
        .after(RETRY_AFTER)
        .because(format!(
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
        .max_message_size(Some(wire::MAX_FRAME))
        .max_frame_size(Some(wire::MAX_FRAME))
}
