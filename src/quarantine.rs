//! Requests that crash the endpoints that run them.
//!
//! docs/design/quarantine.md weighs the ways.

mod fingerprint;

pub use fingerprint::Fingerprint;
