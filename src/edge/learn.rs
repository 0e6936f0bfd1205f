//! Replicates the platform's tables into the catalogue, and falls back to other nodes while the
//! store does not answer this one.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IteratorRandom as _;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::catalog::registry::{Entry, Export, Registry};
use crate::catalog::{Catalog, Config};
use crate::clock::{Clock, Time, Uptime};
use crate::event;
use crate::link::Pool;
use crate::member::View;
use crate::name::Name;
use crate::platform::endpoint::Unreadable;
use crate::platform::{config, endpoint};
use crate::snapshot::Cell;
use crate::table::{Changes, Fault, Feed, FeedError, Snapshot};
use crate::wire::query::{Query, Reply};

/// Longest wait of one feed call for a change. A connection that has gone silent is detected
/// one call timeout later.
const FEED_TIMEOUT: Duration = Duration::from_millis(800);
/// Backoff after the first failed call; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Longest backoff, which keeps all nodes from polling a failed store continuously. The store's
/// recovery is noticed within this time, and no job can be accepted before that.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Number of doublings after which the backoff is at its longest.
const MAX_DOUBLINGS: u32 = 2;
/// Shortest interval between two reads of the endpoints' changes. It is far below the time
/// within which a leaving endpoint must stop getting work.
const ENDPOINT_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest interval between two reads of the configuration's changes.
const CONFIG_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between queries to other nodes while the store does not answer.
const PEER_INTERVAL: Duration = Duration::from_millis(400);
/// How long the store may be silent before other nodes are queried.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_500);
/// Age of the store's last confirmation of the configuration at which other nodes are queried
/// for a newer one. Without a confirmation, keys are rejected after some seconds.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);
/// Nodes queried at a time. The store may reject a third of the nodes:
/// querying one node would yield nothing newer in a third of the cases, querying two in a ninth.
const QUERIED_PEERS: usize = 2;
/// Deadline of a query to another node.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before retrying a read that was older than the state already held.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// One result of following a table.
pub enum Update {
    /// The whole table.
    Snapshot(Snapshot),
    /// Some rows of a table that is still being read for the first time.
    Part(Snapshot),
    /// The changes since the last result.
    Changes(Changes),
    /// The store did not answer.
    Failed,
}

impl Update {
    /// How long ago the store confirmed this state.
    fn age(&self) -> Duration {
        match self {
            Self::Changes(changes) => changes.age,
            Self::Snapshot(_) | Self::Part(_) | Self::Failed => Duration::ZERO,
        }
    }

    /// When the store was queried for it.
    pub fn asked(&self) -> Option<Uptime> {
        match self {
            Self::Changes(changes) => changes.asked,
            Self::Snapshot(snapshot) => snapshot.asked,
            Self::Part(_) | Self::Failed => None,
        }
    }
}

