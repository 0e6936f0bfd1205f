//! The shell around [`Follower`]: reads the table, asks peers and publishes
//! what may be acted by.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;

use super::Document;
use super::commit::{Announce, Reach};
use super::follow::{Action, Follower, InForce, Input, Report};
use super::row::{self, DOCUMENT_KEY, POINTER_KEY, Pointer};
use crate::clock::Clock;
use crate::event;
use crate::name::Name;
use crate::snapshot::Cell;
use crate::table::{Fault, Table};

/// How often the decision is told that time has passed.
const TICK: Duration = Duration::from_millis(500);
/// Longest wait for acknowledgements of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// The other nodes, as far as the configuration needs them. Each method that
/// asks a peer gives up by itself after a few seconds.
pub trait Peers {
    /// Every node but this one that has not said that it leaves and is still in
    /// the platform's list, whether it can be heard or not.
    fn names(&self) -> Vec<Name>;
    /// What the peer knows; none when it does not answer.
    async fn report(&self, peer: &str) -> Option<Report>;
    /// The peer's document; none when it does not answer or has none.
    async fn document(&self, peer: &str) -> Option<Arc<Document>>;
    /// Tells the peer that a version is about to be committed; true when it
    /// has acknowledged.
    async fn announce(&self, peer: &str, version: u64) -> bool;
}

/// A node that is alone, as in `try`.
impl Peers for () {
    fn names(&self) -> Vec<Name> {
        Vec::new()
    }

    async fn report(&self, _peer: &str) -> Option<Report> {
        None
    }

    async fn document(&self, _peer: &str) -> Option<Arc<Document>> {
        None
    }

    async fn announce(&self, _peer: &str, _version: u64) -> bool {
        false
    }
}

/// Follows the configuration on the control thread. Clones are handles to the
/// same decision.
#[derive(Debug)]
pub struct Watch<T, P> {
    inner: Rc<Inner<T, P>>,
}

#[derive(Debug)]
struct Inner<T, P> {
    table: T,
    peers: P,
    clock: Clock,
    follower: RefCell<Follower>,
    force: Arc<Cell<InForce>>,
}

impl<T, P> Clone for Watch<T, P> {
    fn clone(&self) -> Self {
        Self {
            inner: Rc::clone(&self.inner),
        }
    }
}

impl<T, P> Watch<T, P>
where
    T: Table + 'static,
    P: Peers + 'static,
{
    /// A watch that publishes to `force`; it starts with [`Watch::run`].
    pub fn new(node: &str, table: T, peers: P, clock: Clock, force: Arc<Cell<InForce>>) -> Self {
        let follower = RefCell::new(Follower::new(clock.now(), node));
        Self {
            inner: Rc::new(Inner {
                table,
                peers,
                clock,
                follower,
                force,
            }),
        }
    }

    /// Runs until the thread's runtime ends.
    pub async fn run(self) {
        loop {
            self.step(Input::Peers(self.inner.peers.names()));
            self.step(Input::Tick);
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Notes that somebody mentioned a version.
    pub fn mention(&self, version: u64) {
        self.step(Input::Mentioned(version));
    }

    /// Notes that a peer is about to commit a version. The peer may be told so
    /// once this has returned.
    pub fn announced(&self, version: u64) {
        self.step(Input::Announced(version));
    }

    /// Notes that this node has committed a document; `asked` is when it began.
    pub fn committed(&self, asked: crate::clock::Time, document: Arc<Document>) {
        self.step(Input::Committed { asked, document });
    }

    /// The answer to a peer that asks.
    pub fn report(&self) -> Report {
        self.inner.follower.borrow().report(self.inner.clock.now())
    }

    /// What is in force, if its time has not run out.
    pub fn force(&self) -> InForce {
        self.inner.follower.borrow().force().clone()
    }

    fn step(&self, input: Input) {
        let now = self.inner.clock.now();
        let mut actions = Vec::new();
        self.inner
            .follower
            .borrow_mut()
            .step(now, input, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&self, action: Action) {
        let watch = self.clone();
        match action {
            Action::Publish(force) => self.publish(force),
            Action::Poll => {
                actix_rt::spawn(async move { watch.poll().await });
            }
            Action::Fetch => {
                actix_rt::spawn(async move { watch.fetch().await });
            }
            Action::Query(peer) => {
                actix_rt::spawn(async move {
                    let asked = watch.inner.clock.now();
                    if let Some(report) = watch.inner.peers.report(&peer).await {
                        watch.step(Input::Answered {
                            peer,
                            asked,
                            report,
                        });
                    }
                });
            }
            Action::FetchFrom(peer) => {
                actix_rt::spawn(async move {
                    if let Some(document) = watch.inner.peers.document(&peer).await {
                        watch.step(Input::Offered(document));
                    }
                });
            }
        }
    }

    fn publish(&self, force: InForce) {
        let before = self.inner.force.read().document.version;
        let version = force.document.version;
        if version != before {
            log::info!(
                "{} version={version} before={before}",
                event::CONFIG_IN_FORCE
            );
        }
        self.inner.force.publish(force);
    }

    async fn poll(&self) {
        let asked = self.inner.clock.now();
        let result = self.inner.table.get(POINTER_KEY).await;
        let result = match result {
            Ok(Some(found)) => row::decode::<Pointer>(&found.value)
                .map(Some)
                .ok_or(Fault::Unknown),
            Ok(None) => Ok(None),
            Err(fault) => Err(fault),
        };
        if let Err(fault) = &result {
            log::warn!("{} fault={fault:?}", event::CONFIG_UNREAD);
        }
        self.step(Input::Polled { asked, result });
    }

    async fn fetch(&self) {
        let asked = self.inner.clock.now();
        let result = self.inner.table.get(DOCUMENT_KEY).await;
        let result = match result {
            Ok(Some(found)) => row::decode::<Document>(&found.value)
                .map(|document| Some(Arc::new(document)))
                .ok_or(Fault::Unknown),
            Ok(None) => Ok(None),
            Err(fault) => Err(fault),
        };
        if let Err(fault) = &result {
            log::warn!("{} fault={fault:?}", event::CONFIG_UNREAD);
        }
        self.step(Input::Fetched { asked, result });
    }
}

impl<T, P> Announce for Watch<T, P>
where
    T: Table + 'static,
    P: Peers + 'static,
{
    async fn announce(&self, version: u64) -> Reach {
        let names = self.inner.peers.names();
        let total = names.len() + 1;
        self.announced(version);
        let mut acknowledged = 1;
        let asking: FuturesUnordered<_> = names
            .iter()
            .map(|name| self.inner.peers.announce(name, version))
            .collect();
        let timeout = Box::pin(actix_rt::time::sleep(ANNOUNCE_TIMEOUT));
        let mut answers = asking.take_until(timeout);
        while acknowledged * 2 < total {
            match answers.next().await {
                Some(true) => acknowledged += 1,
                Some(false) => {}
                None => break,
            }
        }
        Reach {
            acknowledged,
            total,
        }
    }
}
