//! Three hundred nodes follow a table of the store in virtual time: the calls to the store, and
//! the delay of changes.

#[path = "support/member.rs"]
mod support;

use std::cell::{Cell as StdCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::clock::{Clock, Time};
use auburnspoke::edge::count::Count;
use auburnspoke::edge::learn::{Update, follow};
use auburnspoke::feed::reader::{Reader, Topic};
use auburnspoke::feed::source::{Setup, Source, Transport};
use auburnspoke::member::{Member, View};
use auburnspoke::name::Name;
use auburnspoke::snapshot::Cell;
use auburnspoke::table::{Change, Changes, Fault, Feed, FeedError, Snapshot};
use auburnspoke::wire::query::{Query, Reply};
use googletest::prelude::*;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const TABLE: &str = "job";
const TABLES: &[Topic] = &[Topic {
    table: TABLE,
    gap: Duration::from_millis(150),
}];
const ZONES: usize = 5;
/// One-way delay between two nodes, and to the store.
const DELAY: Duration = Duration::from_millis(2);
/// Minimum interval between two reads, as for the table of jobs.
const READ_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between changes, which corresponds to 50 results per second.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);

/// The store, with a single table.
#[derive(Default)]
struct Store {
    log: RefCell<Vec<Change>>,
    changed: Notify,
    calls: StdCell<usize>,
    /// Numbers of the nodes that it refuses.
    refused: RefCell<Vec<usize>>,
}

/// Fault of a node's link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// The node does not answer.
    Frozen,
    /// Each answer is delayed by this much.
    Slow(Duration),
}

impl Store {
    fn version(&self) -> u64 {
        u64::try_from(self.log.borrow().len()).unwrap()
    }

    fn write(&self) {
        let version = self.version() + 1;
        let change = Change {
            key: format!("row-{version}"),
            version,
            value: None,
        };
        self.log.borrow_mut().push(change);
        self.changed.notify_waiters();
    }

    fn after(&self, version: u64) -> Vec<Change> {
        let log = self.log.borrow();
        log[usize::try_from(version).unwrap()..].to_vec()
    }
}

/// A node's connection to the store.
#[derive(Clone)]
struct Client {
    store: Rc<Store>,
    at: usize,
}

impl Client {
    async fn call(&self) -> std::result::Result<(), Fault> {
        self.store.calls.set(self.store.calls.get() + 1);
        sleep(DELAY).await;
        if self.store.refused.borrow().contains(&self.at) {
            let retry_after = READ_INTERVAL;
            return Err(Fault::Refused { retry_after });
        }
        Ok(())
    }
}

impl Feed for Client {
    async fn snapshot(&self, _: &str) -> std::result::Result<Snapshot, Fault> {
        self.call().await?;
        Ok(Snapshot {
            version: self.store.version(),
            ..Snapshot::default()
        })
    }

    async fn changes(
        &self,
        _: &str,
        version: u64,
        wait: Duration,
    ) -> std::result::Result<Changes, FeedError> {
        self.call().await.map_err(FeedError::Fault)?;
        let changed = self.store.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if self.store.version() == version {
            // Times out when nothing changes.
            let _ = timeout(wait, changed).await;
        }
        sleep(DELAY).await;
        Ok(Changes {
            changes: self.store.after(version),
            version: self.store.version(),
            ..Changes::default()
        })
    }
}

/// The nodes' links.
#[derive(Default)]
struct Net {
    readers: RefCell<BTreeMap<Name, Rc<Reader<Client>>>>,
    /// Faults by link.
    faults: RefCell<BTreeMap<Name, LinkFault>>,
}

#[derive(Clone)]
struct Links(Rc<Net>);

impl Transport for Links {
    async fn query(&self, link: &Name, query: Query, wait: Duration) -> Option<Reply> {
        let Query::Changes { table, after } = query else {
            return None;
        };
        let fault = self.0.faults.borrow().get(link).copied();
        let late = match fault.unwrap_or_default() {
            LinkFault::None => Duration::ZERO,
            LinkFault::Frozen => {
                sleep(wait).await;
                return None;
            }
            LinkFault::Slow(late) => late,
        };
        let reader = Rc::clone(self.0.readers.borrow().get(link)?);
        let answer = async {
            sleep(DELAY).await;
            let answer = reader.answer(&table, after).await;
            sleep(DELAY + late).await;
            answer
        };
        let answer = timeout(wait, answer).await.ok()?;
        Some(Reply::Changes(answer))
    }
}