/// Follows a table indefinitely: reads a snapshot, then its changes, and starts over with a
/// snapshot where the change history has a gap. Results older than the last one are discarded,
/// because a store may answer from a lagging replica.
pub async fn follow<F, S>(feed: F, table: &'static str, interval: Duration, mut sink: S)
where
    F: Feed,
    S: FnMut(Update),
{
    let mut last_version = 0;
    let mut needs_snapshot = true;
    let mut has_table = false;
    let mut failures = 0;
    loop {
        let update = if needs_snapshot && has_table {
            feed.snapshot(table).await.map(Update::Snapshot)
        } else if needs_snapshot {
            let read = read_first(&feed, table, &mut sink).await;
            read.map(Update::Snapshot)
        } else {
            match feed.changes(table, last_version, FEED_TIMEOUT).await {
                Ok(changes) => Ok(Update::Changes(changes)),
                Err(FeedError::Fault(fault)) => Err(fault),
                Err(FeedError::Gone) => {
                    log::info!(
                        "{} table={table} gap_after={last_version}",
                        event::STORE_REGAINED
                    );
                    needs_snapshot = true;
                    continue;
                }
            }
        };
        match update {
            Ok(update) => {
                let version = match &update {
                    Update::Snapshot(snapshot) => snapshot.version,
                    Update::Changes(changes) => changes.version,
                    Update::Part(_) | Update::Failed => 0,
                };
                if version < last_version {
                    sleep(STALE_RETRY_DELAY).await;
                    continue;
                }
                last_version = version;
                needs_snapshot = false;
                has_table = true;
                failures = 0;
                sink(update);
                sleep(interval).await;
            }
            Err(fault) => {
                log::debug!("{} table={table} why=\"{fault}\"", event::STORE_LOST);
                sink(Update::Failed);
                sleep(backoff(&fault, failures)).await;
                failures += 1;
            }
        }
    }
}

/// Reads a table for the first time. The first rows of a large one are passed on before the
/// rest is read, which takes seconds while a whole fleet starts: some of thousands of endpoints
/// are enough to serve callers.
async fn read_first<F, S>(feed: &F, table: &str, sink: &mut S) -> Result<Snapshot, Fault>
where
    F: Feed,
    S: FnMut(Update),
{
    let first = feed.first_page(table).await?;
    if first.is_whole {
        return Ok(first.snapshot);
    }
    sink(Update::Part(first.snapshot));
    feed.snapshot(table).await
}

/// Returns the delay before the next call after `failures` earlier consecutive failures.
fn backoff(fault: &Fault, failures: u32) -> Duration {
    let first = match fault {
        Fault::Refused { retry_after } => *retry_after,
        Fault::Conflict { .. } | Fault::Unknown => INITIAL_BACKOFF,
    };
    let doubled = first * 2_u32.pow(failures.min(MAX_DOUBLINGS));
    doubled.min(MAX_BACKOFF.max(first))
}

/// Catalogue state that one node sends to another that can't reach the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// True while the store answers the sender.
    pub fresh: bool,
    /// The configuration; none if the receiver already has it or the sender has none.
    pub config: Option<Arc<Config>>,
    /// Time between the store's last confirmation that no newer configuration exists and the
    /// sending of this update.
    pub vouched_ago: Option<Duration>,
    /// The endpoints that the receiver lacks.
    pub endpoints: Export,
}

/// Builds the catalogue on the control thread from feeds and peers, and publishes it.
pub struct Learner {
    clock: Clock,
    catalog: Arc<Cell<Catalog>>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    registry: Registry,
    config: Option<Arc<Config>>,
    /// When the store or a peer last confirmed the endpoints.
    confirmed: Time,
    /// When the store last answered about endpoints, and about the configuration.
    endpoints_answered: Time,
    config_answered: Time,
    /// True while the store's configuration can't be parsed. It may revoke a key, so the
    /// configuration in force is not confirmed meanwhile.
    unreadable: bool,
    /// Latest time at which the store certainly had no newer configuration.
    config_confirmed: Option<Uptime>,
}

impl State {
    /// Records a confirmation of the configuration by the store or by a peer.
    fn confirm_config(&mut self, at: Option<Uptime>) {
        self.config_confirmed = self.config_confirmed.max(at);
    }
}

