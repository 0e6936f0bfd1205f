//! Runs of requests after the end of a verdict, on several nodes with one store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::Catalog;
use auburnspoke::clock::Clock;
use auburnspoke::edge::count::Count;
use auburnspoke::feed::source::Transport;
use auburnspoke::member::View;
use auburnspoke::name::Name;
use auburnspoke::platform::store::Client;
use auburnspoke::quarantine::detector::{Clearance, Inputs, Setup};
use auburnspoke::quarantine::evidence::Status;
use auburnspoke::quarantine::record::{self, Key, VerdictRow};
use auburnspoke::quarantine::{Detector, Fingerprint, Subject};
use auburnspoke::snapshot::Cell;
use auburnspoke::table::{Feed as _, Table as _, Transaction};
use auburnspoke::wire;
use auburnspoke::wire::query::{Query, Reply};
use futures_util::future::join_all;
use googletest::prelude::*;
use standin::site::store::{Degradation, Store};
use tokio::sync::mpsc;
use tokio::time::sleep;

const REQUEST: Fingerprint = Fingerprint(0xabc);
const NODES: usize = 4;
/// Time in which a node reads the stored verdicts.
const READ_TIME: Duration = Duration::from_millis(600);

/// Nodes that can't reach each other.
struct NoLinks;

impl Transport for NoLinks {
    async fn query(&self, _: &Name, _: Query, _: Duration) -> Option<Reply> {
        None
    }
}

async fn start(store: &Rc<Store>, node: usize) -> Rc<Detector> {
    let client = Client::new(store.listen(node).await.unwrap());
    let detector = Detector::new(Setup {
        me: format!("n{node}").into(),
        clock: Clock::start(),
        store: client.clone(),
        catalog: Arc::new(Cell::new(Catalog::default())),
        view: Arc::new(Cell::new(View::from(Vec::new()))),
        notes: mpsc::channel(8).0,
        count: Count::default(),
    });
    let inputs = Inputs {
        notes: mpsc::channel(8).1,
        queries: mpsc::channel(8).1,
    };
    actix_rt::spawn(Rc::clone(&detector).run(client, NoLinks, inputs));
    detector
}

/// Stores a doubtful verdict that ends at once, and starts nodes that read it.
async fn start_after_verdict(store: &Rc<Store>) -> (Vec<Rc<Detector>>, Subject) {
    let client = Client::new(store.listen(NODES).await.unwrap());
    let clock = client.snapshot(record::TABLE).await.unwrap().clock;
    let row = VerdictRow {
        until: clock,
        times: 1,
        endpoints: Vec::new(),
        is_doubtful: true,
    };
    let row = wire::encode(&row).unwrap();
    let put = Transaction::default().put(Key::Verdict(REQUEST).row(), row);
    client.transact(put).await.unwrap();
    let nodes = join_all((0..NODES).map(|node| start(store, node))).await;
    sleep(READ_TIME).await;
    let subject = Subject {
        request: REQUEST,
        parts: [].into(),
    };
    (nodes, subject)
}

async fn clear_all(nodes: &[Rc<Detector>], subject: &Subject) -> Vec<Clearance> {
    let id = Name::from("a1");
    join_all(nodes.iter().map(|node| node.clear_run(&id, subject))).await
}

/// Guards against a request that every node, and each node that starts later, runs once more when a
/// verdict on it has ended.
#[gtest]
#[actix_rt::test]
async fn clear_run_all_nodes() {
    let store = Store::new();
    let (nodes, subject) = start_after_verdict(&store).await;
    let cleared = clear_all(&nodes, &subject).await;
    let trials = cleared.iter().filter(|it| **it == Clearance::Trial);
    expect_that!(trials.count(), eq(1), "{cleared:?}");
    expect_that!(cleared, not(contains(eq(&Clearance::Free))));
    sleep(READ_TIME).await;
    let started = start(&store, 0).await;
    sleep(READ_TIME).await;
    for node in nodes.iter().chain([&started]) {
        expect_that!(node.status(&subject), eq(Status::Condemned));
    }
}

/// Guards against requests that run after a verdict's end while the store can't tell whether another
/// node runs them.
#[gtest]
#[actix_rt::test]
async fn clear_run_store_refuses() {
    let store = Store::new();
    let (nodes, subject) = start_after_verdict(&store).await;
    for node in 0..NODES {
        let refuses = Degradation {
            refuse: true,
            ..Degradation::default()
        };
        store.degradations.borrow_mut().insert(node, refuses);
    }
    let cleared = clear_all(&nodes, &subject).await;
    expect_that!(cleared, each(eq(&Clearance::Denied)));
    store.degradations.borrow_mut().clear();
    let cleared = clear_all(&nodes, &subject).await;
    expect_that!(cleared, contains(eq(&Clearance::Trial)));
}

/// Guards against a sound request that stays refused although its trial has completed.
#[gtest]
#[actix_rt::test]
async fn clear_run_completed() {
    let store = Store::new();
    let (nodes, subject) = start_after_verdict(&store).await;
    let cleared = clear_all(&nodes[..1], &subject).await;
    expect_that!(cleared, elements_are![eq(&Clearance::Trial)]);
    nodes[0].completed(&subject, true);
    let cleared = clear_all(&nodes[..1], &subject).await;
    expect_that!(cleared, elements_are![eq(&Clearance::Free)]);
    sleep(READ_TIME).await;
    let started = start(&store, 0).await;
    sleep(READ_TIME).await;
    expect_that!(started.status(&subject), eq(Status::Clear));
}
