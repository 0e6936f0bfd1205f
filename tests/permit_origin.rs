//! Which members know what began a stream, and what a gateway learns from them.

#[path = "support/member.rs"]
mod support;

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use auburnspoke::catalog::Catalog;
use auburnspoke::clock::Clock;
use auburnspoke::limit::Tolerance;
use auburnspoke::member::{Member, View};
use auburnspoke::origin::{Key, Origin};
use auburnspoke::permit::owner::Owners;
use auburnspoke::permit::{self, Broker};
use auburnspoke::pool;
use auburnspoke::snapshot::Cell;
use googletest::prelude::*;
use tokio::time::sleep;

const PORT: u16 = 7_720;
const ZONES: usize = 3;
/// Time for a message to arrive.
const DELAY: Duration = Duration::from_millis(20);

fn member(at: u8) -> Member {
    Member {
        control: format!("10.0.0.{at}:70").into(),
        zone: format!("z{}", usize::from(at) % ZONES).into(),
        ..support::member(&format!("n{at:03}"))
    }
}

fn owners(members: impl Iterator<Item = u8>) -> Owners {
    let view = View::from(members.map(member).collect::<Vec<_>>());
    Owners::new(Arc::new(Cell::new(view)), PORT)
}

fn zone(address: &SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return ZONES;
    };
    usize::from(address.ip().octets()[3]) % ZONES
}

/// Guards against members that are lost together with their zone.
#[gtest]
fn nearest_each_zone() {
    let mut owners = owners(1..=12);
    for point in 0..200 {
        let nearest = owners.nearest(point * (u64::MAX / 200), 3);
        let mut zones: Vec<usize> = nearest.iter().map(zone).collect();
        zones.sort_unstable();
        expect_that!(zones, eq(&[0, 1, 2]), "{point}");
    }
}

/// Guards against a question that reaches none of those that were told, because a member has left or
/// is not known yet: of three that were told at least two are asked.
#[gtest]
fn nearest_views_differ() {
    for missing in 1..=30 {
        let mut teller = owners(1..=30);
        let mut asker = owners((1..=30).filter(|at| *at != missing));
        for point in 0..100 {
            let point = point * (u64::MAX / 100);
            let told = teller.nearest(point, 3);
            let asked = asker.nearest(point, 5);
            let met = told.iter().filter(|it| asked.contains(it)).count();
            expect_that!(met, ge(2), "without {missing}");
        }
    }
}

#[gtest]
fn nearest_few_members() {
    expect_that!(owners(1..=2).nearest(7, 3).len(), eq(2));
    expect_that!(owners(1..=1).nearest(7, 3).len(), eq(1));
    expect_that!(owners(1..1).nearest(7, 3), is_empty());
}

/// Starts `nodes` nodes' pools and returns the brokers of all. Nodes in `silent` never answer.
async fn brokers(nodes: u8, silent: &[u8]) -> Vec<Rc<Broker>> {
    let ip = |at: u8| [127, 0, 78, at];
    let bind = |at: u8, port: u16| {
        let socket = UdpSocket::bind(SocketAddr::from((ip(at), port))).unwrap();
        socket.set_nonblocking(true).unwrap();
        tokio::net::UdpSocket::from_std(socket).unwrap()
    };
    let first = bind(1, 0);
    let port = first.local_addr().unwrap().port();
    let members = (1..=nodes).map(|at| Member {
        control: format!("127.0.78.{at}:70").into(),
        ..member(at)
    });
    let view = Arc::new(Cell::new(View::from(members.collect::<Vec<_>>())));
    let clock = Clock::start();
    let catalog = Arc::new(Cell::new(Catalog::default()));
    let mut first = Some(first);
    let brokers = (1..=nodes).map(|at| {
        let socket = first.take().unwrap_or_else(|| bind(at, port));
        if silent.contains(&at) {
            // Kept open, so that nothing refuses the datagrams.
            std::mem::forget(socket);
        } else {
            actix_rt::spawn(pool::serve::serve(pool::serve::Setup {
                socket,
                clock,
                catalog: Arc::clone(&catalog),
                view: Arc::clone(&view),
                own: ip(at).into(),
                tolerance: Tolerance::default(),
            }));
        }
        let broker = Broker::new(permit::Setup {
            socket: bind(at, 0),
            pool_port: port,
            boot: u64::from(at),
            clock,
            catalog: Arc::clone(&catalog),
            view: Arc::clone(&view),
            tolerance: Tolerance::default(),
        });
        actix_rt::spawn(Rc::clone(&broker).run());
        broker
    });
    let brokers = brokers.collect();
    // A socket can send once the runtime has looked at it.
    sleep(DELAY).await;
    brokers
}

fn origin() -> Origin {
    Origin {
        service: "s".into(),
        software: "v1".into(),
    }
}

/// Guards against a stream that only the node that served it knows.
#[gtest]
fn find_origin_any_node() {
    actix_rt::System::new().block_on(async {
        let brokers = brokers(8, &[]).await;
        for (at, teller) in brokers.iter().enumerate() {
            let key = Key(at as u64 * (u64::MAX / 8));
            teller.tell_origin(key, &origin());
            sleep(DELAY).await;
            for asker in &brokers {
                expect_that!(asker.find_origin(key).await, some(eq(&origin())));
            }
        }
    });
}

/// Guards against a guess, or a long wait, where nobody knows; also while some don't answer.
#[gtest]
fn find_origin_unknown() {
    for silent in [&[][..], &[2, 5], &[2, 3, 4, 5, 6, 7, 8]] {
        actix_rt::System::new().block_on(async {
            let brokers = brokers(8, silent).await;
            let began = Instant::now();
            expect_that!(brokers[0].find_origin(Key(9)).await, none());
            expect_that!(began.elapsed(), lt(Duration::from_millis(500)));
        });
    }
}

/// Guards against a stream that can't be resumed because some of those that know are lost.
#[gtest]
fn find_origin_some_silent() {
    actix_rt::System::new().block_on(async {
        let brokers = brokers(8, &[2, 5]).await;
        for at in 0..40 {
            let key = Key(at * (u64::MAX / 40));
            brokers[0].tell_origin(key, &origin());
            sleep(DELAY).await;
            expect_that!(brokers[2].find_origin(key).await, some(eq(&origin())));
        }
    });
}
