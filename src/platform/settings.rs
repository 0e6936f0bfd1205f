//! The settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{Result, WrapErr as _, eyre};
use toml::de::{DeTable, DeValue};

use crate::limit::Tolerance;
use crate::name::Name;
use crate::settings::Invalid;
use crate::settings::document::{self, Entry, Faults, Section};
use crate::site::{Bounds, Listen, Site, Store};

/// Environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "AUBURNSPOKE_BOOT";
/// Number of ports that a node takes from the port range: two for admission datagrams and one for
/// links.
const NODE_PORTS: u16 = 3;
/// Maximum number of cores of a VM, and so of the processor share of one process.
const MAX_CORES: f64 = 60.0;
/// Maximum duration in the file, in seconds.
const MAX_DURATION_S: f64 = 86_400.0;
/// How long results stay readable where the file has no value, as without batch jobs.
const RESULT_RETENTION: Duration = Duration::from_secs(120);
/// Default of the maximum delay after which a revocation is in force, in milliseconds.
const REVOCATION_DELAY_MS: f64 = 5_000.0;
/// Maximum tolerated excess of a limit, as a fraction or a number of requests.
const MAX_TOLERANCE: f64 = 1_000_000.0;
/// How long callers may cache a directory's answer where the file sets no bound.
const MAX_DIRECTORY_TTL: Duration = Duration::from_secs(5);

/// Returns the path of the settings file, from the environment.
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
/// When the file can't be read; otherwise [`Invalid`] lists every problem in it.
pub fn read(path: &Path) -> Result<Site> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("can't read the settings file {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("the settings file {} is invalid", path.display()))
}

/// Returns true when a text has the platform's format rather than the product's own: `node` is the
/// node's name here, and a table in the product's own format.
pub fn is_platform_format(text: &str) -> bool {
    let (table, _) = DeTable::parse_recoverable(text);
    let node = table.get_ref().get("node");
    node.is_some_and(|node| !matches!(node.get_ref(), DeValue::Table(_)))
}

/// Parses a settings file. Unknown fields are ignored, because the platform may add some at any
/// time.
///
/// # Errors
/// [`Invalid`] lists every problem, not only the first one.
pub fn parse(text: &str) -> Result<Site, Invalid> {
    document::parse(text, |mut root, faults| site(&mut root, faults))
}

/// Reads every part before it fails, so that one pass reports all problems.
fn site(root: &mut Section<'_>, faults: &mut Faults) -> Option<Site> {
    let node = name(root, "node", "\"edge-1\"", faults);
    let zone = name(root, "zone", "\"zone-1\"", faults);
    let region = name(root, "region", "\"region-1\"", faults);
    let zones = zones(root, faults);
    let ports = root
        .require("port_range", "[7720, 7735]", faults)
        .and_then(|entry| ports(&entry, faults));
    let listen = listen(root.section("listen", faults), ports, faults);
    let seeds = seeds(root, faults);
    let mut limits = root.section("limits", faults);
    let cpu_millicores = limits
        .require("cpu_share", "0.5", faults)
        .and_then(|entry| entry.decimal((0.001, MAX_CORES), faults))
        .map(thousandths);
    let bounds = bounds(root.section("bounds", faults), faults);
    let store = store(root.section("platform", faults), faults);
    Some(Site {
        node: node?,
        zone: zone?,
        region: region?,
        cpu_millicores: cpu_millicores?,
        zones: zones?,
        listen: listen?,
        seeds: seeds?,
        store: store?,
        bounds: bounds?,
    })
}

fn name(
    section: &mut Section<'_>,
    key: &'static str,
    example: &str,
    faults: &mut Faults,
) -> Option<Name> {
    let entry = section.require(key, example, faults)?;
    entry.text(faults).map(Name::from)
}

/// The region of each availability zone.
fn zones(root: &mut Section<'_>, faults: &mut Faults) -> Option<BTreeMap<Name, Name>> {
    let Some(entry) = root.entry("zones") else {
        return Some(BTreeMap::new());
    };
    let DeValue::Table(table) = entry.value else {
        entry.report(faults, "write a table that maps each zone to its region");
        return None;
    };
    let pairs = table.iter().map(|(zone, region)| {
        let region = region.get_ref().as_str()?;
        Some((Name::from(&**zone.get_ref()), Name::from(region)))
    });
    let zones: Option<BTreeMap<Name, Name>> = pairs.collect();
    if zones.is_none() {
        entry.report(faults, "write each zone's region as a string in quotes");
    }
    zones
}

