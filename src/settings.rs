//! The settings file of one node, checked once at start and immutable afterwards.
//!
//! Reading continues after an error, so that one pass reports every problem with its line and what
//! to write instead. docs/CLI.md describes every key.

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

/// The content of a node's settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The node's identity.
    pub node: Node,
    /// The addresses that it listens on.
    pub listen: Listen,
    /// The platform's address.
    pub platform: Platform,
    /// Number of threads that serve requests; 2 by default.
    pub traffic_threads: usize,
    /// Control addresses of other nodes, used when the platform's list of VMs can't be read at
    /// start; none by default.
    pub seeds: Vec<SocketAddr>,
    /// Planned stops.
    pub leave: Leave,
    /// Bounds on callers' input.
    pub limits: Limits,
    /// Timeouts of requests and connections.
    pub timeouts: Timeouts,
    /// Logging.
    pub log: Log,
}

/// A node's identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its region; `default` by default.
    pub region: Name,
}

/// The addresses that a node listens on. They are also announced to other nodes; with port 0 the
/// operating system chooses a port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers and operators.
    pub callers: SocketAddr,
    /// Requests from other nodes.
    pub link: SocketAddr,
    /// Control messages from other nodes.
    pub control: SocketAddr,
}

/// The address of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the table, the object store, the list of VMs and the weight store.
    pub address: SocketAddr,
}

/// Planned stops of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leave {
    /// Maximum time that a planned stop waits for work in flight; 120 s by default.
    pub limit: Duration,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum body of a job, in bytes; 128 MiB by default.
    pub body_bytes: usize,
    /// Maximum prompt, in bytes; 256 KiB by default, which is also its upper bound.
    pub prompt_bytes: usize,
    /// Maximum number of items of a job; 500,000 by default.
    pub job_items: usize,
}

/// Timeouts of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Maximum duration of a request, which caps the deadline of its caller or its service; 120 s
    /// by default.
    pub request: Duration,
    /// Timeout of a connection to an endpoint; 1.5 s by default.
    pub connect: Duration,
}

/// Logging of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of each line; text by default.
    pub format: Format,
    /// Minimum level that is written; info by default.
    pub level: log::LevelFilter,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Time, level, event and `key=value` fields.
    Text,
    /// One JSON object per line with the same fields.
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

/// One problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// The key, such as `listen.callers`; empty when the text is not TOML.
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

/// All problems of a settings file, in the order of its lines.
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
    /// Creates settings with the defaults for everything that has one.
    pub fn new(node: Node, listen: Listen, platform: Platform) -> Self {
        Self {
            node,
            listen,
            platform,
            traffic_threads: check::DEFAULT_TRAFFIC_THREADS,
            seeds: Vec::new(),
            leave: Leave::default(),
            limits: Limits::default(),
            timeouts: Timeouts::default(),
            log: Log::default(),
        }
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// [`Invalid`] lists every problem, not only the first one.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        check::settings(text)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Names the file, each of its problems and what to write instead; the root cause is
    /// [`Invalid`].
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("can't read {}; does it exist?", path.display()))?;
        Self::parse(&text).wrap_err_with(|| format!("{} can't be used", path.display()))
    }
}
