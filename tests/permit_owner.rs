//! Selection of the member that owns a pool, and failover between members.

#[path = "support/member.rs"]
mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::{Catalog, Endpoint};
use auburnspoke::clock::{Clock, Time};
use auburnspoke::limit::Tolerance;
use auburnspoke::member::report::Reporter;
use auburnspoke::member::{Member, View};
use auburnspoke::name::Name;
use auburnspoke::permit::owner::Owners;
use auburnspoke::permit::{self, Broker, Claim};
use auburnspoke::pool;
use auburnspoke::pool::message::{Class, Requirements};
use auburnspoke::quarantine::Fingerprint;
use auburnspoke::snapshot::Cell;
use googletest::prelude::*;

const PORT: u16 = 7_720;

fn member(at: u8, power: u16) -> Member {
    Member {
        control: format!("10.0.0.{at}:70").into(),
        power,
        ..support::member(&format!("n{at}"))
    }
}

fn view(members: &[u8]) -> View {
    let members: Vec<Member> = members.iter().map(|at| member(*at, 500)).collect();
    View::from(members)
}

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// The owner of a pool is paused. It must be skipped, so that callers do not wait for
/// it, and used again as soon as it answers.
#[gtest]
fn owner_silent() {
    let pool = Name::from("s");
    let mut owners = Owners::new(Arc::new(Cell::new(view(&[1, 2, 3]))), PORT);
    let first = owners.owner(&pool).unwrap();
    owners.mark_silent(at(0), first);
    expect_that!(owners.owner(&pool), not(some(eq(first))));
    expect_that!(owners.mark_alive(first), eq(true));
    expect_that!(owners.mark_alive(first), eq(false));
    expect_that!(owners.owner(&pool), some(eq(first)));
}

/// Membership must be told once that a member is silent, or callers are sent to a lost VM until
/// its turn to be probed comes; and not for each request that finds it silent.
#[gtest]
fn owner_silent_is_reported() {
    let pool = Name::from("s");
    let (reporter, mut reports) = Reporter::channel();
    let view = View {
        reporter,
        ..view(&[1, 2, 3])
    };
    let mut owners = Owners::new(Arc::new(Cell::new(view)), PORT);
    let first = owners.owner(&pool).unwrap();
    owners.mark_silent(at(0), first);
    owners.mark_silent(at(10), first);
    expect_that!(reports.try_recv().ok(), some(eq(first.ip())));
    expect_that!(reports.try_recv().ok(), none());
    owners.mark_alive(first);
    owners.mark_silent(at(20), first);
    expect_that!(reports.try_recv().ok(), some(eq(first.ip())));
}

/// The coordinator of a limit must know whether it replaces another one.
#[gtest]
fn choose_passed_over() {
    let pool = Name::from("s");
    let mut owners = Owners::new(Arc::new(Cell::new(view(&[1, 2, 3]))), PORT);
    let first = owners.choose(&pool).unwrap();
    expect_that!(first.passed_over, eq(false));
    owners.mark_silent(at(0), first.owner);
    let next = owners.choose(&pool).unwrap();
    expect_that!(next.passed_over, eq(true));
    owners.mark_silent(at(0), next.owner);
    expect_that!(owners.choose(&pool).unwrap().passed_over, eq(true));
}

/// The view does not show when a silent member is back, so it is probed. A request sent
/// there instead would make its caller wait. Without probes, two members would continue
/// to own the same pool.
#[gtest]
fn probes_silent_only() {
    let pool = Name::from("s");
    let mut owners = Owners::new(Arc::new(Cell::new(view(&[1, 2, 3]))), PORT);
    let first = owners.owner(&pool).unwrap();
    owners.mark_silent(at(0), first);
    expect_that!(owners.probes(at(100)), is_empty());
    expect_that!(owners.probes(at(250)), elements_are![eq(&first)]);
    expect_that!(owners.probes(at(300)), is_empty());
    expect_that!(owners.probes(at(500)), elements_are![eq(&first)]);
    expect_that!(owners.owner(&pool), not(some(eq(first))));
    owners.mark_alive(first);
    expect_that!(owners.probes(at(800)), is_empty());
    expect_that!(owners.owner(&pool), some(eq(first)));
    // A member that has left is not probed forever.
    owners.mark_silent(at(900), first);
    expect_that!(owners.probes(at(11_000)), is_empty());
}

/// As the owner of a pool, a weak VM among strong ones would be a bottleneck.
#[gtest]
fn owner_strong() {
    let pool = Name::from("s");
    let members = vec![member(1, 120), member(2, 500), member(3, 120)];
    let mut owners = Owners::new(Arc::new(Cell::new(View::from(members))), PORT);
    let strong = SocketAddr::from(([10, 0, 0, 2], PORT));
    expect_that!(owners.owner(&pool), some(eq(strong)));
}