/// Reads the range of ports for traffic between nodes, and returns its first one.
fn ports(entry: &Entry<'_>, faults: &mut Faults) -> Option<u16> {
    let both: Option<Vec<u16>> = entry.value.as_array().and_then(|ports| {
        let port = |value: &DeValue<'_>| value.as_integer()?.as_str().parse().ok();
        ports.iter().map(|value| port(value.get_ref())).collect()
    });
    match both.as_deref() {
        Some([first, last]) if *last >= *first && last - first + 1 >= NODE_PORTS => Some(*first),
        _ => {
            entry.report(
                faults,
                format!("write the first and last of at least {NODE_PORTS} free ports"),
            );
            None
        }
    }
}

fn listen(
    mut section: Section<'_>,
    first_port: Option<u16>,
    faults: &mut Faults,
) -> Option<Listen> {
    let mut address = |key, faults: &mut Faults| {
        let entry = section.require(key, "\"10.0.1.11:7001\"", faults)?;
        entry.address(faults)
    };
    let callers = address("front", faults);
    let readiness = address("ready", faults);
    let control = address("control", faults);
    let directory = address("directory", faults);
    let (callers, first) = (callers?, first_port?);
    let own = |offset| SocketAddr::new(callers.ip(), first + offset);
    Some(Listen {
        callers,
        readiness: readiness?,
        directory: directory?,
        control: control?,
        pool: own(0),
        link: own(1),
        broker: own(2),
    })
}

fn seeds(root: &mut Section<'_>, faults: &mut Faults) -> Option<Vec<SocketAddr>> {
    let Some(entry) = root.entry("seeds") else {
        return Some(Vec::new());
    };
    let seeds: Option<Vec<SocketAddr>> = entry.value.as_array().and_then(|seeds| {
        let seed = |value: &DeValue<'_>| value.as_str()?.parse().ok();
        seeds.iter().map(|value| seed(value.get_ref())).collect()
    });
    if seeds.is_none() {
        entry.report(faults, "write a list of \"ip:port\", which may be empty");
    }
    seeds
}

fn bounds(mut section: Section<'_>, faults: &mut Faults) -> Option<Bounds> {
    let grace = section
        .require("grace_s", "8", faults)
        .and_then(|entry| seconds(&entry, faults));
    let mut optional = |key, usual, faults: &mut Faults| match section.entry(key) {
        Some(entry) => seconds(&entry, faults),
        None => Some(usual),
    };
    let result_retention = optional("status_s", RESULT_RETENTION, faults);
    let directory_ttl = optional("ttl_max_s", MAX_DIRECTORY_TTL, faults);
    let window = optional("quota_window_s", Tolerance::default().window, faults);
    let strict = match section.entry("strict_revoke") {
        Some(entry) => entry.boolean(faults),
        None => Some(false),
    };
    let revoke = match section.entry("revoke_ms") {
        Some(entry) => entry.decimal((0.0, MAX_DURATION_S * 1_000.0), faults),
        None => Some(REVOCATION_DELAY_MS),
    };
    let mut part = |key, faults: &mut Faults| match section.entry(key) {
        Some(entry) => entry.decimal((0.0, MAX_TOLERANCE), faults),
        None => Some(0.0),
    };
    let excess = part("quota_excess", faults);
    let slack = part("quota_slack", faults);
    Some(Bounds {
        grace: grace?,
        result_retention: result_retention?,
        directory_ttl: directory_ttl?,
        max_revocation_delay: strict?.then_some(Duration::from_secs_f64(revoke? / 1_000.0)),
        tolerance: Tolerance {
            window: window?,
            excess: excess?,
            slack: slack?,
        },
    })
}

fn store(mut section: Section<'_>, faults: &mut Faults) -> Option<Store> {
    /// Largest maximum row size that the file may set, in bytes.
    const MAX_ROW_BYTES: usize = 1024 * 1024 * 1024;
    let address = section
        .require("address", "\"10.0.9.1:8169\"", faults)
        .and_then(|entry| entry.address(faults));
    let max_row_bytes = section
        .require("row_bytes", "65536", faults)
        .and_then(|entry| entry.number((1, MAX_ROW_BYTES), faults));
    Some(Store {
        address: address?,
        max_row_bytes: max_row_bytes?,
    })
}

fn seconds(entry: &Entry<'_>, faults: &mut Faults) -> Option<Duration> {
    let seconds = entry.decimal((0.0, MAX_DURATION_S), faults)?;
    Some(Duration::from_secs_f64(seconds))
}

fn thousandths(share: f64) -> u16 {
    // The value was checked against the bounds above.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let thousandths = (share * 1_000.0) as u16;
    thousandths
}
