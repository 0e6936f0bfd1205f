//! Choice of the zone whose pool a gateway tries first, over real datagrams.

#[path = "support/member.rs"]
mod support;

use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::{Catalog, Endpoint};
use auburnspoke::clock::Clock;
use auburnspoke::limit::Tolerance;
use auburnspoke::member::View;
use auburnspoke::permit::{self, Broker, Claim, Permit};
use auburnspoke::pool;
use auburnspoke::pool::message::{Class, Requirements};
use auburnspoke::quarantine::Fingerprint;
use auburnspoke::snapshot::Cell;
use googletest::prelude::*;

/// Endpoints per zone and slots per endpoint, enough that each zone has its own pool.
const ENDPOINTS: usize = 3;
const SLOTS: u32 = 40;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];

fn local() -> tokio::net::UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_nonblocking(true).unwrap();
    tokio::net::UdpSocket::from_std(socket).unwrap()
}

fn endpoint(zone: &str, at: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{zone}-{at}").into(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: zone.into(),
        slots: SLOTS,
        ready: true,
        incarnation: 0,
        software: None,
    }
}

fn catalog() -> Catalog {
    let all = ZONES
        .iter()
        .flat_map(|zone| (0..ENDPOINTS).map(|at| endpoint(zone, at)));
    Catalog {
        config: None,
        endpoints: all.collect(),
        ..Catalog::default()
    }
}

fn view() -> View {
    View::from(vec![support::member("n0")])
}

/// Starts the pools of all zones, and returns the broker of a gateway in `z0`.
fn broker() -> Rc<Broker> {
    broker_with(catalog())
}

/// Does the same with a gateway whose catalogue differs from that of the pools.
fn broker_with(known: Catalog) -> Rc<Broker> {
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
    let broker = Broker::new(permit::Setup {
        socket: local(),
        pool_port: port,
        boot: 1,
        clock,
        catalog: Arc::new(Cell::new(known)),
        view,
        tolerance: Tolerance::default(),
    });
    actix_rt::spawn(Rc::clone(&broker).run());
    broker
}

async fn acquire(broker: &Rc<Broker>) -> Option<Permit> {
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
        software: None,
    };
    let claim = Claim {
        service: "llm".into(),
        requirements,
    };
    broker.acquire(claim).await.ok()
}

#[gtest]
fn acquire_own_zone_first() {
    // Answers from another zone incur traffic charges and higher latency.
    actix_rt::System::new().block_on(async {
        let broker = broker();
        let mut held = Vec::new();
        for _ in 0..60 {
            held.push(acquire(&broker).await.unwrap());
        }
        let in_own_zone = |permit: &&Permit| *permit.endpoint.zone == *"z0";
        expect_that!(held.iter().filter(in_own_zone).count(), eq(60));
    });
}

#[gtest]
fn acquire_own_zone_full() {
    // A peak fills the slots of one zone. Further requests must not wait there until
    // their deadline while other zones have free slots.
    actix_rt::System::new().block_on(async {
        let broker = broker();
        let mut held = Vec::new();
        let own = ENDPOINTS * SLOTS as usize;
        for _ in 0..own + 20 {
            held.push(acquire(&broker).await.unwrap());
        }
        let in_other_zone = |permit: &&Permit| *permit.endpoint.zone != *"z0";
        expect_that!(held.iter().filter(in_other_zone).count(), eq(20));
    });
}

/// Guards against a node that refuses the endpoints it is granted, because it has read only the
/// first rows of their table.
#[gtest]
fn acquire_table_not_read_yet() {
    actix_rt::System::new().block_on(async {
        let first_rows = Catalog {
            endpoints: ZONES.iter().map(|zone| endpoint(zone, 0)).collect(),
            ..Catalog::default()
        };
        let broker = broker_with(first_rows);
        let mut held = Vec::new();
        for _ in 0..3 * SLOTS {
            held.push(acquire(&broker).await.unwrap());
        }
        let is_listed = |permit: &&Permit| permit.endpoint.id.ends_with("-0");
        expect_that!(held.iter().filter(is_listed).count(), lt(60));
    });
}
