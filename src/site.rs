//! What a node is told of its place in a deployment whose platform writes the
//! settings file. [`crate::platform::settings`] reads that file.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::limit::Tolerance;
use crate::name::Name;

/// Everything that one process learns when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// The node's name; a VM that takes another's place has another name.
    pub node: Name,
    /// The node's availability zone.
    pub zone: Name,
    /// The node's region.
    pub region: Name,
    /// The region of each availability zone.
    pub zones: BTreeMap<Name, Name>,
    /// The VM's processor, in thousandths of a core.
    pub cpu_millicores: u16,
    /// Where the node listens.
    pub listen: Listen,
    /// Control addresses of some nodes, which may be down.
    pub seeds: Vec<SocketAddr>,
    /// The store of the platform.
    pub store: Store,
    /// Bounds that the deployment sets on the system's behaviour.
    pub bounds: Bounds,
}

/// Where a node listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the platform's readiness checks.
    pub readiness: SocketAddr,
    /// For callers who ask which addresses to use.
    pub directory: SocketAddr,
    /// For datagrams about membership.
    pub control: SocketAddr,
    /// For datagrams about admission; the same port on every node.
    pub pool: SocketAddr,
    /// For connections of other nodes; the same port on every node.
    pub link: SocketAddr,
    /// For the answers to this node's own questions about admission.
    pub broker: SocketAddr,
}

impl Listen {
    /// The IP number that all addresses share.
    pub fn ip(&self) -> IpAddr {
        self.callers.ip()
    }
}

/// The platform's store and its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Largest value of a row, in bytes.
    pub row_bytes: usize,
}

/// Bounds on the system's behaviour.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// From SIGTERM until the process is killed.
    pub grace: Duration,
    /// For how long after its submission a batch job's results stay readable.
    pub result_retention: Duration,
    /// Longest time that callers may keep an answer of the directory.
    pub directory_ttl: Duration,
    /// Within which a revoked key is let through by no node, not even by one that
    /// can't be reached; none where only nodes that can be reached must heed it.
    pub max_revocation_delay: Option<Duration>,
    /// How exactly all nodes together keep organisations' limits.
    pub tolerance: Tolerance,
}
