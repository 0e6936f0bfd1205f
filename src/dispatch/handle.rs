//! Access to the dispatchers of this node from other threads.

use std::sync::Arc;

use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::Load;
use super::loads::{Loads, Registry};
use crate::name::Name;
use crate::outcome::{Outcome, Reason, Refusal};
use crate::request::{Answer, Piece, Request};
use crate::snapshot::Cell;

/// Maximum number of submitted requests that a thread has not yet received.
const SUBMIT_CAPACITY: usize = 1_024;
/// Maximum number of unread pieces of one answer. A slower reader blocks its own
/// stream and no other.
pub const ANSWER_CAPACITY: usize = 256;

/// A request for a dispatcher.
#[derive(Debug)]
pub struct Submit {
    /// The endpoint to admit it to.
    pub endpoint: Name,
    /// The request.
    pub request: Request,
    /// Channel for the answer. Dropping the receiver withdraws the request.
    pub reply: mpsc::Sender<Event>,
}

/// An event of a submitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A part of the answer. The first one of a run carries the endpoint's load, so
    /// that gateways receive it long before the answer ends.
    Piece(Piece, Option<Load>),
    /// The final outcome.
    End(Outcome<Answer>, Load),
}

/// The dispatchers of this node, spread over its traffic threads.
#[derive(Clone, Debug)]
pub struct Handle {
    threads: Arc<[mpsc::Sender<Submit>]>,
    /// Loads of the dispatchers.
    pub loads: Registry,
}

/// A shell's end of a [`Handle`].
#[derive(Debug)]
pub struct Channels {
    /// Requests for the dispatchers of this thread.
    pub submits: mpsc::Receiver<Submit>,
    /// Cell that the shell publishes their loads to.
    pub loads: Arc<Cell<Loads>>,
}

impl Handle {
    /// Creates a handle to `threads` shells, and each shell's end of it.
    pub fn new(threads: usize) -> (Self, Vec<Channels>) {
        let threads = threads.max(1);
        let loads = Registry::new(threads);
        let mut senders = Vec::new();
        let mut channels = Vec::new();
        for thread in 0..threads {
            let (sender, submits) = mpsc::channel(SUBMIT_CAPACITY);
            senders.push(sender);
            let loads = loads.cell(thread);
            channels.push(Channels { submits, loads });
        }
        let threads = senders.into();
        (Self { threads, loads }, channels)
    }

    /// Submits a request to the dispatcher of `endpoint`, which is always on the
    /// same thread, and returns its events.
    pub fn submit(&self, endpoint: Name, request: Request) -> mpsc::Receiver<Event> {
        let (reply, events) = mpsc::channel(ANSWER_CAPACITY);
        let thread = thread_of(&endpoint, self.threads.len());
        let submit = Submit {
            endpoint,
            request,
            reply,
        };
        if let Err(refused) = self.threads[thread].try_send(submit) {
            // The thread is overloaded; waiting would only lengthen its queue.
            let submit = refused.into_inner();
            let refusal =
                Refusal::new(Reason::Overloaded).after(std::time::Duration::from_millis(500));
            let end = Event::End(Outcome::NotRun(refusal), Load::default());
            // The channel is new, so it has capacity for this event.
            let _ = submit.reply.try_send(end);
        }
        events
    }
}

/// Returns the index of the thread that owns the dispatcher of `endpoint`.
pub fn thread_of(endpoint: &str, threads: usize) -> usize {
    let threads = threads.max(1) as u64;
    usize::try_from(xxh3_64(endpoint.as_bytes()) % threads).unwrap_or(0)
}