/// Binds the socket of a member. Unless it is served, requests to it go unanswered.
fn member_socket(at: u8, port: u16) -> tokio::net::UdpSocket {
    let socket = std::net::UdpSocket::bind(SocketAddr::from(([127, 0, 0, at], port))).unwrap();
    socket.set_nonblocking(true).unwrap();
    tokio::net::UdpSocket::from_std(socket).unwrap()
}

fn local_member(at: u8) -> Member {
    Member {
        control: format!("127.0.0.{at}:70").into(),
        power: 500,
        ..support::member(&format!("n{at}"))
    }
}

fn claim() -> Claim {
    Claim {
        service: "s".into(),
        requirements: Requirements {
            class: Class::Online,
            priority: 0,
            zone: "z".into(),
            max_wait: Duration::from_millis(300),
            due: Duration::from_secs(5),
            prefix: 0,
            organisation: 0,
            request: Fingerprint(0),
            suspect: false,
            avoid: Vec::new(),
            software: None,
        },
    }
}

fn broker(
    boot: u64,
    clock: Clock,
    port: u16,
    catalog: Arc<Cell<Catalog>>,
    view: Arc<Cell<View>>,
) -> Rc<Broker> {
    let broker = Broker::new(permit::Setup {
        socket: member_socket(8, 0),
        pool_port: port,
        boot,
        clock,
        catalog,
        view,
        tolerance: Tolerance::default(),
    });
    actix_rt::spawn(Rc::clone(&broker).run());
    broker
}

fn endpoint(at: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{at}").into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 8,
        ready: true,
        incarnation: 0,
        software: None,
    }
}

/// The owner of a pool is lost while many requests wait for it. If each of them skipped
/// the next member because of the first one's silence, the requests would spread over all
/// members. Several members would then own the same pool or coordinate the same limit,
/// and an organisation that floods could exceed its limit several times over.
#[gtest]
fn acquire_many_silent_owner() {
    let port = std::net::UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .unwrap()
        .port();
    let members: Vec<Member> = (1..=3).map(local_member).collect();
    let view = Arc::new(Cell::new(View::from(members)));
    let mut owners = Owners::new(Arc::clone(&view), port);
    let pool = Name::from("s");
    let first = owners.owner(&pool).unwrap();
    owners.mark_silent(at(0), first);
    let second = owners.owner(&pool).unwrap();
    owners.mark_silent(at(0), second);
    let third = owners.owner(&pool).unwrap();
    let number = |owner: SocketAddr| match owner {
        SocketAddr::V4(owner) => owner.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    };
    actix_rt::System::new().block_on(async {
        let clock = Clock::start();
        let catalog = Arc::new(Cell::new(Catalog::default()));
        // The first one receives requests but does not answer.
        let _lost = member_socket(number(first), port);
        actix_rt::spawn(pool::serve::serve(pool::serve::Setup {
            socket: member_socket(number(second), port),
            clock,
            catalog: Arc::clone(&catalog),
            view: Arc::clone(&view),
            own: [127, 0, 0, 9].into(),
            tolerance: Tolerance::default(),
        }));
        let last = member_socket(number(third), port);
        let broker = broker(1, clock, port, catalog, view);
        for _ in 0..20 {
            let broker = Rc::clone(&broker);
            actix_rt::spawn(async move {
                // There is no endpoint, so the pool of the second member refuses.
                let _ = broker.acquire(claim()).await;
            });
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
        let mut buffer = [0; 1_500];
        let received = last.try_recv_from(&mut buffer);
        expect_that!(received.is_ok(), eq(false));
    });
}

/// Guards against nodes that all send to the same endpoint while no pool answers, and overload it.
#[gtest]
fn acquire_alone_spreads() {
    const ENDPOINTS: usize = 16;
    let catalog = Catalog {
        config: None,
        endpoints: (0..ENDPOINTS).map(endpoint).collect(),
        ..Catalog::default()
    };
    let catalog = Arc::new(Cell::new(catalog));
    let view = Arc::new(Cell::new(view(&[])));
    actix_rt::System::new().block_on(async {
        let clock = Clock::start();
        let mut chosen = BTreeSet::new();
        for node in 0..24 {
            // Boot numbers are random and have 32 bits.
            let boot = 0x5149_6893 ^ (node * 0x0b1d_4c67);
            let broker = broker(boot, clock, PORT, Arc::clone(&catalog), Arc::clone(&view));
            let permit = broker.acquire(claim()).await.unwrap();
            chosen.insert(permit.endpoint.id.clone());
        }
        expect_that!(chosen.len(), ge(ENDPOINTS / 2));
    });
}
