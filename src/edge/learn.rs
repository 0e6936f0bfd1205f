//! Learns from the platform's store, and from other nodes while the store does
//! not answer this one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::catalog::book::{Book, Entry};
use crate::catalog::{Catalog, Config, Endpoint};
use crate::clock::{Clock, Time, Uptime};
use crate::event;
use crate::link::Pool;
use crate::member::View;
use crate::member::shell::Handle;
use crate::name::Name;
use crate::platform::endpoint::Unreadable;
use crate::platform::{config, endpoint};
use crate::snapshot::Cell;
use crate::table::{Changes, Fault, Feed, FeedError, Snapshot};
use crate::wire::query::{Query, Reply};

/// How long a feed waits for a change. A connection that went silent is noticed
/// one call's timeout after this.
const FEED_WAIT: Duration = Duration::from_millis(800);
/// Pause after a failed call; each further failure doubles it.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause, so that a store that is away is not asked by all nodes all
/// the time. Its return is noticed within this, and a job can't be accepted before.
const MOST_PAUSE: Duration = Duration::from_millis(600);
/// After so many doublings the pause is at its longest.
const MOST_DOUBLINGS: u32 = 2;
/// Least time between two readings of the endpoints' changes; far below the
/// time within which a leaving endpoint must get no more work.
const ENDPOINT_GAP: Duration = Duration::from_millis(150);
/// The same for the configuration.
const CONFIG_GAP: Duration = Duration::from_millis(50);
/// How often another node is asked while the store does not answer.
const PEER_EVERY: Duration = Duration::from_millis(400);
/// How long a store may be silent before another node is asked.
const PEER_AFTER: Duration = Duration::from_millis(1_500);
/// How old the store's last word for the configuration may be before others are
/// asked for a newer one. Without one, keys are let through no more after some
/// seconds.
const VOUCH_AFTER: Duration = Duration::from_secs(2);
/// Others that are asked at a time. The store may turn a third of the nodes away;
/// of one other each third would know nothing, and of two each ninth.
const PEERS: usize = 2;
/// Longest wait for another node's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before a whole reading that was older than what is known is repeated.
const STALE_PAUSE: Duration = Duration::from_millis(200);

/// What a feed brings.
pub enum Update {
    /// The whole table.
    Snapshot(Snapshot),
    /// What changed since the last news.
    Changes(Changes),
    /// The store did not answer.
    Failed,
}

impl Update {
    /// How long ago the store said so.
    fn age(&self) -> Duration {
        match self {
            Self::Changes(changes) => changes.age,
            Self::Snapshot(_) | Self::Failed => Duration::ZERO,
        }
    }

    /// When the store was asked for it.
    fn asked(&self) -> Option<Uptime> {
        match self {
            Self::Changes(changes) => changes.asked,
            Self::Snapshot(snapshot) => snapshot.asked,
            Self::Failed => None,
        }
    }
}

/// Follows a table without end: takes a snapshot, then its changes, and begins
/// anew where the history has a gap. What is older than the last news is passed
/// over, because a store may answer from a copy that is behind.
pub async fn follow<F, S>(feed: F, table: &'static str, gap: Duration, mut sink: S)
where
    F: Feed,
    S: FnMut(Update),
{
    let mut known = 0;
    let mut whole = true;
    let mut failures = 0;
    loop {
        let news = if whole {
            feed.snapshot(table).await.map(Update::Snapshot)
        } else {
            match feed.changes(table, known, FEED_WAIT).await {
                Ok(changes) => Ok(Update::Changes(changes)),
                Err(FeedError::Fault(fault)) => Err(fault),
                Err(FeedError::Gone) => {
                    log::info!("{} table={table} gap_after={known}", event::STORE_REGAINED);
                    whole = true;
                    continue;
                }
            }
        };
        match news {
            Ok(news) => {
                let version = match &news {
                    Update::Snapshot(snapshot) => snapshot.version,
                    Update::Changes(changes) => changes.version,
                    Update::Failed => 0,
                };
                if version < known {
                    sleep(STALE_PAUSE).await;
                    continue;
                }
                known = version;
                whole = false;
                failures = 0;
                sink(news);
                sleep(gap).await;
            }
            Err(fault) => {
                log::debug!("{} table={table} why=\"{fault}\"", event::STORE_LOST);
                sink(Update::Failed);
                sleep(pause(&fault, failures)).await;
                failures += 1;
            }
        }
    }
}

/// How long to wait after `failures` calls in a row had failed before this one.
fn pause(fault: &Fault, failures: u32) -> Duration {
    let first = match fault {
        Fault::Refused { retry_after } => *retry_after,
        Fault::Conflict { .. } | Fault::Unknown => FAILED_PAUSE,
    };
    let longer = first * 2_u32.pow(failures.min(MOST_DOUBLINGS));
    longer.min(MOST_PAUSE.max(first))
}

/// What one node tells another that can't reach the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// True while the store answers the one who tells.
    pub fresh: bool,
    /// The configuration; none when the asker has it or none is known.
    pub config: Option<Arc<Config>>,
    /// How long before this was said the store had no newer configuration.
    pub vouched_ago: Option<Duration>,
    /// The endpoints: id, version, and the entry unless it was removed.
    pub endpoints: Vec<(Name, u64, Option<Endpoint>)>,
}

