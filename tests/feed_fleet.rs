//! Three hundred nodes follow a table of the store, in virtual time: what they
//! ask of the store, and how late they learn.

#[path = "support/member.rs"]
mod support;

use std::cell::{Cell as Flag, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::clock::{Clock, Time};
use auburnspoke::edge::count::Count;
use auburnspoke::edge::learn::{Update, follow};
use auburnspoke::feed::reader::{Reader, Topic};
use auburnspoke::feed::source::{Ask, Setup, Source};
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
/// One way between two nodes, and to the store.
const DELAY: Duration = Duration::from_millis(2);
/// As the jobs' table is followed.
const GAP: Duration = Duration::from_millis(200);
/// A change each 20 ms, as many as 50 results a second make.
const CHANGE_EVERY: Duration = Duration::from_millis(20);

/// The store's one table.
#[derive(Default)]
struct Store {
    log: RefCell<Vec<Change>>,
    changed: Notify,
    calls: Flag<usize>,
    /// Nodes that it refuses, by their number.
    refused: RefCell<Vec<usize>>,
}

/// What is wrong with the nodes' links.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Harm {
    /// Nothing.
    #[default]
    None,
    /// No answer comes.
    Frozen,
    /// Each answer comes so much later.
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

/// A node's way to the store.
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
            let retry_after = GAP;
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
            // Nothing may change.
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
    desks: RefCell<BTreeMap<Name, Rc<Reader<Client>>>>,
    /// Nodes that answer late or not at all.
    harmed: RefCell<BTreeMap<Name, Harm>>,
}

#[derive(Clone)]
struct Links(Rc<Net>);

impl Ask for Links {
    async fn ask(&self, link: &Name, query: Query, wait: Duration) -> Option<Reply> {
        let Query::Changes { table, after } = query else {
            return None;
        };
        let harm = self.0.harmed.borrow().get(link).copied();
        let late = match harm.unwrap_or_default() {
            Harm::None => Duration::ZERO,
            Harm::Frozen => {
                sleep(wait).await;
                return None;
            }
            Harm::Slow(late) => late,
        };
        let reader = Rc::clone(self.0.desks.borrow().get(link)?);
        let answer = async {
            sleep(DELAY).await;
            let told = reader.answer(&table, after).await;
            sleep(DELAY + late).await;
            told
        };
        let told = timeout(wait, answer).await.ok()?;
        Some(Reply::Changes(told))
    }
}

/// A fleet that runs.
struct Fleet {
    store: Rc<Store>,
    net: Rc<Net>,
    clock: Clock,
    /// The version that each node knows.
    known: Vec<Rc<Flag<u64>>>,
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
        let members = (0..nodes).map(member).collect();
        let view = Arc::new(Cell::new(View { members }));
        let mut known = Vec::new();
        for at in 0..nodes {
            let client = Client {
                store: Rc::clone(&store),
                at,
            };
            let reader = Reader::new(clock, client.clone(), TABLES);
            net.desks.borrow_mut().insert(link(at), reader);
            let setup = Setup {
                me: member(at).name,
                zone: zone(at),
                clock,
                view: Arc::clone(&view),
                count: Count::default(),
            };
            let source = Source::new(client, Links(Rc::clone(&net)), setup);
            let version = Rc::new(Flag::new(0));
            known.push(Rc::clone(&version));
            let following = follow(source, TABLE, GAP, move |news| match news {
                Update::Changes(changes) => version.set(changes.version),
                Update::Snapshot(snapshot) => version.set(snapshot.version),
                Update::Failed => {}
            });
            tokio::task::spawn_local(following);
        }
        Self {
            store,
            net,
            clock,
            known,
        }
    }

    /// Changes the table for `length` and gives the calls a second that the
    /// store got.
    async fn change(&self, length: Duration) -> f64 {
        let calls = self.store.calls.get();
        let began = self.clock.now();
        while self.clock.now().since(began) < length {
            self.store.write();
            sleep(CHANGE_EVERY).await;
        }
        let calls = self.store.calls.get() - calls;
        f64::from(u32::try_from(calls).unwrap()) / length.as_secs_f64()
    }

    /// How long until all nodes but `but` know what the store knows now.
    async fn spread(&self, but: &[usize]) -> Duration {
        let version = self.store.version();
        let began: Time = self.clock.now();
        loop {
            let knows = |at: usize| but.contains(&at) || self.known[at].get() >= version;
            if (0..self.known.len()).all(knows) {
                return self.clock.now().since(began);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Harms the links of some nodes.
    fn harm(&self, nodes: &[usize], harm: Harm) {
        let mut harmed = self.net.harmed.borrow_mut();
        harmed.extend(nodes.iter().map(|at| (link(*at), harm)));
    }

    /// The nodes that read the store for others.
    fn readers(&self) -> Vec<usize> {
        let version = self.store.version();
        let desks = self.net.desks.borrow();
        (0..self.known.len())
            .filter(|at| desks[&link(*at)].is_following(TABLE) && version > 0)
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
    // Each of 300 nodes that followed the store by itself would ask it some four
    // times a second. Users would pay for that, and a store that is slow just
    // then would get all of it.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let rate = fleet.change(Duration::from_secs(10)).await;
        expect_that!(rate, lt(75.0));
        expect_that!(fleet.readers().len(), eq(2 * ZONES));
        expect_that!(fleet.spread(&[]).await, lt(Duration::from_millis(450)));
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
    // All readers are frozen at once, and a change is made. Every node must
    // learn of it while it may still use a route or an endpoint that is no more;
    // the readers themselves are frozen, and not counted.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.harm(&readers, Harm::Frozen);
        fleet.store.write();
        let took = fleet.spread(&[]).await;
        expect_that!(took, lt(Duration::from_millis(2_500)));
    });
}

#[gtest]
fn follow_readers_refused() {
    // The store refuses the readers and serves everybody else, who must not
    // take their silence for "nothing has changed".
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.store.refused.borrow_mut().clone_from(&readers);
        fleet.store.write();
        let took = fleet.spread(&readers).await;
        expect_that!(took, lt(Duration::from_secs(1)));
    });
}

