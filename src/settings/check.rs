//! The valid values of each key of a settings file, and the constraints between keys.

use std::net::SocketAddr;
use std::time::Duration;

use toml::de::DeValue;

use super::document::{self, Entry, Faults, Section, describe};
use super::{
    Format, Invalid, Leave, Limits, Listen, Log, Node, Platform, Settings, Timeouts, unit,
};
use crate::job::accept::{MAX_ITEMS, MAX_PROMPT_BYTES};
use crate::name::{self, Name};

/// Default number of threads that serve requests.
pub(super) const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// Maximum number of threads that serve requests; each one allocates its own buffers.
const MAX_TRAFFIC_THREADS: usize = 64;
/// Default region.
const DEFAULT_REGION: &str = "default";
/// Shortest and longest duration that a key may have.
const DURATION_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(1), Duration::from_secs(86_400));
/// Upper bound of `limits.body_bytes`.
const MAX_BODY_BYTES: usize = 1024 * 1024 * 1024;

/// Parses and checks the whole text.
pub(super) fn settings(text: &str) -> Result<Settings, Invalid> {
    document::parse(text, |mut root, faults| {
        let settings = read(&mut root, faults);
        root.finish(faults);
        settings
    })
}

/// Reads every section before it fails, so that one pass reports all problems.
fn read(root: &mut Section<'_>, faults: &mut Faults) -> Option<Settings> {
    let node = node(root.section("node", faults), faults);
    let listen = listen(root.section("listen", faults), faults);
    let platform = platform(root.section("platform", faults), listen.as_ref(), faults);
    let traffic_threads = match root.entry("traffic_threads") {
        Some(entry) => entry.number((1, MAX_TRAFFIC_THREADS), faults),
        None => Some(DEFAULT_TRAFFIC_THREADS),
    };
    let seeds = seeds(root.entry("seeds"), listen.as_ref(), faults);
    let timeouts = timeouts(root.section("timeouts", faults), faults);
    let leave = leave(root.section("leave", faults), timeouts.as_ref(), faults);
    let limits = limits(root.section("limits", faults), faults);
    let log = log(root.section("log", faults), faults);
    Some(Settings {
        node: node?,
        listen: listen?,
        platform: platform?,
        traffic_threads: traffic_threads?,
        seeds: seeds?,
        leave: leave?,
        limits: limits?,
        timeouts: timeouts?,
        log: log?,
    })
}

fn node(mut section: Section<'_>, faults: &mut Faults) -> Option<Node> {
    let name = section
        .require("name", "\"node-1\"", faults)
        .and_then(|entry| name(&entry, faults));
    let zone = section
        .require("zone", "\"zone-1\"", faults)
        .and_then(|entry| self::name(&entry, faults));
    let region = match section.entry("region") {
        Some(entry) => self::name(&entry, faults),
        None => Some(Name::from(DEFAULT_REGION)),
    };
    section.finish(faults);
    Some(Node {
        name: name?,
        zone: zone?,
        region: region?,
    })
}

fn listen(mut section: Section<'_>, faults: &mut Faults) -> Option<Listen> {
    let mut taken: Vec<(SocketAddr, &'static str)> = Vec::new();
    let mut read = |key: &'static str, example: &str, faults: &mut Faults| {
        let entry = section.require(key, example, faults)?;
        let address = entry.address(faults)?;
        if address.ip().is_unspecified() {
            entry.report(
                faults,
                "other nodes connect to this address, and an unspecified one identifies no VM; write the VM's own IP address",
            );
            return None;
        }
        // With port 0 the operating system chooses a different port each time.
        let same = |used: &SocketAddr| *used == address && address.port() != 0;
        if let Some((_, other)) = taken.iter().find(|(used, _)| same(used)) {
            entry.report(
                faults,
                format!("is the same as listen.{other}; give each its own port"),
            );
            return None;
        }
        taken.push((address, key));
        Some(address)
    };
    let callers = read("callers", "\"10.0.1.11:7001\"", faults);
    let link = read("link", "\"10.0.1.11:7002\"", faults);
    let control = read("control", "\"10.0.1.11:7003\"", faults);
    section.finish(faults);
    Some(Listen {
        callers: callers?,
        link: link?,
        control: control?,
    })
}

fn platform(
    mut section: Section<'_>,
    listen: Option<&Listen>,
    faults: &mut Faults,
) -> Option<Platform> {
    let entry = section.require("address", "\"10.0.0.5:7100\"", faults);
    section.finish(faults);
    let entry = entry?;
    let address = remote(&entry, faults)?;
    if listen.is_some_and(|own| [own.callers, own.link, own.control].contains(&address)) {
        entry.report(
            faults,
            "is one of this node's own addresses; write where the platform listens",
        );
        return None;
    }
    Some(Platform { address })
}

fn seeds(
    entry: Option<Entry<'_>>,
    listen: Option<&Listen>,
    faults: &mut Faults,
) -> Option<Vec<SocketAddr>> {
    let Some(entry) = entry else {
        return Some(Vec::new());
    };
    let DeValue::Array(values) = entry.value else {
        entry.report(
            faults,
            format!(
                "this is {}; write a list, as in [\"10.0.2.11:7003\"]",
                describe(entry.value)
            ),
        );
        return None;
    };
    let mut seeds = Vec::with_capacity(values.len());
    let mut valid = true;
    for (at, value) in values.iter().enumerate() {
        let seed = Entry {
            value: value.get_ref(),
            span: value.span(),
            place: format!("seeds[{at}]"),
        };
        match remote(&seed, faults) {
            Some(own) if listen.is_some_and(|listen| listen.control == own) => {
                seed.report(
                    faults,
                    "is this node's own control address; name other nodes only",
                );
                valid = false;
            }
            Some(address) => seeds.push(address),
            None => valid = false,
        }
    }
    valid.then_some(seeds)
}

