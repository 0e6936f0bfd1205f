//! Transfer of verdicts and crashes between nodes: a node that has just started asks another one
//! before it serves.

use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom as _;
use tokio::time::sleep;

use super::Detector;
use crate::feed::source::Transport;
use crate::quarantine::export::Export;
use crate::wire::query::{Query, Reply};

/// Interval between queries to other nodes after the start, until one has answered.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on these queries.
const MAX_JOIN_QUERIES: usize = 50;
/// Deadline of such a query.
const JOIN_TIMEOUT: Duration = Duration::from_millis(400);

impl Detector {
    /// Learns from another node what is not stored yet, or can't be read from the store now.
    pub(super) async fn join<T>(self: Rc<Self>, links: T)
    where
        T: Transport,
    {
        for _ in 0..MAX_JOIN_QUERIES {
            sleep(JOIN_INTERVAL).await;
            let peer = {
                let view = self.setup.view.read();
                let others = view.usable().filter(|it| it.name != self.setup.me);
                others.map(|it| it.link.clone()).choose(&mut rand::rng())
            };
            let Some(peer) = peer else {
                continue;
            };
            // A node that has just started itself is busy.
            if let Some(Reply::Quarantine(export)) =
                links.query(&peer, Query::Quarantine, JOIN_TIMEOUT).await
            {
                let now = self.now();
                self.evidence.borrow_mut().import(now, export);
                self.mark_informed("peer");
                self.changed.notify_waiters();
                return;
            }
        }
    }

    /// Returns what this node knows; none while it has just started itself.
    pub(super) fn export(&self) -> Option<Export> {
        let now = self.now();
        self.informed
            .get()
            .then(|| self.evidence.borrow().export(now))
    }
}
