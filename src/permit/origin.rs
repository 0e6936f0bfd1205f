//! The gateway's side of what began a stream: tells the members that keep it, and asks them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::{ANSWER_TIMEOUT, Broker};
use crate::clock::Time;
use crate::origin::{Key, Origin};
use crate::pool::message::Request;

/// Number of members that are told what began a stream, besides this node.
const KEEPERS: usize = 3;
/// Number of members that are asked. Some of those that were told may have left, and some that the
/// views of two nodes differ in may have been told.
const ASKED: usize = 5;
/// Time after which members that have not answered are passed over.
const TIMEOUT: Duration = Duration::from_millis(250);

/// A question that has not been answered by a member that knows.
pub(super) struct Asking {
    key: Key,
    /// The members that have not answered.
    silent: Vec<SocketAddr>,
    started: Time,
    last_sent: Time,
    reply: oneshot::Sender<Option<Origin>>,
}

/// Forgets a question when its future is dropped.
struct Withdraw<'a> {
    broker: &'a Broker,
    seq: u64,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        self.broker.asking.borrow_mut().remove(&self.seq);
    }
}

impl Broker {
    /// Tells what began a stream to those members that are asked when a caller resumes it.
    pub fn tell_origin(&self, key: Key, origin: &Origin) {
        for keeper in self.keepers(key, KEEPERS) {
            let origin = origin.clone();
            self.send(keeper, &Request::Began { key, origin });
        }
    }

    /// Returns what began a stream; `None` if no member that answers knows.
    pub async fn find_origin(self: &Rc<Self>, key: Key) -> Option<Origin> {
        let now = self.clock.now();
        let seq = self.next_seq.get();
        self.next_seq.set(seq + 1);
        let (reply, answer) = oneshot::channel();
        let asking = Asking {
            key,
            silent: self.keepers(key, ASKED),
            started: now,
            last_sent: now,
            reply,
        };
        self.ask(seq, &asking);
        self.asking.borrow_mut().insert(seq, asking);
        self.activity.notify_one();
        let _withdraw = Withdraw { broker: self, seq };
        // The sender is dropped only with the broker.
        answer.await.unwrap_or(None)
    }

    /// Returns this node and `count` others that keep what began a stream.
    fn keepers(&self, key: Key, count: usize) -> Vec<SocketAddr> {
        let mut owners = self.owners.borrow_mut();
        let own = self.own.map(|own| owners.at(own));
        let others = owners.nearest(key.0, count);
        let others = others.into_iter().filter(|other| Some(*other) != own);
        own.into_iter().chain(others).collect()
    }

    fn ask(&self, seq: u64, asking: &Asking) {
        let key = asking.key;
        for keeper in &asking.silent {
            self.send(*keeper, &Request::FindOrigin { seq, key });
        }
    }

    pub(super) fn handle_origin(&self, from: SocketAddr, seq: u64, origin: Option<Origin>) {
        let mut all = self.asking.borrow_mut();
        let Some(asking) = all.get_mut(&seq) else {
            return;
        };
        asking.silent.retain(|keeper| *keeper != from);
        if (origin.is_some() || asking.silent.is_empty())
            && let Some(asking) = all.remove(&seq)
        {
            // Fails only if the requester is gone.
            let _ = asking.reply.send(origin);
        }
    }

    /// Repeats questions to members that have not answered, and gives up after some time.
    pub(super) fn repeat_questions(&self, now: Time) {
        let mut all = self.asking.borrow_mut();
        let is_late = |asking: &Asking| now.since(asking.started) >= TIMEOUT;
        for (_, asking) in all.extract_if(|_, asking| is_late(asking)) {
            // Fails only if the requester is gone.
            let _ = asking.reply.send(None);
        }
        for (seq, asking) in all.iter_mut() {
            if now.since(asking.last_sent) >= ANSWER_TIMEOUT {
                asking.last_sent = now;
                self.ask(*seq, asking);
            }
        }
    }
}
