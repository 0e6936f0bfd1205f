//! How other threads reach the dispatchers of this node.

use std::sync::Arc;

use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::Load;
use super::loads::{Loads, Registry};
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::{Answer, Piece, Request};
use crate::snapshot::Cell;

/// Requests that may wait to be seen by one thread's dispatchers.
const COMMANDS: usize = 1_024;
/// Pieces of one answer that may wait for its reader. A reader that is slower
/// stops its own stream and nobody else's.
pub const PIECES: usize = 256;

/// A request for a dispatcher.
#[derive(Debug)]
pub struct Submit {
    /// The endpoint to admit it to.
    pub endpoint: Name,
    /// The request.
    pub request: Request,
    /// Where the answer goes. Dropping the other end withdraws the request.
    pub reply: mpsc::Sender<Event>,
}

/// What a dispatcher says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A part of the answer; the first one of a run tells how busy the endpoint
    /// is, long before the answer ends.
    Piece(Piece, Option<Load>),
    /// The last word.
    End(Outcome<Answer>, Load),
}

/// The dispatchers of this node, spread over its traffic threads.
#[derive(Clone, Debug)]
pub struct Handle {
    threads: Arc<[mpsc::Sender<Submit>]>,
    /// What the dispatchers publish of themselves.
    pub loads: Registry,
}

/// One shell's end of a [`Handle`].
#[derive(Debug)]
pub struct Channels {
    /// Requests for the dispatchers of this thread.
    pub submits: mpsc::Receiver<Submit>,
    /// Where the shell publishes their loads.
    pub loads: Arc<Cell<Loads>>,
}

impl Handle {
    /// A handle to `threads` shells, and each shell's end of it.
    pub fn new(threads: usize) -> (Self, Vec<Channels>) {
        let threads = threads.max(1);
        let loads = Registry::new(threads);
        let mut senders = Vec::new();
        let mut channels = Vec::new();
        for thread in 0..threads {
            let (sender, submits) = mpsc::channel(COMMANDS);
            senders.push(sender);
            let loads = loads.cell(thread);
            channels.push(Channels { submits, loads });
        }
        let threads = senders.into();
        (Self { threads, loads }, channels)
    }

    /// Hands a request to the dispatcher of `endpoint`, which is always on the
    /// same thread, and returns what it says.
    pub fn submit(&self, endpoint: Name, request: Request) -> mpsc::Receiver<Event> {
        let (reply, events) = mpsc::channel(PIECES);
        let thread = thread_of(&endpoint, self.threads.len());
        let submit = Submit {
            endpoint,
            request,
            reply,
        };
        if let Err(refused) = self.threads[thread].try_send(submit) {
            // The thread is far behind: waiting would only add to its queue.
            let submit = refused.into_inner();
            let refusal =
                Refusal::new(Reason::Overloaded).after(std::time::Duration::from_millis(500));
            let end = Event::End(Outcome::NotRun(refusal), Load::default());
            // The channel is new, so there is room for one event.
            let _ = submit.reply.try_send(end);
        }
        events
    }
}

/// Which of `threads` threads holds the dispatcher of `endpoint`.
pub fn thread_of(endpoint: &str, threads: usize) -> usize {
    let threads = threads.max(1) as u64;
    usize::try_from(xxh3_64(endpoint.as_bytes()) % threads).unwrap_or(0)
}
