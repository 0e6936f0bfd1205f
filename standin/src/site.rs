//! Stand-ins for the users' platform: its store, its replicas, and a proxy that injects connection
//! faults. They implement the server side of the wire format of `src/platform`.

pub mod proxy;
pub mod replica;
pub mod rows;
pub mod script;
pub mod socket;
pub mod store;
