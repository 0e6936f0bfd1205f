//! Requests that crash the endpoints that run them: such a request is told from
//! those that happened to run beside it, and is not run any more.
//!
//! [`evidence`] decides. [`detector`] acts on one thread; [`statuses`] for several. docs/design/quarantine.md weighs the ways.

pub mod detector;
pub mod evidence;
mod fingerprint;
pub mod loss;
pub mod record;
pub mod statuses;

pub use detector::Detector;
pub use fingerprint::Fingerprint;
