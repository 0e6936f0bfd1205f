//! The settings file of one node, checked once and immutable after.
//!
//! Reading goes on after an error, so that one pass names everything that has
//! to be mended, each with its line and what to write instead. docs/CLI.md
//! describes every key.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use eyre::{Result, WrapErr};

use crate::name::Name;

mod check;
pub(crate) mod document;
mod unit;

pub use unit::duration;

/// Everything a node learns from its settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who this node is.
    pub node: Node,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform is.
    pub platform: Platform,
    /// How many threads carry requests; 2 by default.
    pub traffic_threads: usize,
    /// Control addresses of other nodes, asked when the platform's list of VMs
    /// can't be read at start; none by default.
    pub seeds: Vec<SocketAddr>,
    /// How it stops.
    pub leave: Leave,
    /// What it accepts.
    pub limits: Limits,
    /// How long it waits.
    pub timeouts: Timeouts,
    /// How it logs.
    pub log: Log,
}

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its region; `default` by default.
    pub region: Name,
}

/// Where a node listens. The addresses are also what others are told; port 0
/// lets the system choose one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers and operators.
    pub callers: SocketAddr,
    /// For requests from other nodes.
    pub link: SocketAddr,
    /// For control messages from other nodes.
    pub control: SocketAddr,
}

/// Where the platform's services are, as ip:port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Table, object store, list of VMs and weight store.
    pub address: SocketAddr,
}

/// How a node stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// Longest time that a stop waits for work in flight; 120 s by default.
    pub limit: Duration,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a job, in bytes; 128 MiB by default.
    pub body_bytes: usize,
    /// Largest prompt, in bytes; 256 KiB by default, and at most.
    pub prompt_bytes: usize,
    /// Most items of a job; 500,000 by default.
    pub job_items: usize,
}

/// How long a node waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For the end of a question; a longer deadline of its caller or its service
    /// is cut to it; 120 s by default.
    pub request: Duration,
    /// For a connection to an endpoint; 1.5 s by default.
    pub connect: Duration,
}

/// How a node logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// The form of each line; text by default.
    pub format: Format,
    /// The least level that is written; info by default.
    pub level: log::LevelFilter,
}

/// The form of a line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Time, level, event and key=value fields.
    Text,
    /// One JSON object a line with the same fields.
    Json,
}

impl Default for Leave {
    fn default() -> Self {
        Self {
            limit: Duration::from_secs(120),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 128 * 1024 * 1024,
            prompt_bytes: crate::job::accept::MAX_PROMPT_BYTES,
            job_items: 500_000,
        }
    }
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            request: Duration::from_secs(120),
            connect: Duration::from_millis(1_500),
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::Text,
            level: log::LevelFilter::Info,
        }
    }
}

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Its line, from 1.
    pub line: usize,
    /// Its column in characters, from 1.
    pub column: usize,
    /// The key, as `listen.callers`; empty when the text is not TOML.
    pub place: String,
    /// What is wrong, and what to write instead.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.place.is_empty() {
            write!(f, "{}: ", self.place)?;
        }
        f.write_str(&self.message)
    }
}

/// Everything that is wrong in a settings file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid(pub Vec<Problem>);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut problems = self.0.iter();
        if let Some(first) = problems.next() {
            write!(f, "{first}")?;
        }
        problems.try_for_each(|problem| write!(f, "\n{problem}"))
    }
}

impl std::error::Error for Invalid {}

impl Settings {
    /// Settings with the defaults for everything that has one.
    pub fn new(node: Node, listen: Listen, platform: Platform) -> Self {
        Self {
            node,
            listen,
            platform,
            traffic_threads: check::TRAFFIC_THREADS,
            seeds: Vec::new(),
            leave: Leave::default(),
            limits: Limits::default(),
            timeouts: Timeouts::default(),
            log: Log::default(),
        }
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    /// [`Invalid`] names everything that is wrong, not only the first.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        check::settings(text)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Names the file, each place in it that is wrong, and what to write
    /// instead; [`Invalid`] is the root of the report.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("can't read {}; does it exist?", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("{} can't be used", path.display()))
    }
}
