//! Requests that crash the endpoints that run them: such a request is told from
//! those that happened to run beside it, and is not run any more.
//!
//! [`evidence`] decides. [`ward`] acts on one thread; [`standings`] for several. docs/design/quarantine.md weighs the ways.

pub mod evidence;
mod fingerprint;
pub mod loss;
pub mod record;
pub mod standings;
pub mod ward;

pub use fingerprint::Fingerprint;
pub use ward::Ward;