/// What the control thread learns from and publishes to.
pub struct Learner {
    clock: Clock,
    catalog: Arc<Cell<Catalog>>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    book: Book,
    config: Option<Arc<Config>>,
    /// When the endpoints were last confirmed by the store or by a peer.
    confirmed: Time,
    /// When the store last answered about endpoints, and about configuration.
    endpoints_heard: Time,
    config_heard: Time,
    /// True while the store's configuration can't be read. It may revoke a key, so
    /// nothing vouches for the one in force.
    unread: bool,
    /// When the store surely had no newer configuration.
    vouched: Option<Uptime>,
    /// The endpoints as they were last published.
    endpoints: Arc<BTreeMap<Name, Arc<Endpoint>>>,
}

impl State {
    /// Takes a word of the store or of a peer for the configuration.
    fn vouch(&mut self, at: Option<Uptime>) {
        self.vouched = self.vouched.max(at);
    }
}

impl Learner {
    /// Knows nothing yet.
    pub fn new(clock: Clock, catalog: Arc<Cell<Catalog>>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            catalog,
            state: RefCell::default(),
        })
    }

    /// Takes news of the configuration's table.
    pub fn config(&self, news: Update) {
        let said = self.clock.now() - news.age();
        let asked = news.asked();
        let rows: Vec<(String, bytes::Bytes)> = match news {
            Update::Snapshot(snapshot) => snapshot
                .rows
                .into_iter()
                .map(|row| (row.key, row.value))
                .collect(),
            Update::Changes(changes) => changes
                .changes
                .into_iter()
                .filter_map(|change| Some((change.key, change.value?)))
                .collect(),
            Update::Failed => return,
        };
        self.state.borrow_mut().config_heard = said;
        let mut unread = self.state.borrow().unread;
        for (key, value) in rows {
            if key != config::KEY {
                continue;
            }
            match config::decode(&value) {
                Ok(config) => {
                    unread = false;
                    self.adopt(Arc::new(config), "store");
                }
                Err(why) => {
                    unread = true;
                    log::warn!("{} key={key} why=\"{why}\"", event::ROW_UNREADABLE);
                }
            }
        }
        let mut state = self.state.borrow_mut();
        state.unread = unread;
        if !unread {
            state.vouch(asked);
            self.publish(&state);
        }
    }

    /// Puts a configuration in force unless a newer one is.
    fn adopt(&self, config: Arc<Config>, source: &str) {
        let mut state = self.state.borrow_mut();
        let known = state.config.as_ref().map(|config| config.version);
        if known.is_some_and(|known| known >= config.version) {
            return;
        }
        log::info!(
            "{} version={} before={known:?} routes={} source={source}",
            event::CATALOG_CHANGED,
            config.version,
            config.routes.len(),
        );
        state.config = Some(config);
        self.publish(&state);
    }

    /// Takes news of the endpoints' table.
    pub fn endpoints(&self, news: Update) {
        let now = self.clock.now();
        let said = now - news.age();
        let mut state = self.state.borrow_mut();
        match news {
            Update::Snapshot(snapshot) => {
                let (entries, others) = readable(snapshot.rows.iter().map(endpoint::from_row));
                state.book.replace(now, entries, snapshot.version);
                refuse(&mut state.book, &others);
            }
            Update::Changes(changes) => {
                if let Some(ago) = changes.failed_ago {
                    state.book.store_failed(now - ago);
                }
                let read = changes.changes.iter().map(endpoint::from_change);
                let (entries, others) = readable(read);
                // The newest of two statements about one endpoint counts.
                refuse(&mut state.book, &others);
                for entry in entries {
                    log::debug!(
                        "{} endpoint={} version={} ready={:?}",
                        event::ENDPOINT_CHANGED,
                        entry.id,
                        entry.version,
                        entry.endpoint.as_ref().map(|endpoint| endpoint.ready),
                    );
                    state.book.apply(now, entry);
                }
            }
            Update::Failed => {
                state.book.store_failed(now);
                return;
            }
        }
        state.endpoints_heard = said;
        state.confirmed = said;
        state.endpoints = Arc::new(state.book.endpoints());
        self.publish(&state);
    }

    /// Drops endpoints that did not come back.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.book.expire(now) {
            state.endpoints = Arc::new(state.book.endpoints());
            self.publish(&state);
        }
    }

    fn publish(&self, state: &State) {
        self.catalog.publish(Catalog {
            config: state.config.clone(),
            endpoints: Arc::clone(&state.endpoints),
            confirmed: state.confirmed,
            vouched: state.vouched,
        });
    }

    /// What this node can tell another one that has the configuration
    /// `version`. While the store does not answer this node either, only a node
    /// that knows nothing, such as a restarted one, can learn from it.
    pub fn export(&self, version: u64) -> Option<PeerUpdate> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let fresh = now.since(state.endpoints_heard) <= PEER_AFTER;
        let uptime = Uptime::now();
        let vouched_ago = state.vouched.map(|at| uptime.since(at));
        let vouches = vouched_ago.is_some_and(|ago| ago < VOUCH_AFTER);
        if !fresh && !vouches && version > 0 {
            return None;
        }
        let config = state.config.clone().filter(|it| it.version > version);
        let entries = state.book.entries();
        let endpoints = entries
            .into_iter()
            .map(|entry| (entry.id, entry.version, entry.endpoint))
            .collect();
        Some(PeerUpdate {
            fresh,
            config,
            vouched_ago,
            endpoints,
        })
    }

    /// Takes what another node knows, which was asked at `sent`.
    pub fn import(&self, sent: Uptime, known: PeerUpdate) {
        if let Some(config) = known.config {
            self.adopt(config, "peer");
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        for (id, version, endpoint) in known.endpoints {
            let entry = Entry {
                id,
                version,
                endpoint,
            };
            state.book.apply(now, entry);
        }
        if known.fresh {
            state.confirmed = now;
        }
        state.vouch(known.vouched_ago.map(|ago| sent - ago));
        state.endpoints = Arc::new(state.book.endpoints());
        self.publish(&state);
    }

    /// True while the store does not answer this node.
    fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let doubtful = state
            .vouched
            .is_none_or(|at| Uptime::now().since(at) > VOUCH_AFTER);
        doubtful
            || now.since(state.endpoints_heard) > PEER_AFTER
            || now.since(state.config_heard) > PEER_AFTER
    }

    fn config_version(&self) -> u64 {
        let state = self.state.borrow();
        state.config.as_ref().map_or(0, |config| config.version)
    }
}

