//! Which zone's pool a gateway asks, over real datagrams.

#[path = "support/member.rs"]
mod support;

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::{Catalog, Endpoint};
use auburnspoke::clock::Clock;
use auburnspoke::limit::Tolerance;
use auburnspoke::member::View;
use auburnspoke::name::Name;
use auburnspoke::permit::{self, Broker, Claim, Permit};
use auburnspoke::pool;
use auburnspoke::pool::message::{Class, Requirements};
use auburnspoke::quarantine::Fingerprint;
use auburnspoke::snapshot::Cell;
use googletest::prelude::*;

/// Endpoints of each zone, and their slots: enough that each zone has a pool.
const ENDPOINTS: usize = 3;
const SLOTS: u32 = 40;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];

fn local() -> tokio::net::UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    tokio::net::UdpSocket::from_std(socket).unwrap()
}

fn endpoint(zone: &str, at: usize) -> (Name, Arc<Endpoint>) {
    let id: Name = format!("i-{zone}-{at}").into();
    let endpoint = Endpoint {
        id: id.clone(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        slots: SLOTS,
        ready: true,
        incarnation: 0,
    };
    (id, Arc::new(endpoint))
}

fn catalog() -> Catalog {
    let all = ZONES
        .iter()
        .flat_map(|zone| (0..ENDPOINTS).map(|at| endpoint(zone, at)));
    Catalog {
        config: None,
        endpoints: Arc::new(all.collect::<BTreeMap<_, _>>()),
        ..Catalog::default()
    }
}

fn view() -> View {
    View {
        members: vec![support::member("n0")],
    }
}

/// A gateway in `z0`, and the pools of all zones.
fn desk() -> Rc<Broker> {
    let clock = Clock::start();
    let catalog = Arc::new(Cell::new(catalog()));
    let pools = local();
    let port = pools.local_addr().unwrap().port();
    let view = Arc::new(Cell::new(view()));
    actix_rt::spawn(pool::serve::serve(pool::serve::Setup {
        socket: pools,
        clock,
        catalog: Arc::clone(&catalog),
        view: Arc::clone(&view),
        own: [127, 0, 0, 1].into(),
        tolerance: Tolerance::default(),
    }));
    let desk = Broker::new(permit::Setup {
        socket: local(),
        pool_port: port,
        boot: 1,
        clock,
        catalog,
        view,
        tolerance: Tolerance::default(),
    });
    actix_rt::spawn(Rc::clone(&desk).run());
    desk
}

async fn acquire(desk: &Rc<Broker>) -> Option<Permit> {
    let requirements = Requirements {
        class: Class::Online,
        priority: 0,
        zone: "z0".into(),
        max_wait: Duration::from_millis(230),
        due: Duration::from_secs(5),
        prefix: 0,
        organisation: 0,
        request: Fingerprint(0),
        suspect: false,
        avoid: Vec::new(),
    };
    let want = Claim {
        service: "llm".into(),
        requirements,
    };
    desk.acquire(want).await.ok()
}

#[gtest]
fn acquire_own_zone_first() {
    // Each answer that comes from another zone is paid for by the byte, and its
    // events come later.
    actix_rt::System::new().block_on(async {
        let desk = desk();
        let mut held = Vec::new();
        for _ in 0..60 {
            held.push(acquire(&desk).await.unwrap());
        }
        let near = |permit: &&Permit| *permit.endpoint.zone == *"z0";
        expect_that!(held.iter().filter(near).count(), eq(60));
    });
}

#[gtest]
fn acquire_own_zone_full() {
    // A peak fills the slots of one zone. Who comes next must not wait there
    // until it is too late, while other zones have room.
    actix_rt::System::new().block_on(async {
        let desk = desk();
        let mut held = Vec::new();
        let own = ENDPOINTS * SLOTS as usize;
        for _ in 0..own + 20 {
            held.push(acquire(&desk).await.unwrap());
        }
        let far = |permit: &&Permit| *permit.endpoint.zone != *"z0";
        expect_that!(held.iter().filter(far).count(), eq(20));
    });
}
