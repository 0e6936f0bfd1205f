//! Endpoints that speak for themselves: a listener beside the stand-in's replicas.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use standin::soak::fleet::Harness;
use standin::soak::{Faults, Plan};
use tokio::net::TcpListener;

/// Slots of an endpoint that a test answers for, if the test does not need more.
#[allow(dead_code, reason = "each test file uses a part of it")]
pub const SLOTS: usize = 4;

/// One node before two sound replicas, without faults.
pub const fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        length: Duration::ZERO,
        nodes: 1,
        replicas: 2,
        versions: 1,
        killers: 0,
        crash_parts: 0,
        faults: Faults::None,
    }
}

/// Registers an endpoint that a test answers for.
#[allow(dead_code, reason = "each test file uses a part of it")]
pub async fn listen(harness: &Harness, id: &str, slots: usize) -> TcpListener {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    register(harness, id, listener.local_addr().unwrap(), slots);
    listener
}

/// Writes the entry of an endpoint that a test answers for.
pub fn register(harness: &Harness, id: &str, address: SocketAddr, slots: usize) {
    let row = json!({"service": "llm", "address": address, "zone": "z0",
                     "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1});
    harness.store.put("servers", id, &row);
}