impl Learner {
    /// Creates a learner with an empty state.
    pub fn new(clock: Clock, catalog: Arc<Cell<Catalog>>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            catalog,
            state: RefCell::default(),
        })
    }

    /// Applies an update of the configuration table.
    pub fn config(&self, update: Update) {
        let confirmed_at = self.clock.now() - update.age();
        let asked = update.asked();
        let rows: Vec<(String, bytes::Bytes)> = match update {
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
            Update::Part(_) | Update::Failed => return,
        };
        self.state.borrow_mut().config_answered = confirmed_at;
        let mut unreadable = self.state.borrow().unreadable;
        for (key, value) in rows {
            if key != config::KEY {
                continue;
            }
            match config::decode(&value) {
                Ok(config) => {
                    unreadable = false;
                    self.put_in_force(Arc::new(config), "store");
                }
                Err(why) => {
                    unreadable = true;
                    log::warn!("{} key={key} why=\"{why}\"", event::ROW_UNREADABLE);
                }
            }
        }
        let mut state = self.state.borrow_mut();
        state.unreadable = unreadable;
        if !unreadable {
            state.confirm_config(asked);
            self.publish(&state);
        }
    }

    /// Puts a configuration in force unless the current one is at least as new.
    fn put_in_force(&self, config: Arc<Config>, source: &str) {
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

    /// Applies an update of the endpoint table.
    pub fn endpoints(&self, update: Update) {
        let now = self.clock.now();
        let confirmed_at = now - update.age();
        let mut state = self.state.borrow_mut();
        match update {
            Update::Snapshot(snapshot) => {
                let (entries, unreadable) = partition(snapshot.rows.iter().map(endpoint::from_row));
                state.registry.replace(now, entries, snapshot.version);
                mark_unreadable(&mut state.registry, &unreadable);
            }
            Update::Part(part) => {
                let (entries, _) = partition(part.rows.iter().map(endpoint::from_row));
                for entry in entries {
                    state.registry.apply(now, entry);
                }
                self.publish(&state);
                return;
            }
            Update::Changes(changes) => {
                if let Some(ago) = changes.failed_ago {
                    state.registry.store_failed(now - ago);
                }
                let read = changes.changes.iter().map(endpoint::from_change);
                let (entries, unreadable) = partition(read);
                // Of two entries for one endpoint, the one with the higher version wins.
                mark_unreadable(&mut state.registry, &unreadable);
                for entry in entries {
                    log::debug!(
                        "{} endpoint={} version={} ready={:?}",
                        event::ENDPOINT_CHANGED,
                        entry.id,
                        entry.version,
                        entry.endpoint.as_ref().map(|endpoint| endpoint.ready),
                    );
                    state.registry.apply(now, entry);
                }
                state.registry.advance(changes.version);
            }
            Update::Failed => {
                state.registry.store_failed(now);
                return;
            }
        }
        state.endpoints_answered = confirmed_at;
        state.confirmed = confirmed_at;
        self.publish(&state);
    }

    /// Drops endpoints that have not returned within their grace period.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.registry.expire(now) {
            self.publish(&state);
        }
    }

    fn publish(&self, state: &State) {
        self.catalog.publish(Catalog {
            config: state.config.clone(),
            endpoints: state.registry.endpoints().clone(),
            confirmed: state.confirmed,
            config_confirmed: state.config_confirmed,
        });
    }

    /// Returns the state to send to a node that has configuration `version`, and knows the
    /// table of endpoints up to `endpoints_version`. While the store does not answer this node
    /// either, only a node without any configuration, such as a restarted one, gets an update.
    pub fn export(&self, version: u64, endpoints_version: u64) -> Option<PeerUpdate> {
        let now = self.clock.now();
        let state = self.state.borrow();
        let fresh = now.since(state.endpoints_answered) <= MAX_STORE_SILENCE;
        let uptime = Uptime::now();
        let vouched_ago = state.config_confirmed.map(|at| uptime.since(at));
        let is_recent = vouched_ago.is_some_and(|ago| ago < MAX_CONFIRMATION_AGE);
        if !fresh && !is_recent && version > 0 {
            return None;
        }
        let config = state.config.clone().filter(|it| it.version > version);
        Some(PeerUpdate {
            fresh,
            config,
            vouched_ago,
            endpoints: state.registry.export(endpoints_version),
        })
    }

    /// Applies a peer's update, requested at `sent`.
    pub fn import(&self, sent: Uptime, update: PeerUpdate) {
        if let Some(config) = update.config {
            self.put_in_force(config, "peer");
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.registry.import(now, update.endpoints);
        if update.fresh {
            state.confirmed = now;
        }
        state.confirm_config(update.vouched_ago.map(|ago| sent - ago));
        self.publish(&state);
    }

    /// True while the store does not answer this node.
    fn is_cut_off(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let is_outdated = state
            .config_confirmed
            .is_none_or(|at| Uptime::now().since(at) > MAX_CONFIRMATION_AGE);
        is_outdated
            || now.since(state.endpoints_answered) > MAX_STORE_SILENCE
            || now.since(state.config_answered) > MAX_STORE_SILENCE
    }

    /// The query that asks another node for what this one lacks. A node that is still reading
    /// the table of endpoints asks for none: it serves with those it has, and if all nodes
    /// started at once, each would be sent the whole table by several others.
    pub fn query(&self) -> Query {
        let state = self.state.borrow();
        let registry = &state.registry;
        let is_reading = registry.table_version() == 0 && !registry.endpoints().is_empty();
        Query::Known {
            version: state.config.as_ref().map_or(0, |config| config.version),
            endpoints_version: if is_reading {
                u64::MAX
            } else {
                registry.table_version()
            },
        }
    }
}

