//! Stand-ins for the users' platform: its store, its replicas, and a proxy that
//! harms connections. They speak the wire format of `src/platform` as servers.

pub mod proxy;
pub mod replica;
pub mod rows;
pub mod store;