/// A running fleet.
struct Fleet {
    store: Rc<Store>,
    net: Rc<Net>,
    clock: Clock,
    /// The version that each node has.
    versions: Vec<Rc<StdCell<u64>>>,
}

fn member(at: usize) -> Member {
    Member {
        link: link(at),
        zone: zone(at),
        power: if at < 60 { 500 } else { 120 },
        ..support::member(&format!("node-{at:03}"))
    }
}

fn link(at: usize) -> Name {
    format!("127.0.0.1:{}", 1_000 + at).into()
}

fn zone(at: usize) -> Name {
    format!("z{}", at % ZONES).into()
}

impl Fleet {
    fn start(nodes: usize) -> Self {
        let store = Rc::new(Store::default());
        let net = Rc::new(Net::default());
        let clock = Clock::start();
        let members: Vec<Member> = (0..nodes).map(member).collect();
        let view = Arc::new(Cell::new(View::from(members)));
        let mut versions = Vec::new();
        for at in 0..nodes {
            let client = Client {
                store: Rc::clone(&store),
                at,
            };
            let reader = Reader::new(clock, client.clone(), TABLES);
            net.readers.borrow_mut().insert(link(at), reader);
            let setup = Setup {
                me: member(at).name,
                zone: zone(at),
                clock,
                view: Arc::clone(&view),
                count: Count::default(),
            };
            let source = Source::new(client, Links(Rc::clone(&net)), setup);
            let version = Rc::new(StdCell::new(0));
            versions.push(Rc::clone(&version));
            let following = follow(source, TABLE, READ_INTERVAL, move |update| match update {
                Update::Changes(changes) => version.set(changes.version),
                Update::Snapshot(snapshot) => version.set(snapshot.version),
                Update::Part(_) | Update::Failed => {}
            });
            tokio::task::spawn_local(following);
        }
        Self {
            store,
            net,
            clock,
            versions,
        }
    }

    /// Changes the table for `length`, and returns the calls per second to the store.
    async fn change(&self, length: Duration) -> f64 {
        let calls = self.store.calls.get();
        let began = self.clock.now();
        while self.clock.now().since(began) < length {
            self.store.write();
            sleep(CHANGE_INTERVAL).await;
        }
        let calls = self.store.calls.get() - calls;
        f64::from(u32::try_from(calls).unwrap()) / length.as_secs_f64()
    }

    /// Returns the time until all nodes except `except` have the store's current version.
    async fn propagation(&self, except: &[usize]) -> Duration {
        let version = self.store.version();
        let began: Time = self.clock.now();
        loop {
            let is_current = |at: usize| except.contains(&at) || self.versions[at].get() >= version;
            if (0..self.versions.len()).all(is_current) {
                return self.clock.now().since(began);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Injects a fault into the links of some nodes.
    fn inject(&self, nodes: &[usize], fault: LinkFault) {
        let mut faults = self.net.faults.borrow_mut();
        faults.extend(nodes.iter().map(|at| (link(*at), fault)));
    }

    /// Returns the nodes that read the store for others.
    fn readers(&self) -> Vec<usize> {
        let version = self.store.version();
        let readers = self.net.readers.borrow();
        (0..self.versions.len())
            .filter(|at| readers[&link(*at)].is_following(TABLE) && version > 0)
            .collect()
    }
}

fn run<F, B>(nodes: usize, body: B)
where
    B: FnOnce(Fleet) -> F,
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async { body(Fleet::start(nodes)).await });
}

#[gtest]
fn follow_calls_of_large_fleet() {
    // If each of 300 nodes followed the store itself, it would call it about four times per
    // second. That costs users money, and a store that is slow at the time would get all of
    // these calls.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let rate = fleet.change(Duration::from_secs(10)).await;
        expect_that!(rate, lt(75.0));
        expect_that!(fleet.readers().len(), eq(2 * ZONES));
        expect_that!(fleet.propagation(&[]).await, lt(Duration::from_millis(450)));
    });
}

