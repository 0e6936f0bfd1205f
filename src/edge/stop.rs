//! The planned stop of a node; docs/design/leaving.md describes its phases.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::open::Requests;
use super::{grace, roster};
use crate::clock::{Clock, Time};
use crate::event;
use crate::leave::drive::{self, Host};
use crate::leave::{self, Action, Leave, Phase};
use crate::member::shell::Handle;
use crate::node::work::Work;
use crate::platform::store::Client;
use crate::site::Site;
use crate::snapshot::Cell;
use crate::table::{Table as _, Transaction};

/// Longest time to tell the store and the members of the exit. Nodes that are not told find out.
const FAREWELL_TIMEOUT: Duration = Duration::from_millis(200);

/// Signals of the control thread to the traffic thread.
#[derive(Debug)]
pub struct Signals {
    /// Becomes true when no connection may stay open longer than its current request.
    pub close: watch::Sender<bool>,
    /// Becomes true when every open request must get its final answer.
    pub cut: watch::Sender<bool>,
}

/// The work that a stop waits for. The counts are exact at any moment, since a request that no
/// count includes would be cut by the exit.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    /// Listeners, and connections of callers that are open.
    pub connections: Work,
    /// Batch jobs that the node owns.
    pub jobs: Work,
    /// Requests whose callers wait.
    pub open: Requests,
}

/// A node that can be stopped.
pub struct Node {
    /// The settings that the node was started with.
    pub site: Arc<Site>,
    /// The process's clock.
    pub clock: Clock,
    /// The lifecycle phase that the traffic thread reads.
    pub phase: Arc<Cell<Phase>>,
    /// The membership.
    pub members: Handle,
    /// Signals to the traffic thread.
    pub signals: Signals,
    /// Set to the time at which open requests are cut.
    pub cut_at: Arc<OnceLock<Time>>,
    /// What the stop waits for.
    pub outstanding: Outstanding,
    /// Client of the store.
    pub store: Client,
}

impl Node {
    /// Shuts down: announces that this node is leaving, serves callers for as long as they may
    /// still hold its address, and waits until their requests have ended. Requests that are open
    /// at the limit, or when `force` is ready, get their final answers.
    pub async fn stop<F>(self, force: F)
    where
        F: Future<Output = ()>,
    {
        log::info!("{} node={}", event::NODE_LEAVING, self.site.node);
        let times = grace::times(&self.site.bounds);
        let (clock, phase) = (self.clock, Arc::clone(&self.phase));
        let began = clock.now();
        // A stop happens once, so the time is not set yet.
        let _ = self.cut_at.set(began + times.limit);
        let leave = Leave::new(times);
        let mut stop = Stop { node: self, began };
        drive::run(leave, clock, &phase, &mut stop, force).await;
        stop.exit().await;
    }
}

struct Stop {
    node: Node,
    began: Time,
}

impl Host for Stop {
    fn work(&mut self) -> leave::Work {
        leave::Work {
            requests: self.node.outstanding.connections.count(),
            dispatched: self.node.outstanding.jobs.count(),
            chunks: 0,
            items: 0,
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Announce => {
                self.log_progress("leaving");
                self.node.members.leave();
            }
            Action::RejectRequests => {
                self.log_progress("closing");
                self.node.signals.close.send_replace(true);
            }
            Action::AbortAll => {
                self.log_progress("cutting");
                self.log_open();
                self.node.signals.cut.send_replace(true);
            }
            // The batch jobs read the phase and release themselves.
            Action::StopClaiming | Action::HandOver | Action::ReleaseChunks | Action::Exit(_) => {}
        }
    }
}

impl Stop {
    async fn exit(self) {
        let node = &self.node;
        let key = roster::key(&node.site.listen.control.to_string());
        let farewell = async {
            // A failed delete is harmless: nodes that read the row find that nobody answers.
            let deleted = node.store.transact(Transaction::default().delete(key));
            tokio::join!(deleted, node.members.exit())
        };
        let _ = timeout(FAREWELL_TIMEOUT, farewell).await;
        self.log_progress("exit");
        self.log_open();
        log::info!("{} node={}", event::NODE_STOPPED, node.site.node);
        crate::logger::flush();
    }

    fn log_progress(&self, phase: &'static str) {
        log::info!(
            "{} phase={phase} since_ms={} {} connections={} jobs={}",
            event::STOP_PROGRESS,
            self.node.clock.now().since(self.began).as_millis(),
            self.node.outstanding.open.summary(),
            self.node.outstanding.connections.count(),
            self.node.outstanding.jobs.count(),
        );
    }

    fn log_open(&self) {
        self.node.outstanding.open.log(self.node.clock.now());
    }
}
