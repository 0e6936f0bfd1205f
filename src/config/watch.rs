//! Runs a [`Follower`]: reads the table, queries peers and publishes the
//! configuration in force.

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

/// Interval between ticks of the follower.
const TICK: Duration = Duration::from_millis(500);
/// Maximum wait for acknowledgements of an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Access to the other nodes. Each method that queries a peer times out by itself
/// after a few seconds.
pub trait Peers {
    /// Returns all other nodes that have not announced their departure and are
    /// still on the platform's list, whether or not they are reachable.
    fn names(&self) -> Vec<Name>;
    /// Queries a peer; `None` if it does not answer.
    async fn report(&self, peer: &str) -> Option<Report>;
    /// Fetches the peer's document; `None` if it does not answer or has none.
    async fn document(&self, peer: &str) -> Option<Arc<Document>>;
    /// Announces to the peer that a version is about to be committed; returns
    /// true if it has acknowledged.
    async fn announce(&self, peer: &str, version: u64) -> bool;
}

/// A node without peers, as in `try`.
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
/// same follower.
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
    in_force: Arc<Cell<InForce>>,
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
    /// Creates a watch that publishes to `force`; [`Watch::run`] starts it.
    pub fn new(node: &str, table: T, peers: P, clock: Clock, in_force: Arc<Cell<InForce>>) -> Self {
        let follower = RefCell::new(Follower::new(clock.now(), node));
        Self {
            inner: Rc::new(Inner {
                table,
                peers,
                clock,
                follower,
                in_force,
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

    /// Records that a version was mentioned.
    pub fn mention(&self, version: u64) {
        self.step(Input::Mentioned(version));
    }

    /// Records that a peer is about to commit a version. The announcement may be
    /// acknowledged once this has returned.
    pub fn announced(&self, version: u64) {
        self.step(Input::Announced(version));
    }

    /// Records that this node committed a document; `requested_at` is the time at
    /// which the commit was started.
    pub fn committed(&self, requested_at: crate::clock::Time, document: Arc<Document>) {
        self.step(Input::Committed {
            requested_at,
            document,
        });
    }

    /// Returns the answer to a query of a peer.
    pub fn report(&self) -> Report {
        self.inner.follower.borrow().report(self.inner.clock.now())
    }

    /// Returns the document in force and its expiry.
    pub fn in_force(&self) -> InForce {
        self.inner.follower.borrow().in_force().clone()
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
            Action::Publish(in_force) => self.publish(in_force),
            Action::Poll => {
                actix_rt::spawn(async move { watch.poll().await });
            }
            Action::Fetch => {
                actix_rt::spawn(async move { watch.fetch().await });
            }
            Action::Query(peer) => {
                actix_rt::spawn(async move {
                    let requested_at = watch.inner.clock.now();
                    if let Some(report) = watch.inner.peers.report(&peer).await {
                        watch.step(Input::Answered {
                            peer,
                            requested_at,
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

    fn publish(&self, in_force: InForce) {
        let before = self.inner.in_force.read().document.version;
        let version = in_force.document.version;
        if version != before {
            log::info!(
                "{} version={version} before={before}",
                event::CONFIG_IN_FORCE
            );
        }
        self.inner.in_force.publish(in_force);
    }

    async fn poll(&self) {
        let requested_at = self.inner.clock.now();
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
        self.step(Input::Polled {
            requested_at,
            result,
        });
    }

    async fn fetch(&self) {
        let requested_at = self.inner.clock.now();
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
        self.step(Input::Fetched {
            requested_at,
            result,
        });
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