#[gtest]
fn follow_calls_of_small_fleet() {
    run(30, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let rate = fleet.change(Duration::from_secs(10)).await;
        expect_that!(rate, lt(150.0));
        expect_that!(fleet.readers().len(), eq(0));
    });
}

#[gtest]
fn follow_readers_frozen() {
    // All readers are frozen at once, and the table changes. Every node must get the change in
    // time, because until then it may use a route or an endpoint that no longer exists. The
    // frozen readers themselves are not counted.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.inject(&readers, LinkFault::Frozen);
        fleet.store.write();
        let took = fleet.propagation(&[]).await;
        expect_that!(took, lt(Duration::from_millis(2_500)));
    });
}

#[gtest]
fn follow_readers_refused() {
    // The store refuses only the readers. The other nodes must not interpret their silence as
    // "nothing has changed".
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.store.refused.borrow_mut().clone_from(&readers);
        fleet.store.write();
        let took = fleet.propagation(&readers).await;
        expect_that!(took, lt(Duration::from_secs(1)));
    });
}

#[gtest]
fn follow_store_refuses_all() {
    // The store is unavailable to all nodes for 3 s. After its recovery all nodes get the changes
    // that they missed, and query readers again.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        *fleet.store.refused.borrow_mut() = (0..300).collect();
        sleep(Duration::from_secs(3)).await;
        fleet.store.write();
        fleet.store.refused.borrow_mut().clear();
        let took = fleet.propagation(&[]).await;
        expect_that!(took, lt(Duration::from_secs(1)));
        sleep(Duration::from_secs(5)).await;
        let rate = fleet.change(Duration::from_secs(5)).await;
        expect_that!(rate, lt(150.0));
    });
}

#[gtest]
fn follow_calls_while_store_is_away() {
    // The store is unavailable for seven seconds. Every call costs the operators money, even a
    // refused one, and a recovering store that gets calls of all nodes at once may fail again.
    // The nodes must nevertheless detect its recovery within a second: until then they can't
    // accept jobs.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        *fleet.store.refused.borrow_mut() = (0..300).collect();
        let rate = fleet.change(Duration::from_secs(7)).await;
        expect_that!(rate, lt(800.0));
        fleet.store.refused.borrow_mut().clear();
        expect_that!(fleet.propagation(&[]).await, lt(Duration::from_secs(1)));
    });
}

#[gtest]
fn follow_readers_cut_off() {
    // All readers lose the connection to the store and to the other nodes at once. The others
    // must get a change in time, and the readers after they are connected again.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.inject(&readers, LinkFault::Frozen);
        fleet.store.refused.borrow_mut().clone_from(&readers);
        fleet.store.write();
        let took = fleet.propagation(&readers).await;
        expect_that!(took, lt(Duration::from_millis(2_500)));
        fleet.inject(&readers, LinkFault::None);
        fleet.store.refused.borrow_mut().clear();
        expect_that!(fleet.propagation(&[]).await, lt(Duration::from_secs(1)));
    });
}

#[gtest]
fn follow_readers_slow() {
    // The readers' VMs become slow, and each answer is delayed by 0.4 s. Changes are delayed by
    // that much, and no node switches to reading the store itself.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.inject(&readers, LinkFault::Slow(Duration::from_millis(400)));
        let rate = fleet.change(Duration::from_secs(10)).await;
        expect_that!(rate, lt(75.0));
        expect_that!(
            fleet.propagation(&[]).await,
            lt(Duration::from_millis(1_300))
        );
    });
}

#[gtest]
fn follow_readers_too_slow() {
    // The readers' answers arrive after the timeout, as if they were frozen. No node may lag.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.inject(&readers, LinkFault::Slow(Duration::from_millis(1_500)));
        fleet.store.write();
        let took = fleet.propagation(&[]).await;
        expect_that!(took, lt(Duration::from_millis(2_500)));
    });
}
