//! Which member keeps a pool, as a node that asks it sees it.

#[path = "support/member.rs"]
mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::Catalog;
use auburnspoke::clock::{Clock, Time};
use auburnspoke::limit::Tolerance;
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
    View {
        members: members.iter().map(|at| member(*at, 500)).collect(),
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// The node that keeps a pool is frozen. Asked again and again, each caller would
/// wait; it is passed over for a while, and an answer brings it back at once.
#[gtest]
fn owner_silent() {
    let pool = Name::from("s");
    let mut owners = Owners::new(Arc::new(Cell::new(view(&[1, 2, 3]))), PORT);
    let first = owners.owner(&pool).unwrap();
    owners.silent(at(0), first);
    expect_that!(owners.owner(&pool), not(some(eq(first))));
    owners.heard(first);
    expect_that!(owners.owner(&pool), some(eq(first)));
}

/// A silent member may be back at any time, and the view says nothing of it. Were a
/// request tried there, its caller would wait; were it not asked at all, two members
/// would go on keeping one pool.
#[gtest]
fn probes_silent_only() {
    let pool = Name::from("s");
    let mut owners = Owners::new(Arc::new(Cell::new(view(&[1, 2, 3]))), PORT);
    let first = owners.owner(&pool).unwrap();
    owners.silent(at(0), first);
    expect_that!(owners.probes(at(100)), is_empty());
    expect_that!(owners.probes(at(250)), elements_are![eq(&first)]);
    expect_that!(owners.probes(at(300)), is_empty());
    expect_that!(owners.probes(at(500)), elements_are![eq(&first)]);
    expect_that!(owners.owner(&pool), not(some(eq(first))));
    owners.heard(first);
    expect_that!(owners.probes(at(800)), is_empty());
    expect_that!(owners.owner(&pool), some(eq(first)));
    // One that left is not asked for good.
    owners.silent(at(900), first);
    expect_that!(owners.probes(at(11_000)), is_empty());
}

/// A weak VM among strong ones would be the bottleneck of every request.
#[gtest]
fn owner_strong() {
    let pool = Name::from("s");
    let members = vec![member(1, 120), member(2, 500), member(3, 120)];
    let mut owners = Owners::new(Arc::new(Cell::new(View { members })), PORT);
    let strong = SocketAddr::from(([10, 0, 0, 2], PORT));
    expect_that!(owners.owner(&pool), some(eq(strong)));
}

/// Takes the questions that come to a member and answers none.
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

fn want() -> Claim {
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
        },
    }
}

/// The node that keeps a pool is lost, and many requests wait for it. Were the next
/// member passed over for the first one's silence, as often as there are requests,
/// they would spread over all members: several would keep one pool or count for one
/// limit, and callers of a flooding organisation would get a multiple of it.
#[gtest]
fn acquire_many_at_a_silent_owner() {
    let port = std::net::UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .unwrap()
        .port();
    let members = View {
        members: (1..=3).map(local_member).collect(),
    };
    let view = Arc::new(Cell::new(members));
    let mut owners = Owners::new(Arc::clone(&view), port);
    let pool = Name::from("s");
    let first = owners.owner(&pool).unwrap();
    owners.silent(at(0), first);
    let second = owners.owner(&pool).unwrap();
    owners.silent(at(0), second);
    let third = owners.owner(&pool).unwrap();
    let number = |owner: SocketAddr| match owner {
        SocketAddr::V4(owner) => owner.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    };
    actix_rt::System::new().block_on(async {
        let clock = Clock::start();
        let catalog = Arc::new(Cell::new(Catalog::default()));
        // The first one takes questions and is silent.
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
        let desk = Broker::new(permit::Setup {
            socket: member_socket(8, 0),
            pool_port: port,
            boot: 1,
            clock,
            catalog,
            view,
            tolerance: Tolerance::default(),
        });
        actix_rt::spawn(Rc::clone(&desk).run());
        for _ in 0..20 {
            let desk = Rc::clone(&desk);
            actix_rt::spawn(async move {
                // There is no endpoint: the pool of the second member refuses.
                let _ = desk.acquire(want()).await;
            });
        }
        tokio::time::sleep(Duration::from_millis(600)).await;
        let mut buffer = [0; 1_500];
        let asked = last.try_recv_from(&mut buffer);
        expect_that!(asked.is_ok(), eq(false));
    });
}
