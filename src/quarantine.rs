//! Requests that crash the endpoints that run them: such a request is told from
//! those that happened to run beside it, and is not run any more.
//!
//! [`evidence`] decides, [`ward`] acts. docs/design/quarantine.md weighs the ways.

pub mod evidence;
mod fingerprint;
pub mod loss;
pub mod record;
pub mod ward;

pub use fingerprint::Fingerprint;
pub use ward::Ward;