fn timeouts(mut section: Section<'_>, faults: &mut Faults) -> Option<Timeouts> {
    let default = Timeouts::default();
    let request = duration(section.entry("request"), default.request, faults);
    let connect_entry = section.entry("connect");
    let place = connect_entry.as_ref().map(|entry| entry.span.start);
    let connect = duration(connect_entry, default.connect, faults);
    section.finish(faults);
    let (request, connect) = (request?, connect?);
    if connect >= request {
        faults.add(
            place.unwrap_or_default(),
            "timeouts.connect",
            format!(
                "is {} ms and timeouts.request is {} ms: a request would time out before a second endpoint could be tried; write a shorter connect",
                connect.as_millis(),
                request.as_millis()
            ),
        );
        return None;
    }
    Some(Timeouts { request, connect })
}

fn leave(
    mut section: Section<'_>,
    timeouts: Option<&Timeouts>,
    faults: &mut Faults,
) -> Option<Leave> {
    let entry = section.entry("limit");
    let at = entry.as_ref().map(|entry| entry.span.start);
    let limit = duration(entry, Leave::default().limit, faults);
    section.finish(faults);
    let limit = limit?;
    if let Some(timeouts) = timeouts.filter(|timeouts| timeouts.request > limit) {
        faults.add(
            at.unwrap_or_default(),
            "leave.limit",
            format!(
                "is {} ms, below timeouts.request with {} ms: a planned stop would cut off running requests; write a longer limit",
                limit.as_millis(),
                timeouts.request.as_millis()
            ),
        );
        return None;
    }
    Some(Leave { limit })
}

fn limits(mut section: Section<'_>, faults: &mut Faults) -> Option<Limits> {
    let default = Limits::default();
    let mut read = |key: &'static str, most: usize, default: usize, faults: &mut Faults| {
        section
            .entry(key)
            .map_or(Some(default), |entry| entry.number((1, most), faults))
    };
    let body_bytes = read("body_bytes", MAX_BODY_BYTES, default.body_bytes, faults);
    let prompt_bytes = read(
        "prompt_bytes",
        MAX_PROMPT_BYTES,
        default.prompt_bytes,
        faults,
    );
    let job_items = read("job_items", MAX_ITEMS, default.job_items, faults);
    let prompt_entry = section.entry("prompt_bytes");
    section.finish(faults);
    let limits = Limits {
        body_bytes: body_bytes?,
        prompt_bytes: prompt_bytes?,
        job_items: job_items?,
    };
    if limits.prompt_bytes > limits.body_bytes {
        faults.add(
            prompt_entry.map_or(0, |entry| entry.span.start),
            "limits.prompt_bytes",
            format!(
                "is above limits.body_bytes ({}), which bounds prompts as well; write at most that value",
                limits.body_bytes
            ),
        );
        return None;
    }
    Some(limits)
}

fn log(mut section: Section<'_>, faults: &mut Faults) -> Option<Log> {
    let default = Log::default();
    let format = match section.entry("format") {
        None => Some(default.format),
        Some(entry) => entry
            .text(faults)
            .map(str::to_owned)
            .and_then(|text| match &*text {
                "text" => Some(Format::Text),
                "json" => Some(Format::Json),
                other => {
                    entry.report(
                        faults,
                        format!("`{other}` is not a log format; write \"text\" or \"json\""),
                    );
                    None
                }
            }),
    };
    let level = match section.entry("level") {
        None => Some(default.level),
        Some(entry) => entry.text(faults).map(str::to_owned).and_then(|text| {
            let level = text.parse().ok();
            if level.is_none() {
                entry.report(
                    faults,
                    format!(
                        "`{text}` is not a log level; write off, error, warn, info, debug or trace"
                    ),
                );
            }
            level
        }),
    };
    section.finish(faults);
    Some(Log {
        format: format?,
        level: level?,
    })
}

fn name(entry: &Entry<'_>, faults: &mut Faults) -> Option<Name> {
    let text = entry.text(faults)?;
    if !name::is_valid(text) {
        let message = format!(
            "`{text}` is not a valid name; write 1 to {} letters, digits, `-`, `_`, `.` or `:`",
            name::MAX_LEN
        );
        entry.report(faults, message);
        return None;
    }
    Some(Name::from(text))
}

/// Reads an address with a port that is not 0.
fn address(entry: &Entry<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let address = entry.address(faults)?;
    if address.port() == 0 {
        entry.report(faults, "nothing listens on port 0; write the port");
        return None;
    }
    Some(address)
}

/// Reads the address of another process, which this node connects to.
fn remote(entry: &Entry<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let address = address(entry, faults)?;
    if address.port() == 0 {
        entry.report(faults, "nothing listens on port 0; write its port");
        return None;
    }
    Some(address)
}

fn duration(entry: Option<Entry<'_>>, default: Duration, faults: &mut Faults) -> Option<Duration> {
    let Some(entry) = entry else {
        return Some(default);
    };
    if entry.value.is_integer() {
        entry.report(
            faults,
            "this number has no unit; write it in quotes with ms, s, m, h or d, as in \"30s\"",
        );
        return None;
    }
    let text = entry.text(faults)?;
    let (min, max) = DURATION_BOUNDS;
    match unit::duration(text) {
        Ok(duration) if (min..=max).contains(&duration) => Some(duration),
        Ok(_) => {
            entry.report(faults, "write at least \"1ms\" and at most \"1d\"");
            None
        }
        Err(message) => {
            entry.report(faults, message);
            None
        }
    }
}
