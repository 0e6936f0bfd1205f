//! Decodes the row that holds the operators' configuration.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::organisation;
use crate::catalog::{Config, Kind, Limits, Route, Target, Terms};
use crate::name::Name;

/// The table of the rows that operators write.
pub const TABLE: &str = "op";
/// The key of the newest configuration.
pub const KEY: &str = "config";

#[derive(Deserialize)]
struct Document {
    version: u64,
    routes: Vec<RouteEntry>,
    limits: LimitEntry,
    /// The organisations; empty where callers need no key.
    #[serde(default)]
    tenants: Vec<organisation::Entry>,
}

#[derive(Deserialize)]
struct RouteEntry {
    name: Name,
    host: Name,
    prefix: Name,
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    timeout_ms: f64,
    #[serde(default)]
    goal_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<Name>,
    #[serde(default)]
    split: Vec<Split>,
    #[serde(default = "one")]
    attempts: u32,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    gap_goal_ms: f64,
    #[serde(default)]
    run_goal_ms: f64,
    #[serde(default)]
    queue_ttl_s: f64,
    /// On batch routes: maximum number of waiting tokens, 0 for no limit.
    #[serde(default)]
    max_count: u64,
    /// Callers need no key.
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
struct Split {
    service: Name,
    weight: u32,
}

#[derive(Deserialize)]
struct LimitEntry {
    max_header_bytes: usize,
    max_body_bytes: usize,
    idle_timeout_ms: u64,
}

fn one() -> u32 {
    1
}

/// Why a row could not be decoded as a configuration. It gives only the position: the parser's own
/// message would quote the text there, which may be a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// True where the text is not valid JSON; else a field is missing or has the wrong type.
    pub malformed: bool,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = if self.malformed {
            "the row is not valid JSON"
        } else {
            "a field is missing or has the wrong type"
        };
        write!(f, "{what}, at line {} column {}", self.line, self.column)
    }
}

impl std::error::Error for Unreadable {}

impl From<serde_json::Error> for Unreadable {
    fn from(error: serde_json::Error) -> Self {
        Self {
            malformed: !error.is_data(),
            line: error.line(),
            column: error.column(),
        }
    }
}

/// Decodes a configuration row.
///
/// # Errors
/// When the value is not a configuration; the caller keeps the last valid one in force.
pub fn decode(value: &[u8]) -> Result<Config, Unreadable> {
    let document: Document = serde_json::from_slice(value)?;
    Ok(Config {
        version: document.version,
        routes: document
            .routes
            .into_iter()
            .map(|entry| Arc::new(route(entry)))
            .collect(),
        limits: Limits {
            head_bytes: document.limits.max_header_bytes,
            body_bytes: document.limits.max_body_bytes,
            idle: Duration::from_millis(document.limits.idle_timeout_ms),
        },
        keyring: organisation::keyring(document.tenants).map(Arc::new),
    })
}

fn route(entry: RouteEntry) -> Route {
    let kind = match entry.kind.as_str() {
        "idempotent" => Kind::Idempotent,
        "streaming" => Kind::Stream {
            resumable: entry.resumable,
            pause: millis(entry.gap_goal_ms),
        },
        "batch" => Kind::Batch(Terms {
            due: millis(entry.run_goal_ms),
            lifetime: millis(entry.queue_ttl_s * 1_000.0),
            waiting_tokens: (entry.max_count > 0).then_some(entry.max_count),
        }),
        // Requests of an unknown kind must not be repeated.
        _ => Kind::Once,
    };
    let mut targets: Vec<Target> = entry
        .split
        .into_iter()
        .map(|split| Target {
            service: split.service,
            weight: split.weight,
        })
        .collect();
    if targets.is_empty() {
        targets.extend(entry.service.map(|service| Target { service, weight: 1 }));
    }
    Route {
        name: entry.name,
        host: entry.host,
        prefix: entry.prefix,
        kind,
        timeout: millis(entry.timeout_ms),
        goal: millis(entry.goal_ms),
        priority: entry.priority,
        targets,
        attempts: entry.attempts.max(1),
        public: entry.public,
    }
}

fn millis(value: f64) -> Duration {
    // A negative or out-of-range duration counts as 0; the store checks operators' rows.
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or_default()
}