/// What can be read, and what can't.
fn readable<I>(rows: I) -> (Vec<Entry>, Vec<Unreadable>)
where
    I: Iterator<Item = Result<Entry, Unreadable>>,
{
    let mut entries = Vec::new();
    let mut others = Vec::new();
    for row in rows {
        match row {
            Ok(entry) => entries.push(entry),
            Err(unreadable) => others.push(unreadable),
        }
    }
    (entries, others)
}

/// Takes rows that can't be read: they name no endpoint to use.
fn refuse(book: &mut Book, others: &[Unreadable]) {
    for Unreadable { id, version, why } in others {
        log::warn!("{} key={id} why=\"{why}\"", event::ROW_UNREADABLE);
        book.refuse(id, *version);
    }
}

/// Follows configuration and endpoints for as long as the thread lives.
pub fn start<F>(learner: &Rc<Learner>, config_feed: F, endpoint_feed: F)
where
    F: Feed + 'static,
{
    let sink = Rc::clone(learner);
    let following = follow(config_feed, config::TABLE, CONFIG_GAP, move |news| {
        sink.config(news);
    });
    actix_rt::spawn(following);
    let sink = Rc::clone(learner);
    let following = follow(endpoint_feed, endpoint::TABLE, ENDPOINT_GAP, move |news| {
        sink.endpoints(news);
    });
    actix_rt::spawn(following);
    let learner = Rc::clone(learner);
    actix_rt::spawn(async move {
        loop {
            sleep(ENDPOINT_GAP).await;
            learner.expire();
        }
    });
}

/// Asks other nodes while the store does not answer this one, so that a part of
/// the nodes that is turned away still follows configuration and endpoints.
pub async fn poll_peers(learner: Rc<Learner>, me: Name, view: Arc<Cell<View>>, links: Rc<Pool>) {
    loop {
        sleep(PEER_EVERY).await;
        if !learner.is_cut_off() {
            continue;
        }
        let peers: Vec<Name> = {
            let view = view.read();
            let others = view.usable().filter(|member| member.name != me);
            let links = others.map(|member| member.link.clone());
            links.choose_multiple(&mut rand::rng(), PEERS)
        };
        join_all(peers.iter().map(|peer| poll_peer(&learner, peer, &links))).await;
    }
}

async fn poll_peer(learner: &Learner, peer: &Name, links: &Rc<Pool>) {
    let version = learner.config_version();
    let sent = Uptime::now();
    let query = Query::Known { version };
    if let Some(Reply::Known(Some(known))) = links.ask(peer, query, PEER_TIMEOUT).await {
        learner.import(sent, *known);
    }
}

/// Tells the members which configuration this node has.
pub async fn announce_version(learner: Rc<Learner>, members: Handle) {
    let mut told = 0;
    loop {
        sleep(PEER_EVERY).await;
        let version = learner.config_version();
        if version > told {
            told = version;
            members.in_force(version);
        }
    }
}
