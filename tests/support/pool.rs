//! A pool and its endpoints for tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnspoke::catalog::Endpoint;
use auburnspoke::clock::Time;
use auburnspoke::pool::message::{Class, Requirements};
use auburnspoke::pool::{Key, Pool};
use auburnspoke::quarantine::Fingerprint;

/// Slots of each endpoint.
pub const SLOTS: u32 = 8;

/// Returns an endpoint; endpoints are spread over three zones in turn.
pub fn endpoint(at: usize) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        id: format!("e{at}").into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: ["a", "b", "c"][at % 3].into(),
        slots: SLOTS,
        ready: true,
        incarnation: 0,
        software: None,
    })
}

/// Returns the key of a request of the only gateway.
pub fn key(seq: u64) -> Key {
    let gateway = SocketAddr::from(([127, 0, 0, 1], 7));
    Key { gateway, seq }
}

/// Returns the requirements of a request from zone `a` that waits for at most 230 ms.
pub fn needs(class: Class, due_ms: u64) -> Requirements {
    Requirements {
        class,
        priority: 0,
        zone: "a".into(),
        max_wait: Duration::from_millis(230),
        due: Duration::from_millis(due_ms),
        prefix: 0,
        organisation: 0,
        request: Fingerprint(0),
        suspect: false,
        avoid: Vec::new(),
        software: None,
    }
}

/// Returns a pool with the given number of endpoints.
pub fn pool(endpoints: usize) -> Pool {
    let mut pool = Pool::default();
    let all: Vec<_> = (0..endpoints).map(endpoint).collect();
    pool.set_endpoints(all.iter());
    pool
}

/// Returns the time `millis` after the start of the test.
pub fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}
