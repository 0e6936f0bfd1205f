//! A node's settings in a deployment whose platform writes the settings file.
//! [`crate::platform::settings`] reads that file.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::limit::Tolerance;
use crate::name::Name;

/// Everything that one process reads from its settings file at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The node's name; a VM that replaces another one has a different name.
    pub node: Name,
    /// The node's availability zone.
    pub zone: Name,
    /// The node's region.
    pub region: Name,
    /// The region of each availability zone.
    pub zones: BTreeMap<Name, Name>,
    /// The process's share of the VM's processor, in thousandths of a core.
    pub cpu_millicores: u16,
    /// Where the node listens.
    pub listen: Listen,
    /// Control addresses of some other nodes, which may be down.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: Store,
    /// Bounds that the deployment sets on the system's behaviour.
    pub bounds: Bounds,
}

/// The addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// The platform's readiness checks.
    pub readiness: SocketAddr,
    /// The directory, from which callers resolve the addresses to use.
    pub directory: SocketAddr,
    /// Datagrams about membership.
    pub control: SocketAddr,
    /// Datagrams about admission; the same port on every node.
    pub pool: SocketAddr,
    /// Connections from other nodes; the same port on every node.
    pub link: SocketAddr,
    /// Answers to this node's own admission requests.
    pub broker: SocketAddr,
}

impl Listen {
    /// Returns the IP address that all addresses share.
    pub fn ip(&self) -> IpAddr {
        self.callers.ip()
    }
}

/// The platform's store and its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Store {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Maximum size of a row's value, in bytes.
    pub max_row_bytes: usize,
}

/// Bounds on the system's behaviour.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and the kill of the process.
    pub grace: Duration,
    /// How long after its submission a batch job's results stay readable.
    pub result_retention: Duration,
    /// Maximum time for which callers may cache an answer of the directory.
    pub directory_ttl: Duration,
    /// Time after which no node accepts a revoked key any more, not even a partitioned one.
    /// None where only reachable nodes have to apply a revocation.
    pub max_revocation_delay: Option<Duration>,
    /// How far all nodes together may exceed organisations' limits.
    pub tolerance: Tolerance,
}
