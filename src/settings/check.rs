//! What each key of a settings file may be, and which go together.

use std::net::SocketAddr;
use std::time::Duration;

use toml::de::DeValue;

use super::document::{self, Entry, Faults, Section, article};
use super::{
    Format, Invalid, Leave, Limits, Listen, Log, Node, Platform, Settings, Timeouts, unit,
};
use crate::job::accept::{MAX_ITEMS, MAX_PROMPT_BYTES};
use crate::name::{self, Name};

/// Threads that carry requests when the file names no number.
pub(super) const TRAFFIC_THREADS: usize = 2;
/// Most threads that carry requests; each takes memory for its buffers.
const MAX_THREADS: usize = 64;
/// The region when the file names none.
const REGION: &str = "default";
/// Shortest and longest wait that a key may name.
const WAITS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(86_400));
/// Largest bound on a body, in bytes.
const MAX_BYTES: usize = 1024 * 1024 * 1024;

/// Reads and checks the whole text.
pub(super) fn settings(text: &str) -> Result<Settings, Invalid> {
    document::parse(text, |mut root, faults| {
        let settings = read(&mut root, faults);
        root.finish(faults);
        settings
    })
}

/// Every part is read before one that failed gives up the whole.
fn read(root: &mut Section<'_>, faults: &mut Faults) -> Option<Settings> {
    let node = node(root.section("node", faults), faults);
    let listen = listen(root.section("listen", faults), faults);
    let platform = platform(root.section("platform", faults), listen.as_ref(), faults);
    let traffic_threads = match root.entry("traffic_threads") {
        Some(entry) => entry.number((1, MAX_THREADS), faults),
        None => Some(TRAFFIC_THREADS),
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
        None => Some(Name::from(REGION)),
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
            entry.fault(
                faults,
                "others are told this address, and 0.0.0.0 leads them nowhere; write the VM's own IP number",
            );
            return None;
        }
        // Port 0 lets the system choose, another one each time.
        let same = |used: &SocketAddr| *used == address && address.port() != 0;
        if let Some((_, other)) = taken.iter().find(|(used, _)| same(used)) {
            entry.fault(
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
        entry.fault(
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
        entry.fault(
            faults,
            format!(
                "this is {}; write a list, as in [\"10.0.2.11:7003\"]",
                article(entry.value)
            ),
        );
        return None;
    };
    let mut seeds = Vec::with_capacity(values.len());
    let mut whole = true;
    for (at, value) in values.iter().enumerate() {
        let seed = Entry {
            value: value.get_ref(),
            span: value.span(),
            place: format!("seeds[{at}]"),
        };
        match remote(&seed, faults) {
            Some(own) if listen.is_some_and(|listen| listen.control == own) => {
                seed.fault(
                    faults,
                    "is this node's own control address; name other nodes only",
                );
                whole = false;
            }
            Some(address) => seeds.push(address),
            None => whole = false,
        }
    }
    whole.then_some(seeds)
}

fn timeouts(mut section: Section<'_>, faults: &mut Faults) -> Option<Timeouts> {
    let fallback = Timeouts::default();
    let request = wait(section.entry("request"), fallback.request, faults);
    let connect_entry = section.entry("connect");
    let place = connect_entry.as_ref().map(|entry| entry.span.start);
    let connect = wait(connect_entry, fallback.connect, faults);
    section.finish(faults);
    let (request, connect) = (request?, connect?);
    if connect >= request {
        faults.add(
            place.unwrap_or_default(),
            "timeouts.connect",
            format!(
                "is {} ms and timeouts.request {} ms: a question would run out before a second endpoint could be tried; write a shorter connect",
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
    let limit = wait(entry, Leave::default().limit, faults);
    section.finish(faults);
    let limit = limit?;
    if let Some(timeouts) = timeouts.filter(|timeouts| timeouts.request > limit) {
        faults.add(
            at.unwrap_or_default(),
            "leave.limit",
            format!(
                "is {} ms, below timeouts.request with {} ms: a planned stop would cut a question short; write a longer one",
                limit.as_millis(),
                timeouts.request.as_millis()
            ),
        );
        return None;
    }
    Some(Leave { limit })
}

fn limits(mut section: Section<'_>, faults: &mut Faults) -> Option<Limits> {
    let fallback = Limits::default();
    let mut read = |key: &'static str, most: usize, fallback: usize, faults: &mut Faults| {
        section
            .entry(key)
            .map_or(Some(fallback), |entry| entry.number((1, most), faults))
    };
    let body_bytes = read("body_bytes", MAX_BYTES, fallback.body_bytes, faults);
    let prompt_bytes = read(
        "prompt_bytes",
        MAX_PROMPT_BYTES,
        fallback.prompt_bytes,
        faults,
    );
    let job_items = read("job_items", MAX_ITEMS, fallback.job_items, faults);
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
                "is above limits.body_bytes ({}), so that no such prompt could arrive; write at most that",
                limits.body_bytes
            ),
        );
        return None;
    }
    Some(limits)
}

fn log(mut section: Section<'_>, faults: &mut Faults) -> Option<Log> {
    let fallback = Log::default();
    let format = match section.entry("format") {
        None => Some(fallback.format),
        Some(entry) => entry
            .text(faults)
            .map(str::to_owned)
            .and_then(|text| match &*text {
                "text" => Some(Format::Text),
                "json" => Some(Format::Json),
                other => {
                    entry.fault(
                        faults,
                        format!("`{other}` is no format; write \"text\" or \"json\""),
                    );
                    None
                }
            }),
    };
    let level = match section.entry("level") {
        None => Some(fallback.level),
        Some(entry) => entry.text(faults).map(str::to_owned).and_then(|text| {
            let level = text.parse().ok();
            if level.is_none() {
                entry.fault(
                    faults,
                    format!("`{text}` is no level; write off, error, warn, info, debug or trace"),
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
            "`{text}` is no name; write 1 to {} letters, digits, `-`, `_`, `.` or `:`",
            name::MAX_LEN
        );
        entry.fault(faults, message);
        return None;
    }
    Some(Name::from(text))
}

/// An address that this node connects to.
fn address(entry: &Entry<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let address = entry.address(faults)?;
    if address.port() == 0 {
        entry.fault(faults, "nothing listens on port 0; write the port");
        return None;
    }
    Some(address)
}

/// An address of something else, which must be there already.
fn remote(entry: &Entry<'_>, faults: &mut Faults) -> Option<SocketAddr> {
    let address = address(entry, faults)?;
    if address.port() == 0 {
        entry.fault(faults, "nothing listens on port 0; write its port");
        return None;
    }
    Some(address)
}

fn wait(entry: Option<Entry<'_>>, fallback: Duration, faults: &mut Faults) -> Option<Duration> {
    let Some(entry) = entry else {
        return Some(fallback);
    };
    if entry.value.is_integer() {
        entry.fault(
            faults,
            "this number has no unit; write it in quotes with ms, s, m, h or d, as in \"30s\"",
        );
        return None;
    }
    let text = entry.text(faults)?;
    let (least, most) = WAITS;
    match unit::duration(text) {
        Ok(wait) if (least..=most).contains(&wait) => Some(wait),
        Ok(_) => {
            entry.fault(faults, "write at least \"1ms\" and at most \"1d\"");
            None
        }
        Err(message) => {
            entry.fault(faults, message);
            None
        }
    }
}
