//! Membership on real loopback sockets.

#[path = "support/member.rs"]
mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use auburnspoke::clock::Clock;
use auburnspoke::member::record::Record;
use auburnspoke::member::shell::{Counts, Event, Handle, Setup, start};
use auburnspoke::member::tuning::Tuning;
use auburnspoke::member::{Member, State, View};
use auburnspoke::snapshot::Cell;
use auburnspoke::table::{Fault, Roster, Vm};
use auburnspoke::wire::control::{Body, Frame, Head, Note, Update, decode, encode};
use bytes::Bytes;
use googletest::prelude::*;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// The platform's list; `None` is an outage.
#[derive(Clone, Default)]
struct List(Rc<RefCell<Option<Vec<Vm>>>>);

impl Roster for List {
    async fn list(&self) -> std::result::Result<Vec<Vm>, Fault> {
        let retry_after = Duration::from_secs(1);
        self.0
            .borrow()
            .clone()
            .ok_or(Fault::Refused { retry_after })
    }
}

struct Node {
    handle: Handle,
    events: mpsc::Receiver<Event>,
    view: Arc<Cell<View>>,
    counts: Counts,
    control: SocketAddr,
}

async fn node<R>(name: &str, seeds: Vec<SocketAddr>, list: R) -> Node
where
    R: Roster + 'static,
{
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let control = socket.local_addr().unwrap();
    let view = Arc::new(Cell::new(View::default()));
    let counts = Counts::default();
    let me = Member {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        link: "127.0.0.1:2".into(),
        control: control.to_string().into(),
        zone: "zone-a".into(),
        incarnation: 1,
        state: State::Alive,
        config_version: 0,
        power: 0,
    };
    let setup = Setup {
        me,
        boot: u64::from(control.port()),
        seeds,
        tuning: Tuning::default(),
        clock: Clock::start(),
        view: view.clone(),
        counts: counts.clone(),
    };
    let (handle, events) = start(setup, socket, list);
    Node {
        handle,
        events,
        view,
        counts,
        control,
    }
}

async fn wait<F>(mut done: F)
where
    F: FnMut() -> bool,
{
    let all = async {
        while !done() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(60), all)
        .await
        .expect("the condition was not met within 60 s");
}

fn usable(node: &Node) -> usize {
    node.view.read().usable().count()
}

fn state(node: &Node, of: &str) -> Option<State> {
    node.view.read().find(of).map(|m| m.state)
}

#[gtest]
#[actix_rt::test]
async fn start_three_nodes_discover_each_other() {
    let a = node("a", Vec::new(), List::default()).await;
    let b = node("b", vec![a.control], List::default()).await;
    let c = node("c", vec![a.control], List::default()).await;
    wait(|| [&a, &b, &c].iter().all(|n| usable(n) == 3)).await;
    b.handle.leave();
    wait(|| state(&a, "b") == Some(State::Leaving)).await;
    wait(|| state(&c, "b") == Some(State::Leaving)).await;
    b.handle.exit().await;
    wait(|| state(&a, "b") == Some(State::Dead)).await;
    expect_that!(a.counts.malformed.get(), eq(0));
}

#[gtest]
#[actix_rt::test]
async fn start_seeds_come_from_the_platforms_list() {
    let a = node("a", Vec::new(), List::default()).await;
    let list = List::default();
    let b = node("b", Vec::new(), list.clone()).await;
    wait(|| b.counts.roster_failed.get() > 0).await;
    expect_that!(usable(&b), eq(1));
    let vm = Vm {
        name: "a".into(),
        link: "127.0.0.1:2".into(),
        control: a.control.to_string().into(),
        address: "127.0.0.1:1".into(),
        zone: "zone-a".into(),
        leaving: false,
    };
    *list.0.borrow_mut() = Some(vec![vm]);
    wait(|| usable(&a) == 2 && usable(&b) == 2).await;
}

#[gtest]
#[actix_rt::test]
async fn handle_reaches_other_nodes() {
    let a = node("a", Vec::new(), List::default()).await;
    let mut b = node("b", vec![a.control], List::default()).await;
    wait(|| usable(&a) == 2 && usable(&b) == 2).await;
    let note = Note {
        topic: 7,
        key: "job-1".into(),
        version: 1,
        value: Bytes::from_static(b"cancelled"),
    };
    a.handle.note(note.clone());
    a.handle
        .direct("b".into(), 8, Bytes::from_static(b"demand"));
    a.handle.in_force(3);
    wait(|| b.view.read().find("a").map(|m| m.config_version) == Some(3)).await;
    let mut got = Vec::new();
    while got.len() < 3 {
        let event = timeout(Duration::from_secs(60), b.events.recv()).await;
        got.push(event.unwrap().unwrap());
    }
    let direct = Event::Direct {
        from: "a".into(),
        topic: 8,
        value: Bytes::from_static(b"demand"),
    };
    expect_that!(
        got,
        unordered_elements_are![
            eq(&Event::Note(note)),
            eq(&direct),
            eq(&Event::Committed(3))
        ]
    );
}