#[gtest]
fn follow_store_refuses_all() {
    // The store is away for 3 s for everybody. When it is back all learn what
    // they missed, and fall back into asking readers.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        *fleet.store.refused.borrow_mut() = (0..300).collect();
        sleep(Duration::from_secs(3)).await;
        fleet.store.write();
        fleet.store.refused.borrow_mut().clear();
        let took = fleet.spread(&[]).await;
        expect_that!(took, lt(Duration::from_secs(1)));
        sleep(Duration::from_secs(5)).await;
        let rate = fleet.change(Duration::from_secs(5)).await;
        expect_that!(rate, lt(150.0));
    });
}

#[gtest]
fn follow_calls_while_store_is_away() {
    // The store is away for seven seconds. Every call costs the operators, also
    // one that is refused, and a store that comes back under all of them at once
    // may go again. The nodes must learn of its return within a second all the
    // same: until then they can't accept jobs.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        *fleet.store.refused.borrow_mut() = (0..300).collect();
        let rate = fleet.change(Duration::from_secs(7)).await;
        expect_that!(rate, lt(800.0));
        fleet.store.refused.borrow_mut().clear();
        expect_that!(fleet.spread(&[]).await, lt(Duration::from_secs(1)));
    });
}

#[gtest]
fn follow_readers_cut_off() {
    // All readers lose the store and the other nodes at once. The others must
    // learn of a change in time, and the readers once they are back.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.harm(&readers, Harm::Frozen);
        fleet.store.refused.borrow_mut().clone_from(&readers);
        fleet.store.write();
        let took = fleet.spread(&readers).await;
        expect_that!(took, lt(Duration::from_millis(2_500)));
        fleet.harm(&readers, Harm::None);
        fleet.store.refused.borrow_mut().clear();
        expect_that!(fleet.spread(&[]).await, lt(Duration::from_secs(1)));
    });
}

#[gtest]
fn follow_readers_slow() {
    // The readers' VMs turn slow: each answer of theirs comes 0.4 s later. News
    // come later by that, and nobody goes over to reading the store by himself.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.harm(&readers, Harm::Slow(Duration::from_millis(400)));
        let rate = fleet.change(Duration::from_secs(10)).await;
        expect_that!(rate, lt(75.0));
        expect_that!(fleet.spread(&[]).await, lt(Duration::from_millis(1_300)));
    });
}

#[gtest]
fn follow_readers_too_slow() {
    // Their answers come after nobody waits for them any more. That is as if
    // they were frozen, and no node may stay behind.
    run(300, |fleet| async move {
        fleet.change(Duration::from_secs(2)).await;
        let readers = fleet.readers();
        fleet.harm(&readers, Harm::Slow(Duration::from_millis(1_500)));
        fleet.store.write();
        let took = fleet.spread(&[]).await;
        expect_that!(took, lt(Duration::from_millis(2_500)));
    });
}
