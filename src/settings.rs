//! The settings file of one node, checked once and immutable after.

use std::net::SocketAddr;
use std::path::Path;

use eyre::{Result, WrapErr};
use serde::Deserialize;

use crate::name::Name;

/// Everything a node learns from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who this node is.
    pub node: Node,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform is.
    pub platform: Platform,
    /// How many threads carry requests; 2 by default.
    #[serde(default = "default_threads")]
    pub traffic_threads: usize,
}

/// Who a node is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// Where a node listens. The addresses are also what others are told.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers and operators.
    pub callers: SocketAddr,
    /// For requests from other nodes.
    pub link: SocketAddr,
    /// For control messages from other nodes.
    pub control: SocketAddr,
}

/// Where the platform's services are, as ip:port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Table, object store, list of VMs and weight store.
    pub address: SocketAddr,
}

const fn default_threads() -> usize {
    2
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Names the file, the place in it and what to write instead.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("can't read {}; does it exist?", path.display()))?;
        toml::from_str(&text).wrap_err_with(|| format!("{} can't be used", path.display()))
    }
}