/// Separates the rows that can be parsed from those that can't.
fn partition<I>(rows: I) -> (Vec<Entry>, Vec<Unreadable>)
where
    I: Iterator<Item = Result<Entry, Unreadable>>,
{
    let mut entries = Vec::new();
    let mut unreadable = Vec::new();
    for row in rows {
        match row {
            Ok(entry) => entries.push(entry),
            Err(row) => unreadable.push(row),
        }
    }
    (entries, unreadable)
}

/// Marks the endpoints of unparsable rows as unusable: such a row gives no valid address.
fn mark_unreadable(registry: &mut Registry, unreadable: &[Unreadable]) {
    for Unreadable { id, version, why } in unreadable {
        log::warn!("{} key={id} why=\"{why}\"", event::ROW_UNREADABLE);
        registry.refuse(id, *version);
    }
}

/// Follows configuration and endpoints for the lifetime of the thread.
pub fn start<F>(learner: &Rc<Learner>, config_feed: F, endpoint_feed: F)
where
    F: Feed + 'static,
{
    let sink = Rc::clone(learner);
    let task = follow(config_feed, config::TABLE, CONFIG_INTERVAL, move |update| {
        sink.config(update);
    });
    actix_rt::spawn(task);
    let sink = Rc::clone(learner);
    let task = follow(
        endpoint_feed,
        endpoint::TABLE,
        ENDPOINT_INTERVAL,
        move |update| {
            sink.endpoints(update);
        },
    );
    actix_rt::spawn(task);
    let learner = Rc::clone(learner);
    actix_rt::spawn(async move {
        loop {
            sleep(ENDPOINT_INTERVAL).await;
            learner.expire();
        }
    });
}

/// Queries other nodes while the store does not answer this one, so that nodes that the store
/// rejects still receive configuration and endpoints.
pub async fn poll_peers(learner: Rc<Learner>, me: Name, view: Arc<Cell<View>>, links: Rc<Pool>) {
    loop {
        sleep(PEER_INTERVAL).await;
        if !learner.is_cut_off() {
            continue;
        }
        let peers: Vec<Name> = {
            let view = view.read();
            let others = view.usable().filter(|member| member.name != me);
            let links = others.map(|member| member.link.clone());
            links.choose_multiple(&mut rand::rng(), QUERIED_PEERS)
        };
        join_all(peers.iter().map(|peer| poll_peer(&learner, peer, &links))).await;
    }
}

async fn poll_peer(learner: &Learner, peer: &Name, links: &Rc<Pool>) {
    let query = learner.query();
    let sent = Uptime::now();
    if let Some(Reply::Known(Some(update))) = links.query(peer, query, PEER_TIMEOUT).await {
        learner.import(sent, *update);
    }
}
