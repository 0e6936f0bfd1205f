//! The settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{Result, WrapErr as _, bail, eyre};
use serde::Deserialize;

use crate::name::Name;
use crate::site::{Bounds, Listen, Site, Store};

/// The environment variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "AUBURNSPOKE_BOOT";
/// Ports that a node takes beside those of its listeners: two for datagrams of
/// admission, one for links.
const OWN_PORTS: u16 = 3;

#[derive(Deserialize)]
struct File {
    node: Name,
    zone: Name,
    region: Name,
    #[serde(default)]
    zones: BTreeMap<Name, Name>,
    /// First and last of the ports that are free for traffic between nodes.
    port_range: (u16, u16),
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    listen: Addresses,
    limits: Limits,
    bounds: Figures,
    platform: Platform,
}

#[derive(Deserialize)]
struct Addresses {
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    directory: SocketAddr,
}

#[derive(Deserialize)]
struct Limits {
    /// The part of a core that the process gets.
    cpu_share: f64,
}

#[derive(Deserialize)]
struct Figures {
    #[serde(rename = "grace_s")]
    grace: f64,
    /// For how long results are kept.
    #[serde(rename = "status_s", default = "default_results")]
    results: f64,
    #[serde(rename = "ttl_max_s", default = "default_ttl")]
    directory_ttl: f64,
}

/// Deployments without batch jobs don't say for how long results are kept.
fn default_results() -> f64 {
    120.0
}

/// Deployments that set no bound leave it to the directory.
fn default_ttl() -> f64 {
    5.0
}

#[derive(Deserialize)]
struct Platform {
    address: SocketAddr,
    row_bytes: usize,
}

/// The path of the settings file, from the environment.
///
/// # Errors
/// When the variable is not set.
pub fn path() -> Result<PathBuf> {
    std::env::var_os(PATH_VARIABLE)
        .map(PathBuf::from)
        .ok_or_else(|| eyre!("{PATH_VARIABLE} is not set; set it to the path of the settings file"))
}

/// Reads the settings file.
///
/// # Errors
/// When it can't be read, a field is missing, or a figure is impossible.
pub fn read(path: &Path) -> Result<Site> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("can't read the settings file {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("the settings file {} is wrong", path.display()))
}

/// Reads settings out of text; fields that are not known are ignored, because
/// the platform adds some at any time.
///
/// # Errors
/// As for [`read`].
pub fn parse(text: &str) -> Result<Site> {
    let file: File = toml::from_str(text)?;
    let (first, last) = file.port_range;
    if last < first || last - first + 1 < OWN_PORTS {
        bail!("port_range {first} to {last} is too narrow; a node needs {OWN_PORTS} ports");
    }
    let ip = file.listen.front.ip();
    Ok(Site {
        node: file.node,
        zone: file.zone,
        region: file.region,
        power: thousandths(file.limits.cpu_share)?,
        zones: file.zones,
        listen: Listen {
            callers: file.listen.front,
            readiness: file.listen.ready,
            directory: file.listen.directory,
            control: file.listen.control,
            pool: SocketAddr::new(ip, first),
            link: SocketAddr::new(ip, first + 1),
            desk: SocketAddr::new(ip, first + 2),
        },
        seeds: file.seeds,
        store: Store {
            address: file.platform.address,
            row_bytes: file.platform.row_bytes,
        },
        bounds: Bounds {
            grace: seconds("bounds.grace_s", file.bounds.grace)?,
            results: seconds("bounds.status_s", file.bounds.results)?,
            directory_ttl: seconds("bounds.ttl_max_s", file.bounds.directory_ttl)?,
        },
    })
}

fn seconds(key: &str, value: f64) -> Result<Duration> {
    Duration::try_from_secs_f64(value)
        .map_err(|_| eyre!("{key} = {value} is no length of time; write seconds from 0 up"))
}

fn thousandths(share: f64) -> Result<u16> {
    if !(0.0..=60.0).contains(&share) {
        bail!("limits.cpu_share = {share} is no part of a core; write a number above 0");
    }
    // Within the bounds just checked.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let thousandths = (share * 1_000.0) as u16;
    Ok(thousandths)
}
