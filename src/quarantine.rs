//! Quarantine of requests that crash the endpoints that run them.
//!
//! Such a request is distinguished from those that merely ran on the same endpoint at the time,
//! and is then refused until its quarantine ends.
//!
//! [`evidence`] decides which requests are to blame. [`detector`] acts on it on a single thread,
//! [`statuses`] on several threads. docs/design/quarantine.md compares the alternatives.

pub mod backlog;
pub mod detector;
pub mod evidence;
pub mod export;
mod fingerprint;
pub mod loss;
pub mod record;
pub mod statuses;
pub mod storage;
mod subject;

pub use detector::Detector;
pub use fingerprint::Fingerprint;
pub use subject::Subject;