/// Invalid datagrams at a node's control address are dropped and counted by kind,
/// and do not affect the node.
#[gtest]
#[actix_rt::test]
async fn receive_invalid_counts_and_changes_nothing() {
    let a = node("a", Vec::new(), List::default()).await;
    let before = a.view.load();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for bytes in [&[][..], &[1], &[1, 0xff, 0], &[2, 0xa0], &[1; 1_300], &[0]] {
        socket.send_to(bytes, a.control).await.unwrap();
    }
    wait(|| a.counts.received.get() == 6).await;
    expect_that!(a.counts.malformed.get(), eq(3));
    expect_that!(a.counts.wrong_version.get(), eq(2));
    expect_that!(a.counts.too_long.get(), eq(1));
    expect_that!(a.counts.sent.get(), eq(0));
    expect_that!(*a.view.load(), eq(&*before));
}

/// A platform's list that a node joins with each read, until ten have.
#[derive(Clone, Default)]
struct Growing(Rc<std::cell::Cell<usize>>);

impl Roster for Growing {
    async fn list(&self) -> std::result::Result<Vec<Vm>, Fault> {
        self.0.set(self.0.get() + 1);
        let vm = |at| Vm {
            name: format!("node-{at}").into(),
            link: "127.0.0.1:2".into(),
            control: format!("127.0.0.1:{at}").into(),
            address: "127.0.0.1:1".into(),
            zone: "zone-a".into(),
            leaving: false,
        };
        Ok((1..=self.0.get().min(10)).map(vm).collect())
    }
}

/// Guards against nodes that never meet, because each read the list for the last time before the
/// other was on it: a platform needs seconds to register a thousand nodes.
#[gtest]
#[actix_rt::test]
async fn start_reads_growing_list() {
    tokio::time::pause();
    let list = Growing::default();
    let a = node("a", Vec::new(), list.clone()).await;
    // A node without peers reads the list in any case.
    let _b = node("b", vec![a.control], List::default()).await;
    sleep(Duration::from_secs(30)).await;
    expect_that!(list.0.get(), ge(11));
    expect_that!(a.counts.roster_failed.get(), eq(0));
}

/// A platform's list that is read once, and then unavailable for some reads.
#[derive(Clone, Default)]
struct Interrupted {
    list: List,
    reads: Rc<std::cell::Cell<usize>>,
    failures: usize,
}

impl Roster for Interrupted {
    async fn list(&self) -> std::result::Result<Vec<Vm>, Fault> {
        self.reads.set(self.reads.get() + 1);
        if (2..2 + self.failures).contains(&self.reads.get()) {
            let retry_after = Duration::from_secs(1);
            return Err(Fault::Refused { retry_after });
        }
        self.list.list().await
    }
}

/// Guards against jobs that nobody takes over, because a node whose second read of the list failed
/// does not know for a minute whether it has met all nodes.
#[gtest]
#[actix_rt::test]
async fn start_list_fails_after_first_read() {
    let a = node("a", Vec::new(), List::default()).await;
    let vm = support::member("a").vm();
    let control = a.control.to_string().into();
    let list = Interrupted {
        list: List(Rc::new(RefCell::new(Some(vec![Vm { control, ..vm }])))),
        failures: 3,
        ..Interrupted::default()
    };
    let b = node("b", Vec::new(), list).await;
    wait(|| usable(&b) == 2).await;
    let complete = async {
        while !b.view.read().is_complete {
            sleep(Duration::from_millis(20)).await;
        }
    };
    // Five reads at intervals of 1.5 s, and the time for introductions.
    let is_complete = timeout(Duration::from_secs(20), complete).await.is_ok();
    expect_that!(is_complete, eq(true));
    expect_that!(b.counts.roster_failed.get(), eq(3));
}

/// A frame of `from` with the records of `members`.
fn gossip(from: &Member, members: &[Member]) -> Vec<u8> {
    let record = |member: &Member| {
        Update::Record(Record {
            member: member.clone(),
            boot: 1,
        })
    };
    let frame = Frame {
        head: Head {
            from: from.name.clone(),
            boot: 1,
            incarnation: 1,
            in_force: 0,
            committed: 0,
        },
        body: Body::Gossip,
        updates: members.iter().map(record).collect(),
    };
    encode(&frame).unwrap()
}

/// Guards against a report of a silent member that does not reach membership, so that a lost VM
/// waits for its turn among all others to be probed.
#[gtest]
#[actix_rt::test]
async fn report_leads_to_probe() {
    const OTHERS: usize = 60;
    let a = node("a", Vec::new(), List::default()).await;
    let socket = UdpSocket::bind("127.0.0.9:0").await.unwrap();
    let at = |name: String, control: String| Member {
        control: control.into(),
        ..support::member(&name)
    };
    let x = at("x".into(), socket.local_addr().unwrap().to_string());
    let mut all = vec![x.clone()];
    // Nothing listens there.
    all.extend((1..=OTHERS).map(|port| at(format!("o{port}"), format!("127.0.0.8:{port}"))));
    for some in all.chunks(5) {
        socket.send_to(&gossip(&x, some), a.control).await.unwrap();
    }
    wait(|| usable(&a) == OTHERS + 2).await;
    a.view.read().reporter.silent([127, 0, 0, 9].into());
    let probed = async {
        let mut buffer = [0; 1_500];
        loop {
            let (len, _) = socket.recv_from(&mut buffer).await.unwrap();
            if let Ok(frame) = decode(&buffer[..len])
                && matches!(&frame.body, Body::Ping { to, .. } if *to == x.name)
            {
                return;
            }
        }
    };
    expect_that!(
        timeout(Duration::from_secs(3), probed).await.is_ok(),
        eq(true)
    );
}
